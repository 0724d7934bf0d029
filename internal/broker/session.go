package broker

import (
	"time"

	"saltreel/internal/partition"
)

// maxOutboxBytes limits the messages queued for a gateway that does not poll. A gateway that
// lags further behind begins a new session and requests the messages that it lacks.
const maxOutboxBytes = 4 << 20

// session is the state of one gateway at this broker. It has no lock of its own: Broker.mu
// guards it. A poll waits on changed without holding the lock.
type session struct {
	id             string
	topics         map[string]bool
	outbox         []*partition.Record // messages for the next poll
	outboxBytes    int                 // size of outbox
	lostPartitions []int               // partitions no longer led here, for the next poll
	lastPoll       int64               // number of the last poll
	polling        bool                // a poll is in progress
	lastSeen       time.Time
	ended          bool
	changed        chan struct{} // closed and replaced when a waiting poll must check again
}

func newSession(id string) *session {
	return &session{id: id, topics: map[string]bool{}, lastSeen: time.Now(), changed: make(chan struct{})}
}

// notifyPoll makes a waiting poll check the session again.
func (s *session) notifyPoll() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enqueue adds a message for the next poll.
func (s *session) enqueue(r *partition.Record) {
	s.outbox = append(s.outbox, r)
	s.outboxBytes += entryBytes(r)
	if s.outboxBytes > maxOutboxBytes {
		s.end()
		return
	}
	s.notifyPoll()
}

// addLostPartition tells the gateway with the next poll that the partition is no longer led
// here.
func (s *session) addLostPartition(number int) {
	s.lostPartitions = append(s.lostPartitions, number)
	s.notifyPoll()
}

// end marks the session as ended, so that the gateway begins a new one.
func (s *session) end() {
	s.ended = true
	s.outbox, s.outboxBytes = nil, 0
	s.notifyPoll()
}

// isExpired reports whether the session has ended or has not been polled within the timeout.
func (s *session) isExpired(now time.Time, timeout time.Duration) bool {
	return s.ended || !s.polling && now.Sub(s.lastSeen) > timeout
}

// maxResponseBytes limits the messages in one response.
const maxResponseBytes = 128 << 10

// responseLimit returns the limit for a response, given the limit that the gateway requested;
// 0 requests the default.
func responseLimit(requested int) int {
	if requested <= 0 {
		return maxResponseBytes
	}
	return min(requested, maxResponseBytes)
}

// take removes the messages of the next response from the outbox: at least one, if there are
// any.
func (s *session) take(maxBytes int) []*partition.Record {
	size, n := 0, 0
	for n < len(s.outbox) && (n == 0 || size < maxBytes) {
		size += entryBytes(s.outbox[n])
		n++
	}
	taken := s.outbox[:n:n]
	s.outbox = s.outbox[n:]
	s.outboxBytes -= size
	return taken
}

// entryOverhead is the estimated size of an entry without its body.
const entryOverhead = 120

func entryBytes(r *partition.Record) int { return entryOverhead + len(r.Body) }

package broker

import (
	"time"

	"saltreel/internal/partition"
)

// maxOutboxBytes bounds what waits for a gateway that does not poll. One that lags
// further behind begins a new session and asks for what it lacks.
const maxOutboxBytes = 4 << 20

// session is what one gateway follows here. It has no lock: the Broker's mu guards
// it, except for changed, which is closed and replaced under mu.
type session struct {
	id             string
	topics         map[string]bool
	outbox         []*partition.Record // for the next poll
	outboxBytes    int                 // of outbox
	lostPartitions []int               // partitions that are led here no longer, for the next poll
	lastPoll       int64               // number of the last poll
	polling        bool                // a poll waits
	lastSeen       time.Time
	ended          bool
	changed        chan struct{} // closed and replaced when a poll that waits is to look again
}

func newSession(id string) *session {
	return &session{id: id, topics: map[string]bool{}, lastSeen: time.Now(), changed: make(chan struct{})}
}

// notifyPoll lets the poll that waits look again.
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

// addLostPartition tells the gateway to follow a partition elsewhere.
func (s *session) addLostPartition(number int) {
	s.lostPartitions = append(s.lostPartitions, number)
	s.notifyPoll()
}

// end lets the gateway begin a new session.
func (s *session) end() {
	s.ended = true
	s.outbox, s.outboxBytes = nil, 0
	s.notifyPoll()
}

// isExpired reports whether the gateway has not polled for too long, or has to
// begin a new session.
func (s *session) isExpired(now time.Time, timeout time.Duration) bool {
	return s.ended || !s.polling && now.Sub(s.lastSeen) > timeout
}

// maxResponseBytes bounds the messages in the answer to one call.
const maxResponseBytes = 128 << 10

// responseLimit is the bound of an answer to a gateway that wants no more than that.
func responseLimit(wanted int) int {
	if wanted <= 0 {
		return maxResponseBytes
	}
	return min(wanted, maxResponseBytes)
}

// take removes what the next answer holds from the outbox: a message at least.
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

// entryOverhead estimates the bytes of an entry without its body.
const entryOverhead = 120

func entryBytes(r *partition.Record) int { return entryOverhead + len(r.Body) }

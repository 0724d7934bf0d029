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
	id       string
	topics   map[string]bool
	outbox   []*partition.Record // for the next poll
	bytes    int                 // of outbox
	lost     []int               // partitions that are led here no longer, for the next poll
	polled   int64               // number of the last poll
	polling  bool                // a poll waits
	lastSeen time.Time
	ended    bool
	changed  chan struct{} // closed and replaced when a poll that waits is to look again
}

func newSession(id string) *session {
	return &session{id: id, topics: map[string]bool{}, lastSeen: time.Now(), changed: make(chan struct{})}
}

// wake lets the poll that waits look again.
func (s *session) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// push adds a message for the next poll.
func (s *session) push(r *partition.Record) {
	s.outbox = append(s.outbox, r)
	s.bytes += entryBytes(r)
	if s.bytes > maxOutboxBytes {
		s.end()
		return
	}
	s.wake()
}

// losePartition tells the gateway to follow a partition elsewhere.
func (s *session) losePartition(number int) {
	s.lost = append(s.lost, number)
	s.wake()
}

// end lets the gateway begin a new session.
func (s *session) end() {
	s.ended = true
	s.outbox, s.bytes = nil, 0
	s.wake()
}

// isAbandoned reports whether the gateway has not polled for too long, or has to
// begin a new session.
func (s *session) isAbandoned(now time.Time, timeout time.Duration) bool {
	return s.ended || !s.polling && now.Sub(s.lastSeen) > timeout
}

// maxAnswerBytes bounds the messages in the answer to one call.
const maxAnswerBytes = 128 << 10

// answerBound is the bound of an answer to a gateway that wants no more than that.
func answerBound(wanted int) int {
	if wanted <= 0 {
		return maxAnswerBytes
	}
	return min(wanted, maxAnswerBytes)
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
	s.bytes -= size
	return taken
}

// entryOverhead estimates the bytes of an entry without its body.
const entryOverhead = 120

func entryBytes(r *partition.Record) int { return entryOverhead + len(r.Body) }

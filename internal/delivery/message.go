package delivery

import (
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/partition"
	"saltreel/internal/settings"
)

// message is a pending message. There may be many, so its size matters.
type message struct {
	record         *partition.Record
	partition      *partitionMessages
	key            *orderKeyQueue // nil without an order key
	queue          *serviceQueue  // current or last queue
	due            time.Time      // earliest time of the next attempt, by the monotonic clock
	eligibleSince  time.Time      // when the first attempt was due
	failedAttempts int            // attempts that count towards the limit of the route
	attempts       int            // number of attempts with any outcome
	running        bool           // an attempt is in flight
	queued         bool           // in the queue of its service
	finished       bool
	priority       int32
	lastEndpoint   string    // ID of the instance of the last attempt
	startBy        time.Time // latest start time that meets the start target
	overdueAt      time.Time // from then on it precedes all other messages
}

// applyRoute sets the fields that order the message in its queue, as its route configures them.
func (m *message) applyRoute(route *configuration.Route) {
	m.priority = route.Priority
	m.startBy = m.eligibleSince.Add(time.Duration(route.StartTargetMs) * time.Millisecond)
	m.overdueAt = m.eligibleSince.Add(settings.Seconds(route.RetentionS / 2))
}

// isFirstOfKey reports whether no other message of its order key must run before it.
func (m *message) isFirstOfKey() bool { return m.key == nil || m.key.messages[0] == m }

// expired reports whether the retention time of the message is over; now is wall-clock time in
// milliseconds.
func (m *message) expired(now int64) bool { return m.record.Expires > 0 && m.record.Expires < now }

// partitionMessages holds the pending messages of one partition.
type partitionMessages struct {
	byID  map[string]*message
	byKey map[string]*orderKeyQueue // by tenant and order key
}

func newPartitionMessages() *partitionMessages {
	return &partitionMessages{byID: map[string]*message{}, byKey: map[string]*orderKeyQueue{}}
}

// add adds a message and reports whether it may be queued: only the first message of an order
// key may.
func (p *partitionMessages) add(m *message) bool {
	p.byID[m.record.ID] = m
	if m.record.OrderKey == "" {
		return true
	}
	name := orderKeyID(m.record)
	q := p.byKey[name]
	if q == nil {
		q = &orderKeyQueue{}
		p.byKey[name] = q
	}
	m.key = q
	return q.insert(m)
}

// remove removes a message and returns the message of its order key that is first now, if any.
func (p *partitionMessages) remove(m *message) *message {
	delete(p.byID, m.record.ID)
	if m.key == nil {
		return nil
	}
	next := m.key.remove(m)
	if next == nil {
		delete(p.byKey, orderKeyID(m.record))
	}
	return next
}

// finishAll marks all messages as finished, so that the queues drop them.
func (p *partitionMessages) finishAll() {
	for _, m := range p.byID {
		m.finished = true
	}
}

func orderKeyID(r *partition.Record) string { return r.Tenant + "\x00" + r.OrderKey }

// orderKeyQueue holds the messages that share a tenant and an order key, in the order of their
// acceptance. Only the first may run.
type orderKeyQueue struct{ messages []*message }

// insert adds a message in order, but never before one with an attempt in flight, and reports
// whether it is the first.
func (q *orderKeyQueue) insert(m *message) bool {
	at := len(q.messages)
	for at > 0 && q.messages[at-1].record.Position().After(m.record.Position()) && !q.messages[at-1].running {
		at--
	}
	q.messages = append(q.messages, nil)
	copy(q.messages[at+1:], q.messages[at:])
	q.messages[at] = m
	return at == 0
}

// remove removes a message and returns the first remaining one, if any.
func (q *orderKeyQueue) remove(m *message) *message {
	for i, other := range q.messages {
		if other == m {
			q.messages = append(q.messages[:i], q.messages[i+1:]...)
			break
		}
	}
	if len(q.messages) == 0 {
		return nil
	}
	return q.messages[0]
}

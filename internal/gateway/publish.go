package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/linewire"
	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// publication is one message of a client. publishers.mu guards it, but for what
// does not change.
type publication struct {
	number      int64
	body        []byte
	tenant      string
	retentionMs int64

	answer   func(frame []byte) // nil while the client waits for none
	deadline time.Time          // of the answer
}

// publisherTopic is a client on one topic.
type publisherTopic struct{ publisher, topic string }

// publishers brings messages to the brokers: those of one client on one topic in
// order, all that wait in one call. A client that waits no longer gets UNKNOWN, and
// sends the same number again; its message stays in its place meanwhile, so that
// later ones do not overtake it.
type publishers struct {
	hub    *hub
	caller *brokerCaller
	ctx    context.Context // of the calls

	refusals chan struct{} // holds a value for each number that a broker is asked to refuse

	mu     sync.Mutex
	queues map[publisherTopic][]*publication // an entry exists while a goroutine works it off
}

func newPublishers(ctx context.Context, h *hub, caller *brokerCaller) *publishers {
	return &publishers{
		hub: h, caller: caller, ctx: ctx,
		refusals: make(chan struct{}, maxRefusals),
		queues:   map[publisherTopic][]*publication{},
	}
}

// maxQueued bounds the messages of one client on one topic that wait. Clients have
// a few at a time.
const maxQueued = 256

// add queues a message, which is answered when its outcome is known, or at its
// deadline. One that waits already gets the new answer in place of the former.
func (p *publishers) add(from publisherTopic, m *publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue, running := p.queues[from]
	if i := slices.IndexFunc(queue, func(q *publication) bool { return q.number == m.number }); i >= 0 {
		queue[i].reply(unknownFrame(from, m.number))
		queue[i].answer, queue[i].deadline = m.answer, m.deadline
		p.expireAtDeadline(from, queue[i])
		return
	}
	if len(queue) >= maxQueued {
		m.reply(linewire.AppendReject(nil, linewire.Publish, from.topic, m.number, linewire.Retry))
		return
	}
	p.queues[from] = append(queue, m)
	p.expireAtDeadline(from, m)
	if !running {
		p.caller.tasks.Go(func() { p.run(from) })
	}
}

// reply answers the client, once.
func (m *publication) reply(frame []byte) {
	if m.answer != nil {
		m.answer(frame)
		m.answer = nil
	}
}

// unknownFrame answers a message whose outcome nobody knows. It is right even where
// no broker has it: the client sends the same number again for as long as it cares,
// and after RETRY only a few times.
func unknownFrame(from publisherTopic, number int64) []byte {
	return linewire.AppendReject(nil, linewire.Publish, from.topic, number, linewire.Unknown)
}

// expireAtDeadline answers a message at its deadline, unless it is answered by then
// or the client has sent it again.
func (p *publishers) expireAtDeadline(from publisherTopic, m *publication) {
	deadline := m.deadline
	time.AfterFunc(time.Until(deadline), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if m.deadline.Equal(deadline) {
			m.reply(unknownFrame(from, m.number))
		}
	})
}

// run works off the messages of one client on one topic.
func (p *publishers) run(from publisherTopic) {
	for {
		batch := p.next(from)
		if len(batch) == 0 {
			return
		}
		if undecided := p.handleOutcomes(from, batch, p.callBroker(from, batch)); undecided {
			// A new placement may name a broker that accepts.
			timeutil.SleepUntil(p.ctx, p.hub.timing.retry(), p.caller.node.PlacementChanged())
		}
	}
}

// Bounds of one call.
const (
	maxBatch      = 64
	maxBatchBytes = 64 << 10
)

// next returns the messages of the next call. If there are none, it ends the entry.
func (p *publishers) next(from publisherTopic) []*publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[from]
	if len(queue) == 0 {
		delete(p.queues, from)
		return nil
	}
	n, size := 0, 0
	for n < len(queue) && n < maxBatch && (n == 0 || size+len(queue[n].body) <= maxBatchBytes) {
		size += len(queue[n].body)
		n++
	}
	return slices.Clone(queue[:n])
}

// handleOutcomes answers the messages whose outcome is known, and drops those for which
// nobody waits any more. It reports whether others are left of the call.
func (p *publishers) handleOutcomes(from publisherTopic, batch []*publication, outcomes []topic.Outcome) (undecided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	done := map[*publication]bool{}
	for i, m := range batch {
		switch outcomes[i] {
		case topic.Accepted:
			m.reply(linewire.AppendAck(nil, from.topic, m.number))
			done[m] = true
		case topic.Superseded:
			m.reply(linewire.AppendReject(nil, linewire.Publish, from.topic, m.number, linewire.Retry))
			done[m] = true
		default:
			if p.ctx.Err() != nil {
				m.reply(unknownFrame(from, m.number))
			}
			done[m] = m.answer == nil && now.Sub(m.deadline) > p.hub.timing.repeat() || p.ctx.Err() != nil
			undecided = undecided || !done[m]
		}
	}
	p.queues[from] = slices.DeleteFunc(p.queues[from], func(m *publication) bool { return done[m] })
	return undecided
}

// callBroker makes one call for messages of a client on a topic.
func (p *publishers) callBroker(from publisherTopic, batch []*publication) []topic.Outcome {
	number := p.hub.partitionOf(from.topic)
	store, address := p.hub.primaryOf(number)
	timeout := p.hub.timing.publishAttempt()
	request := topic.PublishRequest{
		Partition: number, Topic: from.topic, Publisher: from.publisher,
		Tenant: batch[0].tenant, RetentionMs: batch[0].retentionMs,
		WaitMs: (timeout * 9 / 10).Milliseconds(),
	}
	bodies := []byte{}
	for _, m := range batch {
		request.Messages = append(request.Messages, topic.Publication{Number: m.number, Length: len(m.body)})
		bodies = append(bodies, m.body...)
	}
	var out topic.PublishResponse
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go p.cancelWithPrimary(ctx, cancel, number, store)
	_, err := p.caller.call(ctx, store, address, topic.PathPublish, timeout, request, bodies, &out)
	if err == nil && len(out.Outcomes) == len(batch) {
		return out.Outcomes
	}
	return make([]topic.Outcome, len(batch)) // all are indeterminate
}

// cancelWithPrimary cancels a call to a broker when another store leads the
// partition.
func (p *publishers) cancelWithPrimary(ctx context.Context, cancel context.CancelFunc, number int, store string) {
	for {
		changed := p.caller.node.PlacementChanged()
		if primary, _ := p.hub.primaryOf(number); primary != store {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// authorize returns the space of a topic for a client with a secret, which may be
// empty; else why the client may not use the topic. Without needsKey, no client
// needs a secret.
func authorize(table *configuration.Table, name, secret string, needsKey bool) (*configuration.Route, linewire.Reason) {
	space := table.TopicSpace(name)
	if space == nil {
		return nil, linewire.NoSpace
	}
	if needsKey && !space.PublicAccess && table.TenantByKey(secret) == nil {
		return nil, linewire.Unauth
	}
	return space, ""
}

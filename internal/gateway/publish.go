package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/configuration"
	"saltreel/internal/linewire"
	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// publication is a message published by a client. publishers.mu guards the fields that change.
type publication struct {
	number      int64
	body        []byte
	tenant      string
	retentionMs int64
	account     *budget.Account // of the memory that the message takes; open until its outcome is known

	respond  func(frame []byte) // sends the response; nil if the client does not wait for one
	deadline time.Time          // deadline of the response
}

// publisherTopic identifies the publications of one client on one topic.
type publisherTopic struct{ publisher, topic string }

// publishers forwards publications to the brokers. The publications of one client on one topic
// are sent in order, and all that are queued are sent in one call. If the response deadline
// passes, the client gets UNKNOWN and retransmits the same number; meanwhile the message keeps
// its place in the queue, so that later ones do not overtake it.
type publishers struct {
	hub    *hub
	caller *brokerCaller
	ctx    context.Context // parent context of the calls

	refusals chan struct{} // semaphore for concurrent refuse calls

	mu     sync.Mutex
	queues map[publisherTopic][]*publication // an entry exists while a goroutine processes it
}

func newPublishers(ctx context.Context, h *hub, caller *brokerCaller) *publishers {
	return &publishers{
		hub: h, caller: caller, ctx: ctx,
		refusals: make(chan struct{}, maxRefusals),
		queues:   map[publisherTopic][]*publication{},
	}
}

// maxQueued limits the queued messages of one client on one topic. Clients normally have only
// a few in flight.
const maxQueued = 256

// add queues a message, which is answered when its outcome is known or at its deadline. If the
// number is already queued, the earlier request is answered with UNKNOWN and the new one waits
// for the outcome.
func (p *publishers) add(from publisherTopic, m *publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue, running := p.queues[from]
	if i := slices.IndexFunc(queue, func(q *publication) bool { return q.number == m.number }); i >= 0 {
		queue[i].reply(unknownFrame(from, m.number))
		queue[i].respond, queue[i].deadline = m.respond, m.deadline
		p.expireAtDeadline(from, queue[i])
		m.account.Close()
		return
	}
	if len(queue) >= maxQueued {
		m.reply(unknownFrame(from, m.number)) // an earlier attempt of the number may have been accepted
		m.account.Close()
		return
	}
	p.queues[from] = append(queue, m)
	p.expireAtDeadline(from, m)
	if !running {
		p.caller.tasks.Go(func() { p.run(from) })
	}
}

// reply sends the response to the client, at most once.
func (m *publication) reply(frame []byte) {
	if m.respond != nil {
		m.respond(frame)
		m.respond = nil
	}
}

// unknownFrame returns the response for a message whose outcome is unknown. It is also correct
// if no broker has the message: after UNKNOWN the client retransmits the same number for as
// long as it needs to, after RETRY only a few times.
func unknownFrame(from publisherTopic, number int64) []byte {
	return linewire.AppendReject(nil, linewire.Publish, from.topic, number, linewire.Unknown)
}

// expireAtDeadline answers a message with UNKNOWN at its deadline, unless it has been answered
// or retransmitted by then.
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

// run sends the queued messages of one client on one topic.
func (p *publishers) run(from publisherTopic) {
	for {
		batch := p.nextBatch(from)
		if len(batch) == 0 {
			return
		}
		if undecided := p.handleOutcomes(from, batch, p.callBroker(from, batch)); undecided {
			// A new placement may name another primary, so it ends the delay.
			timeutil.SleepUntil(p.ctx, p.hub.timing.retryDelay(), p.caller.node.PlacementChanged())
		}
	}
}

// Limits of one publish call.
const (
	maxBatch      = 64
	maxBatchBytes = 64 << 10
)

// nextBatch returns the messages of the next call. If there are none, it removes the queue.
func (p *publishers) nextBatch(from publisherTopic) []*publication {
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

// handleOutcomes answers the messages whose outcome is known, and drops those that the client
// has given up. It reports whether any messages of the batch remain.
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
			done[m] = m.respond == nil && now.Sub(m.deadline) > p.hub.timing.retransmitWindow() || p.ctx.Err() != nil
			undecided = undecided || !done[m]
		}
		if done[m] {
			m.account.Close()
		}
	}
	p.queues[from] = slices.DeleteFunc(p.queues[from], func(m *publication) bool { return done[m] })
	return undecided
}

// callBroker makes one publish call and returns the outcomes.
func (p *publishers) callBroker(from publisherTopic, batch []*publication) []topic.Outcome {
	number := p.hub.partitionOf(from.topic)
	store, address := p.hub.primaryOf(number)
	timeout := p.hub.timing.publishCallTimeout()
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
	go p.cancelOnPrimaryChange(ctx, cancel, number, store)
	err := p.caller.callForClient(ctx, store, address, topic.PathPublish, timeout, request, bodies, &out)
	if err == nil && len(out.Outcomes) == len(batch) {
		return out.Outcomes
	}
	return make([]topic.Outcome, len(batch)) // all Indeterminate
}

// cancelOnPrimaryChange cancels a call when another store becomes the primary of the
// partition.
func (p *publishers) cancelOnPrimaryChange(ctx context.Context, cancel context.CancelFunc, number int, store string) {
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

// authorize returns the space of a topic if a client with the given secret, which may be
// empty, may use it, and otherwise the reason for the rejection. If needsKey is false, clients
// need no secret.
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

package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/linewire"
	"saltreel/internal/rpc"
	"saltreel/internal/topic"
)

// publication is one message of a client that waits for its answer.
type publication struct {
	number      int64
	body        []byte
	tenant      string
	retentionMs int64
	deadline    time.Time
	answer      func(frame []byte)
}

// publisherTopic is a client on one topic.
type publisherTopic struct{ publisher, topic string }

// publishers brings messages to the brokers: those of one client on one topic in
// order, all that wait in one call.
type publishers struct {
	hub    *hub
	caller *brokerCaller
	ctx    context.Context // of the calls

	mu      sync.Mutex
	waiting map[publisherTopic][]*publication // an entry exists while a goroutine works it off
}

func newPublishers(ctx context.Context, h *hub, caller *brokerCaller) *publishers {
	return &publishers{hub: h, caller: caller, ctx: ctx, waiting: map[publisherTopic][]*publication{}}
}

// add queues a message, whose answer comes when it is known.
func (p *publishers) add(from publisherTopic, m *publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, running := p.waiting[from]
	p.waiting[from] = append(list, m)
	if !running {
		p.caller.tasks.Go(func() { p.run(from) })
	}
}

// run works off the messages of one client on one topic.
func (p *publishers) run(from publisherTopic) {
	var undecided []*publication
	for {
		batch, more := p.take(from, undecided)
		if !more {
			return
		}
		undecided = p.publish(from, batch)
		if len(undecided) > 0 {
			p.waitForRetry(undecided)
		}
	}
}

// Bounds of one call.
const (
	maxBatch      = 64
	maxBatchBytes = 64 << 10
)

// take returns the messages of the next call: those that are undecided, and those
// that came since. Without any, it ends the entry.
func (p *publishers) take(from publisherTopic, undecided []*publication) (batch []*publication, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(undecided, p.waiting[from]...)
	if len(list) == 0 {
		delete(p.waiting, from)
		return nil, false
	}
	n, size := 0, 0
	for n < len(list) && n < maxBatch && (n == 0 || size+len(list[n].body) <= maxBatchBytes) {
		size += len(list[n].body)
		n++
	}
	p.waiting[from] = append([]*publication(nil), list[n:]...)
	return list[:n:n], true
}

// publish makes one call, and answers the messages whose outcome is known or whose
// time is over. It returns the others.
func (p *publishers) publish(from publisherTopic, batch []*publication) (undecided []*publication) {
	outcomes := p.callBroker(from, batch)
	now := time.Now()
	for i, m := range batch {
		switch outcomes[i] {
		case topic.Accepted:
			m.answer(linewire.AppendAck(nil, from.topic, m.number))
			continue
		case topic.Superseded:
			m.answer(linewire.AppendReject(nil, linewire.Publish, from.topic, m.number, linewire.Retry))
			continue
		}
		// UNKNOWN is right even where no broker has it: the client sends the same
		// number again for as long as it cares, and after RETRY only a few times.
		if !now.Before(m.deadline) || p.ctx.Err() != nil {
			m.answer(linewire.AppendReject(nil, linewire.Publish, from.topic, m.number, linewire.Unknown))
			continue
		}
		undecided = append(undecided, m)
	}
	return undecided
}

// callBroker makes one call for messages of a client on a topic.
func (p *publishers) callBroker(from publisherTopic, batch []*publication) []topic.Outcome {
	number := p.hub.partitionOf(from.topic)
	store, address := p.hub.primaryOf(number)
	timeout := min(p.hub.timing.publishAttempt(), time.Until(batch[0].deadline))
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
	_, err := p.caller.callWith(p.ctx, store, address, topic.PathPublish, timeout, request, bodies, &out)
	if err == nil && len(out.Outcomes) == len(batch) {
		return out.Outcomes
	}
	outcomes := make([]topic.Outcome, len(batch)) // indeterminate
	if err != nil && storedNothing(err) {
		for i := range outcomes {
			outcomes[i] = topic.NotStored
		}
	}
	return outcomes
}

// storedNothing reports whether the error of a call to publish says that nothing
// was stored.
func storedNothing(err error) bool {
	switch rpc.StatusCode(err) {
	case http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		return true
	case 0:
		return httpwire.NotSent(err)
	}
	return false
}

// isSilence reports whether a call failed without an answer.
func isSilence(err error) bool { return rpc.StatusCode(err) == 0 }

// waitForRetry waits until a broker may be asked again: for a moment, or until
// there is a new placement, or the time of the first message is over.
func (p *publishers) waitForRetry(undecided []*publication) {
	delay := min(p.hub.timing.retry(), time.Until(undecided[0].deadline))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.caller.node.PlacementChanged():
	case <-p.ctx.Done():
	}
}

// judge returns the space of a topic for a client with a secret, which may be
// empty; else why the client may not use the topic. Without needsKey, no client
// needs a secret.
func judge(table *configuration.Table, name, secret string, needsKey bool) (*configuration.Route, linewire.Reason) {
	space := table.Space(name)
	if space == nil {
		return nil, linewire.NoSpace
	}
	if needsKey && !space.PublicAccess && table.TenantOfKey(secret) == nil {
		return nil, linewire.Unauth
	}
	return space, ""
}

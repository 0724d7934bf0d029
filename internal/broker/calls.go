package broker

import (
	"context"
	"errors"
	"slices"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// handlePublish stores messages of a publisher. It responds when their outcomes are known or
// the gateway's wait time is over.
func (b *Broker) handlePublish(ctx context.Context, in *topic.PublishRequest, raw []byte) (*topic.PublishResponse, error) {
	records, err := b.newRecords(in, raw)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	accepting, refused := b.beginPublish(records)
	defer b.endPublish(accepting)
	errs := b.config.Partitions.AcceptAll(ctx, in.Partition, accepting)
	out := &topic.PublishResponse{}
	for _, isRefused := range refused {
		if isRefused {
			out.Outcomes = append(out.Outcomes, topic.Superseded)
			continue
		}
		out.Outcomes = append(out.Outcomes, outcomeFromError(errs[0]))
		errs = errs[1:]
	}
	return out, nil
}

// newRecords returns the log records for a request. Their expiry is by this store's clock.
func (b *Broker) newRecords(in *topic.PublishRequest, raw []byte) ([]*partition.Record, error) {
	expires := b.config.Partitions.Now() + in.RetentionMs + b.timing.extraRetention().Milliseconds()
	var records []*partition.Record
	for _, m := range in.Messages {
		if m.Length < 0 || m.Length > len(raw) {
			return nil, topic.ErrTruncated
		}
		records = append(records, &partition.Record{
			Topic: in.Topic, Publisher: in.Publisher, Number: m.Number, Tenant: in.Tenant,
			Expires: expires, Body: raw[:m.Length:m.Length],
		})
		raw = raw[m.Length:]
	}
	return records, nil
}

// outcomeFromError maps the error of an accept to the outcome for the publisher.
func outcomeFromError(err error) topic.Outcome {
	switch {
	case err == nil:
		return topic.Accepted
	case errors.Is(err, partition.ErrSuperseded):
		return topic.Superseded
	case partition.CertainlyNotStored(err):
		return topic.NotStored
	default:
		return topic.Indeterminate
	}
}

// handleFollow changes the set of topics that a gateway follows.
func (b *Broker) handleFollow(_ context.Context, in *topic.FollowRequest, _ []byte) (*topic.FollowResponse, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.Begin {
		b.endSessionLocked(in.Gateway)
		b.sessions[in.Gateway] = newSession(in.Session)
	}
	s := b.sessions[in.Gateway]
	if s == nil || s.id != in.Session || s.ended {
		return &topic.FollowResponse{Unknown: true}, nil, nil
	}
	s.lastSeen = time.Now()
	for _, name := range in.Unfollow {
		delete(s.topics, name)
		b.topics.unfollow(name, s)
	}
	out := &topic.FollowResponse{}
	bodies, size, maxBytes := []byte{}, 0, responseLimit(in.MaxBytes)
	for _, f := range in.Follow {
		state := topic.TopicState{Deferred: true}
		if size < maxBytes {
			state = b.followLocked(s, f, in.MaxBacklog)
		}
		for _, e := range state.Entries {
			size += entryOverhead + e.Length
			bodies = append(bodies, e.Body...)
		}
		out.Topics = append(out.Topics, state)
	}
	for name, n := range in.Counts {
		b.setCountLocked(s, name, n)
	}
	return out, bodies, nil
}

// followLocked adds a topic to a session. Messages up to End are returned now if requested;
// later ones are returned by polls.
func (b *Broker) followLocked(s *session, f topic.FollowedTopic, maxBacklog int) topic.TopicState {
	if !b.topics.isReady(f.Partition) {
		return topic.TopicState{NotReady: true}
	}
	t := b.topics.get(f.Partition, f.Topic)
	s.topics[f.Topic] = true
	t.followers[s] = true
	b.setCountLocked(s, f.Topic, f.Subscribers)
	state := topic.TopicState{End: t.end(), Floor: t.floor}
	if f.Replay {
		var newest []*partition.Record
		state.Skipped, newest = newestWithin(partition.EntriesAfter(t.entries, f.After), maxBacklog)
		state.Entries = newEntries(newest)
	}
	return state
}

// newestWithin returns the newest records whose total size is within maxBytes, at least one,
// and the position of the last omitted record. A limit of 0 means no limit.
func newestWithin(records []*partition.Record, maxBytes int) (skipped partition.Position, newest []*partition.Record) {
	if maxBytes <= 0 {
		return partition.Position{}, records
	}
	size := 0
	for i, r := range slices.Backward(records) {
		size += entryBytes(r)
		if size > maxBytes && i < len(records)-1 {
			return r.Position(), records[i+1:]
		}
	}
	return partition.Position{}, records
}

func newEntries(records []*partition.Record) []topic.Entry {
	var entries []topic.Entry
	for _, r := range records {
		entries = append(entries, topic.NewEntry(r))
	}
	return entries
}

// handleRead returns a page of a topic's messages, for subscribers that are far behind.
func (b *Broker) handleRead(_ context.Context, in *topic.ReadRequest, _ []byte) (*topic.ReadResponse, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.topics.isReady(in.Partition) {
		return nil, nil, errNotReady
	}
	t := b.topics.byName[in.Topic]
	if t == nil {
		return &topic.ReadResponse{}, []byte{}, nil
	}
	out := &topic.ReadResponse{End: t.end(), Floor: t.floor}
	bodies, size, maxBytes := []byte{}, 0, responseLimit(in.MaxBytes)
	for _, r := range partition.EntriesAfter(t.entries, in.After) {
		size += entryBytes(r)
		if size > maxBytes && len(out.Entries) > 0 {
			break
		}
		out.Entries = append(out.Entries, topic.NewEntry(r))
		bodies = append(bodies, r.Body...)
	}
	return out, bodies, nil
}

func (b *Broker) setCountLocked(s *session, name string, subscribers int) {
	t := b.topics.byName[name]
	if t == nil {
		return
	}
	if subscribers == 0 {
		delete(t.subscribers, s)
		return
	}
	t.subscribers[s] = subscribers
}

// handlePoll returns the next messages of a session, waiting until there are any.
func (b *Broker) handlePoll(ctx context.Context, in *topic.PollRequest, _ []byte) (*topic.PollResponse, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	s := b.beginPoll(in)
	if s == nil {
		return &topic.PollResponse{Unknown: true}, nil, nil
	}
	for {
		out, bodies, changed := b.nextPollResponse(s, responseLimit(in.MaxBytes), ctx.Err() != nil)
		if out != nil {
			return out, bodies, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// beginPoll returns the session for a poll, or nil if the session is unknown or the poll is
// out of sequence.
func (b *Broker) beginPoll(in *topic.PollRequest) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sessions[in.Gateway]
	if s == nil || s.id != in.Session || s.ended || s.polling || in.Number != s.lastPoll+1 {
		return nil
	}
	s.lastPoll = in.Number
	s.polling = true
	return s
}

// nextPollResponse returns the response to a poll of the session. If there is nothing to
// return and the poll may wait, it returns nil and a channel that is closed when to check
// again.
func (b *Broker) nextPollResponse(s *session, maxBytes int, waitExpired bool) (*topic.PollResponse, []byte, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.ended && !waitExpired && len(s.outbox) == 0 && len(s.lostPartitions) == 0 {
		return nil, nil, s.changed
	}
	s.polling = false
	s.lastSeen = time.Now()
	out := &topic.PollResponse{Unknown: s.ended, LostPartitions: s.lostPartitions}
	s.lostPartitions = nil
	bodies := []byte{}
	for _, r := range s.take(maxBytes) {
		out.Entries = append(out.Entries, topic.NewEntry(r))
		bodies = append(bodies, r.Body...)
	}
	return out, bodies, nil
}

// handleCount returns the number of subscribers of a topic.
func (b *Broker) handleCount(_ context.Context, in *topic.CountRequest, _ []byte) (*topic.CountResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.topics.isReady(in.Partition) {
		return nil, errNotReady
	}
	out := &topic.CountResponse{}
	if t := b.topics.byName[in.Topic]; t != nil {
		out.Count = t.count()
	}
	return out, nil
}

package gateway

import (
	"context"
	"slices"

	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// A subscription that lacks more than the recent messages of its topic is behind: one whose
// client was away for long, or takes messages more slowly than they come. What it lacks is
// read from the broker in pages, as its client takes them, until the recent ones are enough.
// So what waits for a client is bounded, and what it may have missed is not.
//
// A page serves all subscriptions that have come as far: those who were away together are
// served together.

// backlog is the subscriptions of a feed that are behind, and the page that was read last. It
// has no lock: the hub's mu guards it.
type backlog struct {
	subscriptions []*subscription // the one that a page was read for last comes last
	page          page
	reading       bool
	startReading  func(f *feed)
	wake          chan struct{} // holds a value when there may be something to read
}

func newBacklog(startReading func(f *feed)) backlog {
	return backlog{startReading: startReading, wake: make(chan struct{}, 1)}
}

func (b *backlog) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// page is messages of a topic without a gap.
type page struct {
	after, through partition.Position // it has all messages after the one, up to the other
	messages       []*message
}

// hasNext reports whether the page has what follows a position.
func (p *page) hasNext(cursor partition.Position) bool {
	return !p.after.After(cursor) && p.through.After(cursor)
}

// fallBehind has a subscription get what it lacks from the backlog.
func (f *feed) fallBehind(s *subscription) {
	if s.behind {
		return
	}
	s.behind = true
	f.backlog.subscriptions = append(f.backlog.subscriptions, s)
	if f.backlog.reading {
		f.backlog.wakeUp()
		return
	}
	f.backlog.reading = true
	f.backlog.startReading(f)
}

// backlogProgress is how far a subscription that is behind has come.
type backlogProgress int

const (
	caughtUp   backlogProgress = iota // it is behind no longer
	outboxFull                        // its client has to take what waits
	needsPage                         // what follows is not here
)

// advance sends a subscription that is behind what is here of what it lacks.
func (f *feed) advance(s *subscription) backlogProgress {
	for {
		isRecent := !f.recent.isTrimmedAfter(s.cursor)
		if !isRecent && !f.backlog.page.hasNext(s.cursor) {
			return needsPage
		}
		f.acknowledge(s)
		messages := f.backlog.page.messages
		if isRecent {
			messages = f.recent.after(s.cursor)
		}
		for _, m := range messages {
			if !s.deliver(m) {
				return outboxFull
			}
		}
		if isRecent {
			s.behind = false
			return caughtUp
		}
		s.cursor = f.backlog.page.through
	}
}

// serveBacklog sends the subscriptions that are behind what is here of what they lack. It
// returns the first that has room for a page, nil if there is none, and whether any is
// behind still.
func (f *feed) serveBacklog() (next *subscription, more bool) {
	b := &f.backlog
	b.subscriptions = slices.DeleteFunc(b.subscriptions, func(s *subscription) bool {
		if !f.subscriptions[s] {
			return true
		}
		switch f.advance(s) {
		case caughtUp:
			return true
		case needsPage:
			if next == nil && s.client.hasRoom() {
				next = s
			}
		}
		return false
	})
	if len(b.subscriptions) == 0 {
		b.page = page{}
	}
	return next, len(b.subscriptions) > 0
}

// addPage takes the answer to a read for a subscription. It ends the subscriptions that lack
// messages that are deleted.
func (f *feed) addPage(reader *subscription, after partition.Position, r *topic.ReadResponse) {
	b := &f.backlog
	for _, s := range b.subscriptions {
		if f.subscriptions[s] && r.Floor.After(s.cursor) {
			delete(f.subscriptions, s)
			s.client.reject(s, linewire.Expired)
		}
	}
	b.page = page{after: after, through: r.End}
	for _, e := range r.Entries {
		b.page.messages = append(b.page.messages, newMessage(e))
		b.page.through = e.Position
	}
	if len(r.Entries) == 0 && f.recent.trimmed.After(r.End) {
		b.page.through = f.recent.trimmed // there is nothing before it
	}
	if at := slices.Index(b.subscriptions, reader); at >= 0 {
		b.subscriptions = append(slices.Delete(b.subscriptions, at, at+1), reader)
	}
}

// resumeBacklogs reads on for subscriptions whose client has room again.
func (h *hub) resumeBacklogs(subscriptions []*subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range subscriptions {
		if f := h.feeds[s.topic]; f != nil && s.behind {
			f.backlog.wakeUp()
		}
	}
}

// maxPageBytes bounds the messages of one page, but for a single one.
const maxPageBytes = 64 << 10

// maxReads bounds the pages that are read from one broker at once.
const maxReads = 4

// pageBytes is about how much one page may have, so that the pages that are read at once
// don't occupy the link for long.
func (h *hub) pageBytes() int {
	if bytes := h.responseBytes(); bytes > 0 {
		return min(maxPageBytes, bytes/maxReads)
	}
	return maxPageBytes
}

// readBacklog reads the backlog of a feed until nobody is behind, or ctx ends.
func (h *hub) readBacklog(ctx context.Context, caller *brokerCaller, f *feed) {
	for ctx.Err() == nil {
		next, more := h.nextPage(f)
		switch {
		case !more:
			return
		case next == nil:
			select {
			case <-f.backlog.wake:
			case <-ctx.Done():
			}
		default:
			if err := h.readPage(ctx, caller, f, next); err != nil {
				timeutil.Sleep(ctx, h.timing.retryDelay())
			}
		}
	}
}

// pageRead is a page that is to be read.
type pageRead struct {
	reader  *subscription
	request topic.ReadRequest
	link    *brokerLink
	address string
}

// nextPage serves those who are behind with what is here. It returns what to read next, nil
// if nobody has room for it, and whether anyone is behind still; if not, the reading ends.
func (h *hub) nextPage(f *feed) (next *pageRead, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reader, more := f.serveBacklog()
	if !more {
		f.backlog.reading = false
		return nil, false
	}
	if reader == nil {
		return nil, true
	}
	request := topic.ReadRequest{Topic: f.topic, Partition: f.partition, After: reader.cursor, MaxBytes: h.pageBytes()}
	return &pageRead{reader, request, f.link, f.link.address}, true
}

// readPage reads one page and gives it to the feed.
func (h *hub) readPage(ctx context.Context, caller *brokerCaller, f *feed, p *pageRead) error {
	select {
	case p.link.readSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.link.readSlots }()
	var out topic.ReadResponse
	raw, err := caller.call(ctx, p.link.store, p.address, topic.PathRead, h.timing.followTimeout(), p.request, nil, &out)
	if err == nil {
		_, err = topic.SetBodies(out.Entries, raw)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f.addPage(p.reader, p.request.After, &out)
	return nil
}

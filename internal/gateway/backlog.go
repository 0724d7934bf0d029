package gateway

import (
	"context"
	"errors"
	"slices"

	"saltreel/internal/budget"
	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// A subscription that lacks more than the recent messages of its topic is behind: its client
// was disconnected for long, or reads more slowly than messages arrive. The missing messages
// are read from the broker in pages, as the client reads them, until the recent ones suffice.
// So the queue of a client is bounded, but the number of messages it can catch up on is not.
//
// A page serves all subscriptions that have reached its start, so clients that were
// disconnected at the same time share pages.

// backlog holds the subscriptions of a feed that are behind, and the page read last. It has no
// lock of its own: hub.mu guards it.
type backlog struct {
	subscriptions []*subscription // round-robin: the one last read for is at the end
	page          page
	reading       bool
	startReading  func(f *feed)
	wake          chan struct{} // receives a value when there may be a page to read
	account       *budget.Account
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

// page is a contiguous range of messages of a topic.
type page struct {
	after, through partition.Position // contains all messages after the first position, up to the second
	messages       []*message
	reserved       int // bytes
}

// hasNext reports whether the page contains the messages that follow a position.
func (p *page) hasNext(cursor partition.Position) bool {
	return !p.after.After(cursor) && p.through.After(cursor)
}

// fallBehind makes a subscription get the messages that it lacks from the backlog.
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

// backlogProgress is the result of advancing a subscription that is behind.
type backlogProgress int

const (
	caughtUp   backlogProgress = iota // no longer behind
	outboxFull                        // the client has to read queued messages first
	needsPage                         // the next messages have to be read
)

// advance sends a subscription that is behind the available messages that it lacks.
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

// serveBacklog advances all subscriptions that are behind. It returns the first that needs a
// page and has room for it, or nil, and whether any subscription is still behind.
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
		b.setPage(page{})
	}
	return next, len(b.subscriptions) > 0
}

// setPage replaces the page. Its memory was reserved.
func (b *backlog) setPage(next page) {
	b.account.Release(b.page.reserved)
	b.page = next
}

// addPage stores the page read for a subscription. It rejects subscriptions whose missing
// messages were deleted.
func (f *feed) addPage(reader *subscription, after partition.Position, r *topic.ReadResponse, reserved int) {
	b := &f.backlog
	for _, s := range b.subscriptions {
		if f.subscriptions[s] && r.Floor.After(s.cursor) {
			delete(f.subscriptions, s)
			s.client.reject(s, linewire.Expired)
		}
	}
	b.setPage(page{after: after, through: r.End, reserved: reserved})
	for _, e := range r.Entries {
		b.page.messages = append(b.page.messages, newMessage(e))
		b.page.through = e.Position
	}
	if len(r.Entries) == 0 && f.recent.trimmed.After(r.End) {
		b.page.through = f.recent.trimmed // there are no messages in between
	}
	if at := slices.Index(b.subscriptions, reader); at >= 0 {
		b.subscriptions = append(slices.Delete(b.subscriptions, at, at+1), reader)
	}
}

// resumeBacklogs resumes reading for subscriptions whose client has room again.
func (h *hub) resumeBacklogs(subscriptions []*subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range subscriptions {
		if f := h.feeds[s.topic]; f != nil && s.behind {
			f.backlog.wakeUp()
		}
	}
}

// maxPageBytes limits the messages of one page; a larger message is read on its own.
const maxPageBytes = 64 << 10

// pageCopies is how many times the size of a page reading it takes: as received, and as frames.
const pageCopies = 2

var errNoMemory = errors.New("no memory for a page of the backlog")

// maxReads limits the concurrent page reads from one broker.
const maxReads = 4

// pageBytes returns the approximate size limit of a page, so that concurrent reads do not
// occupy the link for long.
func (h *hub) pageBytes() int {
	if bytes := h.responseBytes(); bytes > 0 {
		return min(maxPageBytes, bytes/maxReads)
	}
	return maxPageBytes
}

// readBacklog reads the backlog of a feed until no subscription is behind, or ctx ends.
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

// pageRead is a page read to perform.
type pageRead struct {
	reader  *subscription
	request topic.ReadRequest
	link    *brokerLink
	address string
}

// nextPage advances the subscriptions that are behind. It returns the next page to read, or
// nil if no client has room for it, and whether any subscription is still behind. If none is,
// reading ends.
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

// readPage reads one page and adds it to the feed.
func (h *hub) readPage(ctx context.Context, caller *brokerCaller, f *feed, p *pageRead) error {
	select {
	case p.link.readSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.link.readSlots }()
	reserved := pageCopies * p.request.MaxBytes
	if !f.account.Reserve(reserved) {
		return errNoMemory
	}
	var out topic.ReadResponse
	raw, err := caller.call(ctx, p.link.store, p.address, topic.PathRead, h.timing.followTimeout(), p.request, nil, &out)
	if err == nil {
		_, err = topic.SetBodies(out.Entries, raw)
	}
	if err != nil {
		f.account.Release(reserved)
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f.addPage(p.reader, p.request.After, &out, reserved)
	return nil
}

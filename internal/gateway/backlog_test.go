package gateway

import (
	"io"
	"log"
	"slices"
	"testing"

	"saltreel/internal/linewire"
	"saltreel/internal/placement"
)

// newFeedWithHistory returns a live feed, and its broker with the given number of messages, of
// which the feed has the recent ones.
func newFeedWithHistory(messages int) (*modelBroker, *feed) {
	b := &modelBroker{maxBacklog: maxRecentMessages}
	f := newFeed("t", 0, ignoreBacklog)
	f.add(subscribeAt(&recorder{}, true, 0))
	f.applyJoin(b.answer(f.joinRequest(1)))
	for range messages {
		b.publish()
		f.deliver(b.entry(b.last))
	}
	return b, f
}

// Guards against disconnecting a subscriber that missed more than its queue holds
// (docs/incidents/large-backlog.md). It gets all messages as it reads them; subscribers at the
// same position share pages, and messages that arrive in the meantime follow.
func TestBacklogIsSentAsItIsTaken(t *testing.T) {
	b, f := newFeedWithHistory(1000)
	m := &feedModel{broker: b, feed: f}
	quick, slow := &recorder{}, &recorder{room: 5}
	f.add(subscribeAt(quick, true, 10))
	f.add(subscribeAt(slow, true, 10))
	reads := 0
	for m.read(50) {
		reads++
		b.publish()
		f.deliver(b.entry(b.last))
	}
	if first := quick.orders()[0]; first != 11 || len(quick.orders()) != int(b.last)-10 {
		t.Errorf("the fast client got %d messages from %d on, of %d", len(quick.orders()), first, b.last)
	}
	if !slices.Equal(slow.orders(), []int64{11, 12, 13, 14, 15}) {
		t.Errorf("the slow client got %v", slow.orders())
	}
	if most := 1000/50 + 1; reads > most {
		t.Errorf("read %d pages", reads)
	}
	slow.full, slow.room = false, 0
	for m.read(50) {
	}
	if len(slow.orders()) != int(b.last)-10 || !slices.IsSorted(slow.orders()) {
		t.Errorf("the slow client got %d messages in total", len(slow.orders()))
	}
	if f.backlog.page.messages != nil || len(f.backlog.subscriptions) > 0 {
		t.Errorf("the backlog still holds %d messages and %d subscriptions", len(f.backlog.page.messages), len(f.backlog.subscriptions))
	}
}

// The retention may pass the cursor of a subscription that is behind, before and after its OK.
func TestBacklogExpires(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b, f := newFeedWithHistory(500)
		m := &feedModel{broker: b, feed: f}
		to := &recorder{room: 10}
		f.add(subscribeAt(to, true, 10))
		if answered {
			m.read(50)
			to.full, to.room = false, 0
			f.backlog.page = page{} // a page for another subscription replaced it
		}
		b.floor = 100
		m.read(50)
		if to.rejected != linewire.Expired || m.read(50) {
			t.Errorf("acknowledged %v: rejected with %q", answered, to.rejected)
		}
	}
}

// A subscription that ends while it is behind gets no more messages, and reading stops.
func TestBacklogOfAnEndedSubscription(t *testing.T) {
	b, f := newFeedWithHistory(500)
	m := &feedModel{broker: b, feed: f}
	to := &recorder{room: 10}
	s := subscribeAt(to, true, 10)
	f.add(s)
	m.read(50)
	to.full, to.room = false, 0
	delete(f.subscriptions, s)
	if next, more := f.serveBacklog(); next != nil || more || len(to.orders()) != 10 {
		t.Errorf("got %d messages, reading continues: %v", len(to.orders()), more)
	}
}

// A live subscriber that reads more slowly than messages arrive falls behind instead of being
// disconnected.
func TestLiveSubscriberWithoutRoomFallsBehind(t *testing.T) {
	b, f := newFeedWithHistory(0)
	m := &feedModel{broker: b, feed: f}
	to := &recorder{room: 3}
	f.add(subscribeAt(to, true, 0))
	for range 300 {
		b.publish()
		f.deliver(b.entry(b.last))
	}
	to.full, to.room = false, 0
	for m.read(50) {
	}
	if len(to.orders()) != 300 || !slices.IsSorted(to.orders()) {
		t.Errorf("got %v", to.orders())
	}
}

// Thousands of subscribers that return at once share the pages and the memory of the messages.
func TestManyBehindShareTheirPages(t *testing.T) {
	b, f := newFeedWithHistory(1000)
	m := &feedModel{broker: b, feed: f}
	var all []*recorder
	for range 2000 {
		to := &recorder{}
		all = append(all, to)
		f.add(subscribeAt(to, true, 10))
	}
	reads := 0
	for m.read(100) {
		reads++
	}
	for _, to := range all {
		if len(to.orders()) != 990 {
			t.Fatalf("a subscriber got %d messages", len(to.orders()))
		}
	}
	if reads > 10 {
		t.Errorf("read %d pages for all subscribers", reads)
	}
}

// Pages are small enough that concurrent reads from all brokers do not occupy a slow link for
// long.
func TestPageBytes(t *testing.T) {
	p := &placement.Placement{Stores: map[string]placement.Store{"a": {}, "b": {}, "c": {}}}
	for _, c := range []struct {
		mbps float64
		want int
	}{{0, maxPageBytes}, {1000, maxPageBytes}, {4, 4_000_000 / 8 * 6 / 12 / 3 / maxReads}} {
		h := newHub(timing{contact: 6e9}, func() *placement.Placement { return p }, log.New(io.Discard, "", 0), nil, nil)
		h.linkBytesPerS = c.mbps * 1e6 / 8
		if got := h.pageBytes(); got != c.want {
			t.Errorf("%v Mbit/s: pages of %d bytes, want %d", c.mbps, got, c.want)
		}
	}
}

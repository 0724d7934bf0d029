package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// recorder is a subscriber that keeps what it is sent.
type recorder struct {
	lines    []string
	rejected linewire.Reason
	full     bool // no message is taken
	room     int  // how many messages are taken until it is full; 0: any number
}

// ignoreBacklog is for feeds whose backlog the test reads itself, or that have none.
func ignoreBacklog(*feed) {}

func (r *recorder) deliver(m *message, _ bool) bool {
	if r.full {
		return false
	}
	r.send(m.frame)
	r.room--
	r.full = r.room == 0
	return true
}

func (r *recorder) hasRoom() bool { return !r.full }

func (r *recorder) send(frame []byte) {
	line, _, _ := strings.Cut(string(frame), "\r\n")
	r.lines = append(r.lines, line)
}

func (r *recorder) reject(_ *subscription, reason linewire.Reason) { r.rejected = reason }

func (r *recorder) isPresent() bool { return true }

// orders returns the orders of the messages that came, behind the OK.
func (r *recorder) orders() (orders []int64) {
	for _, line := range r.lines {
		fields := strings.Split(line, " ")
		if fields[0] != "DELIVER" {
			continue
		}
		at, err := partition.ParsePosition(fields[2])
		if err != nil {
			panic(err)
		}
		orders = append(orders, at.Order)
	}
	return orders
}

func at(order int64) partition.Position { return partition.Position{Epoch: 1, Order: order} }

// modelBroker is a broker of one topic whose every message has the next order.
type modelBroker struct {
	last   int64
	floor  int64
	polled []topic.Entry // on their way to the gateway

	maxBacklog int // messages in the answer to a join; 0: any number
}

func (b *modelBroker) entry(order int64) topic.Entry {
	e := topic.Entry{Topic: "t", Position: at(order), Publisher: "p", Number: order, Length: 1, Body: []byte("x")}
	if order > 1 {
		e.Previous = at(order - 1)
	}
	return e
}

func (b *modelBroker) publish() {
	b.last++
	b.polled = append(b.polled, b.entry(b.last))
}

// answer is the answer to a join: what was polled before is on its way still.
func (b *modelBroker) answer(r topic.FollowedTopic) topic.TopicState {
	state := topic.TopicState{}
	if b.last > 0 {
		state.End = at(b.last)
	}
	if b.floor > 0 {
		state.Floor = at(b.floor)
	}
	if r.Replay {
		for order := max(r.After.Order, b.floor) + 1; order <= b.last; order++ {
			state.Entries = append(state.Entries, b.entry(order))
		}
		if over := len(state.Entries) - b.maxBacklog; b.maxBacklog > 0 && over > 0 {
			state.Skipped = state.Entries[over-1].Position
			state.Entries = state.Entries[over:]
		}
	}
	return state
}

// read is the answer to a read of so many messages.
func (b *modelBroker) read(after partition.Position, messages int64) *topic.ReadResponse {
	r := &topic.ReadResponse{}
	if b.last > 0 {
		r.End = at(b.last)
	}
	if b.floor > 0 {
		r.Floor = at(b.floor)
	}
	first := max(after.Order, b.floor) + 1
	for order := first; order < first+messages && order <= b.last; order++ {
		r.Entries = append(r.Entries, b.entry(order))
	}
	return r
}

func subscribeAt(to *recorder, resumes bool, cursor int64) *subscription {
	s := &subscription{client: to, topic: "t", resumes: resumes}
	if resumes && cursor > 0 {
		s.cursor = at(cursor)
	}
	return s
}

func TestFeedJoinsAndDelivers(t *testing.T) {
	b := &modelBroker{}
	f := newFeed("t", 0, ignoreBacklog)
	fresh, resumed := &recorder{}, &recorder{}
	for range 5 {
		b.publish()
	}
	if !f.add(subscribeAt(fresh, false, 0)) || !f.add(subscribeAt(resumed, true, 2)) || len(fresh.lines) > 0 {
		t.Fatalf("a feed that has not joined answers %q", fresh.lines)
	}
	r := f.joinRequest(2)
	if !r.Replay || r.After != at(2) || r.Subscribers != 2 {
		t.Fatalf("asks for %+v", r)
	}
	b.publish()
	f.deliver(b.entry(6)) // overtakes the answer
	if f.applyJoin(b.answer(r)) {
		t.Fatal("joins again")
	}
	f.deliver(b.entry(6))
	f.deliver(b.entry(7))
	if want := []string{"OK SUBSCRIBE t 1-6", "DELIVER t 1-7 p 7 1"}; !slices.Equal(fresh.lines, want) {
		t.Errorf("without a cursor: %q", fresh.lines)
	}
	if resumed.lines[0] != "OK SUBSCRIBE t 1-2" || !slices.Equal(resumed.orders(), []int64{3, 4, 5, 6, 7}) {
		t.Errorf("with a cursor: %q", resumed.lines)
	}
	late := &recorder{}
	if f.add(subscribeAt(late, true, 4)) || !slices.Equal(late.orders(), []int64{5, 6, 7}) {
		t.Errorf("from what is recent: %q", late.lines)
	}
}

func TestFeedJoinsAgainWhereAMessageIsMissing(t *testing.T) {
	b := &modelBroker{}
	f := newFeed("t", 0, ignoreBacklog)
	to := &recorder{}
	f.add(subscribeAt(to, false, 0))
	f.applyJoin(b.answer(f.joinRequest(1)))
	for range 3 {
		b.publish()
	}
	if f.deliver(b.entry(1)) || !f.deliver(b.entry(3)) {
		t.Fatal("the gap is not seen")
	}
	if r := f.joinRequest(1); r.After != at(1) || f.applyJoin(b.answer(r)) {
		t.Fatalf("asked for %+v", r)
	}
	if !slices.Equal(to.orders(), []int64{1, 2, 3}) {
		t.Errorf("%q", to.lines)
	}
}

// More messages may come while the feed joins than it keeps: it asks for the rest.
func TestFeedJoinsAgainWhereTooManyMessagesCameEarly(t *testing.T) {
	b := &modelBroker{}
	f := newFeed("t", 0, ignoreBacklog)
	to := &recorder{}
	f.add(subscribeAt(to, true, 0))
	stale := b.answer(f.joinRequest(1))
	for range maxEarly + 5 {
		b.publish()
	}
	for _, e := range b.polled {
		f.deliver(e)
	}
	if !f.applyJoin(stale) || f.applyJoin(b.answer(f.joinRequest(1))) {
		t.Error("the feed does not join once more")
	}
	if got := len(to.orders()); got != maxEarly+5 {
		t.Errorf("%d of %d messages came", got, maxEarly+5)
	}
}

func TestSubscriptionIsExpiredOnlyWhereAMessageWasDeleted(t *testing.T) {
	for cursor, reason := range map[int64]linewire.Reason{2: linewire.Expired, 3: "", 9: ""} {
		b := &modelBroker{floor: 3, last: 5}
		f := newFeed("t", 0, ignoreBacklog)
		to := &recorder{}
		f.add(subscribeAt(to, true, cursor))
		f.applyJoin(b.answer(f.joinRequest(1)))
		if to.rejected != reason || (len(to.lines) == 0) != (reason != "") || len(f.subscriptions) != len(to.lines)-len(to.orders()) {
			t.Errorf("cursor %d: %q, rejected %q", cursor, to.lines, to.rejected)
		}
	}
}

// feedModel is a feed with its broker, its subscribers, and what is under way
// between them.
type feedModel struct {
	broker    *modelBroker
	feed      *feed
	recorders []*recorder
	firsts    []int64 // of each recorder: the first order it is owed; -1 without a cursor
	request   *topic.FollowedTopic
	mustJoin  bool
}

func (m *feedModel) ask() {
	if m.request == nil && m.mustJoin {
		r := m.feed.joinRequest(m.feed.subscribers())
		m.request, m.mustJoin = &r, false
	}
}

func (m *feedModel) answer() {
	if m.request != nil {
		m.mustJoin = m.feed.applyJoin(m.broker.answer(*m.request)) || m.mustJoin
		m.request = nil
	}
}

// poll delivers the next n messages of the broker.
func (m *feedModel) poll(n int) {
	for _, e := range m.broker.polled[:n] {
		m.mustJoin = m.feed.deliver(e) || m.mustJoin
	}
	m.broker.polled = m.broker.polled[n:]
}

func (m *feedModel) loseSession() {
	m.feed.rejoin()
	m.broker.polled, m.request, m.mustJoin = nil, nil, true
}

func (m *feedModel) subscribe(resumes bool, cursor int64) {
	to, first := &recorder{}, int64(-1)
	if resumes {
		first = cursor + 1
	}
	m.recorders, m.firsts = append(m.recorders, to), append(m.firsts, first)
	m.mustJoin = m.feed.add(subscribeAt(to, resumes, cursor)) || m.mustJoin
}

// read reads a page for the subscriptions that are behind, if there is any with room. It
// reports whether there was.
func (m *feedModel) read(messages int64) bool {
	next, _ := m.feed.serveBacklog()
	if next != nil {
		m.feed.addPage(next, next.cursor, m.broker.read(next.cursor, messages))
		m.feed.serveBacklog()
	}
	return next != nil
}

// finish brings all that is under way to its end.
func (m *feedModel) finish() {
	for _, to := range m.recorders {
		to.full, to.room = false, 0
	}
	for m.request != nil || m.mustJoin || len(m.broker.polled) > 0 {
		m.ask()
		m.answer()
		m.poll(len(m.broker.polled))
	}
	for m.read(100) {
	}
}

// Whatever order messages, answers, pages and losses of the session come in, whatever is
// still in memory, and whoever takes how much, each subscription gets each message after
// its cursor once and in order.
func TestFeedDeliversOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBacklog := rapid.IntRange(0, maxRecentMessages).Draw(t, "backlog")
		m := &feedModel{broker: &modelBroker{maxBacklog: maxBacklog}, feed: newFeed("t", 0, ignoreBacklog)}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				for range rapid.IntRange(1, maxRecentMessages).Draw(t, "messages") {
					m.broker.publish()
				}
			},
			"poll": func(t *rapid.T) {
				m.poll(rapid.IntRange(0, len(m.broker.polled)).Draw(t, "entries"))
			},
			"ask":              func(*rapid.T) { m.ask() },
			"answer":           func(*rapid.T) { m.answer() },
			"lose the session": func(*rapid.T) { m.loseSession() },
			"read":             func(t *rapid.T) { m.read(rapid.Int64Range(1, 200).Draw(t, "page")) },
			"take": func(t *rapid.T) {
				if len(m.recorders) > 0 {
					to := rapid.SampledFrom(m.recorders).Draw(t, "subscriber")
					to.full, to.room = rapid.Bool().Draw(t, "full"), rapid.IntRange(0, 100).Draw(t, "room")
				}
			},
			"subscribe": func(t *rapid.T) {
				m.subscribe(rapid.Bool().Draw(t, "resumes"), rapid.Int64Range(0, m.broker.last).Draw(t, "cursor"))
			},
		})
		m.finish()
		for i, to := range m.recorders {
			checkRecorder(t, to, m.firsts[i], m.broker.last)
		}
	})
}

// checkRecorder checks that a subscriber got all orders from first to last; from
// the one behind that of its OK, if first is -1.
func checkRecorder(t *rapid.T, to *recorder, first, last int64) {
	if len(to.lines) == 0 || !strings.HasPrefix(to.lines[0], "OK SUBSCRIBE t ") || to.rejected != "" {
		t.Fatalf("answered %q, rejected %q", to.lines, to.rejected)
	}
	if first < 0 {
		cursor, _ := partition.ParsePosition(strings.TrimPrefix(to.lines[0], "OK SUBSCRIBE t "))
		first = cursor.Order + 1
	}
	got := to.orders()
	for i, order := range got {
		if order != first+int64(i) {
			t.Fatalf("got %v from %d on", got, first)
		}
	}
	if int64(len(got)) != max(0, last-first+1) {
		t.Fatal(fmt.Sprintf("got %d messages from %d on, of %d", len(got), first, last))
	}
}

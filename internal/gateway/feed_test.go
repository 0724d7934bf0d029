package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"saltreel/internal/budget"
	"saltreel/internal/linewire"
	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// recorder is a subscriber that records what it receives.
type recorder struct {
	lines    []string
	rejected linewire.Reason
	full     bool // no message is accepted
	room     int  // messages accepted until it is full; 0: unlimited
}

// ignoreBacklog is for feeds without a backlog, or whose backlog the test reads itself.
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

// orders returns the orders of the received messages.
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

// modelBroker models a broker with one topic whose messages have consecutive orders.
type modelBroker struct {
	last   int64
	floor  int64
	polled []topic.Entry // in flight to the gateway

	maxBacklog int // messages in a join response; 0: unlimited
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

// answer returns the response to a join. Messages polled before may still be in flight.
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

// read returns the response to a read, with at most the given number of messages.
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
		t.Fatalf("a feed that has not joined sent %q", fresh.lines)
	}
	r := f.joinRequest(2)
	if !r.Replay || r.After != at(2) || r.Subscribers != 2 {
		t.Fatalf("join request %+v", r)
	}
	b.publish()
	f.deliver(b.entry(6)) // arrives before the join response
	if f.applyJoin(b.answer(r)) {
		t.Fatal("the feed has to join again")
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
		t.Errorf("from the recent messages: %q", late.lines)
	}
}

func TestFeedRejoinsOnMissingMessage(t *testing.T) {
	b := &modelBroker{}
	f := newFeed("t", 0, ignoreBacklog)
	to := &recorder{}
	f.add(subscribeAt(to, false, 0))
	f.applyJoin(b.answer(f.joinRequest(1)))
	for range 3 {
		b.publish()
	}
	if f.deliver(b.entry(1)) || !f.deliver(b.entry(3)) {
		t.Fatal("the gap is not detected")
	}
	if r := f.joinRequest(1); r.After != at(1) || f.applyJoin(b.answer(r)) {
		t.Fatalf("join request %+v, or the feed has to join again", r)
	}
	if !slices.Equal(to.orders(), []int64{1, 2, 3}) {
		t.Errorf("%q", to.lines)
	}
}

// More messages may arrive while the feed joins than it buffers: it joins again to get the
// rest.
func TestFeedRejoinsOnEarlyBufferOverflow(t *testing.T) {
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
		t.Error("the feed does not join exactly once more")
	}
	if got := len(to.orders()); got != maxEarly+5 {
		t.Errorf("got %d of %d messages", got, maxEarly+5)
	}
}

func TestSubscriptionExpiresOnlyIfMessagesWereDeleted(t *testing.T) {
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

// feedModel is a feed with its broker, its subscribers, and what is in flight between them.
type feedModel struct {
	broker    *modelBroker
	feed      *feed
	recorders []*recorder
	firsts    []int64 // for each recorder: the first order expected; -1 without a cursor
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

// read reads a page for the next subscription that needs one and has room. It reports whether
// there was one.
func (m *feedModel) read(messages int64) bool {
	next, _ := m.feed.serveBacklog()
	if next != nil {
		m.feed.addPage(next, next.cursor, m.broker.read(next.cursor, messages), 0)
		m.feed.serveBacklog()
	}
	return next != nil
}

// finish completes everything in flight.
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

// Each subscription gets each message after its cursor once and in order, for any interleaving
// of messages, responses, page reads and lost sessions, any set of cached messages, and any
// reading speed of the subscribers.
func TestFeedDeliversOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBacklog := rapid.IntRange(0, maxRecentMessages).Draw(t, "backlog")
		m := &feedModel{broker: &modelBroker{maxBacklog: maxBacklog}, feed: newFeed("t", 0, ignoreBacklog)}
		if rapid.Bool().Draw(t, "little memory") { // most of it is taken by other topics
			const bytes = 1000
			memory := budget.New(bytes, 0)
			memory.Open(bytes-rapid.IntRange(0, 400).Draw(t, "free bytes"), func() {})
			m.feed.useMemory(memory.Open(0, func() {}))
		}
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

// checkRecorder checks that a subscriber got all orders from first to last. If first is -1,
// the first is the one after the cursor of its OK.
func checkRecorder(t *rapid.T, to *recorder, first, last int64) {
	if len(to.lines) == 0 || !strings.HasPrefix(to.lines[0], "OK SUBSCRIBE t ") || to.rejected != "" {
		t.Fatalf("received %q, rejected %q", to.lines, to.rejected)
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

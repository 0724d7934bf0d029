package broker

import (
	"context"
	"errors"
	"io"
	"log"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// fakePartitions returns predefined outcomes and records what is stored. Tests apply events
// directly.
type fakePartitions struct {
	now          int64
	outcome      []error
	stored       []*partition.Record
	duringAccept func() // called by AcceptAll; may be nil
}

func (f *fakePartitions) Events() ([]partition.Event, <-chan struct{}) { return nil, nil }
func (f *fakePartitions) Now() int64                                   { return f.now }
func (f *fakePartitions) AcceptAll(_ context.Context, _ int, records []*partition.Record) []error {
	f.stored = append(f.stored, records...)
	if f.duringAccept != nil {
		f.duringAccept()
	}
	return f.outcome
}

func (f *fakePartitions) HoldsNumber(_ int, topic, publisher string, number int64) bool {
	return slices.ContainsFunc(f.stored, func(r *partition.Record) bool {
		return r.Topic == topic && r.Publisher == publisher && r.Number == number
	})
}

func newBroker(t *testing.T) (*Broker, *fakePartitions) {
	t.Helper()
	f := &fakePartitions{now: 1000}
	b, err := New(Config{Partitions: f, Log: log.New(io.Discard, "", 0), ContactTimeout: 4 * time.Second, Retransmit: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return b, f
}

func TestNewRefusesAnIncompleteConfig(t *testing.T) {
	for name, change := range map[string]func(c *Config){
		"no partitions":      func(c *Config) { c.Partitions = nil },
		"no log":             func(c *Config) { c.Log = nil },
		"no contact timeout": func(c *Config) { c.ContactTimeout = 0 },
		"no retransmission":  func(c *Config) { c.Retransmit = 0 },
	} {
		c := Config{Partitions: &fakePartitions{}, Log: log.Default(), ContactTimeout: 1, Retransmit: 1}
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// record returns the entry of topic t with the given order, which follows the entry with the
// preceding order.
func record(order int64, expires int64) *partition.Record {
	return &partition.Record{
		Epoch: 1, Order: order, Topic: "t", Publisher: "p", Number: order, Expires: expires, Body: []byte("x"),
		Previous: partition.Position{Epoch: 1, Order: order - 1},
	}
}

func becomePrimary(b *Broker, entries ...*partition.Record) {
	b.applyEvents([]partition.Event{{BecamePrimary: true}, {LogReady: true}, {Entries: entries}})
}

func follow(t *testing.T, b *Broker, in topic.FollowRequest) *topic.FollowResponse {
	t.Helper()
	in.Gateway = "g"
	out, raw, err := b.handleFollow(t.Context(), &in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := out.SetBodies(raw); err != nil {
		t.Fatal(err)
	}
	return out
}

// poll returns the orders of the next messages, and the response.
func poll(t *testing.T, b *Broker, session string, number int64) ([]int64, *topic.PollResponse) {
	t.Helper()
	out, raw, err := b.handlePoll(t.Context(), &topic.PollRequest{Gateway: "g", Session: session, Number: number, WaitMs: 100}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if rest, err := topic.SetBodies(out.Entries, raw); err != nil || len(rest) > 0 {
		t.Fatalf("%d bytes left, %v", len(rest), err)
	}
	var orders []int64
	for _, e := range out.Entries {
		orders = append(orders, e.Position.Order)
	}
	return orders, out
}

func TestSessionGetsEachMessageOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBroker(t)
		becomePrimary(b, record(1, 1e9), record(2, 1e9))
		out := follow(t, b, topic.FollowRequest{Session: "s", Begin: true, Follow: []topic.FollowedTopic{
			{Topic: "t", Replay: true, After: partition.Position{Epoch: 1, Order: 1}, Subscribers: 3},
			{Topic: "elsewhere", Partition: 7},
		}})
		if state := out.Topics[0]; state.End.Order != 2 || state.Floor.Order != 0 || len(state.Entries) != 1 || string(state.Entries[0].Body) != "x" {
			t.Errorf("topic state %+v", state)
		}
		if !out.Topics[1].NotReady {
			t.Error("a topic of a partition led elsewhere is followed")
		}
		becomePrimary(b)
		b.applyEvents([]partition.Event{{Entries: []*partition.Record{record(3, 1e9)}}})
		time.AfterFunc(50*time.Millisecond, func() {
			b.applyEvents([]partition.Event{{Entries: []*partition.Record{record(4, 1e9)}}})
		})
		for number, want := range [][]int64{{3}, {4}, nil} {
			if got, _ := poll(t, b, "s", int64(number+1)); !slices.Equal(got, want) {
				t.Errorf("poll %d returned %v, want %v", number+1, got, want)
			}
		}
		count, err := b.handleCount(t.Context(), &topic.CountRequest{Topic: "t"}, nil)
		if err != nil || count.Count != 3 {
			t.Errorf("%d subscribers, %v", count.Count, err)
		}
		if _, err := b.handleCount(t.Context(), &topic.CountRequest{Topic: "t", Partition: 7}, nil); statusCode(err) != 421 {
			t.Errorf("count of a partition led elsewhere: %v", err)
		}
	})
}

func TestPollRequiresCurrentSessionAndSequenceNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBroker(t)
		becomePrimary(b)
		begin := func(session string) {
			follow(t, b, topic.FollowRequest{Session: session, Begin: true, Follow: []topic.FollowedTopic{{Topic: "t"}}})
		}
		begin("a")
		for _, c := range []struct {
			session string
			number  int64
			unknown bool
		}{{"a", 2, true}, {"a", 1, false}, {"a", 1, true}, {"b", 2, true}, {"a", 2, false}} {
			if _, out := poll(t, b, c.session, c.number); out.Unknown != c.unknown {
				t.Errorf("poll %d of %s: unknown %v", c.number, c.session, out.Unknown)
			}
		}
		begin("b")
		if out := follow(t, b, topic.FollowRequest{Session: "a", Unfollow: []string{"t"}}); !out.Unknown {
			t.Error("a late request of a former session is applied")
		}
		b.applyEvents([]partition.Event{{Entries: []*partition.Record{record(1, 1e9)}}})
		if got, _ := poll(t, b, "b", 1); !slices.Equal(got, []int64{1}) {
			t.Errorf("new session received %v", got)
		}
	})
}

func TestPollReportsLostPartitionsAndSessionEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBroker(t)
		becomePrimary(b)
		follow(t, b, topic.FollowRequest{Session: "s", Begin: true, Follow: []topic.FollowedTopic{{Topic: "t"}}})
		b.applyEvents([]partition.Event{{LostPrimary: true}})
		if _, out := poll(t, b, "s", 1); !slices.Equal(out.LostPartitions, []int{0}) {
			t.Errorf("lost partitions %v", out.LostPartitions)
		}
		becomePrimary(b)
		follow(t, b, topic.FollowRequest{Session: "s", Follow: []topic.FollowedTopic{{Topic: "t"}}})
		big := record(1, 1e9)
		big.Body = make([]byte, maxOutboxBytes)
		b.applyEvents([]partition.Event{{Entries: []*partition.Record{big}}})
		if _, out := poll(t, b, "s", 2); !out.Unknown {
			t.Error("a session over its outbox limit did not end")
		}
		follow(t, b, topic.FollowRequest{Session: "r", Begin: true, Follow: []topic.FollowedTopic{{Topic: "t", Subscribers: 1}}})
		time.Sleep(b.timing.sessionTimeout() + time.Millisecond)
		b.sweep()
		if _, out := poll(t, b, "r", 1); !out.Unknown || b.topics.byName["t"].count() != 0 {
			t.Error("subscribers of an expired session are still counted")
		}
	})
}

func TestResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBroker(t)
		becomePrimary(b, record(1, 1e9), record(2, 1e9))
		out := follow(t, b, topic.FollowRequest{Session: "s", Begin: true, MaxBytes: 1, Follow: []topic.FollowedTopic{{Topic: "t", Replay: true}, {Topic: "u"}}})
		if len(out.Topics[0].Entries) != 2 || out.Topics[0].Deferred || !out.Topics[1].Deferred || out.Topics[1].NotReady {
			t.Errorf("%+v", out.Topics)
		}
		b.applyEvents([]partition.Event{{Entries: []*partition.Record{record(3, 1e9), record(4, 1e9)}}})
		for number, want := range [][]int64{{3}, {4}} {
			answer, _, err := b.handlePoll(t.Context(), &topic.PollRequest{Gateway: "g", Session: "s", Number: int64(number + 1), WaitMs: 100, MaxBytes: 1}, nil)
			if err != nil || len(answer.Entries) != 1 || answer.Entries[0].Position.Order != want[0] {
				t.Errorf("poll %d: %+v, %v", number+1, answer, err)
			}
		}
	})
}

func TestFloorFollowsDeletedMessages(t *testing.T) {
	b, f := newBroker(t)
	becomePrimary(b, record(5, 2000), record(6, 3000), record(7, 4000))
	state := func() topic.TopicState {
		return follow(t, b, topic.FollowRequest{Session: "s", Begin: true, Follow: []topic.FollowedTopic{{Topic: "t", Replay: true}}}).Topics[0]
	}
	for _, c := range []struct{ now, floor, end, entries int64 }{{1000, 4, 7, 3}, {2500, 5, 7, 2}, {9000, 7, 7, 0}} {
		f.now = c.now
		b.sweep()
		if got := state(); got.Floor.Order != c.floor || got.End.Order != c.end || int64(len(got.Entries)) != c.entries {
			t.Errorf("at %d: %+v", c.now, got)
		}
	}
	follow(t, b, topic.FollowRequest{Session: "s", Unfollow: []string{"t"}})
	f.now += 2 * emptyTopicRetention.Milliseconds()
	b.sweep()
	if len(b.topics.byName) != 0 {
		t.Error("an empty topic was not deleted after its retention")
	}
}

func TestPublishReturnsOutcomePerMessage(t *testing.T) {
	b, f := newBroker(t)
	f.outcome = []error{nil, partition.ErrSuperseded, &partition.TooFewBackupsError{}, &partition.UnconfirmedError{}, errors.New("another")}
	in := &topic.PublishRequest{Topic: "t", Publisher: "p", RetentionMs: 5000, WaitMs: 100}
	for n := range int64(5) {
		in.Messages = append(in.Messages, topic.Publication{Number: n + 1, Length: 2})
	}
	out, err := b.handlePublish(t.Context(), in, []byte("aabbccddee"))
	want := []topic.Outcome{topic.Accepted, topic.Superseded, topic.NotStored, topic.Indeterminate, topic.Indeterminate}
	if err != nil || !slices.Equal(out.Outcomes, want) {
		t.Errorf("%v, %v", out, err)
	}
	if r := f.stored[2]; string(r.Body) != "cc" || r.Number != 3 || r.Expires != 1000+5000+8000+10000 {
		t.Errorf("stored record %+v", r)
	}
	if _, err := b.handlePublish(t.Context(), in, []byte("too short")); statusCode(err) != 400 {
		t.Errorf("truncated bodies: %v", err)
	}
}

// A join returns only the newest messages of a topic that has more than the gateway requests
// at once; the others are read page by page, without a gap.
func TestLargeBacklogIsReadInPages(t *testing.T) {
	b, _ := newBroker(t)
	var entries []*partition.Record
	for order := int64(1); order <= 40; order++ {
		r := record(order, 1<<40)
		r.Body = make([]byte, 1000)
		entries = append(entries, r)
	}
	becomePrimary(b, entries...)
	const pageSize = 5 * (1000 + entryOverhead)
	out := follow(t, b, topic.FollowRequest{Session: "s", Begin: true, MaxBacklog: pageSize, Follow: []topic.FollowedTopic{{Topic: "t", Replay: true}}})
	state := out.Topics[0]
	if len(state.Entries) != 5 || state.Skipped != entries[34].Position() || state.End != entries[39].Position() {
		t.Errorf("follow returned %d messages, skipped up to %v, end %v", len(state.Entries), state.Skipped, state.End)
	}
	out = follow(t, b, topic.FollowRequest{Session: "s", Follow: []topic.FollowedTopic{{Topic: "t", Replay: true}}})
	if state := out.Topics[0]; len(state.Entries) != 40 || state.Skipped != (partition.Position{}) {
		t.Errorf("without a limit: %d messages, skipped up to %v", len(state.Entries), state.Skipped)
	}
	var orders []int64
	for after := (partition.Position{}); after != entries[39].Position(); {
		page, raw, err := b.handleRead(t.Context(), &topic.ReadRequest{Topic: "t", After: after, MaxBytes: pageSize}, nil)
		if err != nil || len(page.Entries) != 5 || len(raw) != 5000 {
			t.Fatalf("after %v: %d messages, %v", after, len(page.Entries), err)
		}
		for _, e := range page.Entries {
			orders = append(orders, e.Position.Order)
			after = e.Position
		}
	}
	if len(orders) != 40 || !slices.IsSorted(orders) {
		t.Errorf("read %v", orders)
	}
	if page, _, err := b.handleRead(t.Context(), &topic.ReadRequest{Topic: "t", MaxBytes: 1}, nil); err != nil || len(page.Entries) != 1 {
		t.Errorf("message larger than the page: %d messages, %v", len(page.Entries), err)
	}
	if page, _, err := b.handleRead(t.Context(), &topic.ReadRequest{Topic: "unknown"}, nil); err != nil || len(page.Entries) != 0 || len(b.topics.byName) != 1 {
		t.Errorf("unknown topic: %+v, %v", page, err)
	}
	if _, _, err := b.handleRead(t.Context(), &topic.ReadRequest{Topic: "t", Partition: 9}, nil); !errors.Is(err, errNotReady) {
		t.Errorf("not led here: %v", err)
	}
}

// Guards against RETRY for a number that was accepted earlier or that an attempt in flight
// stores later (docs/incidents/retry-after-accept.md). The publisher would then send the
// message under a new number, and subscribers would receive it twice.
func TestRefusedNumberIsNeverStored(t *testing.T) {
	b, f := newBroker(t)
	becomePrimary(b)
	refuse := func(number int64) bool {
		t.Helper()
		out, err := b.handleRefuse(t.Context(), &topic.RefuseRequest{Topic: "t", Publisher: "p", Number: number}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return out.Refused
	}
	publish := func(numbers ...int64) []topic.Outcome {
		t.Helper()
		in := &topic.PublishRequest{Topic: "t", Publisher: "p", WaitMs: 100}
		f.outcome = nil
		for _, number := range numbers {
			in.Messages = append(in.Messages, topic.Publication{Number: number})
			if !slices.Contains([]int64{5}, number) {
				f.outcome = append(f.outcome, nil)
			}
		}
		out, err := b.handlePublish(t.Context(), in, nil)
		if err != nil {
			t.Fatal(err)
		}
		return out.Outcomes
	}
	publish(1)
	if refuse(1) {
		t.Error("a stored number is refused")
	}
	f.duringAccept = func() {
		f.duringAccept = nil
		f.stored = f.stored[:1] // the accept of number 2 is still in progress
		if refuse(2) {
			t.Error("a number that is being stored is refused")
		}
	}
	publish(2)
	if first := refuse(5); !first || !refuse(5) {
		t.Error("a number that was never stored is not refused")
	}
	if got := publish(4, 5, 6); !slices.Equal(got, []topic.Outcome{topic.Accepted, topic.Superseded, topic.Accepted}) {
		t.Errorf("outcomes with a refused number: %v", got)
	}
	if f.HoldsNumber(0, "t", "p", 5) || len(b.refusals.publishing) != 0 {
		t.Errorf("the refused number is stored, or %d publications are still in progress", len(b.refusals.publishing))
	}
	b.refusals.deleteBefore(time.Now().Add(time.Minute))
	if len(b.refusals.refused) != 0 {
		t.Error("old refusals were not deleted")
	}
	if _, err := b.handleRefuse(t.Context(), &topic.RefuseRequest{Topic: "t", Partition: 9, Publisher: "p", Number: 7}, nil); !errors.Is(err, errNotReady) {
		t.Errorf("not led here: %v", err)
	}
}

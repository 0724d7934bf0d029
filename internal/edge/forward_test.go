package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/node"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/settings"
)

func newForwarding() *forwarding {
	return &forwarding{
		route: &configuration.Route{}, record: &partition.Record{ID: "one"},
		pinned: noPartition, avoided: map[string]bool{}, declined: map[int]bool{},
	}
}

// A message may be sent to another store only if every store tried before certainly
// lacks it; otherwise it could run twice.
func TestFailurePinsMessageUnlessStoreCertainlyLacksIt(t *testing.T) {
	for _, test := range []struct {
		name              string
		outcome           attemptOutcome
		pinned            int
		avoided, declined bool
	}{
		{"not the primary", attemptMisdirected, noPartition, true, false},
		{"declined", attemptDeclined, noPartition, true, true},
		{"not sent", attemptNotSent, noPartition, true, false},
		{"unclear", attemptIndeterminate, 3, false, false},
		{"unanswered", attemptUnanswered, 3, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newForwarding()
			f.recordFailure(test.outcome, 3, "store")
			if f.pinned != test.pinned {
				t.Errorf("pinned to %d, want %d", f.pinned, test.pinned)
			}
			if f.avoided["store"] != test.avoided {
				t.Errorf("store avoided: %v, want %v", f.avoided["store"], test.avoided)
			}
			if f.declined[3] != test.declined {
				t.Errorf("partition declined: %v, want %v", f.declined[3], test.declined)
			}
		})
	}
}

func TestPinnedMessageStaysPinned(t *testing.T) {
	f := newForwarding()
	f.recordFailure(attemptUnanswered, 3, "store")
	f.recordFailure(attemptMisdirected, 3, "store")
	if f.pinned != 3 {
		t.Errorf("pinned to %d, want 3: the first attempt may have reached the store", f.pinned)
	}
	var indeterminate *indeterminateError
	if err := f.deadlineError(statusError(421)); !errors.As(err, &indeterminate) {
		t.Errorf("at the deadline %T, want an indeterminateError", err)
	}
}

func TestDeadlineErrorIsCertainWhileNotPinned(t *testing.T) {
	f := newForwarding()
	f.recordFailure(attemptDeclined, 3, "store")
	var notAccepted *notAcceptedError
	if err := f.deadlineError(statusError(503)); !errors.As(err, &notAccepted) {
		t.Errorf("at the deadline %T, want a notAcceptedError", err)
	}
}

func TestChoosePartition(t *testing.T) {
	p := testPlacement([]string{"9-9-a", "1-1-b", "2-1-c"}) // the order of the candidates: 1, 2, 0
	for _, test := range []struct {
		name    string
		pinned  int
		avoided []string
		stalled map[int]int64 // epochs
		want    int
	}{
		{"nearest", noPartition, nil, nil, 1},
		{"not one that was tried before", noPartition, []string{"1-1-b"}, nil, 2},
		{"not one that stalls", noPartition, nil, map[int]int64{1: 1}, 2},
		{"one that stalled in an earlier epoch", noPartition, nil, map[int]int64{1: 0}, 1},
		{"neither", noPartition, []string{"2-1-c"}, map[int]int64{1: 1}, 0},
		{"nearest if none is better", noPartition, []string{"9-9-a", "2-1-c"}, map[int]int64{1: 1}, 1},
		{"pinned, whatever is known of it", 2, []string{"2-1-c"}, map[int]int64{2: 1}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &Edge{set: testSettings(), stalled: newStalledPrimaries(time.Hour)}
			f := newForwarding()
			f.pinned = test.pinned
			for _, store := range test.avoided {
				f.avoided[store] = true
			}
			for i, epoch := range test.stalled {
				e.stalled.add(i, epoch)
			}
			if got := e.choosePartition(f, p); got != test.want {
				t.Errorf("partition %d, want %d", got, test.want)
			}
		})
	}
	t.Run("none without partitions", func(t *testing.T) {
		e := &Edge{set: testSettings(), stalled: newStalledPrimaries(time.Hour)}
		if got := e.choosePartition(newForwarding(), &placement.Placement{}); got != noPartition {
			t.Errorf("partition %d, want none", got)
		}
	})
}

func TestRetryDelay(t *testing.T) {
	e := &Edge{set: testSettings(), timing: timing{contactTimeout: 2 * time.Second}}
	several := testPlacement([]string{"1-1-a", "1-1-b"})
	single := testPlacement([]string{"1-1-a"})
	for _, test := range []struct {
		name      string
		placement *placement.Placement
		outcome   attemptOutcome
		want      time.Duration
	}{
		{"another store is asked at once", several, attemptNotSent, 0},
		{"the same store after a delay", several, attemptUnanswered, 10 * time.Millisecond},
		{"the only store after a delay", single, attemptNotSent, 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newForwarding()
			f.recordFailure(test.outcome, 0, "1-1-a")
			if got := e.retryDelay(f, test.placement); got != test.want {
				t.Errorf("delay %v, want %v", got, test.want)
			}
		})
	}
}

// newTestEdge returns an edge that knows the placement, if not nil, and makes no
// calls.
func newTestEdge(t *testing.T, contact time.Duration, p *placement.Placement) *Edge {
	t.Helper()
	logger := log.New(io.Discard, "", 0)
	set := testSettings()
	set.NodeName, set.IpAddress = "edge-1", "127.0.0.1"
	set.InternalPortRange = []int32{8000, 8001}
	set.Timers = &settings.Timers{ContactMs: float64(contact.Milliseconds())}
	e := &Edge{
		set: set, timing: timing{contactTimeout: contact}, log: logger,
		node:    node.New(node.Config{Settings: set, Role: "edge", Network: httpwire.TCP(), Log: logger}),
		stalled: newStalledPrimaries(time.Hour),
	}
	if p != nil {
		publishPlacement(t, e, p)
	}
	return e
}

// publishPlacement appends a placement to the journal of the edge. Its Version must be
// higher than that of the previous one.
func publishPlacement(t *testing.T, e *Edge, p *placement.Placement) {
	t.Helper()
	raw, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if !e.node.Journal.Append(journal.Event{Key: distribution.KeyPlacement, Version: journal.Version{Major: p.Version}, Value: raw}) {
		t.Fatal("the placement is not newer than the one before")
	}
}

func TestCallIsCancelledWhenAnotherStoreLeads(t *testing.T) {
	p := testPlacement([]string{"1-1-a", "1-1-b"})
	p.Version = 1
	e := newTestEdge(t, time.Hour, p)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	canceled := make(chan struct{})
	stop := e.watchPrimary(ctx, func() { close(canceled) }, 0, e.node.Placement())
	defer stop()

	same := testPlacement([]string{"1-1-a", "1-1-a"})
	same.Version = 2
	publishPlacement(t, e, same)
	select {
	case <-canceled:
		t.Fatal("canceled by a placement that leaves the partition where it was")
	case <-time.After(50 * time.Millisecond):
	}

	moved := testPlacement([]string{"1-1-b", "1-1-b"})
	moved.Version = 3
	publishPlacement(t, e, moved)
	select {
	case <-canceled:
	case <-ctx.Done():
		t.Error("the call goes on although another store leads the partition")
	}
}

func TestCallWithoutAnswerMarksPrimaryStalled(t *testing.T) {
	p := testPlacement([]string{"1-1-a"})
	p.Version = 1
	e := newTestEdge(t, 400*time.Millisecond, p) // stalled after 10 ms
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stop := e.watchPrimary(ctx, func() {}, 0, e.node.Placement())
	defer stop()
	for !e.stalled.contains(0, 1) {
		if ctx.Err() != nil {
			t.Fatal("the primary does not count as stalled")
		}
		time.Sleep(time.Millisecond)
	}
}

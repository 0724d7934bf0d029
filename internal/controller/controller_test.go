package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configstore"
	"saltreel/internal/lease"
	"saltreel/internal/membership"
	"saltreel/internal/placement"
	"saltreel/internal/registry"
)

// fakeCluster fakes the environment of a controller that runs on the only core.
type fakeCluster struct {
	mu         sync.Mutex
	head       string
	contactFor time.Duration // InContactFor
	nodes      map[string]registry.NodeStatus
	overdue    []string
	peers      []string
	placement  placement.Placement
	proposed   []placement.Placement
	handleCall func(ctx context.Context, address, path string, in, out any) error
	connect    func(ctx context.Context) error // nil: succeeds immediately
	calls      map[string]int
}

func (f *fakeCluster) Head() string                { return f.head }
func (f *fakeCluster) Voters() []string            { return []string{"self"} }
func (f *fakeCluster) InContact() bool             { return f.contactFor > 0 }
func (f *fakeCluster) InContactFor() time.Duration { return f.contactFor }
func (f *fakeCluster) Peers() []string             { return f.peers }

func (f *fakeCluster) Nodes() map[string]registry.NodeStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.nodes)
}

func (f *fakeCluster) OverdueStores(time.Duration, time.Duration) []string {
	overdue := f.overdue
	f.overdue = nil
	return overdue
}

func (f *fakeCluster) Propose(_ context.Context, p configstore.Proposal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposed = append(f.proposed, *p.Placement)
	f.placement = *p.Placement
	return nil
}

func (f *fakeCluster) current() placement.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placement
}

func (f *fakeCluster) Call(ctx context.Context, address, path string, in any, _ []byte, out any) error {
	f.mu.Lock()
	f.calls[address+path]++
	answer := f.handleCall
	f.mu.Unlock()
	return answer(ctx, address, path, in, out)
}

func (f *fakeCluster) Connect(ctx context.Context, _ string) error {
	if f.connect == nil {
		return nil
	}
	return f.connect(ctx)
}

func (f *fakeCluster) callsTo(address, path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address+path]
}

// setStore adds or updates a store whose last heartbeat has the given age.
func (f *fakeCluster) setStore(name string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = registry.NodeStatus{Node: membership.Node{Name: name, Role: "store", Address: name, Disk: "disk-" + name}, Age: age}
}

const testContactTimeout = 4800 * time.Millisecond

// newTestController returns a controller and its cluster, in which all calls succeed.
func newTestController(t *testing.T) (*Controller, *fakeCluster) {
	t.Helper()
	cluster := &fakeCluster{head: "self", contactFor: time.Hour, nodes: map[string]registry.NodeStatus{}, calls: map[string]int{}}
	cluster.handleCall = func(context.Context, string, string, any, any) error { return nil }
	c, err := New(Config{
		Address: "self", Chain: cluster, Registry: cluster, Proposer: cluster, Placement: cluster.current, Client: cluster, Grantor: &lease.Grantor{},
		HostFailures: 1, Redundancy: placement.Redundancy{Backups: 1}, ContactTimeout: testContactTimeout,
		Log: log.New(io.Discard, "", 0), Go: func(task func(context.Context)) { go task(t.Context()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return c, cluster
}

func TestNewRefusesAnIncompleteConfig(t *testing.T) {
	for name, config := range map[string]Config{"no address": {}, "no timeout": {Address: "a"}, "no chain": {Address: "a", ContactTimeout: 1}} {
		if _, err := New(config); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

func TestFirstPlacementWaitsForStableStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, cluster := newTestController(t)
		go c.Run(ctx)
		cluster.setStore("a", 0)
		time.Sleep(testContactTimeout)
		if p := cluster.current(); p.Version != 0 {
			t.Errorf("one store: placement %d was proposed", p.Version)
		}
		cluster.setStore("b", 0)
		time.Sleep(testContactTimeout / 8)
		if p := cluster.current(); p.Version != 0 {
			t.Errorf("second store just added: placement %d was proposed", p.Version)
		}
		time.Sleep(testContactTimeout / 4)
		p := cluster.current()
		if p.Version == 0 || p.Term == 0 || len(p.Stores) != 2 {
			t.Errorf("two stores: placement %d of term %d has %d stores", p.Version, p.Term, len(p.Stores))
		}
	})
}

func TestReportsAreForTheLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, cluster := newTestController(t)
		cluster.setStore("a", 0)
		cluster.peers = []string{"peer"}
		report := &placement.FailureReport{Node: "a"}
		out, err := c.HandleFailureReport(t.Context(), report, nil)
		synctest.Wait()
		if err != nil || out.Controller || cluster.callsTo("a", "/ping") != 0 {
			t.Errorf("without the lease: %+v, %v, %d probes", out, err, cluster.callsTo("a", "/ping"))
		}
		if _, err := c.HandleInSyncReport(t.Context(), &placement.InSyncReport{}, nil); !errors.Is(err, ErrNotController) || StatusCode(err) != 421 {
			t.Errorf("in-sync report without the lease: %v", err)
		}
		c.maintainLease(t.Context(), false)
		cluster.overdue = []string{"a"}
		c.reportOverdueStores(t.Context())
		synctest.Wait()
		if cluster.callsTo("a", "/ping") != 1 || cluster.callsTo("peer", "/suspect") != 1 {
			t.Errorf("calls: %v", cluster.calls)
		}
		if _, err := c.HandleInSyncReport(t.Context(), &placement.InSyncReport{}, nil); err != nil {
			t.Errorf("in-sync report with the lease: %v", err)
		}
		if code := StatusCode(errors.New("other")); code != 0 {
			t.Errorf("status of an unrelated error: %d", code)
		}
	})
}

func TestLeaseIsRenewedAlsoWhenWokenAndAcquiredAtTicksOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newTestController(t)
		if c.leaseIsDue(true) {
			t.Error("an expired lease is requested when woken")
		}
		if !c.leaseIsDue(false) {
			t.Error("the head of the chain does not request an expired lease")
		}
		c.maintainLease(t.Context(), false)
		if _, held := c.lease.Held(); !held || c.leaseIsDue(false) {
			t.Errorf("after acquisition: held %v, or requested again immediately", held)
		}
		time.Sleep(c.timing.leaseDuration() / 2)
		if _, held := c.lease.Held(); !held || !c.leaseIsDue(true) {
			t.Errorf("after half its duration: held %v, or not renewed when woken", held)
		}
	})
}

func TestAllReplicaStoresReported(t *testing.T) {
	p := placement.Placement{
		Stores:     map[string]placement.Store{"a": {}, "b": {}, "empty": {}},
		Partitions: []placement.Partition{{Primary: "a", Backups: []placement.Backup{{Store: "b"}}}},
	}
	status := func(names ...string) map[string]placement.StoreStatus {
		out := map[string]placement.StoreStatus{}
		for _, name := range names {
			out[name] = placement.StoreStatus{}
		}
		return out
	}
	for name, c := range map[string]struct {
		p      placement.Placement
		stores map[string]placement.StoreStatus
		want   bool
	}{
		"all":                {p, status("a", "b", "empty"), true},
		"all but an empty":   {p, status("a", "b"), true},
		"a backup missing":   {p, status("a", "empty"), false},
		"a primary missing":  {p, status("b", "empty"), false},
		"no store is listed": {placement.Placement{}, status("a"), false},
	} {
		if got := allReplicaStoresReported(c.p, c.stores); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestStoreCountIsStableAfterAWhileWithoutChange(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	type observation struct {
		at time.Duration
		n  int
	}
	for name, c := range map[string]struct {
		observations []observation
		at           time.Duration
		want         bool
	}{
		"enough and unchanged":     {[]observation{{0, 2}, {time.Second, 2}}, 2 * time.Second, true},
		"too few":                  {[]observation{{0, 1}}, 2 * time.Second, false},
		"one was just added":       {[]observation{{0, 2}, {time.Second, 3}}, 2 * time.Second, false},
		"one failed and recovered": {[]observation{{0, 2}, {time.Second, 1}, {1500 * time.Millisecond, 2}}, 3 * time.Second, false},
	} {
		count := storeCount{since: start}
		for _, o := range c.observations {
			count.observe(o.n, start.Add(o.at))
		}
		if got := count.isStable(2, 2*time.Second, start.Add(c.at)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestInSyncReportsAreAppliedOnceInTheirEpoch(t *testing.T) {
	p := placement.Placement{Partitions: []placement.Partition{
		{Epoch: 5, Primary: "a", Backups: []placement.Backup{{Store: "b"}, {Store: "c", InSync: true}}},
	}}
	for name, c := range map[string]struct {
		replica          placement.Replica
		marked, obsolete bool
	}{
		"in its epoch":      {placement.Replica{Partition: 0, Epoch: 5, Store: "b"}, true, false},
		"marked before":     {placement.Replica{Partition: 0, Epoch: 5, Store: "c"}, false, true},
		"not a replica":     {placement.Replica{Partition: 0, Epoch: 5, Store: "d"}, false, false},
		"earlier epoch":     {placement.Replica{Partition: 0, Epoch: 4, Store: "b"}, false, true},
		"later epoch":       {placement.Replica{Partition: 0, Epoch: 6, Store: "b"}, false, false},
		"unknown partition": {placement.Replica{Partition: 1, Epoch: 5, Store: "b"}, false, true},
	} {
		next := p.Clone()
		marked, obsolete := markInSync(&next, c.replica)
		if marked != c.marked || obsolete != c.obsolete || next.Partitions[0].Backups[0].InSync != c.marked {
			t.Errorf("%s: marked %v, obsolete %v", name, marked, obsolete)
		}
	}
	var reports inSyncReports
	reports.add([]placement.Replica{{Partition: 0, Epoch: 5, Store: "b"}, {Partition: 0, Epoch: 4, Store: "b"}})
	first, second := reports.apply(&p), reports.apply(&p)
	if !first || second || len(reports.reported) != 0 {
		t.Errorf("changed by first apply: %v, by second: %v, remaining reports: %v", first, second, reports.reported)
	}
}

func TestHandoversAskEachStoreOnceAndExpire(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var h handovers
	if first, second, other := h.begin("a"), h.begin("a"), h.begin("b"); !first || second || !other {
		t.Errorf("begun: %v, again: %v, another store: %v", first, second, other)
	}
	h.finish("a", map[int]int64{7: 3}, start)
	h.finish("b", nil, start)
	if !h.begin("a") {
		t.Error("no second handover request to a store after the first has finished")
	}
	for age, want := range map[time.Duration]string{0: "map[7:3]", time.Second - 1: "map[7:3]", time.Second: "map[]"} {
		if got := fmt.Sprint(h.stoppedEpochs(start.Add(age), time.Second)); got != want {
			t.Errorf("%v later: %s, not %s", age, got, want)
		}
	}
	p := placement.Placement{Partitions: []placement.Partition{{Epoch: 1, Primary: "a"}, {Epoch: 2, Primary: "b"}, {Epoch: 3, Primary: "a"}}}
	if got := fmt.Sprint(epochsByPrimary(p, []int{0, 1, 2})); got != "map[a:map[0:1 2:3] b:map[1:2]]" {
		t.Errorf("by primary: %s", got)
	}
}

func TestHandoverStopsPartitionsAtTheirPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, cluster := newTestController(t)
		cluster.handleCall = func(_ context.Context, _, _ string, in, out any) error {
			*out.(*placement.HandoverRequest) = in.(placement.HandoverRequest)
			return nil
		}
		p := placement.Placement{Stores: map[string]placement.Store{"a": {Address: "a"}}, Partitions: []placement.Partition{{Epoch: 4, Primary: "a"}}}
		c.handOver(t.Context(), p, []int{0})
		synctest.Wait()
		if stopped := c.handovers.stoppedEpochs(time.Now(), time.Second); cluster.callsTo("a", "/handover") != 1 || stopped[0] != 4 {
			t.Errorf("stopped: %v, calls: %v", stopped, cluster.calls)
		}
		select {
		case <-c.wake:
		default:
			t.Error("controller was not woken")
		}
	})
}

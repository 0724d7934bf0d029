package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

// Directions in which the links between two groups of machines are blocked.
const (
	bothDirections = "both directions"
	outgoing       = "outgoing"
	incoming       = "incoming"
)

var directions = []string{bothDirections, outgoing, incoming}

// setPartition blocks the links between a group of machines and its peers, or
// unblocks them. Outgoing links lead from the group to its peers.
func (w *world) setPartition(group, peers []string, direction string, blocked bool) {
	if direction != incoming {
		w.network.setBlocked(group, peers, blocked)
	}
	if direction != outgoing {
		w.network.setBlocked(peers, group, blocked)
	}
}

// At most one of two conflicting writes, one on each side of a partition, is
// acknowledged, and all cores agree on the outcome after the partition heals. Each
// core is isolated in turn, in each direction.
func TestAtMostOneSideOfPartitionAcknowledges(t *testing.T) {
	for isolated := range 3 {
		for _, direction := range directions {
			runCluster(t, func(w *world) {
				p := newPartitionedWrite(w, isolated, direction)
				p.writeOnBothSides()
				p.verifyOneWinner(t)
				p.verifyReads(t)
				p.verifyRetry(t)
			})
		}
	}
}

// partitionedWrite is a pair of conflicting writes, one for each side of a
// partition, with the status of the last response to each.
type partitionedWrite struct {
	w                              *world
	name                           string // of the test case, for failure messages
	direction                      string
	isolated, majority             []string // IPs
	base                           int      // revision that both writes are based on
	isolatedWrite, majorityWrite   []byte
	isolatedStatus, majorityStatus int
}

func newPartitionedWrite(w *world, isolated int, direction string) *partitionedWrite {
	w.applyConfiguration(options{})
	base := w.revision
	ips := []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}
	return &partitionedWrite{
		w: w, name: fmt.Sprintf("core %d isolated, %s", isolated, direction), direction: direction,
		isolated: ips[isolated : isolated+1], majority: append(append([]string{}, ips[:isolated]...), ips[isolated+1:]...),
		base:          base,
		isolatedWrite: w.configuration(base+1, options{maxAttempts: 2}),
		majorityWrite: w.configuration(base+2, options{maxAttempts: 4}),
	}
}

// writeOnBothSides sends each write to its side of the partition repeatedly, until
// it is acknowledged or the partition ends.
func (p *partitionedWrite) writeOnBothSides() {
	p.w.setPartition(p.isolated, p.majority, p.direction, true)
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p.isolatedStatus != 200 {
			p.isolatedStatus = p.w.putConfiguration(p.isolated[0]+":82", p.base, p.isolatedWrite)
		}
		if p.majorityStatus != 200 {
			p.majorityStatus = p.w.putConfiguration(p.majority[0]+":82", p.base, p.majorityWrite)
		}
	}
	p.w.setPartition(p.isolated, p.majority, p.direction, false)
}

func (p *partitionedWrite) verifyOneWinner(t *testing.T) {
	t.Helper()
	if p.isolatedStatus == 200 && p.majorityStatus == 200 {
		t.Fatalf("%s: both conflicting writes are acknowledged", p.name)
	}
	time.Sleep(5 * time.Second)
	if p.isolatedStatus == 200 || p.majorityStatus == 200 {
		return
	}
	// The isolated core could send but not receive, so its write was committed although
	// its client got no acknowledgement.
	p.isolatedStatus = p.w.putConfiguration(p.majority[0]+":82", p.base, p.isolatedWrite)
	if p.isolatedStatus != 200 || p.majorityStatus != 412 {
		t.Errorf("%s: neither write is acknowledged: %d %d", p.name, p.isolatedStatus, p.majorityStatus)
	}
}

// verifyReads checks that no core returns the configuration of the rejected write.
func (p *partitionedWrite) verifyReads(t *testing.T) {
	t.Helper()
	differs := func(body []byte) bool {
		return p.isolatedStatus == 200 && !bytes.Equal(body, p.isolatedWrite) ||
			p.majorityStatus == 200 && !bytes.Equal(body, p.majorityWrite)
	}
	for _, c := range p.w.controlAddresses() {
		p.w.waitFor(5*time.Second, "reading from "+c, func() bool {
			r, err := p.w.request(c, &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: c}, time.Second)
			if err == nil && r.Status == 200 && differs(r.Body) {
				t.Fatalf("%s: %s returns another configuration than the acknowledged one", p.name, c)
			}
			return err == nil && r.Status == 200
		})
	}
}

// verifyRetry checks that a retry of the acknowledged write is acknowledged again,
// even after a later write.
func (p *partitionedWrite) verifyRetry(t *testing.T) {
	t.Helper()
	winner, revision := p.isolatedWrite, p.base+1
	if p.majorityStatus == 200 {
		winner, revision = p.majorityWrite, p.base+2
	}
	p.w.revision = revision
	p.w.changeConfiguration("after the partition", options{})
	if code := p.w.putConfiguration("10.1.0.1:82", p.base, winner); code != 200 {
		t.Errorf("retry of an acknowledged write: status %d, want 200", code)
	}
}

// A core that was isolated for longer than its contact timeout publishes no stale
// state, neither during the partition nor right after it heals.
func TestIsolatedCorePublishesNoStaleState(t *testing.T) {
	isolated := []string{"10.3.0.1"}
	peers := []string{"10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2", "10.3.0.2", "10.1.0.3", "10.2.0.3", "10.3.0.3"}
	for _, direction := range directions {
		runCluster(t, func(w *world) {
			plain := w.newService("plain", "z1", "z2")
			w.applyConfiguration(options{})
			if _, status := w.watchIsolatedCore(); status != 200 {
				t.Fatalf("events before the partition: status %d, want 200", status)
			}
			w.setPartition(isolated, peers, direction, true)
			time.Sleep(2 * time.Second) // contact-ms/2
			w.changeConfiguration("during the partition", options{maxAttempts: 9})
			deregistered := plain.instances["plain-i0"]
			deregistered.cancel()
			w.waitFor(5*time.Second, "the deregistration is acknowledged", func() bool { return plain.callCore("DELETE", deregistered.id, "") == 200 })
			w.verifyIsolatedCoreRefuses(t, direction, deregistered)
			w.setPartition(isolated, peers, direction, false)
			var page string
			w.waitFor(10*time.Second, "events after the partition", func() bool {
				p, status := w.watchIsolatedCore()
				page = p
				return status == 200
			})
			w.verifyNoStaleEvents(t, direction, page, deregistered.id)
		})
	}
}

// watchIsolatedCore requests the events of the core in z3, as a starting node does.
func (w *world) watchIsolatedCore() (page string, status int) {
	a, err := w.request("10.3.0.1:7100", &httpwire.Call{Method: "POST", Target: "/news", Host: "10.3.0.1", Body: []byte(`{"wait-ms":0,"role":"store"}`)}, time.Second)
	if err != nil {
		return "", 0
	}
	return string(a.Body), a.Status
}

// verifyIsolatedCoreRefuses checks for 15 s that the core in z3 returns no events
// and accepts no stale heartbeat.
func (w *world) verifyIsolatedCoreRefuses(t *testing.T, direction string, deregistered *instance) {
	t.Helper()
	heartbeat := func() int {
		a, err := w.request("10.3.0.1:82", &httpwire.Call{Method: "PUT", Target: "/v1/instances/" + deregistered.id, Host: "10.3.0.1", Body: fmt.Appendf(nil,
			`{"service":"plain","address":%q,"zone":"z1","slots":2,"oper-state":"ready","call-seq":1}`, deregistered.address)}, time.Second)
		if err != nil {
			return 0
		}
		return a.Status
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if _, status := w.watchIsolatedCore(); status == 200 {
			t.Fatalf("isolated, %s: the core returns events", direction)
		}
		if status := heartbeat(); status == 200 {
			t.Fatalf("isolated, %s: the core accepts a stale heartbeat", direction)
		}
	}
}

// verifyNoStaleEvents checks that a page of events contains the current revision and
// does not list the deregistered instance as registered.
func (w *world) verifyNoStaleEvents(t *testing.T, direction, page, deregistered string) {
	t.Helper()
	var watched struct {
		Events []struct {
			Key     string `json:"key"`
			Version struct {
				Major int64 `json:"major"`
			} `json:"version"`
			Value any `json:"value"`
		} `json:"events"`
	}
	if err := json.Unmarshal([]byte(page), &watched); err != nil || len(watched.Events) == 0 {
		t.Fatalf("cannot decode the page of events: %v %.200s", err, page)
	}
	for _, e := range watched.Events {
		if e.Key == "configuration" && e.Version.Major != int64(w.revision) {
			t.Errorf("isolated, %s: revision %d is published after the partition, want %d", direction, e.Version.Major, w.revision)
		}
		if e.Key == "instance/"+deregistered && e.Value != nil {
			t.Errorf("isolated, %s: %s is published as registered after the partition: %v", direction, deregistered, e.Value)
		}
	}
}

// A tail that was replaced while it was isolated serves no stale read, even if
// clients reach it again before the other cores do.
func TestIsolatedTailServesNoStaleRead(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		s, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		tail := s.View.Members[2].Address[:8] // the address without its port
		old := w.configuration(w.revision, options{})
		w.network.isolate(tail, true)
		w.revision++
		w.waitFor(8*time.Second, "a revision without the tail", func() bool {
			return w.operator().PutConfiguration(context.Background(), w.configuration(w.revision, options{}), int64(w.revision-1)) == nil
		})
		// Clients reach the former tail again while the other cores are still cut off.
		for _, ip := range []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"} {
			w.network.isolate(ip, ip != tail)
		}
		for range 5 {
			a, err := w.request(tail+":82", &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: tail}, time.Second)
			if err == nil && a.Status == 200 && bytes.Equal(a.Body, old) {
				t.Fatal("the former tail returns a stale configuration")
			}
		}
	})
}

// Each core, and with it the controller, is isolated in turn while a store fails.
// Another controller takes over, and writes of the isolated one are fenced.
func TestIsolatedControllerIsReplacedAndFenced(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		before, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, z := range zones {
			ip := w.machines["core-"+z].ip
			w.network.isolate(ip, true)
			failedStore := "store-" + zones[(i+1)%3]
			w.withTraffic(plain, func() {
				time.Sleep(time.Second)
				w.killMachine(failedStore)
				time.Sleep(6 * time.Second)
			})
			w.network.isolate(ip, false)
			w.startMachine(failedStore, false)
			time.Sleep(6 * time.Second)
		}
		after, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range after.Placement.Partitions {
			if p.Epoch <= before.Placement.Partitions[i].Epoch || !p.InSync(1) {
				t.Errorf("partition %d: %+v, before %+v", i, p, before.Placement.Partitions[i])
			}
		}
		if len(after.View.Members) != 3 {
			t.Errorf("view: %+v", after.View)
		}
	})
}

// An isolated core redirects clients to the head for writes and to the tail for
// reads. If no other core accepts connections, it answers 503, so that clients can
// tell an unavailable service from an unknown outcome.
func TestIsolatedCoreRedirectsCallers(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		isolated, others := w.coreAddresses[1:2], []string{w.coreAddresses[0], w.coreAddresses[2]} // head and tail of the view
		core := isolated[0] + ":82"
		w.setPartition(isolated, others, bothDirections, true)
		time.Sleep(2500 * time.Millisecond)
		raw := w.configuration(w.revision+1, options{maxAttempts: 4})
		for _, call := range []httpwire.Call{
			{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(w.revision)}, Body: raw},
			{Method: "GET", Target: "/v1/configuration"}, {Method: "GET", Target: "/v1/status"}, {Method: "POST", Target: "/v1/retire/nowhere?x=1"},
		} {
			call.Host = core
			began := time.Now()
			a, err := w.request(core, &call, time.Second)
			to := "10.1.0.1:82"
			if call.Method == "GET" {
				to = "10.3.0.1:82"
			}
			if err != nil || a.Status != 307 || a.Header.Get("Location") != "http://"+to+call.Target {
				t.Errorf("%s %s: %+v %v", call.Method, call.Target, a, err)
			}
			if took := time.Since(began); took > 700*time.Millisecond {
				t.Errorf("%s %s: response after %v, limit 700ms", call.Method, call.Target, took)
			}
		}
		op := w.operator()
		op.Addresses = []string{core}
		w.waitFor(5*time.Second, "acknowledgement of a write sent to the isolated core", func() bool {
			return op.PutConfiguration(context.Background(), raw, int64(w.revision)) == nil
		})
		w.setPartition(isolated, others, bothDirections, false)
		w.waitFor(8*time.Second, "a view of all three cores", func() bool { m, _ := w.viewSize(); return m == 3 })
		// Clients are not redirected to a core that does not listen. The first write
		// may have been sent on a pooled connection, so its outcome may be unknown
		// (504); later writes cannot have been sent.
		w.killMachine("core-z1")
		w.killMachine("core-z3")
		for _, want := range [][]int{{503, 504}, {503}, {503}} {
			if code := w.putConfiguration(core, w.revision+1, w.configuration(w.revision+2, options{})); !slices.Contains(want, code) {
				t.Errorf("with no other core: status %d, want one of %v", code, want)
			}
		}
		w.startMachine("core-z1", false)
		w.startMachine("core-z3", false)
		w.verifyConfiguration("after the restart of the other cores", raw)
	})
}

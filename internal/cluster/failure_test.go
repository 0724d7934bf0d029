package cluster

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// stream accepts messages from all zones until stop is closed; it returns what
// was accepted, by id.
func (w *world) streamMessages(path string, every time.Duration, stop chan struct{}) func() map[string]string {
	names := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				id := fmt.Sprintf("s%d", i)
				if a := w.sendMessage(zones[i%3], path, id); a.Status == 202 {
					mu.Lock()
					names[id] = a.Header.Get("Saltreel-Message-Name")
					mu.Unlock()
				}
			})
		}
	})
	return func() map[string]string { wg.Wait(); return names }
}

// during streams messages while f runs and checks that each accepted one is done.
func (w *world) withTraffic(s *service, f func()) map[string]string {
	w.t.Helper()
	stop := make(chan struct{})
	accepted := w.streamMessages("/plain/", 20*time.Millisecond, stop)
	f()
	close(stop)
	names := accepted()
	for id, name := range names {
		w.waitForState(name, "complete seal-"+id, 20*time.Second)
		if s.deliveryCount(id) == 0 {
			w.t.Errorf("%s is complete and did not run", id)
		}
	}
	return names
}

func TestStoreCrashLosesNoAcceptedMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		n := len(w.withTraffic(plain, func() {
			for _, z := range zones {
				time.Sleep(2 * time.Second)
				w.killMachine("store-" + z)
				time.Sleep(3 * time.Second)
				w.startMachine("store-"+z, false)
				time.Sleep(5 * time.Second)
			}
		}))
		if n < 1200 {
			t.Errorf("only %d messages were accepted", n)
		}
		w.waitFor(10*time.Second, "the first placement again", func() bool {
			s, err := w.status()
			lead := map[string]int{}
			for _, p := range s.Placement.Partitions {
				if p.InSync(1) {
					lead[p.Primary]++
				}
			}
			return err == nil && lead["store-z1"] == 4 && lead["store-z2"] == 4 && lead["store-z3"] == 4
		})
	})
}

func TestRollingRestartDeliversExactlyOnce(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		names := w.withTraffic(plain, func() {
			for _, z := range zones {
				time.Sleep(time.Second)
				if took := w.terminateMachine("store-" + z); took > 6*time.Second {
					t.Errorf("store-%s took %v to stop", z, took)
				}
				w.startMachine("store-"+z, false)
				time.Sleep(4 * time.Second)
				if took := w.terminateMachine("edge-" + z); took > 6*time.Second {
					t.Errorf("edge-%s took %v to stop", z, took)
				}
				w.startMachine("edge-"+z, false)
			}
		})
		for id := range names {
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	})
}

func TestDeposedPrimaryDeliversNothingAfterIsolation(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		var names []string
		for i := range 60 {
			names = append(names, w.sendUntilAccepted("z1", "/plain/", fmt.Sprintf("w%d", i), "Saltreel-Delay-Ms", "3000"))
		}
		w.network.isolate("10.1.0.2", true) // the store of z1 goes on, but reaches nobody
		w.withTraffic(plain, func() { time.Sleep(6 * time.Second) })
		w.network.isolate("10.1.0.2", false)
		w.withTraffic(plain, func() { time.Sleep(6 * time.Second) })
		for i, name := range names {
			id := fmt.Sprintf("w%d", i)
			w.waitForState(name, "complete seal-"+id, 5*time.Second)
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	})
}

func TestMessagesSurvivePowerLossOfAllMachines(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z2")
		w.applyConfiguration(options{})
		names := map[string]string{}
		for i := range 30 {
			id := fmt.Sprintf("p%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "8000")
		}
		for name, m := range w.machines {
			if m.role != "" {
				w.killMachine(name)
			}
		}
		time.Sleep(2 * time.Second)
		for name, m := range w.machines {
			if m.role != "" {
				w.startMachine(name, false)
			}
		}
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 30*time.Second)
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
		raw, err := w.operator().Get(context.Background(), "/v1/configuration")
		if err != nil || !bytes.Equal(raw, w.configuration(w.revision, options{})) {
			t.Errorf("the configuration is not what was sent: %v", err)
		}
	})
}

func TestWipedStoreIsResynchronizedFromReplicas(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z2")
		w.applyConfiguration(options{})
		names := map[string]string{}
		for i := range 40 {
			id := fmt.Sprintf("d%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "15000")
		}
		before, _ := w.status()
		w.killMachine("store-z1")
		if err := os.RemoveAll(w.machines["store-z1"].dataPath); err != nil {
			t.Fatal(err)
		}
		w.startMachine("store-z1", false)
		w.waitFor(8*time.Second, "all partitions in step again", func() bool {
			s, err := w.status()
			lead, ok := 0, err == nil && s.Placement.Stores["store-z1"].Disk != before.Placement.Stores["store-z1"].Disk
			for _, p := range s.Placement.Partitions {
				ok = ok && p.InSync(1)
				if p.Primary == "store-z1" {
					lead++
				}
			}
			return ok && lead == 4
		})
		w.killMachine("store-z2") // what it held is on the new disk by now
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 30*time.Second)
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	})
}

func TestSingleReplicaAcceptsNoMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z3")
		w.applyConfiguration(options{})
		w.killMachine("store-z1")
		time.Sleep(5 * time.Second)
		w.killMachine("store-z2")
		time.Sleep(5 * time.Second)
		refused := []string{}
		for i := range 6 {
			id := fmt.Sprintf("n%d", i)
			began := time.Now()
			a := w.sendMessage(zones[i%3], "/plain/", id)
			switch {
			case a.Status == 202:
				t.Errorf("%s was taken on one disk", id)
			case a.Status == 503 && a.Header.Get("Retry-After") == "":
				t.Errorf("a 503 does not tell when to come back")
			case a.Status == 503:
				refused = append(refused, id)
			}
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Errorf("%s waited %v for its answer, %d", id, took, a.Status)
			}
		}
		w.startMachine("store-z1", false)
		w.startMachine("store-z2", false)
		w.withTraffic(plain, func() { time.Sleep(8 * time.Second) })
		for _, id := range refused {
			if plain.deliveryCount(id) != 0 {
				t.Errorf("%s ran after a 503", id)
			}
		}
	})
}

func TestRetiredStoreIsDrained(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2")
		w.applyConfiguration(options{})
		op := w.operator()
		ctx := context.Background()
		if err := op.Retire(ctx, "store-nowhere", time.Second); rpc.StatusCode(err) != 404 {
			t.Errorf("unknown store: %v", err)
		}
		w.withTraffic(plain, func() {
			if err := op.Retire(ctx, "store-z2", 10*time.Second); err != nil {
				t.Errorf("retire: %v", err)
			}
			w.waitFor(10*time.Second, "the store is empty", func() bool {
				raw, err := op.Get(ctx, "/v1/retire/store-z2")
				return err == nil && string(raw) == `{"oper-state":"complete"}`
			})
			w.killMachine("store-z2")
		})
		if err := op.Retire(ctx, "store-z1", time.Second); rpc.StatusCode(err) != 409 {
			t.Errorf("too few would be left: %v", err)
		}
	})
}

func TestConfigurationSurvivesCrashOfEachCore(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1")
		w.applyConfiguration(options{})
		for i, z := range append(zones, zones...) {
			w.killMachine("core-" + z)
			began := time.Now()
			w.revision++
			want := w.configuration(w.revision, options{maxAttempts: i + 2})
			w.waitFor(5*time.Second, "a revision without core-"+z, func() bool {
				return w.operator().PutConfiguration(context.Background(), want, int64(w.revision-1)) == nil
			})
			t.Logf("without core-%s: acknowledged after %v", z, time.Since(began))
			w.startMachine("core-"+z, false)
			time.Sleep(4 * time.Second)
			raw, err := w.operator().Get(context.Background(), "/v1/configuration")
			if err != nil || !bytes.Equal(raw, want) {
				t.Fatalf("read back without core-%s: %v", z, err)
			}
		}
		if a := w.sendMessage("z1", "/plain/", "after"); a.Status != 202 {
			t.Errorf("a message after all: %d", a.Status)
		}
	})
}

func TestConcurrentConfigurationWritesHaveOneWinner(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		ctx := context.Background()
		put := func(raw []byte, match int64, control string) int {
			a, err := w.request(control, &httpwire.Call{Method: "PUT", Target: "/v1/configuration", Host: control, Header: []string{"If-Match", fmt.Sprint(match)}, Body: raw}, 2*time.Second)
			if err != nil {
				return 0
			}
			return a.Status
		}
		for round := range 5 {
			base := int64(w.revision)
			got := make([]int, 3)
			var wg sync.WaitGroup
			for i, c := range w.controlAddresses() {
				wg.Go(func() { got[i] = put(w.configuration(w.revision+1+i, options{maxAttempts: round + 2}), base, c) })
			}
			wg.Wait()
			won := 0
			for i, code := range got {
				if code == 200 {
					won++
					w.revision = int(base) + 1 + i
				} else if code != 412 {
					t.Errorf("round %d: %v", round, got)
				}
			}
			if won != 1 {
				t.Fatalf("round %d: %v", round, got)
			}
			if code := put(w.configuration(w.revision, options{maxAttempts: round + 2}), base, w.controlAddresses()[round%3]); code != 200 {
				t.Errorf("the same again: %d", code)
			}
		}
		good := w.configuration(w.revision, options{maxAttempts: 6})
		for what, c := range map[string]struct {
			raw   []byte
			match int
			want  int
		}{
			"cut short":       {w.configuration(w.revision+1, options{})[:200], w.revision, 400},
			"unknown service": {w.configuration(w.revision+1, options{unknownService: true}), w.revision, 400},
			"no time-out":     {w.configuration(w.revision+1, options{zeroTimeout: true}), w.revision, 400},
			"shared key":      {w.configuration(w.revision+1, options{duplicateKey: true}), w.revision, 400},
			"old revision":    {w.configuration(w.revision-1, options{}), w.revision, 400},
			"stale match":     {w.configuration(w.revision+1, options{}), w.revision - 1, 412},
			"over the limit":  {make([]byte, 5<<20), w.revision, 413},
		} {
			if code := put(c.raw, int64(c.match), w.controlAddresses()[0]); code != c.want {
				t.Errorf("%s: %d, not %d", what, code, c.want)
			}
		}
		if raw, err := w.operator().Get(ctx, "/v1/configuration"); err != nil || !bytes.Equal(raw, good) {
			t.Errorf("a refused configuration is in force: %v", err)
		}
	})
}

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
		// Only clients reach it again at first: the others stay cut off from it.
		for _, ip := range []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"} {
			w.network.isolate(ip, ip != tail)
		}
		for range 5 {
			a, err := w.request(tail+":82", &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: tail}, time.Second)
			if err == nil && a.Status == 200 && bytes.Equal(a.Body, old) {
				t.Fatal("the former tail answers with an old configuration")
			}
		}
	})
}

func TestIsolatedControllerIsReplacedAndFenced(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		before, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, z := range zones { // whichever holds the duty, a store is lost while it is cut off
			ip := w.machines["core-"+z].ip
			w.network.isolate(ip, true)
			victim := "store-" + zones[(i+1)%3]
			w.withTraffic(plain, func() {
				time.Sleep(time.Second)
				w.killMachine(victim)
				time.Sleep(6 * time.Second)
			})
			w.network.isolate(ip, false)
			w.startMachine(victim, false)
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

func TestSubscribersBypassDeadParent(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1")
		w.applyConfiguration(options{apiKeys: `"key-one","spare"`})
		w.network.isolate("10.2.0.2", true) // the store of z2: its edge follows it
		time.Sleep(100 * time.Millisecond)
		w.revision++
		if err := w.operator().PutConfiguration(context.Background(), w.configuration(w.revision, options{}), int64(w.revision-1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second) // config-apply-ms
		for _, z := range zones {
			if a := w.sendMessage(z, "/plain/", "spare-"+z, "Saltreel-Key", "spare"); a.Status != 401 {
				t.Errorf("the removed key is in force at %s: %d", z, a.Status)
			}
		}
	})
}

// When everything is slow for a while, nobody is dead: no store loses its
// partitions, and what is accepted runs once.
func TestUniformSlownessCausesNoFailover(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		before, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		names := w.withTraffic(plain, func() {
			time.Sleep(time.Second)
			w.network.setDelay(60 * time.Millisecond)
			time.Sleep(2 * time.Second)
			w.network.setDelay(time.Millisecond)
			time.Sleep(3 * time.Second)
		})
		after, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range after.Placement.Partitions {
			if p.Epoch != before.Placement.Partitions[i].Epoch {
				t.Errorf("partition %d moved from %s to %s", i, before.Placement.Partitions[i].Primary, p.Primary)
			}
		}
		for id := range names {
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	})
}

// A store that the cores cannot reach is taken for dead while it delivers: what
// it has done must reach its successor before that one may deliver.
func TestSuccessorDoesNotRedeliverWorkOfDeposedPrimary(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		cores, one := []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}, []string{"10.1.0.2"}
		stop := make(chan struct{})
		accepted := w.streamMessages("/plain/", 4*time.Millisecond, stop)
		time.Sleep(time.Second)
		w.network.setBlocked(cores, one, true)
		w.network.setBlocked(one, cores, true)
		w.waitFor(5*time.Second, "the store leads nothing", func() bool {
			s, err := w.status()
			leads := 0
			for _, p := range s.Placement.Partitions {
				if p.Primary == "store-z1" {
					leads++
				}
			}
			return err == nil && leads == 0
		})
		time.Sleep(2 * time.Second)
		close(stop)
		names := accepted()
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 20*time.Second)
		}
		for id := range names {
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
				for _, d := range plain.received() {
					if d.id == id {
						t.Logf("%s: %v to %v at %s", names[id], d.startedAt, d.endedAt, d.instance)
					}
				}
			}
		}
	})
}

// After a loss of all power, nodes that are up before the cores, and find one
// of them cut off, hear the news as soon as the others are in force.
func TestUnresponsiveCoreDoesNotDelaySubscribers(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		for name, m := range w.machines {
			if m.role != "" {
				w.killMachine(name)
			}
		}
		w.network.isolate("10.3.0.1", true)
		for _, z := range zones {
			w.startMachine("store-"+z, false)
			w.startMachine("edge-"+z, false)
		}
		time.Sleep(30 * time.Millisecond)
		began := time.Now()
		for _, z := range zones {
			w.startMachine("core-"+z, false)
		}
		for _, z := range zones {
			w.waitFor(5*time.Second, "messages are taken at "+z, func() bool { return w.sendMessage(z, "/plain/", w.newID()).Status == 202 })
		}
		took := time.Since(began)
		t.Logf("serving after %v", took)
		if took > 1500*time.Millisecond { // contact-ms is 4 s
			t.Errorf("serving after %v", took)
		}
	})
}

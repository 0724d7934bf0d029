package cluster

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"saltreel/internal/rpc"
)

// Each store crashes in turn under load. Every accepted message completes, and the
// primaries return to their initial distribution.
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
		w.waitFor(10*time.Second, "the initial distribution of primaries", func() bool {
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

// Stores and edges that are restarted gracefully hand over their work, so that no
// message is delivered twice.
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
			plain.checkDeliveredOnce(id)
		}
	})
}

// Guards against redelivery of a message whose success the stopping store read just before it
// exited (docs/incidents/successes-of-a-stopping-store.md). Deliveries take up to 3.5 s, nearly
// as long as a store may take to stop.
func TestRollingRestartWithLongRunsDeliversExactlyOnce(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		plain.slots.Store(60)
		plain.respond = func(delivery) (int, time.Duration) {
			return 200, 50*time.Millisecond + rand.N(3450*time.Millisecond)
		}
		w.applyConfiguration(options{timeoutMs: 4000})
		names := w.withTraffic(plain, func() {
			time.Sleep(4 * time.Second)
			for _, z := range zones {
				if took := w.terminateMachine("store-" + z); took > 6*time.Second {
					t.Errorf("store-%s took %v to stop", z, took)
				}
				time.Sleep(time.Second)
				w.startMachine("store-"+z, false)
				time.Sleep(4 * time.Second)
			}
		})
		t.Logf("%d messages", len(names))
		for id := range names {
			plain.checkDeliveredOnce(id)
		}
	})
}

// A primary that was isolated while its messages became due delivers none of them
// after it is reconnected.
func TestDeposedPrimaryDeliversNothingAfterIsolation(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		var names []string
		for i := range 60 {
			names = append(names, w.sendUntilAccepted("z1", "/plain/", fmt.Sprintf("w%d", i), "Saltreel-Delay-Ms", "3000"))
		}
		w.network.isolate("10.1.0.2", true) // store-z1 keeps running but reaches no other process
		w.withTraffic(plain, func() { time.Sleep(6 * time.Second) })
		w.network.isolate("10.1.0.2", false)
		w.withTraffic(plain, func() { time.Sleep(6 * time.Second) })
		for i, name := range names {
			id := fmt.Sprintf("w%d", i)
			w.waitForState(name, "complete seal-"+id, 5*time.Second)
			plain.checkDeliveredOnce(id)
		}
	})
}

// After a power loss of all machines, delayed messages are delivered once and the
// configuration is still active.
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
			plain.checkDeliveredOnce(id)
		}
		raw, err := w.operator().Get(context.Background(), "/v1/configuration")
		if err != nil || !bytes.Equal(raw, w.configuration(w.revision, options{})) {
			t.Errorf("the configuration differs from the one applied, or cannot be read: %v", err)
		}
	})
}

// A store that restarts with an empty disk copies its replicas from the other stores
// and becomes primary of its partitions again.
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
		w.waitFor(8*time.Second, "all partitions in sync again", func() bool {
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
		w.killMachine("store-z2") // its messages have been copied to the new disk
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 30*time.Second)
			plain.checkDeliveredOnce(id)
		}
	})
}

// With a single store left, messages are rejected immediately with 503 and
// Retry-After, and rejected messages are never delivered.
func TestSingleReplicaAcceptsNoMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z3")
		w.applyConfiguration(options{})
		w.killMachine("store-z1")
		time.Sleep(5 * time.Second)
		w.killMachine("store-z2")
		time.Sleep(5 * time.Second)
		rejected := []string{}
		for i := range 6 {
			id := fmt.Sprintf("n%d", i)
			began := time.Now()
			a := w.sendMessage(zones[i%3], "/plain/", id)
			switch {
			case a.Status == 202:
				t.Errorf("%s was accepted with a single replica", id)
			case a.Status == 503 && a.Header.Get("Retry-After") == "":
				t.Errorf("response 503 without Retry-After")
			case a.Status == 503:
				rejected = append(rejected, id)
			}
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Errorf("%s waited %v for its response, status %d", id, took, a.Status)
			}
		}
		w.startMachine("store-z1", false)
		w.startMachine("store-z2", false)
		w.withTraffic(plain, func() { time.Sleep(8 * time.Second) })
		for _, id := range rejected {
			if plain.deliveryCount(id) != 0 {
				t.Errorf("%s was delivered after a 503", id)
			}
		}
	})
}

// A store is retired once its replicas have moved to other stores, and only if enough
// stores remain.
func TestRetiredStoreIsDrained(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2")
		w.applyConfiguration(options{})
		op := w.operator()
		ctx := context.Background()
		if err := op.Retire(ctx, "store-nowhere", time.Second); rpc.StatusCode(err) != 404 {
			t.Errorf("retiring an unknown store: got %v, want status 404", err)
		}
		w.withTraffic(plain, func() {
			if err := op.Retire(ctx, "store-z2", 10*time.Second); err != nil {
				t.Errorf("retire: %v", err)
			}
			w.waitFor(10*time.Second, "the store to be drained", func() bool {
				raw, err := op.Get(ctx, "/v1/retire/store-z2")
				return err == nil && string(raw) == `{"oper-state":"complete"}`
			})
			w.killMachine("store-z2")
		})
		if err := op.Retire(ctx, "store-z1", time.Second); rpc.StatusCode(err) != 409 {
			t.Errorf("retiring a store that is needed: got %v, want status 409", err)
		}
	})
}

// When all links are slow for a while, no partition changes its primary and accepted
// messages are delivered once.
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
			plain.checkDeliveredOnce(id)
		}
	})
}

// A store that the cores cannot reach is declared dead while it is delivering. Its
// delivery outcomes must reach its successor before that one starts to deliver.
func TestSuccessorDoesNotRedeliverWorkOfDeposedPrimary(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		cores, isolated := []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}, []string{"10.1.0.2"}
		stop := make(chan struct{})
		accepted := w.streamMessages("/plain/", 4*time.Millisecond, stop)
		time.Sleep(time.Second)
		w.setPartition(cores, isolated, bothDirections, true)
		w.waitFor(5*time.Second, "store-z1 to be primary of no partition", func() bool {
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
				t.Errorf("%s was delivered %d times", id, n)
				for _, d := range plain.received() {
					if d.id == id {
						t.Logf("%s: %v to %v at %s", names[id], d.startedAt, d.endedAt, d.instance)
					}
				}
			}
		}
	})
}

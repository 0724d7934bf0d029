package cluster

import (
	"context"
	"testing"
	"time"
)

// An edge whose parent in the distribution tree is isolated still applies a new
// configuration within config-apply-ms.
func TestSubscribersBypassDeadParent(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1")
		w.applyConfiguration(options{apiKeys: `"key-one","spare"`})
		w.network.isolate("10.2.0.2", true) // the store of z2, parent of the edge there
		time.Sleep(100 * time.Millisecond)
		w.revision++
		if err := w.operator().PutConfiguration(context.Background(), w.configuration(w.revision, options{}), int64(w.revision-1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second) // config-apply-ms
		for _, z := range zones {
			if a := w.sendMessage(z, "/plain/", "spare-"+z, "Saltreel-Key", "spare"); a.Status != 401 {
				t.Errorf("message with the removed key at %s: status %d, want 401", z, a.Status)
			}
		}
	})
}

// After a power loss of all machines, nodes that start before the cores get their events
// as soon as two cores serve, even if the third is isolated.
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
			w.waitFor(5*time.Second, "messages are accepted at "+z, func() bool { return w.sendMessage(z, "/plain/", w.newID()).Status == 202 })
		}
		took := time.Since(began)
		t.Logf("serving after %v", took)
		if took > 1500*time.Millisecond { // contact-ms is 4 s
			t.Errorf("serving after %v, limit 1.5s", took)
		}
	})
}

package cluster

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// statusRetention is timers.status-ttl-s of the test settings: how long the outcome of a
// message can be queried.
const statusRetention = 120 * time.Second

// A store that was down for longer than outcomes are retained returns with messages that
// are pending on its disk, while the other stores have delivered them and removed their
// outcomes. None of them is delivered again, even if a client queries them.
func TestReturningStoreRedeliversNoMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		var accepting atomic.Bool
		plain.respond = func(delivery) (int, time.Duration) {
			if accepting.Load() {
				return 200, 5 * time.Millisecond
			}
			return 429, time.Millisecond
		}
		w.applyConfiguration(options{retentionSeconds: 900})
		names := map[string]string{}
		for i := range 24 {
			id := fmt.Sprintf("old-%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id)
		}
		w.killMachine("store-z1")
		accepting.Store(true)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 10*time.Second)
		}
		time.Sleep(statusRetention + 10*time.Second)
		delivered := map[string]int{}
		for id := range names {
			delivered[id] = plain.deliveryCount(id)
		}
		w.startMachine("store-z1", false)
		time.Sleep(5 * time.Second)
		for _, name := range names {
			w.get("z2", "/v1/message/"+name)
		}
		time.Sleep(10 * time.Second)
		for id := range names {
			if n := plain.deliveryCount(id); n != delivered[id] {
				t.Errorf("%s was delivered %d times before the store returned, %d times in total", id, delivered[id], n)
			}
		}
		w.waitFor(10*time.Second, "the returned store to be in sync", w.allInSync)
	})
}

// allInSync reports whether every partition has a complete primary and at least one backup, and
// all its backups are in sync.
func (w *world) allInSync() bool {
	s, err := w.status()
	if err != nil {
		return false
	}
	for _, p := range s.Placement.Partitions {
		if !p.InSync(1) {
			return false
		}
	}
	return true
}

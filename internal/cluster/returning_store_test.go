package cluster

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// statusRetention is how long the settings of the tests let the outcome of a message
// be asked for.
const statusRetention = 120 * time.Second

// A store that was away for longer than outcomes are retained returns with messages
// that are pending on its disk, and that the others have delivered and forgotten.
// None of them runs again, also when a client asks for them.
func TestLongAbsentStoreRevivesNoMessage(t *testing.T) {
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
				t.Errorf("%s was delivered %d times before the store returned, %d times in all", id, delivered[id], n)
			}
		}
		w.waitFor(10*time.Second, "the returned store to be in sync", w.allInSync)
	})
}

// allInSync reports whether each partition has a primary and a backup in sync.
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

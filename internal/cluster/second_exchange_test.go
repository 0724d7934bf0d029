package cluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// restartStoreWhileEdgeStandsStill kills and restarts a store while the process of an edge
// does not run, so that the edge finds its connections broken and the restarted store
// listening. The edge continues a moment after the store has started.
func (w *world) restartStoreWhileEdgeStandsStill(store, edge string, downtime, afterStart time.Duration, kill func()) {
	ip := w.machines[edge].ip
	w.network.pauseProcess(ip, true)
	time.Sleep(10 * time.Millisecond) // the store and its backups complete what they have read
	kill()
	time.Sleep(downtime)
	w.startMachine(store, false)
	time.Sleep(afterStart)
	w.network.resumeProcess(ip)
}

// Guards against a message in two partitions: its first exchange was stored, the connection
// broke, and the store that had restarted refused the second exchange, which the edge took
// for a refusal of the call (docs/incidents/refusal-of-a-second-exchange.md).
func TestMessageWhoseSecondExchangeIsRefusedRunsOnce(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{retentionSeconds: 900})
		random := rand.New(rand.NewPCG(1, 7))
		names := map[string]string{}
		var mu sync.Mutex
		for round := range 8 {
			var senders sync.WaitGroup
			for i := range 40 {
				id := fmt.Sprintf("s%d-%d", round, i)
				senders.Go(func() {
					time.Sleep(time.Duration(i) * time.Millisecond)
					name := w.sendUntilAccepted("z1", "/plain/", id, "Saltreel-Delay-Ms", "90000")
					mu.Lock()
					defer mu.Unlock()
					names[id] = name
				})
			}
			time.Sleep(30*time.Millisecond + time.Duration(random.IntN(5000))*time.Microsecond)
			w.restartStoreWhileEdgeStandsStill("store-z1", "edge-z1", 100*time.Millisecond, time.Duration(1+round)*time.Millisecond, func() { w.killMachine("store-z1") })
			senders.Wait()
			time.Sleep(8 * time.Second) // longer than contact-ms
		}
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 100*time.Second)
		}
		time.Sleep(5 * time.Second)
		for id := range names {
			plain.checkDeliveredOnce(id)
		}
	})
}

package cluster

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"saltreel/internal/topic"
)

// removeStoreWhileOthersAreDown crashes all stores (or brokers) but one, and while they are
// down replaces that one by an empty machine at another address. The others restart with
// their disks, so one disk is lost.
func (w *world) removeStoreWhileOthersAreDown(removed string) {
	w.t.Helper()
	role, zone := w.machines[removed].role, w.machines[removed].zone
	var others []string
	for _, z := range zones {
		if z != zone {
			others = append(others, role+"-"+z)
		}
	}
	for _, name := range others {
		w.killMachine(name)
	}
	time.Sleep(1200 * time.Millisecond)
	w.killMachine(removed)
	time.Sleep(time.Second)
	w.addMachine(role+"-replacement", role, zone, "10.1.0.9", false)
	time.Sleep(600 * time.Millisecond)
	for _, name := range others {
		w.startMachine(name, false)
	}
}

// sendDelayed sends messages that are due after a delay, through all edges in turn, and returns
// their names by identifier.
func (w *world) sendDelayed(count int, delay time.Duration) map[string]string {
	w.t.Helper()
	names := map[string]string{}
	for i := range count {
		id := fmt.Sprintf("r%d", i)
		names[id] = w.sendUntilAccepted(zones[i%len(zones)], "/plain/", id, "Saltreel-Delay-Ms", strconv.FormatInt(delay.Milliseconds(), 10))
	}
	return names
}

// Guards against partitions that wait forever for a primary without backups whose machine
// was removed, although the stores that are back hold every accepted message
// (docs/incidents/removed-store.md).
func TestRemovedStoreLosesNoAcceptedMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{retentionSeconds: 900})
		names := w.sendDelayed(120, time.Minute)
		time.Sleep(4 * time.Second)
		w.removeStoreWhileOthersAreDown("store-z1")
		w.waitFor(12*time.Second, "all partitions in sync again", w.allInSync)
		for _, name := range names {
			w.waitForState(name, "pending", time.Second)
		}
		time.Sleep(50 * time.Second)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 20*time.Second)
			plain.checkDeliveredOnce(id)
		}
	})
}

// A store that comes back with its disk, at its old address, after its partitions were taken
// over, delivers nothing of what its successors have delivered.
func TestStoreThatReturnsAfterItsRemovalDeliversNothingAgain(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{retentionSeconds: 900})
		names := w.sendDelayed(120, 20*time.Second)
		time.Sleep(4 * time.Second)
		w.removeStoreWhileOthersAreDown("store-z1")
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 40*time.Second)
		}
		w.startMachine("store-z1", false)
		w.waitFor(12*time.Second, "all partitions in sync again", w.allInSync)
		time.Sleep(20 * time.Second)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, time.Second)
			plain.checkDeliveredOnce(id)
		}
	})
}

// Guards against the same failure for topics: subscribers receive every acknowledged message
// once and in one order, and further messages are acknowledged.
func TestRemovedStoreLosesNoTopicMessage(t *testing.T) {
	runLive(t, func(w *world) {
		traffic := w.startLiveTraffic(1, 20*time.Millisecond)
		time.Sleep(4 * time.Second)
		status, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		partitions := status.Placement.Partitions
		placed := partitions[topic.PartitionOf(traffic.topics[0], len(partitions))]
		w.removeStoreWhileOthersAreDown(placed.Primary)
		time.Sleep(15 * time.Second)
		w.waitFor(5*time.Second, "all partitions in sync again", w.allInSync)
		for _, problem := range traffic.finish() {
			t.Error(problem)
		}
	})
}

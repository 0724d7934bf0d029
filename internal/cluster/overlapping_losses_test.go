package cluster

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"saltreel/internal/placement"
	"saltreel/internal/topic"
)

// causeOverlappingLosses kills the first store, and has the second lose its disk while it is the
// only one with a complete replica of some partitions. Both come back, the first with its
// disk. It returns how many partitions that struck.
func (w *world) causeOverlappingLosses(first, second string) int {
	w.t.Helper()
	w.killMachine(first)
	affected := 0
	for deadline := time.Now().Add(5 * time.Second); affected == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatal("the replicas were in sync before the second loss")
		}
		status, err := w.status()
		if err != nil {
			continue
		}
		for _, p := range status.Placement.Partitions {
			if isSoleSyncedReplica(p, second) {
				affected++
			}
		}
	}
	w.killMachine(second)
	w.wipeDisk(second)
	time.Sleep(2 * time.Second)
	w.startMachine(second, false)
	time.Sleep(800 * time.Millisecond)
	w.startMachine(first, false)
	return affected
}

// isSoleSyncedReplica reports whether a store leads a partition none of whose backups is in sync.
func isSoleSyncedReplica(p placement.Partition, store string) bool {
	for _, backup := range p.Backups {
		if backup.InSync {
			return false
		}
	}
	return p.Primary == store
}

// Guards against partitions that wait for ever for a lost disk, although a store that is
// back and the one that was being filled hold all messages together
// (docs/incidents/overlapping-losses.md).
func TestOverlappingLossesLoseNoAcceptedMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{retentionSeconds: 900})
		w.slowLinks() // so that filling the new replicas takes a while
		names := map[string]string{}
		began := time.Now()
		for i := range 120 {
			id := fmt.Sprintf("o%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "60000")
		}
		w.quickLinks()
		stop := make(chan struct{})
		collect := w.streamMessages("/plain/", 20*time.Millisecond, stop) // accepted on the replicas that are left, too
		affected := w.causeOverlappingLosses("store-z1", "store-z2")
		if took := time.Since(began); took > 50*time.Second {
			t.Fatalf("some messages are due before the losses are over, after %v", took)
		}
		time.Sleep(2 * time.Second)
		close(stop)
		for id, name := range collect() {
			names[id] = name
		}
		t.Logf("%d messages, %d partitions struck", len(names), affected)
		w.waitFor(12*time.Second, "all partitions in sync again", w.allInSync)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 70*time.Second)
		}
		for id := range names {
			if strings.HasPrefix(id, "o") { // none of these had run before the losses
				plain.checkDeliveredOnce(id)
			}
		}
	})
}

// As above for topics: subscribers get all messages that were acknowledged, once and in
// one order, also what was published between the losses, and one that was away all the
// time.
func TestOverlappingLossesLoseNoTopicMessage(t *testing.T) {
	runLive(t, func(w *world) {
		traffic := w.startLiveTraffic(1, 20*time.Millisecond)
		time.Sleep(time.Second)
		left := traffic.clients[0].snapshot(traffic.topics[0])
		leftAt := time.Now()
		time.Sleep(2 * time.Second)
		status, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		partitions := status.Placement.Partitions
		placed := partitions[topic.PartitionOf(traffic.topics[0], len(partitions))]
		affected := w.causeOverlappingLosses(placed.Primary, placed.Backups[0].Store)
		time.Sleep(12 * time.Second)
		connected, end := context.WithCancel(context.Background())
		defer end()
		returned := w.newLiveClient(connected, "returned", "z3", traffic.topics[0])
		returned.mu.Lock()
		*returned.subscriptions[traffic.topics[0]] = liveSubscription{firstSubscribed: leftAt, cursor: left.cursor}
		returned.mu.Unlock()
		traffic.clients = append(traffic.clients, returned)
		w.waitFor(10*time.Second, "the subscription of the one that was away", returned.allSubscribed)
		t.Logf("%d messages acknowledged, %d partitions struck", traffic.acknowledged(), affected)
		for _, problem := range traffic.finish() {
			t.Error(problem)
		}
	})
}

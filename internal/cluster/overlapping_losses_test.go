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

// causeOverlappingLosses kills the first store, then wipes the second one while it holds the
// only synchronized replica of some partitions. Both restart, the first with its disk. It
// returns the number of these partitions.
func (w *world) causeOverlappingLosses(first, second string) int {
	w.t.Helper()
	w.killMachine(first)
	affected := 0
	for deadline := time.Now().Add(5 * time.Second); affected == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatal("no partition had the second store as its only synchronized replica within 5 s")
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

// isSoleSyncedReplica reports whether a store is primary of a partition without a synchronized
// backup.
func isSoleSyncedReplica(p placement.Partition, store string) bool {
	for _, backup := range p.Backups {
		if backup.InSync {
			return false
		}
	}
	return p.Primary == store
}

// Guards against partitions that wait forever for a lost disk although the returned store
// and the one that was being resynchronized together hold all messages
// (docs/incidents/overlapping-losses.md).
func TestOverlappingLossesLoseNoAcceptedMessage(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{retentionSeconds: 900})
		w.slowLinks() // prolongs the resynchronization of new replicas
		names := map[string]string{}
		began := time.Now()
		for i := range 120 {
			id := fmt.Sprintf("o%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "60000")
		}
		w.restoreLinks()
		stop := make(chan struct{})
		collect := w.streamMessages("/plain/", 20*time.Millisecond, stop) // some are accepted by the remaining replicas
		affected := w.causeOverlappingLosses("store-z1", "store-z2")
		if took := time.Since(began); took > 50*time.Second {
			t.Fatalf("the losses took %v, so that some messages became due before they were over", took)
		}
		time.Sleep(2 * time.Second)
		close(stop)
		for id, name := range collect() {
			names[id] = name
		}
		t.Logf("%d messages, %d partitions affected", len(names), affected)
		w.waitFor(12*time.Second, "all partitions in sync again", w.allInSync)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 70*time.Second)
		}
		for id := range names {
			if strings.HasPrefix(id, "o") { // none of these was due before the losses
				plain.checkDeliveredOnce(id)
			}
		}
	})
}

// Guards against the same failure for topics. Subscribers receive every acknowledged
// message once and in one order, including those published between the losses; so does a
// subscriber that was disconnected throughout.
func TestOverlappingLossesLoseNoTopicMessage(t *testing.T) {
	runLive(t, func(w *world) {
		traffic := w.startLiveTraffic(1, 20*time.Millisecond)
		time.Sleep(time.Second)
		before := traffic.clients[0].snapshot(traffic.topics[0])
		snapshotAt := time.Now()
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
		*returned.subscriptions[traffic.topics[0]] = liveSubscription{firstSubscribed: snapshotAt, cursor: before.cursor}
		returned.mu.Unlock()
		traffic.clients = append(traffic.clients, returned)
		w.waitFor(10*time.Second, "the subscription of the returning client", returned.allSubscribed)
		t.Logf("%d messages acknowledged, %d partitions affected", traffic.acknowledged(), affected)
		for _, problem := range traffic.finish() {
			t.Error(problem)
		}
	})
}

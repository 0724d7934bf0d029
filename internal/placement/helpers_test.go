package placement

import (
	"fmt"
	"slices"
	"testing"

	"saltreel/internal/membership"
)

var (
	oneBackup  = Redundancy{Backups: 1}
	twoBackups = Redundancy{Backups: 2}
)

// storeIn returns an available store with a disk of its own.
func storeIn(name, zone, region string) StoreStatus {
	return StoreStatus{
		Node:  membership.Node{Name: name, Role: "store", Address: name + ":1", Zone: zone, Region: region, Disk: "disk-" + name},
		Alive: true,
	}
}

// storesInSeparateZones returns available stores, each in a zone named after it.
func storesInSeparateZones(names ...string) map[string]StoreStatus {
	stores := map[string]StoreStatus{}
	for _, name := range names {
		stores[name] = storeIn(name, name, "")
	}
	return stores
}

// storesInSixZones returns available stores in six zones of three regions.
func storesInSixZones(perZone int) map[string]StoreStatus {
	stores := map[string]StoreStatus{}
	for zone := range 6 {
		for i := range perZone {
			addStore(stores, zone, i)
		}
	}
	return stores
}

func addStore(stores map[string]StoreStatus, zone, i int) {
	name := fmt.Sprintf("s%d-%d", zone, i)
	stores[name] = storeIn(name, fmt.Sprint("z", zone), fmt.Sprint("r", zone/2))
}

func setStatus(stores map[string]StoreStatus, name string, change func(*StoreStatus)) {
	status := stores[name]
	change(&status)
	stores[name] = status
}

// testingT is implemented by *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

var (
	_ testingT = (*testing.T)(nil)
	_ testingT = (*testing.B)(nil)
)

// converge calls Plan until the placement no longer changes, and checks each step.
// Primaries that are asked to stop do so, and replicas become in sync between plans.
func converge(t testingT, p Placement, stores map[string]StoreStatus, redundancy Redundancy, observe func(before, after Placement)) Placement {
	t.Helper()
	for range 200 {
		stoppedEpochs := map[int]int64{}
		next, handovers, changed := Plan(p, stores, nil, redundancy)
		for _, i := range handovers {
			stoppedEpochs[i] = p.Partitions[i].Epoch
		}
		if !changed && len(handovers) > 0 {
			next, _, changed = Plan(p, stores, stoppedEpochs, redundancy)
		}
		if !changed {
			return p
		}
		checkStep(t, p, next, stores, stoppedEpochs, redundancy)
		if observe != nil {
			observe(p, next)
		}
		p = replicate(next, stores)
	}
	t.Fatalf("placement did not converge")
	return p
}

// replicate returns the placement after every primary that can has copied the records of
// its sources, and every backup that can has become in sync.
func replicate(p Placement, stores map[string]StoreStatus) Placement {
	p = p.Clone()
	for i := range p.Partitions {
		partition := &p.Partitions[i]
		if !canReplicate(p, stores, *partition) {
			continue
		}
		partition.MarkInSync(partition.Primary)
		for _, backup := range partition.Backups {
			if isAvailable(p, stores, backup.Store) {
				partition.MarkInSync(backup.Store)
			}
		}
	}
	return p
}

// canReplicate reports whether the primary of a partition and all its sources are available.
func canReplicate(p Placement, stores map[string]StoreStatus, partition Partition) bool {
	needed := append([]string{partition.Primary}, partition.Sources...)
	return !slices.ContainsFunc(needed, func(name string) bool { return !isAvailable(p, stores, name) })
}

// isAvailable reports whether a store is alive and has the disk that the placement records.
func isAvailable(p Placement, stores map[string]StoreStatus, name string) bool {
	status, known := stores[name]
	return known && status.Alive && status.Disk == p.Stores[name].Disk
}

// checkStep checks the safety invariants of one step.
func checkStep(t testingT, before, after Placement, stores map[string]StoreStatus, stoppedEpochs map[int]int64, redundancy Redundancy) {
	t.Helper()
	available := func(name string) bool {
		return isAvailable(before, stores, name)
	}
	for i, now := range after.Partitions {
		was := before.Partitions[i]
		changed := now.Primary != was.Primary || !slices.Equal(now.Sources, was.Sources) || !slices.Equal(backupNames(now), backupNames(was))
		if changed != (now.Epoch > was.Epoch) {
			t.Fatalf("partition %d: epoch must increase exactly when the replicas change: %+v to %+v", i, was, now)
		}
		if at := was.BackupIndex(now.Primary); now.Primary != was.Primary && (at < 0 || !was.Backups[at].InSync) && len(now.Sources) == 0 {
			t.Fatalf("partition %d: a replica that is not in sync becomes primary: %+v to %+v", i, was, now)
		}
		if len(now.Sources) > 0 && now.Primary != was.Primary {
			checkTakeover(t, i, was, now, before, stores)
		}
		if now.Primary != was.Primary && available(was.Primary) && stoppedEpochs[i] != was.Epoch {
			t.Fatalf("partition %d: an available primary is replaced before it has stopped: %+v to %+v", i, was, now)
		}
		if had, has := inSyncReplicas(was, available), inSyncReplicas(now, available); has < had && has < redundancy.Backups+1 {
			t.Fatalf("partition %d: the number of in-sync replicas falls from %d to %d: %+v to %+v", i, had, has, was, now)
		}
		if names := append(backupNames(now), now.Primary); hasDuplicate(names) {
			t.Fatalf("partition %d: a store holds two replicas: %+v", i, now)
		}
	}
}

// checkTakeover checks a step to a primary that may lack records: no in-sync replica is
// left and its sources are available. (diskModel.check checks that it holds everything
// together with its sources, and deliveryModel.check that no other primary can deliver at
// the same time.)
func checkTakeover(t testingT, i int, was, now Partition, before Placement, stores map[string]StoreStatus) {
	t.Helper()
	if inSyncReplicas(was, func(name string) bool { return isAvailable(before, stores, name) }) > 0 {
		t.Fatalf("partition %d: a replica that is not in sync becomes primary although another one is in sync: %+v to %+v", i, was, now)
	}
	for _, source := range now.Sources {
		if !isAvailable(before, stores, source) {
			t.Fatalf("partition %d: a source is not available: %+v", i, now)
		}
	}
}

// inSyncReplicas returns the number of in-sync replicas on available stores.
func inSyncReplicas(p Partition, available func(string) bool) int {
	count := 0
	for _, replica := range append([]Backup{{p.Primary, len(p.Sources) == 0}}, p.Backups...) {
		if replica.InSync && available(replica.Store) {
			count++
		}
	}
	return count
}

func backupNames(p Partition) []string {
	var names []string
	for _, backup := range p.Backups {
		names = append(names, backup.Store)
	}
	return names
}

// replicaStores returns the primary followed by the backups.
func replicaStores(p Partition) []string { return append([]string{p.Primary}, backupNames(p)...) }

func hasDuplicate(names []string) bool {
	slices.Sort(names)
	return len(slices.Compact(names)) < len(names)
}

package placement

import (
	"fmt"
	"testing"
)

func TestInitialPlacementOfFewStores(t *testing.T) {
	for _, n := range []int{1, 2, 4, 5} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("s", i))
		}
		for i, partition := range Initial(storesInSeparateZones(names...), oneBackup).Partitions {
			if partition.BackupIndex(partition.Primary) >= 0 || len(partition.Backups) != min(1, n-1) {
				t.Errorf("%d stores, partition %d: %+v", n, i, partition)
			}
		}
	}
}

func TestReplicasAreAsNearAsRedundancyPermits(t *testing.T) {
	for _, c := range []struct {
		redundancy     Redundancy
		zones, regions int // of each partition
	}{
		{Redundancy{Backups: 2}, 1, 1},
		{Redundancy{Backups: 2, Zones: 1}, 2, 1},
		{Redundancy{Backups: 2, Zones: 2}, 3, 2},
		{Redundancy{Backups: 2, Regions: 1}, 2, 2},
		{Redundancy{Backups: 2, Regions: 2}, 3, 3},
	} {
		t.Run(fmt.Sprintf("%+v", c.redundancy), func(t *testing.T) {
			stores := storesInSixZones(3)
			p := Initial(stores, c.redundancy)
			checkDomains(t, p, stores, c.zones, c.regions)
			checkReplicaLoad(t, p, stores)
			p = checkReplacedDisks(t, p, stores, c.redundancy)
			checkAddedStore(t, p, stores, c.redundancy)
		})
	}
}

// checkDomains checks that each partition has two backups and spans the given number of
// zones and regions.
func checkDomains(t *testing.T, p Placement, stores map[string]StoreStatus, zones, regions int) {
	t.Helper()
	for i, partition := range p.Partitions {
		inZones, inRegions := map[string]bool{}, map[string]bool{}
		for _, name := range replicaStores(partition) {
			inZones[stores[name].Zone] = true
			inRegions[stores[name].Region] = true
		}
		if len(partition.Backups) != 2 || len(inZones) != zones || len(inRegions) != regions {
			t.Errorf("partition %d at %+v", i, partition)
		}
	}
}

// checkReplicaLoad checks that no store holds far more or fewer replicas than the others.
func checkReplicaLoad(t *testing.T, p Placement, stores map[string]StoreStatus) {
	t.Helper()
	held := map[string]int{}
	for _, partition := range p.Partitions {
		for _, name := range replicaStores(partition) {
			held[name]++
		}
	}
	for name := range stores {
		if held[name] < partitionsPerStore*2 || held[name] > partitionsPerStore*4 {
			t.Errorf("%s holds %d replicas", name, held[name])
		}
	}
}

// checkReplacedDisks checks that primaries and backups are restored after the disks of
// two stores are replaced at once, with each primary on its former store.
func checkReplacedDisks(t *testing.T, p Placement, stores map[string]StoreStatus, redundancy Redundancy) Placement {
	t.Helper()
	for _, name := range []string{"s0-0", "s1-2"} {
		setStatus(stores, name, func(s *StoreStatus) { s.Disk = "new" })
	}
	q := converge(t, p, stores, redundancy, nil)
	for i, partition := range q.Partitions {
		if !partition.InSync(2) || partition.Primary != p.Partitions[i].Primary {
			t.Errorf("new disks: partition %d at %+v", i, partition)
		}
	}
	return q
}

// checkAddedStore checks that an added store becomes primary of as many partitions as
// the target load, and that no other primary moves.
func checkAddedStore(t *testing.T, p Placement, stores map[string]StoreStatus, redundancy Redundancy) {
	t.Helper()
	stores["s99"] = storeIn("s99", "z0", "r0")
	q := converge(t, p, stores, redundancy, nil)
	moved := 0
	for i, partition := range q.Partitions {
		if partition.Primary != p.Partitions[i].Primary {
			moved++
		}
	}
	if !IsReplicaOrSource(q, "s99") || moved != partitionsPerStore-1 {
		t.Errorf("%d primaries moved after a store was added, want %d", moved, partitionsPerStore-1)
	}
}

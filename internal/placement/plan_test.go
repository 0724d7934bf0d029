package placement

import (
	"fmt"
	"slices"
	"testing"
)

func TestLostStoreIsReplacedAndPreferredPlacementRestored(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	first := Initial(stores, oneBackup)
	primaries := map[string]int{}
	for _, partition := range first.Partitions {
		primaries[partition.Primary]++
		if partition.BackupIndex(partition.Primary) >= 0 || !partition.InSync(1) {
			t.Fatalf("%+v", partition)
		}
	}
	if primaries["a"] != partitionsPerStore || primaries["b"] != partitionsPerStore {
		t.Errorf("primaries by store: %v", primaries)
	}
	for lost := range stores {
		without := storesInSeparateZones("a", "b", "c")
		setStatus(without, lost, func(s *StoreStatus) { s.Alive = false })
		p := converge(t, first, without, oneBackup, nil)
		for i, partition := range p.Partitions {
			if partition.HasReplica(lost) || !partition.InSync(1) {
				t.Errorf("without %s: partition %d at %+v", lost, i, partition)
			}
		}
		p = converge(t, p, stores, oneBackup, nil)
		for i, partition := range p.Partitions {
			want := first.Partitions[i]
			if partition.Primary != want.Primary || !slices.Equal(partition.Backups, want.Backups) {
				t.Errorf("%s is available again: partition %d at %+v, not %+v", lost, i, partition, want)
			}
		}
	}
}

func TestBackupNotInSyncNeverBecomesPrimary(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	p := Initial(stores, oneBackup)
	for i := range p.Partitions {
		p.Partitions[i].Backups[0].InSync = p.Partitions[i].Primary != "a"
	}
	setStatus(stores, "a", func(s *StoreStatus) { s.Alive = false })
	next, _, _ := Plan(p, stores, nil, oneBackup)
	for i, partition := range next.Partitions {
		if p.Partitions[i].Primary == "a" && partition.Primary != "a" {
			t.Errorf("partition %d: a backup that was not in sync became primary: %+v", i, partition)
		}
	}
}

func TestPrimaryStopsBeforeSuccessorLeads(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	p := Initial(stores, oneBackup)
	setStatus(stores, "a", func(s *StoreStatus) { s.Draining = true })
	partition := slices.IndexFunc(p.Partitions, func(x Partition) bool { return x.Primary == "a" })
	const epoch = 5
	p.Partitions[partition].Epoch = epoch
	for _, c := range []struct {
		name          string
		stoppedEpochs map[int]int64
		stays         bool
	}{
		{"not asked yet", nil, true},
		{"stopped in an earlier epoch", map[int]int64{partition: epoch - 1}, true},
		{"stopped in this epoch", map[int]int64{partition: epoch}, false},
	} {
		next, handovers, _ := Plan(p, stores, c.stoppedEpochs, oneBackup)
		if stays := next.Partitions[partition].Primary == "a"; stays != c.stays {
			t.Errorf("%s: primary kept: %v", c.name, stays)
		}
		if asked := slices.Contains(handovers, partition); asked != c.stays {
			t.Errorf("%s: handover requested: %v", c.name, asked)
		}
	}
}

func TestStoreWithNewDiskCountsAsEmpty(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	p := Initial(stores, oneBackup)
	setStatus(stores, "a", func(s *StoreStatus) { s.Disk = "disk-new" })
	next := converge(t, p, stores, oneBackup, func(before, after Placement) {
		for i, partition := range after.Partitions {
			if partition.Primary == "a" && before.Partitions[i].Primary != "a" && after.Stores["a"].Disk != "disk-new" {
				t.Errorf("partition %d: the store became primary while the placement records its lost disk", i)
			}
		}
	})
	if next.Stores["a"].Disk != "disk-new" || !IsReplicaOrSource(next, "a") {
		t.Errorf("new disk is not used: %+v", next.Stores["a"])
	}
}

func TestRetiredStoreIsEmptied(t *testing.T) {
	p := Initial(storesInSeparateZones("a", "b", "c"), oneBackup)
	retired := p.Stores["b"]
	retired.RetireState = RetireActive
	p.Stores["b"] = retired
	q := converge(t, p, storesInSeparateZones("a", "b", "c"), oneBackup, nil)
	if IsReplicaOrSource(q, "b") || q.Stores["b"].RetireState != RetireComplete {
		t.Errorf("retired: %+v", q)
	}
	stores := storesInSeparateZones("a", "b", "c")
	setStatus(stores, "c", func(s *StoreStatus) { s.Alive = false }) // no other store can take the replicas of the retired one
	for i, partition := range converge(t, p, stores, oneBackup, nil).Partitions {
		if len(partition.Backups) < 1 {
			t.Errorf("partition %d has no backup: %+v", i, partition)
		}
	}
}

func TestDrainingStoreIsEmptied(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	setStatus(stores, "c", func(s *StoreStatus) { s.Draining = true })
	if q := converge(t, Initial(storesInSeparateZones("a", "b", "c"), oneBackup), stores, oneBackup, nil); IsReplicaOrSource(q, "c") {
		t.Errorf("draining: %+v", q)
	}
}

// The cost of a plan must be linear in the number of partitions: ten times as many
// stores may cost at most twenty times as many allocations.
func TestPlanCostIsLinearInPartitions(t *testing.T) {
	cost := func(perZone int) float64 {
		stores := storesInSixZones(perZone)
		p := Initial(stores, twoBackups)
		return testing.AllocsPerRun(3, func() {
			if _, _, changed := Plan(p, stores, nil, twoBackups); changed {
				t.Error("a placement in its desired state is changed")
			}
		})
	}
	if small, large := cost(1), cost(10); large > 20*small {
		t.Errorf("%.0f allocations for 6 stores, %.0f for 60", small, large)
	}
}

func TestAddedStoresTakeOnlyTheirTargetLoad(t *testing.T) {
	for _, perZone := range []int{3, 10} {
		t.Run(fmt.Sprintf("%d stores", 6*perZone), func(t *testing.T) {
			stores := storesInSixZones(perZone)
			p := Initial(stores, twoBackups)
			addStore(stores, 1, 99)
			addStore(stores, 4, 10)
			q := converge(t, p, stores, twoBackups, func(Placement, Placement) {})
			moved, held := 0, map[string]int{}
			for i, partition := range q.Partitions {
				for _, name := range replicaStores(partition) {
					held[name]++
					if !p.Partitions[i].HasReplica(name) {
						moved++
					}
				}
			}
			targetLoad := 3 * len(q.Partitions) / len(stores)
			if moved > 3*targetLoad || held["s1-99"] < targetLoad/2 || held["s4-10"] < targetLoad/2 {
				t.Errorf("%d replicas of %d moved; the new stores hold %d and %d, the target load is %d", moved, 3*len(q.Partitions), held["s1-99"], held["s4-10"], targetLoad)
			}
		})
	}
}

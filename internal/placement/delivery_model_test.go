package placement

import "slices"

// deliveryModel models which primaries may deliver messages. A store delivers as the
// primary of an epoch that is complete, that is, has enough backups for a message to be
// accepted, and only under leases from all of these backups, for as long as none of these
// replicas knows a newer epoch. In the worst case a store learns of an epoch only when the
// primary of that epoch has to reach it.
type deliveryModel struct {
	complete map[int][]Partition        // complete epochs, by partition
	known    map[int]map[string]int64   // newest epoch that a store knows, by partition and store
	recorded map[int]map[int64]struct{} // epochs of complete
}

// record adds the epochs of a placement.
func (d *deliveryModel) record(p Placement, redundancy Redundancy) {
	if d.complete == nil {
		d.complete = map[int][]Partition{}
		d.known = map[int]map[string]int64{}
		d.recorded = map[int]map[int64]struct{}{}
	}
	for i, partition := range p.Partitions {
		if d.recorded[i] == nil {
			d.recorded[i] = map[int64]struct{}{}
			d.known[i] = map[string]int64{}
		}
		_, recorded := d.recorded[i][partition.Epoch]
		if recorded || len(partition.Backups) < redundancy.Backups {
			continue
		}
		d.recorded[i][partition.Epoch] = struct{}{}
		partition.Backups = slices.Clone(partition.Backups)
		d.complete[i] = append(d.complete[i], partition)
	}
}

// fenced returns the stores that know the epoch of a partition once its primary acts.
func fenced(partition Partition) []string {
	return append([]string{partition.Primary}, partition.Sources...)
}

// learn records that each primary that can replicate has reached its sources.
func (d *deliveryModel) learn(p Placement, stores map[string]StoreStatus) {
	for i, partition := range p.Partitions {
		if !canReplicate(p, stores, partition) {
			continue
		}
		for _, name := range fenced(partition) {
			d.known[i][name] = partition.Epoch
		}
	}
}

// check checks that no other primary may deliver when a primary acts that can replicate.
func (d *deliveryModel) check(t testingT, p Placement, stores map[string]StoreStatus) {
	t.Helper()
	for i, partition := range p.Partitions {
		if !canReplicate(p, stores, partition) {
			continue
		}
		for _, earlier := range d.complete[i] {
			blocked := func(name string) bool {
				return d.known[i][name] > earlier.Epoch || partition.Epoch > earlier.Epoch && slices.Contains(fenced(partition), name)
			}
			if earlier.Primary != partition.Primary && !slices.ContainsFunc(replicaStores(earlier), blocked) {
				t.Fatalf("partition %d: the primary of epoch %d may still deliver: %+v, then %+v", i, earlier.Epoch, earlier, partition)
			}
		}
	}
}

package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cluster is a placement and its stores, subject to random events.
type cluster struct {
	redundancy    Redundancy
	placement     Placement
	stores        map[string]StoreStatus
	stoppedEpochs map[int]int64
	disks         diskModel
	deliveries    deliveryModel
	removed       map[string]bool // stores whose machines never come back
	lostDisks     int             // disks lost since all partitions were last in sync
	boundedLosses bool            // no more disks are lost than the redundancy permits
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{stores: map[string]StoreStatus{}, stoppedEpochs: map[int]int64{}, disks: diskModel{}, removed: map[string]bool{}}
	for range rapid.IntRange(1, 9).Draw(t, "stores") {
		c.addStore(t)
	}
	c.redundancy = Redundancy{
		Backups: rapid.IntRange(0, 3).Draw(t, "backups"),
		Zones:   rapid.IntRange(0, 2).Draw(t, "zones"),
		Regions: rapid.IntRange(0, 2).Draw(t, "regions"),
	}
	c.boundedLosses = rapid.Bool().Draw(t, "bounded losses")
	c.placement = Initial(c.stores, c.redundancy)
	c.deliveries.record(c.placement, c.redundancy)
	return c
}

func (c *cluster) addStore(t *rapid.T) {
	zone := rapid.IntRange(0, 5).Draw(t, "zone")
	name := fmt.Sprintf("s%02d", len(c.stores))
	c.stores[name] = storeIn(name, fmt.Sprint("z", zone), fmt.Sprint("r", zone/2))
}

// event applies a random event to one store, or adds a store.
func (c *cluster) event(t *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(c.stores))).Draw(t, "store")
	switch rapid.SampledFrom([]string{"crash", "start", "drain", "replace disk", "retire", "add", "overlap", "remove", "replace while others are down", "none"}).Draw(t, "event") {
	case "crash":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Alive = false })
	case "start":
		c.start(name)
	case "drain":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Draining = true })
	case "replace disk":
		c.replaceDisk(name)
	case "retire":
		if store, known := c.placement.Stores[name]; known && store.RetireState == "" {
			store.RetireState = RetireActive
			c.placement.Stores[name] = store
		}
	case "add":
		c.addStore(t)
	case "overlap": // another disk is lost before the replicas of this store are restored
		other := rapid.SampledFrom(slices.Sorted(maps.Keys(c.stores))).Draw(t, "other")
		setStatus(c.stores, name, func(s *StoreStatus) { s.Alive = false })
		c.plan(t)
		c.disks.accept(c.placement, c.stores, c.redundancy)
		c.replaceDisk(other)
	case "remove":
		c.remove(name)
	case "replace while others are down":
		c.replaceWhileOthersAreDown(t, name)
	}
}

// start starts a store with its disk, unless its machine was removed.
func (c *cluster) start(name string) {
	if !c.removed[name] {
		setStatus(c.stores, name, func(s *StoreStatus) { s.Alive, s.Draining = true, false })
	}
}

// mayLoseDisk reports whether a store may lose its disk now.
func (c *cluster) mayLoseDisk(name string) bool {
	return !c.removed[name] && (!c.boundedLosses || c.lostDisks < c.redundancy.Backups)
}

func (c *cluster) replaceDisk(name string) {
	if c.mayLoseDisk(name) {
		setStatus(c.stores, name, func(s *StoreStatus) { s.Disk += "'" })
		c.lostDisks++
	}
}

// remove takes a machine away for good, with its disk.
func (c *cluster) remove(name string) {
	if !c.mayLoseDisk(name) {
		return
	}
	setStatus(c.stores, name, func(s *StoreStatus) { s.Alive = false })
	c.removed[name] = true
	c.lostDisks++
}

// replaceWhileOthersAreDown crashes random other stores, removes a store, adds another one
// in its place, and then starts the others again. Plans are made in between.
func (c *cluster) replaceWhileOthersAreDown(t *rapid.T, name string) {
	names := slices.Sorted(maps.Keys(c.stores))
	down := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, len(names), rapid.ID).Draw(t, "down")
	for _, other := range down {
		if other != name {
			setStatus(c.stores, other, func(s *StoreStatus) { s.Alive = false })
		}
	}
	c.plan(t)
	c.remove(name)
	c.plan(t)
	c.addStore(t)
	if rapid.Bool().Draw(t, "plans with the new store") {
		c.plan(t)
	}
	for _, other := range down {
		c.start(other)
	}
}

// step plans once; then, at random, partitions accept messages and replicas become in sync.
func (c *cluster) step(t *rapid.T) {
	c.plan(t)
	if rapid.Bool().Draw(t, "accepts") {
		c.disks.accept(c.placement, c.stores, c.redundancy)
	}
	if rapid.Bool().Draw(t, "replicates") {
		c.replicate()
	}
}

// plan plans once, checks the step, and lets a random subset of the primaries stop.
func (c *cluster) plan(t *rapid.T) {
	before := c.placement.Clone()
	next, handovers, changed := Plan(c.placement, c.stores, c.stoppedEpochs, c.redundancy)
	if again, _, _ := Plan(c.placement, c.stores, c.stoppedEpochs, c.redundancy); !equalPlacements(again, next) {
		t.Fatalf("two plans of the same input differ: %+v and %+v", next, again)
	}
	if !equalPlacements(before, c.placement) {
		t.Fatalf("Plan modified its input: %+v to %+v", before, c.placement)
	}
	if changed == equalPlacements(before, next) {
		t.Fatalf("changed is %v from %+v to %+v", changed, before, next)
	}
	checkStep(t, before, next, c.stores, c.stoppedEpochs, c.redundancy)
	for _, i := range handovers {
		if rapid.Bool().Draw(t, "stops") {
			c.stoppedEpochs[i] = before.Partitions[i].Epoch
		}
	}
	c.placement = next.Clone()
	c.disks.check(t, c.placement, c.stores)
	c.deliveries.record(c.placement, c.redundancy)
	c.deliveries.check(t, c.placement, c.stores)
}

// replicate completes all replication that is possible, in the placement and in the disk
// model.
func (c *cluster) replicate() {
	c.disks.replicate(c.placement, c.stores)
	c.deliveries.learn(c.placement, c.stores)
	c.placement = replicate(c.placement, c.stores)
	for _, p := range c.placement.Partitions {
		unavailable := slices.ContainsFunc(replicaStores(p), func(name string) bool { return !isAvailable(c.placement, c.stores, name) })
		if unavailable || !p.InSync(c.redundancy.Backups) {
			return
		}
	}
	c.lostDisks = 0
}

func equalPlacements(a, b Placement) bool {
	return a.Version == b.Version && maps.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Partitions, b.Partitions, func(x, y Partition) bool {
		return x.Epoch == y.Epoch && x.PreferredPrimary == y.PreferredPrimary && slices.Equal(x.PreferredBackups, y.PreferredBackups) &&
			x.Primary == y.Primary && slices.Equal(x.Backups, y.Backups) && slices.Equal(x.Sources, y.Sources) && slices.Equal(x.Spans, y.Spans)
	})
}

// Under random failures every step satisfies the invariants of checkStep, no primary acts
// without all accepted messages, and none acts while an earlier one may still deliver. Once
// all stores that were not removed stay available, every partition regains its primary and
// backups with all messages, unless more disks were lost than the redundancy permits.
// Guards against partitions that stay unavailable for good although the remaining disks
// together hold every message: after the last in-sync replica loses its disk
// (docs/incidents/overlapping-losses.md), and after a primary without backups is removed
// (docs/incidents/removed-store.md).
func TestPlanIsSafeUnderRandomFailures(t *testing.T) {
	for range randomChecks {
		rapid.Check(t, checkRandomFailures)
	}
}

// randomChecks is the number of calls of rapid.Check, 100 schedules each unless
// -rapid.checks says otherwise. One schedule in about 60 has a primary without backups
// whose machine is removed.
const randomChecks = 6

func checkRandomFailures(t *rapid.T) {
	c := newCluster(t)
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		c.event(t)
		c.step(t)
	}
	// The controller proposes the initial placement only once there are enough stores.
	recoverable := c.lostDisks <= c.redundancy.Backups && c.placement.InitialStores > c.redundancy.Backups
	for name := range c.stores {
		c.start(name)
	}
	c.replicate()
	c.placement = converge(t, c.placement, c.stores, c.redundancy, func(_, after Placement) {
		c.disks.check(t, after, c.stores)
		c.disks.replicate(after, c.stores)
		c.deliveries.record(after, c.redundancy)
		c.deliveries.check(t, after, c.stores)
		c.deliveries.learn(after, c.stores)
	})
	c.checkRedundancy(t, recoverable)
}

// diskModel models the contents of the disks: for each disk and partition, the epochs
// whose accepted messages it holds.
type diskModel map[string]map[int]map[int64]bool

// accepted is the name of a virtual disk that holds every accepted message.
const accepted = ""

func (d diskModel) put(disk string, partition int, epoch int64) {
	if d[disk] == nil {
		d[disk] = map[int]map[int64]bool{}
	}
	if d[disk][partition] == nil {
		d[disk][partition] = map[int64]bool{}
	}
	d[disk][partition][epoch] = true
}

// copyTo copies the messages of a partition from one disk to another.
func (d diskModel) copyTo(to, from string, partition int) {
	for epoch := range d[from][partition] {
		d.put(to, partition, epoch)
	}
}

// accept lets every partition that can accept a message, which all its replicas then hold.
func (d diskModel) accept(p Placement, stores map[string]StoreStatus, redundancy Redundancy) {
	for i, partition := range p.Partitions {
		replicas := replicaStores(partition)
		down := slices.ContainsFunc(replicas, func(name string) bool { return !isAvailable(p, stores, name) })
		if down || len(partition.Sources) > 0 || len(partition.Backups) < redundancy.Backups {
			continue
		}
		for _, name := range append(replicas, accepted) {
			d.put(p.Stores[name].Disk, i, partition.Epoch)
		}
	}
}

// replicate copies the messages of the sources to each primary that can replicate, and
// those of the primary to its available backups.
func (d diskModel) replicate(p Placement, stores map[string]StoreStatus) {
	for i, partition := range p.Partitions {
		if !canReplicate(p, stores, partition) {
			continue
		}
		primary := p.Stores[partition.Primary].Disk
		for _, source := range partition.Sources {
			d.copyTo(primary, p.Stores[source].Disk, i)
		}
		for _, backup := range partition.Backups {
			if isAvailable(p, stores, backup.Store) {
				d.copyTo(p.Stores[backup.Store].Disk, primary, i)
			}
		}
	}
}

// check checks that each available primary, together with its sources, holds every
// accepted message.
func (d diskModel) check(t testingT, p Placement, stores map[string]StoreStatus) {
	t.Helper()
	for i, partition := range p.Partitions {
		if !canReplicate(p, stores, partition) {
			continue
		}
		for epoch := range d[accepted][i] {
			holds := func(name string) bool { return d[p.Stores[name].Disk][i][epoch] }
			if !slices.ContainsFunc(append([]string{partition.Primary}, partition.Sources...), holds) {
				t.Fatalf("partition %d: a message accepted in epoch %d is missing: %+v", i, epoch, partition)
			}
		}
	}
}

// checkRedundancy checks that all partitions are restored. One with accepted messages may
// stay unavailable only if recoverable is false.
func (c *cluster) checkRedundancy(t *rapid.T, recoverable bool) {
	active := 0
	for name, store := range c.placement.Stores {
		if isAvailable(c.placement, c.stores, name) && store.RetireState == "" {
			active++
		}
	}
	for i, partition := range c.placement.Partitions {
		if !canReplicate(c.placement, c.stores, partition) {
			if recoverable && len(c.disks[accepted][i]) > 0 {
				t.Fatalf("partition %d is unavailable although no more disks were lost than the redundancy permits: %+v, %+v", i, partition, c.placement.Stores)
			}
			continue // some accepted messages were on lost disks only, or there were none
		}
		if !partition.InSync(min(c.redundancy.Backups, max(0, active-1))) {
			t.Fatalf("partition %d is not restored: %+v", i, partition)
		}
	}
}

package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cluster is a placement and the stores it is planned for, under random events.
type cluster struct {
	redundancy Redundancy
	placement  Placement
	stores     map[string]StoreStatus
	released   map[int]int64
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{stores: map[string]StoreStatus{}, released: map[int]int64{}}
	for range rapid.IntRange(1, 9).Draw(t, "stores") {
		c.addStore(t)
	}
	c.redundancy = Redundancy{
		Backups: rapid.IntRange(0, 3).Draw(t, "backups"),
		Zones:   rapid.IntRange(0, 2).Draw(t, "zones"),
		Regions: rapid.IntRange(0, 2).Draw(t, "regions"),
	}
	c.placement = Initial(c.stores, c.redundancy)
	return c
}

func (c *cluster) addStore(t *rapid.T) {
	zone := rapid.IntRange(0, 5).Draw(t, "zone")
	name := fmt.Sprintf("s%02d", len(c.stores))
	c.stores[name] = storeIn(name, fmt.Sprint("z", zone), fmt.Sprint("r", zone/2))
}

// event changes the state of one store, or adds one.
func (c *cluster) event(t *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(c.stores))).Draw(t, "store")
	switch rapid.SampledFrom([]string{"crash", "start", "drain", "replace disk", "retire", "add", "none"}).Draw(t, "event") {
	case "crash":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Alive = false })
	case "start":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Alive, s.Draining = true, false })
	case "drain":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Draining = true })
	case "replace disk":
		setStatus(c.stores, name, func(s *StoreStatus) { s.Disk += "'" })
	case "retire":
		if store, known := c.placement.Stores[name]; known && store.Retire == "" {
			store.Retire = RetireActive
			c.placement.Stores[name] = store
		}
	case "add":
		c.addStore(t)
	}
}

// step plans once, checks the step, and lets some primaries stop and some
// backups become in sync.
func (c *cluster) step(t *rapid.T) {
	before := c.placement.Clone()
	next, handovers, changed := Plan(c.placement, c.stores, c.released, c.redundancy)
	if again, _, _ := Plan(c.placement, c.stores, c.released, c.redundancy); !equalPlacements(again, next) {
		t.Fatalf("two plans of the same input differ: %+v and %+v", next, again)
	}
	if !equalPlacements(before, c.placement) {
		t.Fatalf("the input is modified: %+v to %+v", before, c.placement)
	}
	if changed == equalPlacements(before, next) {
		t.Fatalf("changed is %v from %+v to %+v", changed, before, next)
	}
	checkStep(t, before, next, c.stores, c.released, c.redundancy)
	for _, i := range handovers {
		if rapid.Bool().Draw(t, "stops") {
			c.released[i] = before.Partitions[i].Epoch
		}
	}
	c.placement = next.Clone()
	if rapid.Bool().Draw(t, "replicates") {
		c.placement = replicate(c.placement, c.stores)
	}
}

func equalPlacements(a, b Placement) bool {
	return a.Version == b.Version && maps.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Partitions, b.Partitions, func(x, y Partition) bool {
		return x.Epoch == y.Epoch && x.PreferredPrimary == y.PreferredPrimary && slices.Equal(x.PreferredBackups, y.PreferredBackups) &&
			x.Primary == y.Primary && slices.Equal(x.Backups, y.Backups)
	})
}

// Under any failures no step breaks the safety rules of checkStep. Once the
// stores stay available, each partition whose primary survived regains its
// backups.
func TestPlanIsSafeUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			c.event(t)
			c.step(t)
		}
		for name := range c.stores {
			setStatus(c.stores, name, func(s *StoreStatus) { s.Alive, s.Draining = true, false })
		}
		c.placement = converge(t, replicate(c.placement, c.stores), c.stores, c.redundancy, nil)
		c.checkRedundancy(t)
	})
}

func (c *cluster) checkRedundancy(t *rapid.T) {
	active := 0
	for name, store := range c.placement.Stores {
		if isAvailable(c.placement, c.stores, name) && store.Retire == "" {
			active++
		}
	}
	for i, partition := range c.placement.Partitions {
		if !isAvailable(c.placement, c.stores, partition.Primary) {
			continue // the only replica in sync was on a lost disk
		}
		if !partition.InSync(min(c.redundancy.Backups, max(0, active-1))) {
			t.Fatalf("partition %d is not restored: %+v", i, partition)
		}
	}
}

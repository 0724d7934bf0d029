package placement

import (
	"iter"
	"slices"
	"sort"
)

// Distance classes of two stores, in order of increasing traffic cost.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// topology indexes the stores of a placement by zone, region and distance from one
// another. It is valid as long as no store is added or retired.
type topology struct {
	active    []string         // stores that are not retired, available or not, sorted by zone and name
	stores    map[string]Store // all stores of the placement
	neighbors map[string]*neighbors
}

// neighbors holds the other active stores, grouped by their distance from one store.
type neighbors struct {
	index        int                 // of the store itself in topology.active
	zone, region []string            // stores of the same zone, and of other zones of the same region
	otherRegions []string            // names of the other regions, in the order of topology.active
	byRegion     map[string][]string // stores of the other regions
}

func newTopology(stores map[string]Store) *topology {
	return &topology{active: activeStores(stores), stores: stores, neighbors: map[string]*neighbors{}}
}

// activeStores returns the stores that are not retired, sorted by zone and name.
func activeStores(stores map[string]Store) []string {
	var names []string
	for name, store := range stores {
		if store.RetireState == "" {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := stores[names[i]], stores[names[j]]
		return a.Zone < b.Zone || a.Zone == b.Zone && names[i] < names[j]
	})
	return names
}

// isActive reports whether a store is known and not retired.
func (t *topology) isActive(name string) bool {
	store, known := t.stores[name]
	return known && store.RetireState == ""
}

// distance returns sameZone, sameRegion or otherRegion.
func (t *topology) distance(a, b string) int {
	x, y := t.stores[a], t.stores[b]
	switch {
	case x.Zone == y.Zone:
		return sameZone
	case x.Region == y.Region:
		return sameRegion
	}
	return otherRegion
}

// distanceProfile describes a replica set independently of the names of its stores:
// the distances of the backups from the primary in ascending order, then the number of
// zones and of regions. Replica sets with equal profiles tolerate the same failures at
// the same traffic cost.
func (t *topology) distanceProfile(primary string, backups []string) []int {
	profile := make([]int, 0, len(backups)+2)
	domains := newFailureDomains().with(t.stores[primary])
	for _, name := range backups {
		domains = domains.with(t.stores[name])
		profile = append(profile, t.distance(primary, name))
	}
	slices.Sort(profile)
	return append(profile, len(domains.zones), len(domains.regions))
}

// neighborsOf returns the neighbors of a store, which it computes on first use. There
// must be an active store; a store that is not active has the neighbors of the first
// active one.
func (t *topology) neighborsOf(name string) *neighbors {
	if known := t.neighbors[name]; known != nil {
		return known
	}
	n := &neighbors{index: max(0, slices.Index(t.active, name)), byRegion: map[string][]string{}}
	center := t.stores[t.active[n.index]]
	for i, other := range t.active {
		store := t.stores[other]
		switch {
		case i == n.index:
		case store.Zone == center.Zone:
			n.zone = append(n.zone, other)
		case store.Region == center.Region:
			n.region = append(n.region, other)
		default:
			n.addOtherRegion(store.Region, other)
		}
	}
	t.neighbors[name] = n
	return n
}

func (n *neighbors) addOtherRegion(region, name string) {
	if n.byRegion[region] == nil {
		n.otherRegions = append(n.otherRegions, region)
	}
	n.byRegion[region] = append(n.byRegion[region], name)
}

// storesByDistance yields the active stores in a partition's order of preference: its
// preferred primary, then the others by distance. Stores at the same distance are
// rotated by the round of the partition (see Placement.round), so that the partitions
// of one primary get different backups.
func (t *topology) storesByDistance(preferredPrimary string, round int) iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(t.active) == 0 {
			return
		}
		n := t.neighborsOf(preferredPrimary)
		start := n.index*partitionsPerStore + round
		if !yield(t.active[n.index]) || !rotate(n.zone, start, yield) || !rotate(n.region, start, yield) {
			return
		}
		rotate(n.otherRegions, start, func(region string) bool {
			return rotate(n.byRegion[region], start/len(n.otherRegions), yield)
		})
	}
}

// rotate yields each element of a list once, beginning at index start modulo its
// length. It reports whether the iteration should continue.
func rotate(list []string, start int, yield func(string) bool) bool {
	for i := range list {
		if !yield(list[(start+i)%len(list)]) {
			return false
		}
	}
	return true
}

// failureDomains is the set of zones and regions that hold a replica.
type failureDomains struct {
	zones, regions []string
}

// newFailureDomains preallocates for the usual number of replicas, so that adding
// them does not allocate.
func newFailureDomains() failureDomains {
	return failureDomains{zones: make([]string, 0, 8), regions: make([]string, 0, 8)}
}

// with returns the failure domains including those of a store. Like append, it may
// reuse the underlying arrays.
func (d failureDomains) with(store Store) failureDomains {
	if !slices.Contains(d.zones, store.Zone) {
		d.zones = append(d.zones, store.Zone)
	}
	if !slices.Contains(d.regions, store.Region) {
		d.regions = append(d.regions, store.Region)
	}
	return d
}

// permits reports whether the redundancy can still be met if the next of the remaining
// replicas is placed on the given store. To survive the loss of n zones, the replicas
// must span n+1 zones: once as many zones are missing as replicas remain, each of these
// has to be in a new zone. The same holds for regions.
func (d failureDomains) permits(store Store, remaining int, redundancy Redundancy) bool {
	needsNewRegion := redundancy.Regions+1-len(d.regions) >= remaining
	if needsNewRegion && slices.Contains(d.regions, store.Region) {
		return false
	}
	needsNewZone := redundancy.Zones+1-len(d.zones) >= remaining
	return !needsNewZone || !slices.Contains(d.zones, store.Zone)
}

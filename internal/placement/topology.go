package placement

import (
	"iter"
	"slices"
	"sort"
)

// Distances between two stores. Traffic costs more with each step.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// topology is the failure domains of a placement: its stores by zone and
// region, and for a store the others by their distance. It is valid for as long
// as no store is added or retired.
type topology struct {
	active    []string         // the stores that are not retired, available or not, by zone and name
	stores    map[string]Store // all stores of the placement
	neighbors map[string]*neighbors
}

// neighbors is the active stores other than one, grouped by their distance from it.
type neighbors struct {
	index        int // of the store itself among the active ones
	zone, region []string
	otherRegions []string            // in the order in which they are met
	byRegion     map[string][]string // the stores of the other regions
}

func newTopology(stores map[string]Store) *topology {
	return &topology{active: activeStores(stores), stores: stores, neighbors: map[string]*neighbors{}}
}

// activeStores lists the stores that are not retired by zone and name.
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

// distance is sameZone, sameRegion or otherRegion.
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

// distanceProfile describes a replica set independent of the names of its
// stores: the distances of the backups from the primary in rising order, then
// the number of zones and of regions. Replica sets of the same profile survive
// the same failures at the same cost.
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

// neighborsOf groups the other stores around one. The groups are computed once
// for each store that is a preferred primary. There must be an active store; one
// that is not active has the neighbors of the first.
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

// storesByDistance yields the active stores in the order in which a partition prefers
// them: its preferred primary, then the others by distance. Those equally far
// are rotated, so that partitions of one primary get different backups: round
// says how often the partitions have gone round all stores before this one.
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

// rotate yields each element of a list once, beginning at index start modulo
// its length. It reports whether to go on.
func rotate(list []string, start int, yield func(string) bool) bool {
	for i := range list {
		if !yield(list[(start+i)%len(list)]) {
			return false
		}
	}
	return true
}

// failureDomains is the zones and regions that hold a replica.
type failureDomains struct {
	zones, regions []string
}

// newFailureDomains has room for the usual number of replicas, so that it need
// not allocate.
func newFailureDomains() failureDomains {
	return failureDomains{zones: make([]string, 0, 8), regions: make([]string, 0, 8)}
}

// with returns the domains once a store holds a replica too. It may reuse the
// lists, as append does.
func (d failureDomains) with(store Store) failureDomains {
	if !slices.Contains(d.zones, store.Zone) {
		d.zones = append(d.zones, store.Zone)
	}
	if !slices.Contains(d.regions, store.Region) {
		d.regions = append(d.regions, store.Region)
	}
	return d
}

// permits reports whether the redundancy can still be reached if the next of
// the remaining replicas is on that store. To survive the loss of n zones, the
// replicas need n+1 of them; once the zones that are still needed are as many
// as the remaining replicas, each has to be in a new zone. So for regions.
func (d failureDomains) permits(store Store, remaining int, redundancy Redundancy) bool {
	needsNewRegion := redundancy.Regions+1-len(d.regions) >= remaining
	if needsNewRegion && slices.Contains(d.regions, store.Region) {
		return false
	}
	needsNewZone := redundancy.Zones+1-len(d.zones) >= remaining
	return !needsNewZone || !slices.Contains(d.zones, store.Zone)
}

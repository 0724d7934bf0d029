package placement

import (
	"cmp"
	"slices"
	"strings"
)

// partitionsPerStore is the number of partitions of which each store is the primary in
// the initial placement. The total number of partitions never changes.
const partitionsPerStore = 4

// Initial returns the initial placement. All backups are in sync, since all
// partitions are empty.
func Initial(stores map[string]StoreStatus, redundancy Redundancy) Placement {
	p := Placement{Version: 1, Stores: map[string]Store{}}
	for name, status := range stores {
		p.Stores[name] = newStore(status)
	}
	t := newTopology(p.Stores)
	p.InitialStores = len(t.active)
	for i := range partitionsPerStore * len(t.active) {
		p.Partitions = append(p.Partitions, Partition{Epoch: 1, PreferredPrimary: t.active[i%len(t.active)]})
		partition := &p.Partitions[i]
		replicas := p.idealReplicas(t, i, redundancy)
		partition.Primary = replicas[0]
		partition.PreferredBackups = replicas[1:]
	}
	p.assignPreferredBackups(t, redundancy)
	for i := range p.Partitions {
		partition := &p.Partitions[i]
		for _, name := range partition.PreferredBackups {
			partition.Backups = append(partition.Backups, Backup{Store: name, InSync: true})
		}
	}
	return p
}

func newStore(status StoreStatus) Store {
	return Store{Address: status.Address, Zone: status.Zone, Region: status.Region, Disk: status.Disk}
}

// round returns the round of the initial round-robin assignment of primaries to
// stores that partition i belongs to.
func (p *Placement) round(i int) int { return i / max(1, p.InitialStores) }

// idealReplicas returns the stores that should hold partition i if all active
// stores are available, primary first. The backups are as near as the redundancy
// permits, since traffic between zones and regions is expensive. If no store
// satisfies the redundancy, the nearest one is chosen.
func (p *Placement) idealReplicas(t *topology, i int, redundancy Redundancy) []string {
	replicas := make([]string, 0, redundancy.Backups+1)
	domains := newFailureDomains()
	for len(replicas) <= redundancy.Backups {
		remaining := redundancy.Backups + 1 - len(replicas)
		chosen := ""
		for name := range t.storesByDistance(p.Partitions[i].PreferredPrimary, p.round(i)) {
			if slices.Contains(replicas, name) {
				continue
			}
			if domains.permits(t.stores[name], remaining, redundancy) {
				chosen = name
				break
			}
			if chosen == "" {
				chosen = name
			}
		}
		if chosen == "" {
			break
		}
		replicas = append(replicas, chosen)
		domains = domains.with(t.stores[chosen])
	}
	return replicas
}

// assignPreferredPrimaries moves the preferred primaries of retired stores to
// active ones, and moves primaries to stores below the target load, such as added
// ones. All others stay, to move as little data as possible.
func (p *Placement) assignPreferredPrimaries(t *topology) (changed bool) {
	if len(t.active) == 0 {
		return false
	}
	load := map[string]int{}
	for _, partition := range p.Partitions {
		load[partition.PreferredPrimary]++
	}
	move := func(i int, to string) {
		load[p.Partitions[i].PreferredPrimary]--
		load[to]++
		p.Partitions[i].PreferredPrimary = to
		changed = true
	}
	for i, partition := range p.Partitions {
		if !t.isActive(partition.PreferredPrimary) {
			move(i, t.leastLoadedNear(partition.PreferredPrimary, load))
		}
	}
	targetLoad := len(p.Partitions) / len(t.active)
	for _, name := range t.active {
		for load[name] < targetLoad {
			i := p.partitionToMove(t, name, load, targetLoad)
			if i < 0 {
				break
			}
			move(i, name)
		}
	}
	return changed
}

// leastLoadedNear returns the active store with the least load. Ties are broken by
// distance from the given store, then by name.
func (t *topology) leastLoadedNear(from string, load map[string]int) string {
	return slices.MinFunc(t.active, func(a, b string) int {
		return cmp.Or(load[a]-load[b], t.distance(from, a)-t.distance(from, b), strings.Compare(a, b))
	})
}

// partitionToMove returns the partition whose preferred primary should move to a store
// below the target load: one of the most loaded store, the nearest one on a tie. It
// returns -1 if no store is above the target load.
func (p *Placement) partitionToMove(t *topology, to string, load map[string]int, targetLoad int) int {
	best := -1
	for i, partition := range p.Partitions {
		from := partition.PreferredPrimary
		if load[from] <= targetLoad {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		bestFrom := p.Partitions[best].PreferredPrimary
		if cmp.Or(load[bestFrom]-load[from], t.distance(to, from)-t.distance(to, bestFrom)) < 0 {
			best = i
		}
	}
	return best
}

// assignPreferredBackups replaces the preferred backups of partitions where they are
// not as near as the redundancy permits, and moves backups to stores below the target
// load, such as added ones. All others stay, to move as little data as possible.
func (p *Placement) assignPreferredBackups(t *topology, redundancy Redundancy) (changed bool) {
	load := map[string]int{}
	total := 0
	for _, partition := range p.Partitions {
		for _, name := range partition.PreferredBackups {
			load[name]++
			total++
		}
	}
	for i := range p.Partitions {
		ideal := p.idealReplicas(t, i, redundancy)
		if len(ideal) == 0 {
			return false
		}
		partition := &p.Partitions[i]
		if partition.hasIdealBackups(t, ideal) {
			continue
		}
		partition.PreferredBackups = t.chooseBackups(partition, ideal[1:], load)
		changed = true
	}
	targetLoad := total / max(1, len(t.active))
	for _, name := range t.active {
		for load[name] < targetLoad {
			if !p.moveBackupTo(t, name, load, targetLoad) {
				break
			}
			changed = true
		}
	}
	return changed
}

// hasIdealBackups reports whether the preferred backups are active stores other than
// the preferred primary, with the same distance profile as the ideal replicas.
func (p *Partition) hasIdealBackups(t *topology, ideal []string) bool {
	for _, name := range p.PreferredBackups {
		if !t.isActive(name) || name == p.PreferredPrimary {
			return false
		}
	}
	return slices.Equal(t.distanceProfile(p.PreferredPrimary, p.PreferredBackups), t.distanceProfile(ideal[0], ideal[1:]))
}

// chooseBackups returns new preferred backups for a partition and updates the load. For
// each ideal backup it selects the least loaded store of the same zone, which is
// equivalent in distance and failure domains.
func (t *topology) chooseBackups(partition *Partition, ideal []string, load map[string]int) []string {
	for _, name := range partition.PreferredBackups {
		load[name]--
	}
	var backups []string
	for _, name := range ideal {
		best := ""
		for _, candidate := range t.active {
			if t.stores[candidate].Zone != t.stores[name].Zone || candidate == partition.PreferredPrimary || slices.Contains(backups, candidate) {
				continue
			}
			if best == "" || load[candidate] < load[best] {
				best = candidate
			}
		}
		backups = append(backups, best)
		load[best]++
	}
	return backups
}

// moveBackupTo makes a store below the target load a preferred backup in place of the
// most loaded store of its zone that is above the target load. It reports whether there
// was such a store.
func (p *Placement) moveBackupTo(t *topology, to string, load map[string]int, targetLoad int) bool {
	from := ""
	bestPartition, bestIndex := -1, 0
	for i, partition := range p.Partitions {
		if partition.PreferredPrimary == to || slices.Contains(partition.PreferredBackups, to) {
			continue
		}
		for j, name := range partition.PreferredBackups {
			if t.stores[name].Zone != t.stores[to].Zone || load[name] <= targetLoad {
				continue
			}
			if bestPartition < 0 || load[name] > load[from] {
				from = name
				bestPartition, bestIndex = i, j
			}
		}
	}
	if bestPartition < 0 {
		return false
	}
	load[from]--
	load[to]++
	partition := &p.Partitions[bestPartition]
	partition.PreferredBackups = slices.Clone(partition.PreferredBackups) // shared with the previous placement
	partition.PreferredBackups[bestIndex] = to
	return true
}

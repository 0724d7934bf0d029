package placement

import (
	"maps"
	"slices"
)

// Plan computes the next step from a placement towards the one that the stores
// and the redundancy ask for. It first restores lost replicas; only when every
// partition has all its replicas in sync does it move partitions to their
// preferred stores. Replicas on stores that shut down or are retired move
// before that.
//
// A primary has to stop before its successor leads. Handovers lists the
// partitions whose primary is to be asked to stop; released holds those that
// have stopped, with the epoch in which they did. Each step keeps these rules:
//
//   - only a backup that is in sync becomes primary, or, where none is left, a
//     store that can take what it lacks from replicas and former ones;
//   - a replica that is to be removed stays until its replacement is in sync;
//   - a primary that is available stops before its successor leads.
//
// The current placement is not modified. If changed is false, next equals it.
func Plan(current Placement, stores map[string]StoreStatus, stoppedEpochs map[int]int64, redundancy Redundancy) (next Placement, handovers []int, changed bool) {
	p := &planner{next: current.Clone(), stores: stores, stoppedEpochs: stoppedEpochs, redundancy: redundancy}
	p.updateSpans()
	p.updateStores()
	p.updatePreferredReplicas()
	p.fallbackStores = p.findFallbackStores()

	p.restored = true
	for i := range p.next.Partitions {
		p.restore(i)
	}
	for i := range p.next.Partitions {
		p.rebalance(i)
	}
	p.updateSpans()
	p.completeRetirements()
	if p.changed {
		p.next.Version++
	}
	return p.next, p.handovers, p.changed
}

// planner is the state of one call of Plan.
type planner struct {
	// The input.
	stores        map[string]StoreStatus
	stoppedEpochs map[int]int64
	redundancy    Redundancy

	// Derived from the input.
	topology       *topology
	fallbackStores []string

	// The result.
	next      Placement
	handovers []int
	changed   bool
	restored  bool // every partition has an available primary and all its backups in sync
}

// available reports whether a store is alive and has the disk with the replicas
// that the placement assumes there.
func (p *planner) available(name string) bool {
	status, known := p.stores[name]
	return known && status.Alive && status.Disk == p.next.Stores[name].Disk
}

// eligible reports whether a store is available and may take replicas, that is
// neither shuts down nor is retired.
func (p *planner) eligible(name string) bool {
	return p.available(name) && !p.stores[name].Draining && p.next.Stores[name].RetireState == ""
}

// diskLost reports whether a store has come back without the disk that the placement
// assumes there.
func (p *planner) diskLost(name string) bool {
	status, known := p.stores[name]
	return known && status.Disk != "" && status.Disk != p.next.Stores[name].Disk
}

// reassign changes the replicas of a partition.
func (p *planner) reassign(partition *Partition, primary string, sources []string, backups []Backup) {
	partition.reassign(primary, sources, backups, p.redundancy.Backups)
	p.changed = true
}

// updateSpans forgets what lost disks held, and what need not be remembered.
func (p *planner) updateSpans() {
	for i := range p.next.Partitions {
		partition := &p.next.Partitions[i]
		removed := partition.removeLostSpans(p.diskLost)
		pruned := partition.pruneSpans(p.redundancy.Backups)
		p.changed = p.changed || removed || pruned
	}
}

// updateStores adds the stores that are new, and the new disk of a store. As
// long as the placement has replicas on the store's old disk, or a source, the store
// stays unavailable under its old identity, so that an empty disk never counts as a
// replica that is in sync, or as a source that was read.
func (p *planner) updateStores() {
	for name, status := range p.stores {
		store, known := p.next.Stores[name]
		switch {
		case !known && status.Alive && !status.Draining:
			p.next.Stores[name] = newStore(status)
			p.changed = true
		case known && status.Disk != "" && store.Disk != status.Disk && !IsReplicaOrSource(p.next, name):
			store.Disk = status.Disk
			store.Address = status.Address
			p.next.Stores[name] = store
			p.changed = true
		}
	}
}

// updatePreferredReplicas assigns the preferred replicas to the stores that are
// active now. It moves no replica by itself.
func (p *planner) updatePreferredReplicas() {
	p.topology = newTopology(p.next.Stores)
	primariesChanged := p.next.assignPreferredPrimaries(p.topology)
	backupsChanged := p.next.assignPreferredBackups(p.topology, p.redundancy)
	p.changed = p.changed || primariesChanged || backupsChanged
}

// findFallbackStores lists the stores that are being retired but still take a
// backup where no other store can: emptying a store must not cost redundancy.
func (p *planner) findFallbackStores() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(p.next.Stores)) {
		if p.available(name) && !p.stores[name].Draining && p.next.Stores[name].RetireState == RetireActive {
			names = append(names, name)
		}
	}
	return names
}

// desiredReplicas is where partition i belongs with the stores that are
// eligible now, the primary first: its preferred stores, then the nearest.
func (p *planner) desiredReplicas(i int) []string {
	var replicas []string
	partition := &p.next.Partitions[i]
	if p.eligible(partition.PreferredPrimary) {
		replicas = append(replicas, partition.PreferredPrimary)
	}
	for _, name := range partition.PreferredBackups {
		if p.eligible(name) {
			replicas = append(replicas, name)
		}
	}
	for name := range p.topology.storesByDistance(partition.PreferredPrimary, p.next.round(i)) {
		if len(replicas) > p.redundancy.Backups {
			break
		}
		if p.eligible(name) && !slices.Contains(replicas, name) {
			replicas = append(replicas, name)
		}
	}
	return replicas
}

// restore replaces a lost primary and lost backups of a partition.
//
// Safety: only a backup that is in sync becomes primary, since any other may lack
// acknowledged messages, or a store that takes what it lacks from the others before it
// acts as the primary. If there is none either, the partition waits, and its replicas
// stay as they are.
func (p *planner) restore(i int) {
	partition := &p.next.Partitions[i]
	primary, sources := partition.Primary, partition.Sources
	backups := p.availableBackups(partition)
	if !p.available(primary) || !p.allAvailable(sources) {
		p.restored = false
		switch successor, successorSources := p.failoverSuccessor(partition, backups); {
		case successor != "":
			primary, sources = successor, successorSources
			backups = slices.DeleteFunc(backups, func(b Backup) bool { return b.Store == successor })
		case !p.available(primary):
			return
		}
	}
	if len(backups) < p.redundancy.Backups {
		backups = p.addBackups(i, primary, backups)
	}
	if primary != partition.Primary || !slices.Equal(sources, partition.Sources) || !slices.Equal(backups, partition.Backups) {
		p.reassign(partition, primary, sources, backups)
	}
	p.restored = p.restored && partition.InSync(p.redundancy.Backups)
}

func (p *planner) allAvailable(stores []string) bool {
	return !slices.ContainsFunc(stores, func(name string) bool { return !p.available(name) })
}

// failoverSuccessor chooses a primary for a partition whose primary is not available,
// or lacks sources that are: a backup in sync, else one that can take what it lacks
// from the sources. One that lacks nothing, but was not in sync, is its own source.
// backups are those that are available. The successor is "" if there is none.
//
// Safety: the former primary may run still, out of reach. It delivers only by the leases
// of all its backups, so one of them succeeds it, which waits until the lease that it
// granted has ended. Only where the disk of the former primary is lost, and so its
// process has ended, any store may succeed.
func (p *planner) failoverSuccessor(partition *Partition, backups []Backup) (successor string, sources []string) {
	for _, backup := range backups {
		if backup.InSync {
			return backup.Store, nil
		}
	}
	cover := partition.coveringStores(p.available, p.redundancy.Backups)
	if len(cover) == 0 {
		return "", nil
	}
	last := cover[len(cover)-1] // holds what was accepted last
	switch {
	case p.available(partition.Primary):
		successor = partition.Primary
	case partition.BackupIndex(last) >= 0, p.diskLost(partition.Primary):
		successor = last
	case len(backups) > 0:
		successor = backups[0].Store
	default:
		return "", nil
	}
	if len(cover) > 1 {
		cover = slices.DeleteFunc(cover, func(name string) bool { return name == successor })
	}
	return successor, cover
}

// availableBackups returns a new list of the backups on stores that are available.
func (p *planner) availableBackups(partition *Partition) []Backup {
	return slices.DeleteFunc(slices.Clone(partition.Backups), func(b Backup) bool { return !p.available(b.Store) })
}

// addBackups fills the backups of partition i up to the redundancy. The new
// ones are not in sync until their primary reports it.
func (p *planner) addBackups(i int, primary string, backups []Backup) []Backup {
	candidates := append(p.desiredReplicas(i), p.fallbackStores...)
	for _, name := range candidates {
		if len(backups) >= p.redundancy.Backups {
			break
		}
		if name != primary && !slices.ContainsFunc(backups, func(b Backup) bool { return b.Store == name }) {
			backups = append(backups, Backup{Store: name})
		}
	}
	return backups
}

// rebalance takes one step of a partition towards its desired replicas: it
// hands the primary over, or adds missing replicas, or removes surplus ones.
//
// Safety: only a partition whose backups are all in sync moves, so that a
// replica on its way in does not overlap with the next one on its way out.
func (p *planner) rebalance(i int) {
	partition := &p.next.Partitions[i]
	if !partition.InSync(0) || !p.available(partition.Primary) {
		return
	}
	desired := p.desiredReplicas(i)
	if len(desired) == 0 {
		return
	}
	if successor := p.handoverSuccessor(partition, desired); successor != "" {
		p.handOver(i, successor)
		return
	}
	if !p.restored && !p.mustMove(partition) {
		return
	}
	if p.addMissingReplicas(partition, desired) {
		return
	}
	p.removeSurplusBackups(partition, desired)
}

// handoverSuccessor is the backup that is to become primary while the primary is
// available, or "". The backups are in sync. A primary that is not eligible any
// more goes to any eligible backup at once; a move to the desired primary waits
// until all partitions are restored.
func (p *planner) handoverSuccessor(partition *Partition, desired []string) string {
	if !p.eligible(partition.Primary) {
		for _, backup := range partition.Backups {
			if p.eligible(backup.Store) {
				return backup.Store
			}
		}
		return ""
	}
	if p.restored && partition.Primary != desired[0] && partition.BackupIndex(desired[0]) >= 0 {
		return desired[0]
	}
	return ""
}

// handOver makes a backup primary, and the primary a backup.
//
// Safety: the primary must have stopped in this very epoch; until then the
// partition is listed as a handover. So there are never two primaries, and the
// old one has all that the new one has.
func (p *planner) handOver(i int, successor string) {
	partition := &p.next.Partitions[i]
	if p.stoppedEpochs[i] != partition.Epoch {
		p.handovers = append(p.handovers, i)
		return
	}
	former := Backup{Store: partition.Primary, InSync: true}
	p.reassign(partition, successor, nil, append(partition.withoutBackup(successor), former))
}

// mustMove reports whether a replica is on a store that shuts down or is
// retired: it moves even while other partitions are not restored.
func (p *planner) mustMove(partition *Partition) bool {
	if !p.eligible(partition.Primary) {
		return true
	}
	return slices.ContainsFunc(partition.Backups, func(b Backup) bool { return !p.eligible(b.Store) })
}

// addMissingReplicas adds the desired replicas that a partition lacks, as
// backups that are not in sync. It reports whether there were any.
func (p *planner) addMissingReplicas(partition *Partition, desired []string) bool {
	var missing []Backup
	for _, name := range desired {
		if !partition.HasReplica(name) {
			missing = append(missing, Backup{Store: name})
		}
	}
	if len(missing) == 0 {
		return false
	}
	p.reassign(partition, partition.Primary, nil, append(slices.Clone(partition.Backups), missing...))
	return true
}

// removeSurplusBackups removes the backups that are not desired.
//
// Safety: all desired replicas exist and all backups are in sync when this is
// called, so what remains is complete. Nothing is removed if too few backups
// remained, or while the primary itself is still to move.
func (p *planner) removeSurplusBackups(partition *Partition, desired []string) {
	remaining := slices.DeleteFunc(slices.Clone(partition.Backups), func(b Backup) bool { return !slices.Contains(desired, b.Store) })
	surplus := len(partition.Backups) - len(remaining)
	if surplus == 0 || len(remaining) < p.redundancy.Backups || !slices.Contains(desired, partition.Primary) {
		return
	}
	p.reassign(partition, partition.Primary, nil, remaining)
}

// completeRetirements completes the retirement of stores without replicas: also
// without what the replicas of a partition may lack.
func (p *planner) completeRetirements() {
	for name, store := range p.next.Stores {
		if store.RetireState == RetireActive && !IsReplicaOrSource(p.next, name) && !p.next.hasSpan(name) {
			store.RetireState = RetireComplete
			p.next.Stores[name] = store
			p.changed = true
		}
	}
}

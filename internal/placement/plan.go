package placement

import (
	"maps"
	"slices"
)

// Plan computes the next step from the current placement towards the desired
// one for the given stores and redundancy. It restores lost replicas first, and
// moves partitions to their preferred stores only when every partition has all
// its replicas in sync. Replicas on draining or retired stores are moved without
// waiting for that.
//
// A primary has to stop before its successor takes over. Handovers lists the
// partitions whose primaries must be asked to stop; stoppedEpochs maps those
// whose primary has stopped to the epoch in which it did. Each step maintains
// these invariants:
//
//   - Only an in-sync backup becomes primary or, if there is none, a store that
//     can copy the records that it lacks from current and former replicas.
//   - A replica is removed only after its replacement is in sync.
//   - An available primary stops before its successor takes over.
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

// planner holds the state of one call of Plan.
type planner struct {
	// Input.
	stores        map[string]StoreStatus
	stoppedEpochs map[int]int64
	redundancy    Redundancy

	// Derived from the input.
	topology       *topology
	fallbackStores []string

	// Result.
	next      Placement
	handovers []int
	changed   bool
	restored  bool // every partition has an available primary and enough backups, all in sync
}

// available reports whether a store is alive and has the disk that the placement
// records for it.
func (p *planner) available(name string) bool {
	status, known := p.stores[name]
	return known && status.Alive && status.Disk == p.next.Stores[name].Disk
}

// eligible reports whether a store is available and may be assigned replicas, that is,
// it is neither draining nor retired.
func (p *planner) eligible(name string) bool {
	return p.available(name) && !p.stores[name].Draining && p.next.Stores[name].RetireState == ""
}

// diskLost reports whether a store has come back with another disk than the one that
// the placement records for it.
func (p *planner) diskLost(name string) bool {
	status, known := p.stores[name]
	return known && status.Disk != "" && status.Disk != p.next.Stores[name].Disk
}

func (p *planner) reassign(partition *Partition, primary string, sources []string, backups []Backup) {
	partition.reassign(primary, sources, backups, p.redundancy.Backups)
	p.changed = true
}

// updateSpans removes the spans of lost disks and those that are no longer needed.
func (p *planner) updateSpans() {
	for i := range p.next.Partitions {
		partition := &p.next.Partitions[i]
		removed := partition.removeLostSpans(p.diskLost)
		pruned := partition.pruneSpans(p.redundancy.Backups)
		p.changed = p.changed || removed || pruned
	}
}

// updateStores adds new stores and records replaced disks. While the placement still
// has a replica or source on the old disk of a store, it keeps the old disk identity and
// the store counts as unavailable, so that an empty disk is never taken for an in-sync
// replica or a source that has been read.
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

// updatePreferredReplicas reassigns the preferred replicas among the active stores.
// It does not move any replica.
func (p *planner) updatePreferredReplicas() {
	p.topology = newTopology(p.next.Stores)
	primariesChanged := p.next.assignPreferredPrimaries(p.topology)
	backupsChanged := p.next.assignPreferredBackups(p.topology, p.redundancy)
	p.changed = p.changed || primariesChanged || backupsChanged
}

// findFallbackStores returns the stores that are being retired but may still be
// assigned a backup if no other store can: retiring a store must not reduce redundancy.
func (p *planner) findFallbackStores() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(p.next.Stores)) {
		if p.available(name) && !p.stores[name].Draining && p.next.Stores[name].RetireState == RetireActive {
			names = append(names, name)
		}
	}
	return names
}

// desiredReplicas returns the stores that should hold partition i given the eligible
// stores, primary first: its preferred stores, then others by distance.
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
// Safety: only an in-sync backup becomes primary, since any other may lack acknowledged
// messages, or a store that copies the messages that it lacks from other stores before
// it acts as the primary. If there is no such store, the partition stays unavailable and
// its replicas are left unchanged.
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

// failoverSuccessor chooses a new primary for a partition whose primary or sources are
// not available: an in-sync backup or, if there is none, a store that can copy the
// records that it lacks from the returned sources. A successor that lacks nothing, but
// was not in sync, is its own source. The argument lists the available backups. The
// successor is "" if there is none.
//
// Safety: the former primary may still be running but unreachable, whether or not it
// ever comes back. It delivers only in an epoch with enough backups for a message to be
// accepted, and while it holds leases from all of them. For each such epoch the returned
// stores include one of its replicas, since together they hold every accepted message.
// The successor fences them off from earlier epochs and then waits for one lease.
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
	successor = cover[len(cover)-1] // holds the messages that were accepted last
	if p.available(partition.Primary) {
		successor = partition.Primary
	}
	if len(cover) > 1 {
		cover = slices.DeleteFunc(cover, func(name string) bool { return name == successor })
	}
	return successor, cover
}

// availableBackups returns a copy of the backups, restricted to available stores.
func (p *planner) availableBackups(partition *Partition) []Backup {
	return slices.DeleteFunc(slices.Clone(partition.Backups), func(b Backup) bool { return !p.available(b.Store) })
}

// addBackups extends the backups of partition i to the number that the redundancy
// requires. The new ones are not in sync until their primary reports it.
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

// rebalance moves partition i one step towards its desired replicas: it hands over
// the primary, adds missing replicas or removes surplus ones.
//
// Safety: only a partition whose backups are all in sync is moved, so that no replica
// is removed while another one is still being copied.
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

// handoverSuccessor returns the backup that an available primary should hand over to,
// or "". All backups must be in sync. A primary that is no longer eligible hands over to
// any eligible backup immediately; a handover to the desired primary waits until all
// partitions are restored.
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

// handOver swaps the primary with a backup.
//
// Safety: the primary must have stopped in the current epoch; until then the partition
// is only listed in handovers. There are thus never two primaries, and the former one
// is in sync with its successor.
func (p *planner) handOver(i int, successor string) {
	partition := &p.next.Partitions[i]
	if p.stoppedEpochs[i] != partition.Epoch {
		p.handovers = append(p.handovers, i)
		return
	}
	former := Backup{Store: partition.Primary, InSync: true}
	p.reassign(partition, successor, nil, append(partition.withoutBackup(successor), former))
}

// mustMove reports whether any replica is on a store that is not eligible, such as a
// draining or retired one. Such a partition is moved even while others are not restored.
func (p *planner) mustMove(partition *Partition) bool {
	if !p.eligible(partition.Primary) {
		return true
	}
	return slices.ContainsFunc(partition.Backups, func(b Backup) bool { return !p.eligible(b.Store) })
}

// addMissingReplicas adds the missing desired replicas as backups that are not in sync.
// It reports whether any were missing.
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
// Safety: all desired replicas exist and all backups are in sync when this is called,
// so the remaining replicas hold every message. Nothing is removed if too few backups
// would remain, or while the primary itself still has to move.
func (p *planner) removeSurplusBackups(partition *Partition, desired []string) {
	remaining := slices.DeleteFunc(slices.Clone(partition.Backups), func(b Backup) bool { return !slices.Contains(desired, b.Store) })
	surplus := len(partition.Backups) - len(remaining)
	if surplus == 0 || len(remaining) < p.redundancy.Backups || !slices.Contains(desired, partition.Primary) {
		return
	}
	p.reassign(partition, partition.Primary, nil, remaining)
}

// completeRetirements completes the retirement of stores that hold no replica and no
// messages that the replicas of a partition may lack.
func (p *planner) completeRetirements() {
	for name, store := range p.next.Stores {
		if store.RetireState == RetireActive && !IsReplicaOrSource(p.next, name) && !p.next.hasSpan(name) {
			store.RetireState = RetireComplete
			p.next.Stores[name] = store
			p.changed = true
		}
	}
}

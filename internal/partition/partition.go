package partition

import (
	"slices"

	"saltreel/internal/placement"
)

// partition is the state of one partition on this store. It is guarded by the Manager's
// mu, except for number, which never changes.
type partition struct {
	number   int
	epoch    int64
	primary  string        // name of a store; empty if this store has no role in the partition
	isBackup bool          // this store is a backup
	sources  []string      // stores from which records are fetched before this store leads the partition
	changed  chan struct{} // closed and replaced to wake waiters when the partition changes

	records recordSet
	contact replicaContact

	// Used by the primary:
	replicas    []*replica
	unconfirmed map[string]*pendingAccept
	handover    handoverState
	log         *topicLog

	// Used by a backup, and after it becomes primary until the granted lease expires:
	granted  grantedLease
	released Position // position up to which the current or a former primary is known to have released entries
}

func newPartition(number int, epoch int64, records []*Record) (p *partition, memoryBytes int64) {
	p = &partition{
		number:      number,
		epoch:       epoch,
		changed:     make(chan struct{}),
		records:     newRecordSet(),
		unconfirmed: map[string]*pendingAccept{},
	}
	for _, r := range records {
		memoryBytes += p.records.put(r)
	}
	return p, memoryBytes
}

// replica returns the state of a backup, or nil if the store is not one.
func (p *partition) replica(store string) *replica {
	return findReplica(p.replicas, store)
}

func findReplica(replicas []*replica, store string) *replica {
	for _, r := range replicas {
		if r.store == store {
			return r
		}
	}
	return nil
}

// allVerified reports whether all backups have been verified to hold the same records.
func (p *partition) allVerified() bool {
	for _, r := range p.replicas {
		if !r.verified {
			return false
		}
	}
	return true
}

// hasApplied reports whether an assignment is not newer than the current one. An
// assignment of the current epoch is newer if this store has no role in the partition,
// since it then knows the epoch from its disk only.
func (p *partition) hasApplied(assignment placement.Partition) bool {
	return assignment.Epoch < p.epoch || assignment.Epoch == p.epoch && p.primary != ""
}

// updateInSync updates which backups may become primary, from an assignment of the
// current epoch.
func (p *partition) updateInSync(assignment placement.Partition) {
	if assignment.Epoch != p.epoch {
		return
	}
	for _, backup := range assignment.Backups {
		if r := p.replica(backup.Store); r != nil {
			r.inSync = backup.InSync
		}
	}
}

// setReplicas sets the replicas of a new epoch. A replica that keeps its disk keeps its
// backlog; any other one is sent the unconfirmed messages.
func (p *partition) setReplicas(backups []placement.Backup, stores map[string]placement.Store) {
	former := p.replicas
	p.replicas = nil
	for _, backup := range backups {
		r := newReplica(backup, stores[backup.Store].Disk)
		if old := findReplica(former, r.store); old != nil && old.disk == r.disk {
			r.unreplicated, r.missing = old.unreplicated, old.missing
		} else {
			for id := range p.unconfirmed {
				r.unreplicated[id] = p.records.byID[id]
			}
		}
		p.replicas = append(p.replicas, r)
	}
}

// stored returns the stored record of the same message as r, or nil if there is none. Log
// entries are matched by publisher, topic and number.
func (p *partition) stored(r *Record) *Record {
	if r.IsEntry() {
		return p.log.find(r)
	}
	return p.records.byID[r.ID]
}

// pending returns the pending deferred messages in the order of their acceptance, which is
// that of their positions: a primary counts on from what it holds, and primaries of
// different epochs may have given the same number.
func (p *partition) pending() []*Record {
	var pending []*Record
	for _, r := range p.records.byID {
		if r.State == Pending && !r.IsEntry() {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *Record) int { return a.Position().Compare(b.Position()) })
	return pending
}

// notifyChanged wakes those who wait for a change of the partition.
func (p *partition) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

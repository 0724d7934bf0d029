package partition

import (
	"cmp"
	"slices"

	"saltreel/internal/placement"
)

// partition is the state of one partition on this store. It has no lock: its
// Manager's mu guards it, except for the number, which doesn't change.
type partition struct {
	number   int
	epoch    int64
	primary  string        // name of a store; empty if this store has no part in it
	isBackup bool          // this store is a backup
	sources  []string      // stores from which this one takes records before it leads the partition
	changed  chan struct{} // closed and replaced when those who wait are to look again

	records recordSet
	contact replicaContact

	// At the primary:
	replicas    []*replica
	unconfirmed map[string]*pendingAccept
	handover    handoverState
	log         *topicLog

	// At a backup, and afterwards until it becomes primary and the lease ends:
	granted  grantedLease
	released Position // the entries up to here were released, as the primary said last
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

// replica returns what is known of a backup, or nil.
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

// allVerified reports whether all backups were seen to hold the same records.
func (p *partition) allVerified() bool {
	for _, r := range p.replicas {
		if !r.verified {
			return false
		}
	}
	return true
}

// hasApplied reports whether an assignment is not newer than the one in force.
// One of the same epoch is newer if this store had no part in the partition: it
// knows that epoch from its disk only.
func (p *partition) hasApplied(assignment placement.Partition) bool {
	return assignment.Epoch < p.epoch || assignment.Epoch == p.epoch && p.primary != ""
}

// updateInSync takes over which backups may become primary, from an assignment of
// the epoch in force.
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

// setReplicas makes the replicas of a new epoch. One that was a replica before,
// with the same disk, still lacks what it lacked; another one gets what is
// unconfirmed.
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

// stored returns the record of the message that r is; nil if there is none. A log
// entry is known by its publisher's number.
func (p *partition) stored(r *Record) *Record {
	if r.IsEntry() {
		return p.log.find(r)
	}
	return p.records.byID[r.ID]
}

// pending returns the deferred messages that have not ended, in the order of their
// arrival.
func (p *partition) pending() []*Record {
	var pending []*Record
	for _, r := range p.records.byID {
		if r.State == Pending && !r.IsEntry() {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *Record) int { return cmp.Compare(a.Order, b.Order) })
	return pending
}

// notifyChanged lets those who wait for a change of the partition look again.
func (p *partition) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

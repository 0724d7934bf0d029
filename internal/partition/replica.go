package partition

import (
	"cmp"
	"slices"
	"time"

	"saltreel/internal/placement"
)

// replica is the state that the primary of a partition keeps for one backup.
type replica struct {
	store string
	disk  string

	inSync    bool // the placement allows it to become primary
	connected bool // it has answered in this epoch
	verified  bool // it has been verified to hold the same records in this epoch

	unreplicated    map[string]*Record // changed records that it has not acknowledged
	missing         []string           // identifiers of older records that it lacks
	inFlight        map[string]*Record // those of unreplicated that are in a batch in flight
	inFlightBatches int                // number of batches in flight

	released Position // position up to which it knows entries to be released

	leaseExpires  time.Time // expiry of the lease that it granted
	leaseBatch    int64     // number of the newest batch that renewed or released the lease
	leaseReleased bool      // it has accepted the release of the lease

	lastReconciled time.Time
	lastReported   time.Time // when it was last reported as in sync
}

func newReplica(backup placement.Backup, disk string) *replica {
	return &replica{store: backup.Store, disk: disk, inSync: backup.InSync, unreplicated: map[string]*Record{}, inFlight: map[string]*Record{}}
}

// hasBacklog reports whether there are records to send.
func (r *replica) hasBacklog() bool { return len(r.unreplicated) > 0 || len(r.missing) > 0 }

// needsBatch reports whether the partition belongs in the next batch. Since traffic
// between regions is expensive, a partition with nothing to send is left out until its
// lease must be renewed or released. While a batch is in flight, only new messages are
// sent; everything else waits for its response.
func (r *replica) needsBatch(now time.Time, release bool, renewal time.Duration) bool {
	if r.inFlightBatches > 0 {
		return r.hasNewMessages()
	}
	if r.hasBacklog() || !r.connected || release && !r.leaseReleased {
		return true
	}
	return r.leaseExpires.Sub(now) <= renewal
}

// maxBatchBytes is the size above which a batch takes no more records, which limits its
// memory. The first changed record of each partition is taken in any case.
const maxBatchBytes = 256 << 10

// selectRecords selects the records of the next batch for the replica: the changed
// records that are not in flight, in the order of their changes, then the missing ones.
// size is the number of bytes already in the batch; complete reports that none of these
// records was left out. Selected records are removed from missing.
func (r *replica) selectRecords(records *recordSet, size int64) (selected []*Record, complete bool) {
	for _, record := range r.unreplicated {
		if r.inFlight[record.ID] != record {
			selected = append(selected, record)
		}
	}
	slices.SortFunc(selected, func(a, b *Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for i, record := range selected {
		if i > 0 && size > maxBatchBytes {
			return selected[:i], false
		}
		size += record.memoryBytes()
	}
	for len(r.missing) > 0 && size < maxBatchBytes {
		record := records.byID[r.missing[0]]
		r.missing = r.missing[1:]
		if record != nil && r.unreplicated[record.ID] == nil {
			selected = append(selected, record)
			size += record.memoryBytes()
		}
	}
	return selected, len(r.missing) == 0
}

// hasNewMessages reports whether there are pending messages that are not in flight.
func (r *replica) hasNewMessages() bool {
	for id, record := range r.unreplicated {
		if record.State == Pending && r.inFlight[id] != record {
			return true
		}
	}
	return false
}

// beginBatch marks the records of a batch as in flight.
func (r *replica) beginBatch(records []*Record) {
	r.inFlightBatches++
	for _, record := range records {
		r.inFlight[record.ID] = record
	}
}

// endBatch marks the records of a batch as no longer in flight.
func (r *replica) endBatch(records []*Record) {
	r.inFlightBatches--
	for _, record := range records {
		if r.inFlight[record.ID] == record {
			delete(r.inFlight, record.ID)
		}
	}
}

// acknowledge records that the replica holds a record, unless the record has changed
// since it was sent.
func (r *replica) acknowledge(record *Record) {
	if r.unreplicated[record.ID] == record {
		delete(r.unreplicated, record.ID)
	}
}

// queueMissing queues the records that the replica lacks, given the states of those that
// it holds, with complete messages last. It returns the number of records queued.
func (r *replica) queueMissing(records *recordSet, remote map[string]State) int {
	queued := map[string]bool{}
	for _, id := range r.missing {
		queued[id] = true
	}
	var urgent, rest []string
	for id, record := range records.byID {
		state, ok := remote[id]
		if ok && state >= record.State || queued[id] || r.unreplicated[id] != nil {
			continue
		}
		if record.State == Complete {
			rest = append(rest, id)
		} else {
			urgent = append(urgent, id)
		}
	}
	r.missing = append(append(r.missing, urgent...), rest...)
	return len(urgent) + len(rest)
}

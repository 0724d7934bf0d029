package partition

import (
	"cmp"
	"slices"
	"time"

	"saltreel/internal/placement"
)

// replica is what the primary of a partition knows of one backup.
type replica struct {
	store string
	disk  string

	inSync    bool // the placement says that it may become primary
	connected bool // it answered in this epoch
	verified  bool // it was seen to hold the same records in this epoch

	unreplicated    map[string]*Record // changed since, and not known to be there
	missing         []string           // identifiers of older records that it lacks
	inFlight        map[string]*Record // those of unreplicated that are under way
	inFlightBatches int                // that are under way

	released Position // the entries that it knows to be released

	leaseExpires  time.Time // the lease that it granted
	leaseBatch    int64     // the newest batch whose response said so
	leaseReleased bool      // it has the lease back

	lastReconciled time.Time
	lastReported   time.Time // as in sync
}

func newReplica(backup placement.Backup, disk string) *replica {
	return &replica{store: backup.Store, disk: disk, inSync: backup.InSync, unreplicated: map[string]*Record{}, inFlight: map[string]*Record{}}
}

// hasBacklog reports whether records are to be sent.
func (r *replica) hasBacklog() bool { return len(r.unreplicated) > 0 || len(r.missing) > 0 }

// needsBatch reports whether the partition is to be in the next batch. Bytes
// between regions are expensive: one with nothing to send is left out until its
// lease is to be renewed. Beside a batch that is under way only new messages are sent:
// its response decides on all else.
func (r *replica) needsBatch(now time.Time, release bool, renewal time.Duration) bool {
	if r.inFlightBatches > 0 {
		return r.hasNewMessages()
	}
	if r.hasBacklog() || !r.connected || release && !r.leaseReleased {
		return true
	}
	return r.leaseExpires.Sub(now) <= renewal
}

// maxBatchBytes bounds a batch, so that its memory is bounded too.
const maxBatchBytes = 256 << 10

// selectRecords chooses what the next batch holds for the replica: the changed
// records in the order of their changes, then the missing ones. size is the bytes
// that the batch holds already; complete reports that nothing was left out. What
// is selected of missing is removed from it.
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

// hasNewMessages reports whether there are pending messages that are not under way.
func (r *replica) hasNewMessages() bool {
	for id, record := range r.unreplicated {
		if record.State == Pending && r.inFlight[id] != record {
			return true
		}
	}
	return false
}

// beginBatch notes that a batch with these records is under way.
func (r *replica) beginBatch(records []*Record) {
	r.inFlightBatches++
	for _, record := range records {
		r.inFlight[record.ID] = record
	}
}

// endBatch notes that a batch with these records is under way no longer.
func (r *replica) endBatch(records []*Record) {
	r.inFlightBatches--
	for _, record := range records {
		if r.inFlight[record.ID] == record {
			delete(r.inFlight, record.ID)
		}
	}
}

// acknowledge notes that the replica holds a record: unless it has changed again
// since it was sent.
func (r *replica) acknowledge(record *Record) {
	if r.unreplicated[record.ID] == record {
		delete(r.unreplicated, record.ID)
	}
}

// queueMissing notes which records the replica lacks, given the states of those
// that it holds: pending messages first. It returns how many there are.
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

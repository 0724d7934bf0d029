package partition

import "time"

// timing derives every bound on time in this package from one setting: how long
// a process may be out of contact before the others act without it.
type timing struct{ contactTimeout time.Duration }

// lease is how long a primary may deliver after a backup has answered. A backup
// that becomes primary waits for the rest of it, so it is a small part of the
// time that a failover may take.
func (t timing) lease() time.Duration { return t.contactTimeout * 3 / 20 }

// leaseTick is how often a replicator looks for leases to renew: a lease survives
// the loss of two batches in a row.
func (t timing) leaseTick() time.Duration { return t.lease() / 4 }

// leaseRenewal is the rest of a lease from which on it is renewed by a batch that
// carries no records. It is one tick less than the lease: each tick renews what
// no batch with records has renewed since the one before.
func (t timing) leaseRenewal() time.Duration { return t.lease() * 3 / 4 }

// deliveryMargin is the rest of a lease in which no delivery begins any more: a
// process may lose the processor between the look at its lease and the write.
func (t timing) deliveryMargin() time.Duration { return t.lease() / 6 }

// replicationBackoff is the least time between a batch that failed and the next.
func (t timing) replicationBackoff() time.Duration { return t.lease() / 16 }

// batchSpacing is how long a batch is under way before another one may follow it:
// longer than one takes on disks of a few milliseconds.
func (t timing) batchSpacing() time.Duration { return t.contactTimeout / 120 }

// slowBackup is how long a batch may take until the backup is reported. The call
// goes on: the report only makes others look at that store early.
func (t timing) slowBackup() time.Duration { return t.contactTimeout / 40 }

// writeRetry is the time between two tries to write what the disk refused.
func (t timing) writeRetry() time.Duration { return t.contactTimeout / 40 }

// diskCheck is how often the health of the disk is looked at.
func (t timing) diskCheck() time.Duration { return t.contactTimeout / 40 }

// stalledWrite is how long one write may be under way on a healthy disk.
func (t timing) stalledWrite() time.Duration { return t.contactTimeout / 16 }

// slowWrite is how long the writes of a healthy disk may take on average.
func (t timing) slowWrite() time.Duration { return t.contactTimeout / 50 }

// takeoverMargin is how long before the end of the former primary's lease its
// records are compared for the last time, so that its outcomes are here when
// this store may deliver.
func (t timing) takeoverMargin() time.Duration { return t.contactTimeout / 40 }

// verificationPoll is how often an accept that found its message stored looks
// whether the backups have been verified to hold it too.
func (t timing) verificationPoll() time.Duration { return t.contactTimeout / 200 }

// expirySweep is how often expired records are deleted and the use of disk and
// memory is measured.
func (t timing) expirySweep() time.Duration { return t.contactTimeout / 4 }

// reconcileTimeout bounds the comparison with one other store.
func (t timing) reconcileTimeout() time.Duration { return t.contactTimeout / 2 }

// reconcileInterval is the least time between two comparisons with one backup:
// a digest lists all identifiers of a partition.
func (t timing) reconcileInterval() time.Duration { return t.contactTimeout / 8 }

// fetchTimeout bounds one call for records.
func (t timing) fetchTimeout() time.Duration { return t.contactTimeout / 8 }

// inSyncReportInterval is the least time between two reports that the same
// backup is in sync: the placement that says so takes a while to arrive.
func (t timing) inSyncReportInterval() time.Duration { return t.contactTimeout / 8 }

// inSyncReportTimeout bounds one such report.
func (t timing) inSyncReportTimeout() time.Duration { return t.contactTimeout / 4 }

// sourceRetry is the time between two tries to take records from a source.
func (t timing) sourceRetry() time.Duration { return t.contactTimeout / 40 }

// handoverPoll is how often a handover looks whether its partitions are ready;
// clients wait for it, so it is short.
func (t timing) handoverPoll() time.Duration { return t.contactTimeout / 800 }

// handoverValidity is how long a partition that is ready for its handover stays
// stopped without a new placement. It is longer than the controller relies on it.
func (t timing) handoverValidity() time.Duration { return t.contactTimeout / 4 }

// clock is the wall clock as it was at the start, carried on by the monotonic
// clock: steps of the wall clock while the process runs have no effect.
type clock struct{ started time.Time }

// now is the time in milliseconds since the Unix epoch.
func (c clock) now() int64 { return c.started.Add(time.Since(c.started)).UnixMilli() }

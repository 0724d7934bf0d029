package partition

import "time"

// timing derives all timeouts and intervals of this package from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct{ contactTimeout time.Duration }

// lease is how long a primary may deliver after a backup has answered. A backup that
// becomes primary waits for the remainder, so the lease is a small part of the time that
// a failover may take.
func (t timing) lease() time.Duration { return t.contactTimeout * 3 / 20 }

// leaseTick is the interval at which a replicator checks for leases to renew. A lease
// survives the loss of two consecutive batches.
func (t timing) leaseTick() time.Duration { return t.lease() / 4 }

// leaseRenewal is the remaining time of a lease at which a batch without records renews
// it. It is one tick less than the lease, so each tick renews the leases that no batch
// with records has renewed since the previous tick.
func (t timing) leaseRenewal() time.Duration { return t.lease() * 3 / 4 }

// deliveryMargin is the remaining time of a lease in which no delivery is started: a
// process may be descheduled between checking its lease and writing the request.
func (t timing) deliveryMargin() time.Duration { return t.lease() / 6 }

// replicationBackoff is the minimum delay between a failed batch and the next one.
func (t timing) replicationBackoff() time.Duration { return t.lease() / 16 }

// batchSpacing is how long a batch must be in flight before another one may follow it. It
// exceeds the duration of a batch on disks that take a few milliseconds.
func (t timing) batchSpacing() time.Duration { return t.contactTimeout / 120 }

// slowBackup is how long a batch may take before the backup is reported. The call
// continues: the report only makes others probe that store early.
func (t timing) slowBackup() time.Duration { return t.contactTimeout / 40 }

// writeRetry is the delay before a failed write is retried.
func (t timing) writeRetry() time.Duration { return t.contactTimeout / 40 }

// diskCheck is the interval between checks of the disk's health.
func (t timing) diskCheck() time.Duration { return t.contactTimeout / 40 }

// stalledWrite is how long a single write may take on a healthy disk.
func (t timing) stalledWrite() time.Duration { return t.contactTimeout / 16 }

// slowWrite is how long writes may take on average on a healthy disk.
func (t timing) slowWrite() time.Duration { return t.contactTimeout / 50 }

// takeoverMargin is how long before the end of the former primary's lease its records are
// compared a last time, so that its outcomes are here when this store may deliver.
func (t timing) takeoverMargin() time.Duration { return t.contactTimeout / 40 }

// verificationPoll is the interval at which an accept that finds its message already
// stored checks whether the backups have been verified to hold it too.
func (t timing) verificationPoll() time.Duration { return t.contactTimeout / 200 }

// expirySweep is the interval at which expired records are deleted and the use of disk
// and memory is measured.
func (t timing) expirySweep() time.Duration { return t.contactTimeout / 4 }

// reconcileTimeout limits a reconciliation with one other store.
func (t timing) reconcileTimeout() time.Duration { return t.contactTimeout / 2 }

// reconcileInterval is the minimum time between two reconciliations with one backup: a
// digest lists all identifiers of a partition.
func (t timing) reconcileInterval() time.Duration { return t.contactTimeout / 8 }

// fetchTimeout limits one call that fetches records.
func (t timing) fetchTimeout() time.Duration { return t.contactTimeout / 8 }

// inSyncReportInterval is the minimum time between two reports that the same backup is in
// sync, since the resulting placement takes a while to arrive.
func (t timing) inSyncReportInterval() time.Duration { return t.contactTimeout / 8 }

// inSyncReportTimeout limits one such report.
func (t timing) inSyncReportTimeout() time.Duration { return t.contactTimeout / 4 }

// sourceRetry is the delay between attempts to fetch records from a recovery source.
func (t timing) sourceRetry() time.Duration { return t.contactTimeout / 40 }

// handoverPoll is the interval at which a handover checks whether its partitions are
// ready. It is short because clients wait for the handover.
func (t timing) handoverPoll() time.Duration { return t.contactTimeout / 800 }

// handoverValidity is how long a partition that is ready for its handover stays stopped
// without a new placement. It exceeds the time for which the controller relies on the
// response.
func (t timing) handoverValidity() time.Duration { return t.contactTimeout / 4 }

// clock is the wall clock at the start of the process, advanced by the monotonic clock,
// so that steps of the wall clock while the process runs have no effect.
type clock struct{ started time.Time }

// now returns the time in milliseconds since the Unix epoch.
func (c clock) now() int64 { return c.started.Add(time.Since(c.started)).UnixMilli() }

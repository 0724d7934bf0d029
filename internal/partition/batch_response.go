package partition

import (
	"context"
	"time"

	"saltreel/internal/placement"
)

// handleFailedBatch makes the records of a failed batch eligible for sending again.
func (m *Manager) handleFailedBatch(batch []sentPartition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range batch {
		batch[i].replica.endBatch(batch[i].records)
	}
}

// handleResponse applies the response of a backup to the batch with the given number,
// which was sent at sentAt.
func (m *Manager) handleResponse(r *replicator, sentAt time.Time, number int64, batch []sentPartition, response BatchResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	results := map[int]PartitionResult{}
	for _, result := range response.Partitions {
		results[result.Partition] = result
	}
	var report placement.InSyncReport
	for i := range batch {
		sent := &batch[i]
		sent.replica.endBatch(sent.records)
		result, ok := results[sent.partition.number]
		if !ok || !sent.isCurrent() {
			continue
		}
		if result.Stale {
			m.handleStaleLocked(sent)
			continue
		}
		m.renewContactLocked(sent.partition)
		m.acknowledgeLocked(sent)
		m.renewLeaseLocked(sent, sentAt, number)
		newlyInSync := m.verifyLocked(sent, result)
		m.releaseEntriesLocked(sent.partition)
		if newlyInSync {
			report.Replicas = append(report.Replicas, placement.Replica{
				Partition: sent.partition.number,
				Epoch:     sent.epoch,
				Store:     sent.replica.store,
			})
		}
		if sent.replica.hasBacklog() {
			r.wake()
		}
	}
	if len(report.Replicas) > 0 {
		m.background.tasks.Go(func() { m.reportInSync(report) })
	}
}

// handleStaleLocked handles a backup that does not regard this store as the primary,
// usually since it knows a newer epoch: it grants this store no lease.
func (m *Manager) handleStaleLocked(sent *sentPartition) {
	p, replica := sent.partition, sent.replica
	if replica.connected {
		m.config.Log.Printf("copy: partition %d: %s knows a newer epoch than %d", p.number, replica.store, p.epoch)
	}
	replica.leaseExpires = time.Time{}
	replica.connected = false
}

// acknowledgeLocked records that the records of a batch are on the backup's disk.
func (m *Manager) acknowledgeLocked(sent *sentPartition) {
	p, replica := sent.partition, sent.replica
	replica.connected = true
	if sent.released.After(replica.released) {
		replica.released = sent.released
	}
	for _, record := range sent.records {
		replica.acknowledge(record)
		if accept := p.unconfirmed[record.ID]; accept != nil {
			accept.onBackupDisk[replica.disk] = true
			m.confirmLocked(p, accept)
		}
	}
}

// renewLeaseLocked records that the backup granted a lease or that it has accepted its
// release. A batch that releases the lease grants none, even if the handover was
// canceled before the response arrived. Responses may arrive out of order: the batch
// with the highest number decides.
func (m *Manager) renewLeaseLocked(sent *sentPartition, sentAt time.Time, number int64) {
	replica := sent.replica
	if number < replica.leaseBatch {
		return
	}
	replica.leaseBatch = number
	if sent.releaseLease {
		replica.leaseExpires = time.Time{}
		replica.leaseReleased = sent.partition.handover.acceptsStopped
		return
	}
	replica.leaseExpires = sentAt.Add(m.timing.lease())
	replica.leaseReleased = false
}

// verifyLocked compares the records of the backup with those of this store, and starts a
// reconciliation if they differ. It reports whether the backup is newly in sync and this
// should be reported.
func (m *Manager) verifyLocked(sent *sentPartition, result PartitionResult) bool {
	p, replica := sent.partition, sent.replica
	if sent.inSync(result) {
		replica.verified = true
		if replica.inSync || time.Since(replica.lastReported) <= m.timing.inSyncReportInterval() {
			return false
		}
		replica.lastReported = time.Now()
		return true
	}
	if sent.complete && time.Since(replica.lastReconciled) > m.timing.reconcileInterval() {
		replica.lastReconciled = time.Now()
		n, epoch := p.number, p.epoch
		m.background.tasks.Go(func() { m.reconcile(n, epoch, replica.store) })
	}
	return false
}

func (m *Manager) reportInSync(report placement.InSyncReport) {
	ctx, cancel := context.WithTimeout(m.background.ctx, m.timing.inSyncReportTimeout())
	defer cancel()
	if err := m.config.ReportInSync(ctx, report); err != nil && m.background.ctx.Err() == nil {
		m.config.Log.Printf("copy: in-sync report failed: %v", err)
	}
}

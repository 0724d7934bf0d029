package partition

import (
	"context"
	"time"

	"saltreel/internal/placement"
)

// handleFailedBatch notes that the records of a batch are to be sent again.
func (m *Manager) handleFailedBatch(batch []sentPartition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range batch {
		batch[i].replica.endBatch(batch[i].records)
	}
}

// handleResponse takes over what a backup answered to a batch, which had the given
// number and was sent at the given time.
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
			m.handleNewerEpochLocked(sent)
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

// handleNewerEpochLocked notes that the backup obeys another primary: it grants
// this one no lease.
func (m *Manager) handleNewerEpochLocked(sent *sentPartition) {
	p, replica := sent.partition, sent.replica
	if replica.connected {
		m.config.Log.Printf("copy: partition %d: %s knows a newer epoch than %d", p.number, replica.store, p.epoch)
	}
	replica.leaseExpires = time.Time{}
	replica.connected = false
}

// acknowledgeLocked notes that the backup has the records of a batch on its disk.
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

// renewLeaseLocked notes the lease that the backup granted, or that it has its
// lease back. A batch that gave the lease back granted none, even if the handover
// was called off before its response came. Responses may come in another order than
// the batches went: what the later batch says of the lease counts.
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

// verifyLocked compares what the backup holds with what is here, and starts a
// reconciliation if they differ. It reports whether the backup is newly in sync
// and this is to be reported.
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
		m.config.Log.Printf("copy: report of partitions in sync: %v", err)
	}
}

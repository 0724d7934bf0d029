package partition

import (
	"context"
	"time"

	"saltreel/internal/placement"
)

// HandleBatch applies a batch as the backup, and answers once all of it is on
// disk. It returns ErrTruncatedBatch, ErrOutOfOrder, or the error of ctx.
func (m *Manager) HandleBatch(ctx context.Context, batch *BatchRequest, raw []byte) (*BatchResponse, error) {
	if err := m.awaitPrecedingBatch(ctx, batch); err != nil {
		return nil, err
	}
	response, onDisk, err := m.applyBatch(batch, raw)
	if err != nil {
		return nil, err
	}
	select {
	case <-onDisk:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// applyBatch applies a batch; the channel is closed once it is on disk.
func (m *Manager) applyBatch(batch *BatchRequest, raw []byte) (*BatchResponse, <-chan struct{}, error) {
	response := &BatchResponse{InOrder: true}
	onDisk := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	// The response counts for the disk that the sender's placement names.
	otherDisk := batch.Disk != "" && batch.Disk != m.storage.identity
	for _, part := range batch.Partitions {
		if otherDisk {
			response.Partitions = append(response.Partitions, PartitionResult{Partition: part.Partition, Stale: true})
			continue
		}
		size := bodyBytes(part.Records)
		if size > len(raw) {
			return nil, nil, ErrTruncatedBatch
		}
		bodies := raw[:size]
		raw = raw[size:]
		response.Partitions = append(response.Partitions, m.applyPartitionBatchLocked(batch, part, bodies))
	}
	m.recordAppliedLocked(batch)
	// Also what came with an earlier batch, or from another primary: the checksum
	// covers it, and a message that a checksum covers may be answered with 202.
	m.storage.afterSync(func() { close(onDisk) })
	return response, onDisk, nil
}

// awaitPrecedingBatch waits until the batch that is to be applied before this one has
// been.
func (m *Manager) awaitPrecedingBatch(ctx context.Context, batch *BatchRequest) error {
	if batch.After == 0 { // as most are
		return nil
	}
	timer := time.NewTimer(m.timing.lease())
	defer timer.Stop()
	for {
		m.mu.Lock()
		applied, changed := m.hasAppliedLocked(batch.From, batch.After), m.batchApplied
		m.mu.Unlock()
		if applied {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return ErrOutOfOrder
		case <-ctx.Done():
			return ErrOutOfOrder
		}
	}
}

// hasAppliedLocked reports whether a batch of a primary, or a later one, was applied.
func (m *Manager) hasAppliedLocked(from string, number int64) bool {
	applied := m.appliedBatches[from]
	return sameIncarnation(applied, number) && applied >= number
}

// recordAppliedLocked lets batches that are to follow this one be applied.
func (m *Manager) recordAppliedLocked(batch *BatchRequest) {
	if m.hasAppliedLocked(batch.From, batch.Number) {
		return
	}
	m.appliedBatches[batch.From] = batch.Number
	close(m.batchApplied)
	m.batchApplied = make(chan struct{})
}

// bodyBytes is the length of the bodies of records that were received.
func bodyBytes(records []*Record) int {
	size := 0
	for _, r := range records {
		size += r.Length
	}
	return size
}

func (m *Manager) applyPartitionBatchLocked(batch *BatchRequest, part PartitionBatch, bodies []byte) PartitionResult {
	stale := PartitionResult{Partition: part.Partition, Stale: true}
	if !m.hasPartitionLocked(part.Partition) {
		return stale
	}
	p := m.partitions[part.Partition]
	if p.epoch > part.Epoch {
		return stale
	}
	if p.epoch < part.Epoch { // the placement arrives later than the batch
		m.applyAssignmentLocked(p, placement.Partition{
			Epoch:   part.Epoch,
			Primary: batch.From,
			Backups: []placement.Backup{{Store: m.config.Self}},
		})
		m.saveEpochsLocked()
	}
	if p.primary != batch.From || !p.isBackup {
		return stale
	}
	m.renewContactLocked(p)
	for _, r := range part.Records {
		bodies, _ = m.receiveRecord(p, r, bodies, m.Now()-batch.Now) // the caller has checked the length
		if r.supersedes(p.records.byID[r.ID]) {
			m.storeLocked(p, r, nil)
		}
	}
	if part.Released.After(p.released) {
		p.released = part.Released
	}
	p.granted.apply(batch.Number, part.ReleaseLease, time.Now().Add(m.timing.lease()))
	return PartitionResult{Partition: p.number, Checksum: p.records.checksum, Count: p.records.count}
}

package partition

import (
	"context"
	"time"

	"saltreel/internal/placement"
)

// HandleBatch applies a batch as a backup, and returns once all of it is on disk. It
// returns ErrTruncatedBatch, ErrOutOfOrder, or the error of ctx.
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

// applyBatch applies a batch. The returned channel is closed once the batch is on disk.
func (m *Manager) applyBatch(batch *BatchRequest, raw []byte) (*BatchResponse, <-chan struct{}, error) {
	response := &BatchResponse{InOrder: true}
	onDisk := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	// The primary counts the response as a confirmation by the disk that its placement
	// names, so a batch for another disk must not be confirmed.
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
	// The wait includes records of earlier batches and of other primaries: the checksum
	// covers them, and the primary may accept a message that the checksum covers.
	m.storage.afterSync(func() { close(onDisk) })
	return response, onDisk, nil
}

// awaitPrecedingBatch waits until the batch that precedes this one has been applied.
func (m *Manager) awaitPrecedingBatch(ctx context.Context, batch *BatchRequest) error {
	if batch.After == 0 { // the common case
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

// hasAppliedLocked reports whether the batch with this number, or a later one of the same
// incarnation, has been applied.
func (m *Manager) hasAppliedLocked(from string, number int64) bool {
	applied := m.appliedBatches[from]
	return sameIncarnation(applied, number) && applied >= number
}

// recordAppliedLocked records the number of an applied batch and wakes the batches that
// wait for it.
func (m *Manager) recordAppliedLocked(batch *BatchRequest) {
	if m.hasAppliedLocked(batch.From, batch.Number) {
		return
	}
	m.appliedBatches[batch.From] = batch.Number
	close(m.batchApplied)
	m.batchApplied = make(chan struct{})
}

// bodyBytes returns the total length of the bodies that follow the records.
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
	if p.epoch < part.Epoch { // the batch arrived before the placement
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
		bodies, _ = m.receiveRecord(p, r, bodies, m.Now()-batch.Now) // the caller has checked the total length
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

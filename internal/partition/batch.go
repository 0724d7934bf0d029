package partition

import "time"

// outgoingBatch is a batch together with the state that the sender needs to handle its
// response.
type outgoingBatch struct {
	request BatchRequest
	bodies  []byte
	sent    []sentPartition
	address string
}

// sentPartition records the state of one partition at the time when the batch was made.
type sentPartition struct {
	partition    *partition
	replica      *replica
	epoch        int64
	records      []*Record
	checksum     uint64
	count        int
	complete     bool // no record queued for the backup was left out
	released     Position
	releaseLease bool
}

// isCurrent reports whether the partition still has the same epoch and the same backup.
func (s *sentPartition) isCurrent() bool {
	return s.partition.epoch == s.epoch && s.partition.replica(s.replica.store) == s.replica
}

// inSync reports whether the backup holds the same records as this store did when the
// batch was made.
func (s *sentPartition) inSync(result PartitionResult) bool {
	return s.complete && result.Checksum == s.checksum && result.Count == s.count
}

// makeBatch creates the batch with the given number for a peer.
func (m *Manager) makeBatch(peer string, number int64) outgoingBatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := outgoingBatch{
		request: BatchRequest{From: m.config.Self, Number: number, Now: m.Now(), Disk: m.placement.Stores[peer].Disk},
		bodies:  []byte{},
		address: m.placement.Stores[peer].Address,
	}
	now := time.Now()
	for _, p := range m.partitions {
		if !m.leadsLocked(p) {
			continue
		}
		r := p.replica(peer)
		if r != nil && r.needsBatch(now, p.handover.acceptsStopped, m.timing.leaseRenewal()) {
			batch.add(p, r)
		}
	}
	return batch
}

// add adds one partition to the batch. A lease that the batch releases is invalid from
// now on, whether or not the response arrives, and regardless of responses to earlier
// batches.
func (b *outgoingBatch) add(p *partition, r *replica) {
	release := p.handover.acceptsStopped
	if release {
		r.leaseExpires = time.Time{}
		r.leaseBatch = b.request.Number
	}
	records, complete := r.selectRecords(&p.records, int64(len(b.bodies)))
	r.beginBatch(records)
	for _, record := range records {
		b.bodies = append(b.bodies, record.Body...)
	}
	part := PartitionBatch{Partition: p.number, Epoch: p.epoch, Records: records, ReleaseLease: release}
	released := p.log.releasedThrough()
	if released.After(r.released) {
		part.Released = released
	}
	b.request.Partitions = append(b.request.Partitions, part)
	b.sent = append(b.sent, sentPartition{
		partition:    p,
		replica:      r,
		epoch:        p.epoch,
		records:      records,
		checksum:     p.records.checksum,
		count:        p.records.count,
		complete:     complete,
		released:     released,
		releaseLease: release,
	})
}

package partition

import (
	"context"
	"errors"
	"slices"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

// HandleDigest lists the records that this store holds of a partition. It returns a
// *NotPrimaryError if the partition is unknown here, ErrWrongDisk, or the error of ctx.
func (m *Manager) HandleDigest(ctx context.Context, in *DigestRequest, _ []byte) (*DigestResponse, error) {
	out, err := m.digest(in)
	if err != nil || !in.Fence {
		return out, err
	}
	onDisk := make(chan struct{})
	m.storage.afterSync(func() { close(onDisk) })
	select {
	case <-onDisk:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Manager) digest(in *DigestRequest) (*DigestResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasPartitionLocked(in.Partition) {
		return nil, &NotPrimaryError{in.Partition}
	}
	if in.Disk != "" && in.Disk != m.storage.identity {
		return nil, ErrWrongDisk
	}
	p := m.partitions[in.Partition]
	// The placement may arrive later than this request. A sender with a newer epoch is
	// the primary of that epoch.
	switch {
	case in.From == "" || p.epoch >= in.Epoch:
	case in.Fence: // this store may be a backup in the new epoch, which the placement says
		m.applyAssignmentLocked(p, placement.Partition{Epoch: in.Epoch})
		m.saveEpochsLocked()
	case m.leadsLocked(p):
		m.applyAssignmentLocked(p, placement.Partition{Epoch: in.Epoch, Primary: in.From})
		m.saveEpochsLocked()
	}
	out := &DigestResponse{IDs: map[State][]string{}, Outdated: m.isOutdatedLocked(p)}
	for id, r := range p.records.byID {
		out.IDs[r.State] = append(out.IDs[r.State], id)
	}
	return out, nil
}

// reconcile compares the records of a partition that this store leads in the given epoch
// with those of another store, and exchanges the differences (anti-entropy, Demers et al.
// 1987). From a store that is not a backup it only fetches what is missing here. It
// reports whether the other store answered.
func (m *Manager) reconcile(n int, epoch int64, peer string) bool {
	m.mu.Lock()
	p, address := m.partitions[n], m.placement.Stores[peer].Address
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.background.ctx, m.timing.reconcileTimeout())
	defer cancel()
	var digest DigestResponse
	request := DigestRequest{From: m.config.Self, Partition: n, Epoch: epoch}
	if err := m.config.Client.Call(ctx, address, "/digest", request, nil, &digest); err != nil {
		m.config.Log.Printf("repair: partition %d: %v", n, err)
		return false
	}
	toSend, toFetch := m.compare(p, epoch, peer, digest)
	if toSend+len(toFetch) > 0 {
		m.config.Log.Printf("repair: partition %d: %d records to %s, %d from it", n, toSend, peer, len(toFetch))
	}
	if len(toFetch) > 0 {
		if err := m.fetchRecords(ctx, n, peer, toFetch); err != nil {
			m.config.Log.Printf("repair: partition %d: %v", n, err)
		}
	}
	return true
}

// compare queues the records that a backup lacks, and the deletion of those that it must
// not hold. It returns the number of both and the identifiers of the records to fetch from
// the peer. It does nothing if this store no longer leads the partition in that epoch.
func (m *Manager) compare(p *partition, epoch int64, peer string, digest DigestResponse) (toSend int, toFetch []string) {
	remote := digest.statesByID()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leadsInLocked(p, epoch) {
		return 0, nil
	}
	if r := p.replica(peer); r != nil {
		toSend = r.queueMissing(&p.records, remote)
		toSend += m.deleteExtraneousEntriesLocked(p, remote)
		if digest.Outdated {
			toSend += m.deleteStalePendingLocked(p, remote)
		}
	}
	if digest.Outdated {
		dropPendingMessages(remote)
	}
	toFetch = slices.DeleteFunc(p.records.missingOrOlder(remote), isEntryID) // the primary alone decides which entries exist
	m.wakeReplicatorLocked(peer)
	return toSend, toFetch
}

// statesByID returns the state of each record, keyed by its identifier.
func (d *DigestResponse) statesByID() map[string]State {
	states := map[string]State{}
	for state, ids := range d.IDs {
		for _, id := range ids {
			states[id] = state
		}
	}
	return states
}

// missingOrOlder lists the identifiers of the records that are missing here or present
// only in an earlier state than in remote.
func (s *recordSet) missingOrOlder(remote map[string]State) []string {
	var ids []string
	for id, state := range remote {
		if r := s.byID[id]; r == nil || r.State < state {
			ids = append(ids, id)
		}
	}
	return ids
}

// maxFetchBytes bounds the bodies in the response to a FetchRequest.
const maxFetchBytes = 4 * maxBatchBytes

// HandleFetch answers a FetchRequest with the requested records that this store holds, as
// a PartitionBatch followed by their bodies. Records beyond maxFetchBytes are omitted, as
// are the pending messages of an outdated replica unless the request includes them.
func (m *Manager) HandleFetch(_ context.Context, in *FetchRequest, _ []byte) (*PartitionBatch, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasPartitionLocked(in.Partition) {
		return nil, nil, ErrUnknownPartition
	}
	p := m.partitions[in.Partition]
	outdated := m.isOutdatedLocked(p) && !in.IncludeOutdated
	batch := &PartitionBatch{Partition: in.Partition, Now: m.Now()}
	bodies := []byte{}
	for _, id := range in.IDs {
		r := p.records.byID[id]
		if r == nil || outdated && r.State == Pending {
			continue
		}
		if len(bodies) < maxFetchBytes {
			batch.Records = append(batch.Records, r)
			bodies = append(bodies, r.Body...)
		}
	}
	return batch, bodies, nil
}

// errTruncatedFetch means that the response of another store is incomplete. It is
// distinct from ErrTruncatedBatch, which is answered to a caller as its own mistake.
var errTruncatedFetch = errors.New("the bodies are cut short")

// fetchRecords fetches records from another store and commits them as the primary.
func (m *Manager) fetchRecords(ctx context.Context, n int, peer string, ids []string) error {
	m.mu.Lock()
	p := m.partitions[n]
	epoch, address := p.epoch, m.placement.Stores[peer].Address
	m.mu.Unlock()
	batch, bodies, err := m.callFetch(ctx, address, FetchRequest{Partition: n, IDs: ids})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leadsInLocked(p, epoch) {
		return &NotPrimaryError{n}
	}
	if !m.adoptLocked(p, batch, bodies) {
		return &httpwire.Error{Step: "decode fetch", Peer: address, Sent: true, Err: errTruncatedFetch}
	}
	return nil
}

func (m *Manager) callFetch(ctx context.Context, address string, request FetchRequest) (batch PartitionBatch, bodies []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.fetchTimeout())
	defer cancel()
	bodies, err = m.config.Client.CallRaw(ctx, address, "/fetch", request, nil, &batch)
	return batch, bodies, err
}

// adoptLocked commits records of another store as changes of the current epoch, where
// their state is later than the state here. It stops at the first truncated body, and
// reports whether all bodies were complete.
//
// A pending message that this primary lacks has not been accepted. It comes after those
// that have, whatever its position at the other store: that one may have stored it after
// it was deposed.
func (m *Manager) adoptLocked(p *partition, batch PartitionBatch, bodies []byte) bool {
	received, complete := m.receiveRecords(p, batch, bodies)
	slices.SortFunc(received, func(a, b *Record) int { return a.Position().Compare(b.Position()) })
	for _, r := range received {
		if old := p.records.byID[r.ID]; old != nil && r.State <= old.State {
			continue
		}
		if r.State == Pending {
			r.Order = p.records.sequence + 1
		}
		m.commitLocked(p, r, nil)
		if r.State == Pending {
			m.events.push(Event{Partition: p.number, Records: []*Record{r}})
		}
	}
	return complete
}

// receiveRecords completes the records of a batch up to the first truncated body, and
// reports whether all bodies were complete.
func (m *Manager) receiveRecords(p *partition, batch PartitionBatch, bodies []byte) (received []*Record, complete bool) {
	for _, r := range batch.Records {
		if bodies, complete = m.receiveRecord(p, r, bodies, m.Now()-batch.Now); !complete {
			return received, false
		}
		received = append(received, r)
	}
	return received, true
}

// receiveRecord completes a record that another store sent. It takes the body from the
// front of bodies and returns the rest; ok is false if bodies is too short. clockShift is
// how far this store's clock is ahead of the sender's, in ms.
func (m *Manager) receiveRecord(p *partition, r *Record, bodies []byte, clockShift int64) (rest []byte, ok bool) {
	if r.Length > len(bodies) {
		return bodies, false
	}
	r.Partition = p.number
	r.shiftTimes(clockShift)
	r.Body = slices.Clone(bodies[:r.Length])
	return bodies[r.Length:], true
}

// Find returns the record of a message in a partition that this store leads. If the
// record is not here, it is fetched from a backup. Find returns a *NotPrimaryError,
// ErrUnknownMessage, ErrIndeterminate if messages require backups but none could be
// asked, or the error of the last backup that did not answer.
func (m *Manager) Find(ctx context.Context, n int, id string) (*Record, error) {
	r, backups, err := m.lookUp(n, id)
	if err != nil || r != nil {
		return r, err
	}
	var lastErr error
	for _, backup := range backups {
		if err := m.fetchRecords(ctx, n, backup, []string{id}); err != nil {
			lastErr = err
			continue
		}
		if r := m.record(n, id); r != nil {
			return r, nil
		}
	}
	switch {
	case lastErr != nil:
		return nil, lastErr
	case len(backups) == 0 && m.config.Backups > 0:
		return nil, ErrIndeterminate
	}
	return nil, ErrUnknownMessage
}

// lookUp returns the record if it is here, or else the backups to ask for it.
func (m *Manager) lookUp(n int, id string) (r *Record, backups []string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return nil, nil, &NotPrimaryError{n}
	}
	p := m.partitions[n]
	if r := p.records.byID[id]; r != nil {
		return r, nil, nil
	}
	for _, r := range p.replicas {
		backups = append(backups, r.store)
	}
	return nil, backups, nil
}

func (m *Manager) record(n int, id string) *Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions[n].records.byID[id]
}

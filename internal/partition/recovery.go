package partition

import (
	"context"
	"slices"
	"time"

	"saltreel/internal/placement"
	"saltreel/internal/timeutil"
)

// A failure may destroy all in-sync replicas of a partition while the remaining stores
// together still hold everything that was accepted (placement.Span). The placement then
// names a primary that lacks some of it, and the sources from which the primary fetches
// it. Until it has everything, the primary does not act as one: it neither accepts nor
// delivers, and answers no queries.
//
// Records are merged by state as usual: a message that has ended at one of the stores has
// ended. For log entries, the newest entry determines which earlier ones exist; see
// removeDivergentEntries.

// recoverFromSources fetches the records that the sources of a partition hold, and then
// starts to act as its primary. It ends early when the assignment is superseded.
func (m *Manager) recoverFromSources(p *partition, assignment placement.Partition, former string) {
	m.config.Log.Printf("recovery: partition %d: takes records from %v", p.number, assignment.Sources)
	started := time.Now()
	for _, source := range assignment.Sources {
		for source != m.config.Self && !m.copyFromSource(p, assignment.Epoch, source) {
			timeutil.Sleep(m.background.ctx, m.timing.sourceRetry())
			if !m.isRecovering(p, assignment.Epoch) {
				return
			}
		}
	}
	m.removeDivergentEntries(p, assignment.Epoch)
	if !m.awaitDisk() || !m.finishRecovery(p, assignment, former) {
		return
	}
	m.config.Log.Printf("recovery: partition %d: is complete after %v", p.number, time.Since(started).Round(time.Millisecond))
	m.reportRecovered(p, assignment.Epoch)
}

// isRecovering reports whether the partition is still fetching records from its sources
// under an assignment of this epoch.
func (m *Manager) isRecovering(p *partition, epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isRecoveringLocked(p, epoch)
}

func (m *Manager) isRecoveringLocked(p *partition, epoch int64) bool {
	return p.epoch == epoch && len(p.sources) > 0 && m.background.ctx.Err() == nil
}

// awaitDisk waits until everything in memory is on this store's disk. It returns false if
// the Manager ends first.
func (m *Manager) awaitDisk() bool {
	onDisk := make(chan struct{})
	m.storage.afterSync(func() { close(onDisk) })
	select {
	case <-onDisk:
		return true
	case <-m.background.ctx.Done():
		return false
	}
}

// copyFromSource fetches the records that a source holds and this store lacks. It reports
// whether it got all of them; records that were fetched remain in either case.
func (m *Manager) copyFromSource(p *partition, epoch int64, source string) bool {
	m.mu.Lock()
	store := m.placement.Stores[source]
	m.mu.Unlock()
	digest, err := m.requestDigest(p.number, epoch, store)
	if err != nil {
		m.config.Log.Printf("recovery: partition %d: %s: %v", p.number, source, err)
		return false
	}
	m.mu.Lock()
	missing := p.records.missingOrOlder(digest.statesByID())
	m.mu.Unlock()
	for len(missing) > 0 {
		received, err := m.fetchFromSource(p, epoch, store.Address, missing)
		if err != nil {
			m.config.Log.Printf("recovery: partition %d: %s: %v", p.number, source, err)
		}
		if len(received) == 0 { // the source failed or has changed; request its digest again
			return false
		}
		missing = slices.DeleteFunc(missing, func(id string) bool { return received[id] })
	}
	return true
}

// requestDigest asks a source which records it holds, and fences off the primaries of
// earlier epochs there.
func (m *Manager) requestDigest(n int, epoch int64, store placement.Store) (*DigestResponse, error) {
	ctx, cancel := context.WithTimeout(m.background.ctx, m.timing.reconcileTimeout())
	defer cancel()
	request := DigestRequest{From: m.config.Self, Partition: n, Epoch: epoch, Disk: store.Disk, Fence: true}
	var digest DigestResponse
	if err := m.config.Client.Call(ctx, store.Address, "/digest", request, nil, &digest); err != nil {
		return nil, err
	}
	return &digest, nil
}

// maxIDsPerFetch limits the identifiers in one FetchRequest.
const maxIDsPerFetch = 1000

// fetchFromSource fetches records from a source and stores them unchanged. It returns the
// identifiers of the received records.
func (m *Manager) fetchFromSource(p *partition, epoch int64, address string, ids []string) (received map[string]bool, err error) {
	request := FetchRequest{Partition: p.number, IDs: ids[:min(len(ids), maxIDsPerFetch)], IncludeOutdated: true}
	batch, bodies, err := m.callFetch(m.background.ctx, address, request)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isRecoveringLocked(p, epoch) {
		return nil, &NotPrimaryError{p.number}
	}
	received = map[string]bool{}
	for _, r := range batch.Records {
		var complete bool
		if bodies, complete = m.receiveRecord(p, r, bodies, m.Now()-batch.Now); !complete {
			return received, errTruncatedFetch
		}
		if old := p.records.byID[r.ID]; old == nil || r.State > old.State {
			m.storeLocked(p, r, nil)
		}
		received[r.ID] = true
	}
	return received, nil
}

// removeDivergentEntries removes the entries that one of the stores held although no
// later primary had them: they were never confirmed.
func (m *Manager) removeDivergentEntries(p *partition, epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isRecoveringLocked(p, epoch) {
		return
	}
	topics := map[string][]*Record{}
	for _, r := range p.records.byID {
		if r.IsEntry() {
			topics[r.Topic] = append(topics[r.Topic], r)
		}
	}
	for _, entries := range topics {
		for _, r := range divergentEntries(entries) {
			m.storeLocked(p, &Record{ID: r.ID, Partition: p.number, State: Deleted}, nil)
		}
	}
}

// divergentEntries returns the entries of one topic that are not part of the log that
// ends with the last entry. Each entry names its predecessor, so an entry that lies
// between the two is divergent.
func divergentEntries(entries []*Record) []*Record {
	slices.SortFunc(entries, func(a, b *Record) int { return b.Position().Compare(a.Position()) })
	var next *Record
	var divergent []*Record
	for _, r := range entries {
		if next != nil && r.Position().After(next.Previous) {
			divergent = append(divergent, r)
			continue
		}
		next = r
	}
	return divergent
}

// finishRecovery makes this store act as the primary of a partition that it has
// recovered. It reports whether the assignment is still current.
func (m *Manager) finishRecovery(p *partition, assignment placement.Partition, former string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isRecoveringLocked(p, assignment.Epoch) {
		return false
	}
	p.sources = nil
	// The sources grant no lease in earlier epochs any more, and this store does not
	// either. The last lease that one of them granted ends within one lease from now.
	p.granted.extend(time.Now().Add(m.timing.lease()))
	p.setReplicas(assignment.Backups, m.placement.Stores)
	m.becomePrimaryLocked(p, assignment, former)
	p.notifyChanged()
	for _, r := range p.replicas {
		m.startReplicatorLocked(r.store)
	}
	return true
}

// reportRecovered reports that this store holds all records, until the placement names no
// more sources.
func (m *Manager) reportRecovered(p *partition, epoch int64) {
	report := placement.InSyncReport{Replicas: []placement.Replica{{Partition: p.number, Epoch: epoch, Store: m.config.Self}}}
	for m.placementNamesSources(p, epoch) {
		m.reportInSync(report)
		timeutil.Sleep(m.background.ctx, m.timing.inSyncReportInterval())
	}
}

// placementNamesSources reports whether the placement still names sources for a partition
// that this store leads.
func (m *Manager) placementNamesSources(p *partition, epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadsInLocked(p, epoch) && m.background.ctx.Err() == nil && len(m.placement.Partitions[p.number].Sources) > 0
}

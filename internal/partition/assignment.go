package partition

import (
	"time"

	"saltreel/internal/placement"
)

// ApplyPlacement applies a placement, unless the same or a newer one has already been
// applied.
func (m *Manager) ApplyPlacement(next placement.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.Version <= m.placement.Version {
		return
	}
	m.placement = next
	// If the placement names another disk, the partitions were assigned to an earlier
	// disk of a store with this name, not to this one.
	ownDisk := next.Stores[m.config.Self].Disk == m.storage.identity
	applied := false
	for n, assignment := range next.Partitions {
		if n >= len(m.partitions) {
			m.addPartitionLocked(n)
		}
		p := m.partitions[n]
		if ownDisk && assignment.IsUpToDate(m.config.Self) {
			p.contact.outdated = false
		}
		if p.hasApplied(assignment) {
			p.updateInSync(assignment)
			continue
		}
		if !ownDisk {
			assignment.Primary, assignment.Backups = "", nil
		}
		m.applyAssignmentLocked(p, assignment)
		applied = true
	}
	if applied {
		m.saveEpochsLocked()
		m.saveContactsLocked()
	}
	for _, r := range m.replicators {
		r.wake()
	}
}

// addPartitionLocked creates the state of a partition from the records loaded from disk.
func (m *Manager) addPartitionLocked(n int) {
	p, memoryBytes := newPartition(n, m.epochs[n], m.loaded[n])
	m.usage.memoryBytes += memoryBytes
	// An earlier process may have granted a lease just before it ended.
	p.granted.expires = m.clock.started.Add(m.timing.lease())
	p.contact.last = m.Now()
	if last, known := m.contacts[n]; known {
		p.contact.last = last
	}
	delete(m.loaded, n)
	m.partitions = append(m.partitions, p)
}

// saveEpochsLocked queues the newest epochs for the disk, ahead of all writes made under
// them.
func (m *Manager) saveEpochsLocked() { m.storage.putMeta(keyEpochs, m.epochs.encode()) }

// applyAssignmentLocked changes the roles of the stores in a partition. The caller must
// call saveEpochsLocked before it releases mu.
func (m *Manager) applyAssignmentLocked(p *partition, assignment placement.Partition) {
	formerPrimary := p.primary
	wasPrimary := m.leadsLocked(p)
	p.epoch = assignment.Epoch
	p.primary = assignment.Primary
	p.isBackup = assignment.BackupIndex(m.config.Self) >= 0
	p.sources = nil
	if !wasPrimary && p.primary == m.config.Self {
		p.sources = assignment.Sources
	}
	p.handover.resume()
	m.epochs[p.number] = p.epoch
	p.notifyChanged()
	isPrimary := m.leadsLocked(p)
	if isPrimary {
		p.setReplicas(assignment.Backups, m.placement.Stores)
	} else {
		p.replicas = nil
	}
	switch {
	case isPrimary && !wasPrimary:
		m.becomePrimaryLocked(p, assignment, formerPrimary)
	case isPrimary: // if backups were removed, pending messages may now be confirmed
		for _, accept := range p.unconfirmed {
			m.confirmLocked(p, accept)
		}
		m.releaseEntriesLocked(p)
	case wasPrimary:
		m.resignPrimaryLocked(p)
	}
	for _, r := range p.replicas {
		m.startReplicatorLocked(r.store)
	}
	if len(p.sources) > 0 {
		m.background.tasks.Go(func() { m.recoverFromSources(p, assignment, formerPrimary) })
	}
}

// sequenceGap exceeds the number of changes that one process makes in an epoch.
const sequenceGap = int64(1) << 32

func (m *Manager) becomePrimaryLocked(p *partition, assignment placement.Partition, former string) {
	if m.previousEpochs[p.number] == p.epoch {
		// An earlier process may have led the partition in this epoch and assigned
		// sequence numbers to changes that a replica holds but this store's disk lacks.
		p.records.sequence += sequenceGap
	}
	m.events.push(Event{Partition: p.number, BecamePrimary: true, Records: p.pending()})
	m.initTopicLogLocked(p)
	// A former primary that handed the partition over is now a backup and holds nothing
	// that is missing here. One that is not a backup was presumed to have failed.
	if _, known := m.placement.Stores[former]; known && former != m.config.Self && assignment.BackupIndex(former) < 0 {
		m.recoverFromLocked(p, former)
	}
}

func (m *Manager) resignPrimaryLocked(p *partition) {
	p.granted.end()
	if through := p.log.releasedThrough(); through.After(p.released) {
		p.released = through
	}
	p.log = nil
	clear(p.unconfirmed) // waiting accepts are woken by the change of the partition
	m.events.push(Event{Partition: p.number, LostPrimary: true})
}

// recoverFromLocked takes over from a primary that was presumed to have failed. If that
// primary still runs, the digest request deposes it and its records are fetched. A second
// reconciliation fetches the outcomes of its last deliveries before this store may
// deliver.
func (m *Manager) recoverFromLocked(p *partition, former string) {
	n, epoch, leaseExpires := p.number, p.epoch, p.granted.expires
	m.background.tasks.Go(func() {
		if !m.reconcile(n, epoch, former) {
			return
		}
		select {
		case <-time.After(time.Until(leaseExpires) - m.timing.takeoverMargin()):
			m.reconcile(n, epoch, former)
		case <-m.background.ctx.Done():
		}
	})
}

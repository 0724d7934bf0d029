package partition

import (
	"time"

	"saltreel/internal/placement"
)

// ApplyPlacement applies a placement, unless a newer one has been applied.
func (m *Manager) ApplyPlacement(next placement.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.Version <= m.placement.Version {
		return
	}
	m.placement = next
	// A store with another disk of the same name held the partitions, not this one.
	ownDisk := next.Stores[m.config.Self].Disk == m.storage.identity
	applied := false
	for n, assignment := range next.Partitions {
		if n >= len(m.partitions) {
			m.addPartitionLocked(n)
		}
		p := m.partitions[n]
		if ownDisk && assignment.IsCurrent(m.config.Self) {
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

// addPartitionLocked makes the state of a partition from what the disk has of it.
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

// saveEpochsLocked puts the newest epochs on disk, ahead of what is written under
// them.
func (m *Manager) saveEpochsLocked() { m.storage.putMeta(keyEpochs, m.epochs.encode()) }

// applyAssignmentLocked changes the roles of the stores in a partition. Its
// caller calls saveEpochsLocked before it releases mu.
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
	case isPrimary: // with fewer backups a message may be confirmed now
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

// sequenceGap is more than the changes that one process makes in an epoch.
const sequenceGap = int64(1) << 32

func (m *Manager) becomePrimaryLocked(p *partition, assignment placement.Partition, former string) {
	if m.previousEpochs[p.number] == p.epoch {
		// An earlier process may have led it in this epoch, and given numbers to
		// changes that its disk lacks and a replica holds.
		p.records.sequence += sequenceGap
	}
	m.events.push(Event{Partition: p.number, BecamePrimary: true, Records: p.pending()})
	m.initTopicLogLocked(p)
	// A former primary that handed the partition over is a backup now, and holds
	// nothing that is not here. One that is none was taken for failed.
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
	clear(p.unconfirmed) // the accepts that wait see the change of the partition
	m.events.push(Event{Partition: p.number, LostPrimary: true})
}

// recoverFromLocked takes over from a primary that was taken for failed: if it
// runs, the comparison makes it stop, and its records come here, those of the
// deliveries under way there as well before this store may deliver.
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

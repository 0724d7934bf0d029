package partition

import (
	"context"

	"saltreel/internal/timeutil"
)

// usage tracks the resources that the records of a store occupy.
type usage struct {
	memoryBytes int64 // estimated
	full        bool  // result of the last measurement
}

// exceeds reports whether the records exceed a limit. A limit of 0 means no limit.
func (u *usage) exceeds(diskBytes, maxDisk, maxMemory int64) bool {
	return maxDisk > 0 && diskBytes > maxDisk || maxMemory > 0 && u.memoryBytes > maxMemory
}

// measureUsageLocked updates whether the store is full, given the bytes in use on disk.
// The caller measures these without the lock, since the measurement may block while the
// file is rewritten after a failed write.
func (m *Manager) measureUsageLocked(diskBytes int64) {
	full := m.usage.exceeds(diskBytes, m.config.MaxDisk, m.config.MaxMemory)
	if full != m.usage.full {
		m.config.Log.Printf("store: full: %v, %d MB on disk, %d MB in memory", full, diskBytes>>20, m.usage.memoryBytes>>20)
	}
	m.usage.full = full
}

// deleteExpired periodically deletes expired outcomes and log entries until ctx ends.
func (m *Manager) deleteExpired(ctx context.Context) {
	timeutil.Repeat(ctx, m.timing.expirySweep(), func() {
		now := m.Now()
		diskBytes := m.storage.usedBytes()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.measureUsageLocked(diskBytes)
		if now-m.contactsSaved >= m.contactSaveInterval().Milliseconds() {
			m.saveContactsLocked()
		}
		for _, p := range m.partitions {
			if m.leadsLocked(p) {
				m.deleteExpiredLocked(p, now)
			}
		}
	})
}

func (m *Manager) deleteExpiredLocked(p *partition, now int64) {
	m.raiseFloorsLocked(p, now)
	for _, r := range p.records.byID {
		if (r.State != Pending || r.IsEntry()) && r.Expires < now {
			p.log.floors.remove(r.ID)
			m.commitLocked(p, &Record{ID: r.ID, Partition: p.number, State: Deleted}, nil)
		}
	}
	p.log.removeDeleted(&p.records)
}

// monitorDisk reports this store as failed while its disk is unhealthy, until ctx ends.
// It also writes a probe then, to detect when the disk is healthy again.
func (m *Manager) monitorDisk(ctx context.Context) {
	unhealthy := false
	timeutil.Repeat(ctx, m.timing.diskCheck(), func() {
		err := m.Health()
		if err != nil {
			m.config.ReportFailure(m.config.Self, false)
			m.storage.putMeta(keyProbe, []byte{})
		}
		if (err != nil) != unhealthy {
			unhealthy = err != nil
			m.config.Log.Printf("disk: ill: %v: %v", unhealthy, err) // this text is documented in docs/operations.md
		}
	})
}

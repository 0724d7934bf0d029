package partition

import (
	"context"
	"fmt"

	"saltreel/internal/timeutil"
)

// UnreplicatedError means that a process ends with changes that backups may lack.
type UnreplicatedError struct {
	Changes int
	Backup  string // one of the backups that lack changes
}

func (e *UnreplicatedError) Error() string {
	return fmt.Sprintf("%d changes are not confirmed by all backups, for example by %s", e.Changes, e.Backup)
}

// Flush waits until all backups that are in sync or answer have all changes of the
// partitions that this store leads, in particular the outcomes, which would otherwise
// wait for the next batch. That batch is sent at once. Flush returns an
// *UnreplicatedError if ctx ends first.
func (m *Manager) Flush(ctx context.Context) error {
	for {
		err := m.sendUnreplicated()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		timeutil.Sleep(ctx, m.timing.handoverPoll())
	}
}

// sendUnreplicated triggers the sending of changes that backups lack. It returns an
// *UnreplicatedError if there are any.
func (m *Manager) sendUnreplicated() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	unreplicated := UnreplicatedError{}
	for _, p := range m.partitions {
		if !m.leadsLocked(p) {
			continue
		}
		for _, r := range p.replicas {
			if len(r.unreplicated) == 0 || !r.inSync && !r.connected {
				continue
			}
			unreplicated.Changes += len(r.unreplicated)
			unreplicated.Backup = r.store
			m.wakeReplicatorLocked(r.store)
		}
	}
	if unreplicated.Changes == 0 {
		return nil
	}
	return &unreplicated
}

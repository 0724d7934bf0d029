package partition

import (
	"context"
	"fmt"

	"saltreel/internal/timeutil"
)

// UnreplicatedError says that a process ends with changes that backups may lack.
type UnreplicatedError struct {
	Changes int
	Backup  string // one that lacks some
}

func (e *UnreplicatedError) Error() string {
	return fmt.Sprintf("%d changes are not known to be at their backups, %s is one", e.Changes, e.Backup)
}

// Flush waits until the backups that answer have all changes of the partitions that this
// store leads, outcomes above all: they go with the next batch, which is sent now. It
// returns an *UnreplicatedError if ctx ends before.
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

// sendUnreplicated has the changes sent that backups lack. It returns an
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

package partition

import (
	"context"
	"errors"
	"testing"
	"time"

	"saltreel/internal/placement"
)

// Before a process ends, Flush must wait until its backups have all outcomes.
func TestFlushWaitsForTheBackups(t *testing.T) {
	m := startPrimary(t, placement.Backup{Store: "b", InSync: true}, placement.Backup{Store: "being filled"})
	if err := m.Flush(t.Context()); err != nil {
		t.Errorf("nothing to send: %v", err)
	}
	m.mu.Lock()
	p := m.partitions[0]
	m.storeLocked(p, &Record{ID: "m", State: Pending}, nil)
	m.mu.Unlock()
	m.Finish(0, "m", Complete, "seal")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unreplicated *UnreplicatedError
	if err := m.Flush(ctx); !errors.As(err, &unreplicated) || unreplicated.Backup != "b" || unreplicated.Changes != 1 {
		t.Errorf("the backup does not answer: %v", err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		r := p.replica("b")
		r.acknowledge(r.unreplicated["m"])
	})
	if err := m.Flush(t.Context()); err != nil {
		t.Errorf("the backup has the outcome: %v", err)
	}
}

package partition

import (
	"slices"
	"testing"
	"time"

	"saltreel/internal/placement"
)

func TestAssignmentIsAppliedOncePerEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		epoch   int64
		primary string
		next    int64
		want    bool
	}{
		"older":                        {5, "me", 4, true},
		"the same":                     {5, "me", 5, true},
		"newer":                        {5, "me", 6, false},
		"the same, known from disk":    {5, "", 5, false},
		"older than the one from disk": {5, "", 4, true},
	} {
		p := &partition{epoch: c.epoch, primary: c.primary}
		if got := p.hasApplied(placement.Partition{Epoch: c.next}); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestInSyncFollowsTheSameEpochOnly(t *testing.T) {
	for _, c := range []struct {
		epoch int64
		want  bool
	}{{4, false}, {5, true}} {
		p := &partition{epoch: 5, replicas: []*replica{{store: "other"}}}
		p.updateInSync(placement.Partition{Epoch: c.epoch, Backups: []placement.Backup{{Store: "other", InSync: true}, {Store: "unknown", InSync: true}}})
		if got := p.replicas[0].inSync; got != c.want {
			t.Errorf("epoch %d: in sync %v", c.epoch, got)
		}
	}
}

func TestPlacementForAnotherDiskGivesNoRole(t *testing.T) {
	m := startBackup(t)
	m.ApplyPlacement(placement.Placement{
		Version:    2,
		Stores:     map[string]placement.Store{"me": {Disk: "another"}},
		Partitions: []placement.Partition{{Epoch: 6, Primary: "me"}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.partitions[0]; p.primary != "" || p.isBackup || p.epoch != 6 {
		t.Errorf("%+v", p)
	}
}

func TestRolesChangeWithTheAssignment(t *testing.T) {
	m := startPrimary(t)
	events := eventsUntilLogReady(t, m)
	if len(events) != 2 || !events[0].BecamePrimary {
		t.Errorf("became primary: %+v", events)
	}
	if err := m.Accept(t.Context(), 0, &Record{ID: "x"}); err != nil {
		t.Fatal(err)
	}
	assign(m, 3, placement.Partition{Epoch: 7, Primary: "other", Backups: []placement.Backup{{Store: "me"}}})
	events, _ = m.Events()
	if len(events) != 2 || len(events[0].Records) != 1 || !events[1].LostPrimary {
		t.Errorf("after a message and the loss of the role: %+v", events)
	}
	assign(m, 3, placement.Partition{Epoch: 8, Primary: "me"})
	if events, _ := m.Events(); len(events) != 0 {
		t.Errorf("an older placement: %+v", events)
	}
	assign(m, 4, placement.Partition{Epoch: 8, Primary: "me"})
	events = eventsUntilLogReady(t, m)
	if len(events) != 2 || !events[0].BecamePrimary || len(events[0].Records) != 1 || events[0].Records[0].ID != "x" {
		t.Errorf("primary again: %+v", events)
	}
}

// LogReady must only be sent while this store leads the partition in the epoch in which
// it waited for its disk.
func TestLogIsNotReadyOnceTheRoleIsLost(t *testing.T) {
	m := startBackup(t)
	resume := stallDisk(m.storage)
	assign(m, 2, placement.Partition{Epoch: 6, Primary: "me"})
	assign(m, 3, placement.Partition{Epoch: 7, Primary: "other", Backups: []placement.Backup{{Store: "me"}}})
	resume()
	assign(m, 4, placement.Partition{Epoch: 8, Primary: "me"})
	events := eventsUntilLogReady(t, m)
	if len(events) != 4 || !events[0].BecamePrimary || !events[1].LostPrimary || !events[2].BecamePrimary {
		t.Errorf("%+v", events)
	}
}

// eventsUntilLogReady returns the events up to the first LogReady, which must be the last
// of them.
func eventsUntilLogReady(t *testing.T, m *Manager) (events []Event) {
	t.Helper()
	for {
		next, more := m.Events()
		events = append(events, next...)
		if i := slices.IndexFunc(events, func(e Event) bool { return e.LogReady }); i >= 0 {
			if i != len(events)-1 {
				t.Errorf("events after LogReady: %+v", events)
			}
			return events
		}
		select {
		case <-more:
		case <-time.After(10 * time.Second):
			t.Fatalf("the log is not ready: %+v", events)
		}
	}
}

package partition

import (
	"testing"

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
	if err := m.Accept(t.Context(), 0, &Record{ID: "x"}); err != nil {
		t.Fatal(err)
	}
	assign(m, 3, placement.Partition{Epoch: 7, Primary: "other", Backups: []placement.Backup{{Store: "me"}}})
	events, _ := m.Events()
	if len(events) != 3 || !events[0].BecamePrimary || len(events[1].Records) != 1 || !events[2].LostPrimary {
		t.Errorf("%+v", events)
	}
	assign(m, 3, placement.Partition{Epoch: 8, Primary: "me"})
	if events, _ := m.Events(); len(events) != 0 {
		t.Errorf("an older placement: %+v", events)
	}
	assign(m, 4, placement.Partition{Epoch: 8, Primary: "me"})
	if events, _ := m.Events(); len(events) != 1 || !events[0].BecamePrimary || len(events[0].Records) != 1 || events[0].Records[0].ID != "x" {
		t.Errorf("%+v", events)
	}
}

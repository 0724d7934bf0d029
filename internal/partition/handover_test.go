package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

func TestHandoverWaitsForABackupThatMayBeInSync(t *testing.T) {
	m := startPrimary(t, placement.Backup{Store: "other"})
	idle := func(int) bool { return true }
	for _, c := range []struct {
		connected, leaseReleased bool
		outcomes                 int
		ready                    bool
	}{
		{true, true, 1, false},
		{true, false, 0, false},
		{true, true, 0, true},
		{false, false, 1, true},
	} {
		m.mu.Lock()
		p := m.partitions[0]
		r := p.replicas[0]
		r.connected, r.leaseReleased, r.unreplicated = c.connected, c.leaseReleased, map[string]*Record{}
		p.handover.deliveriesStopped, p.handover.acceptsStopped = true, true
		for range c.outcomes {
			r.unreplicated["x"] = &Record{ID: "x", State: Complete}
		}
		ready := p.isReadyForHandover()
		p.handover.resume()
		m.mu.Unlock()
		if ready != c.ready {
			t.Errorf("%+v: ready %v", c, ready)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	m.mu.Lock()
	m.partitions[0].replicas[0].connected = true
	m.mu.Unlock()
	if out := m.PrepareHandover(ctx, map[int]int64{0: 6}, idle); len(out) != 0 {
		t.Errorf("ready for a handover without an answer from the backup: %v", out)
	}
}

func TestHandoverWaitsForTheRecordsThatASuccessorLacks(t *testing.T) {
	for name, c := range map[string]struct {
		backup replica
		ready  bool
	}{
		"has all":                           {replica{inSync: true}, true},
		"lacks a change":                    {replica{inSync: true, unreplicated: map[string]*Record{"x": {}}}, false},
		"lacks an older record":             {replica{inSync: true, missing: []string{"x"}}, false},
		"lacks one, reported as in sync":    {replica{verified: true, missing: []string{"x"}}, false},
		"is being filled, cannot be chosen": {replica{missing: []string{"x"}}, true},
	} {
		c.backup.connected, c.backup.leaseReleased = true, true
		p := &partition{replicas: []*replica{&c.backup}}
		if got := p.isReadyForHandover(); got != c.ready {
			t.Errorf("%s: ready %v", name, got)
		}
	}
}

func TestRepeatedHandoverRequestExtendsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t)
		stopped := func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			handover := m.partitions[0].handover
			return handover.deliveriesStopped && handover.acceptsStopped
		}
		for _, call := range []string{"first", "second"} {
			if out := m.PrepareHandover(t.Context(), map[int]int64{0: 6}, func(int) bool { return true }); len(out) != 1 {
				t.Fatalf("the %s call: %v", call, out)
			}
			time.Sleep(m.config.ContactTimeout * 3 / 16)
		}
		if !stopped() { // 3/8 of the contact timeout after the first call, which is valid for a quarter
			t.Error("the first call resumed the partition while the second is still valid")
		}
		time.Sleep(m.config.ContactTimeout / 8)
		if stopped() {
			t.Error("the partition did not resume although no new placement arrived")
		}
	})
}

func TestHandoverDoesNotStopOtherEpochs(t *testing.T) {
	m := startPrimary(t)
	idle := func(int) bool { return true }
	for name, wanted := range map[string]map[int]int64{
		"an older epoch":       {0: 5},
		"a newer epoch":        {0: 7},
		"an unknown partition": {1: 6},
	} {
		if out := m.PrepareHandover(t.Context(), wanted, idle); len(out) != 0 || len(wanted) != 0 {
			t.Errorf("%s: %v, %v left", name, out, wanted)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitions[0].handover.deliveriesStopped {
		t.Error("the deliveries were stopped")
	}
}

package partition

import (
	"testing"
	"time"
)

func TestStaleBatchDoesNotReleaseLease(t *testing.T) {
	m := startBackup(t)
	granted := func(number int64, release bool) bool {
		t.Helper()
		batch := &BatchRequest{From: "other", Number: number, Partitions: []PartitionBatch{{Partition: 0, Epoch: 5, ReleaseLease: release}}}
		if out, err := m.HandleBatch(t.Context(), batch, nil); err != nil || out.Partitions[0].Stale {
			t.Fatalf("batch %d: %+v %v", number, out, err)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Now().Before(m.partitions[0].granted.expires)
	}
	for _, c := range leaseBatches {
		if got := granted(c.number, c.release); got != c.want {
			t.Errorf("%s: granted %v", c.name, got)
		}
	}
}

func TestGrantedLeaseFollowsTheNewestBatch(t *testing.T) {
	var lease grantedLease
	expires := time.Now().Add(time.Hour)
	for _, c := range leaseBatches {
		lease.apply(c.number, c.release, expires)
		if got := lease.expires.Equal(expires); got != c.want {
			t.Errorf("%s: granted %v", c.name, got)
		}
	}
	lease.apply(leaseBatches[0].number, false, expires)
	batch := lease.batch
	if lease.end(); !lease.expires.IsZero() || lease.batch != batch {
		t.Errorf("after its end: %+v", lease)
	}
}

// leaseBatches lists batches in the order of their arrival, and whether the lease is
// granted after each.
var leaseBatches = []struct {
	number        int64
	release, want bool
	name          string
}{
	{incarnation + 1, false, true, "granted"},
	{incarnation + 3, false, true, "renewed while batch 2 is in flight"},
	{incarnation + 2, true, true, "batch 2 arrives out of order"},
	{2*incarnation + 1, true, true, "release by another incarnation"},
	{incarnation + 4, true, false, "released"},
	{incarnation + 3, false, false, "duplicate of batch 3"},
	{incarnation + 4, true, false, "duplicate of batch 4"},
	{2*incarnation + 2, false, true, "granted to a new incarnation"},
	{2*incarnation + 3, true, false, "released by the new incarnation"},
}

const incarnation = 7 * batchesPerIncarnation

func TestStaleBatches(t *testing.T) {
	for _, c := range []struct {
		number, applied int64
		want            bool
	}{
		{incarnation + 1, incarnation + 2, true},
		{incarnation + 2, incarnation + 2, false},
		{incarnation + 3, incarnation + 2, false},
		{incarnation + 1, 2*incarnation + 2, false},
		{2*incarnation + 1, incarnation + 2, false},
		{1, 0, false},
	} {
		if got := isStaleBatch(c.number, c.applied); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards also against a primary that delivers with fewer backups than a message needs: if it
// and those backups never came back, nobody could tell when a successor may deliver
// (docs/incidents/removed-store.md).
func TestPrimaryDeliversOnlyUnderAllLeases(t *testing.T) {
	now := time.Now()
	const margin = 100 * time.Millisecond
	valid, ending, ended := now.Add(margin+1), now.Add(margin), now
	for name, c := range map[string]struct {
		stopped  bool
		granted  time.Time
		replicas []*replica
		needed   int // backups without which no message is accepted
		want     bool
	}{
		"no backups":                     {want: true},
		"stopped by a handover":          {stopped: true},
		"the former primary's lease":     {granted: valid},
		"that lease has ended":           {granted: ended, want: true},
		"all leases":                     {replicas: []*replica{{inSync: true, leaseExpires: valid}, {connected: true, leaseExpires: valid}}, want: true},
		"one lease has ended":            {replicas: []*replica{{inSync: true, leaseExpires: valid}, {inSync: true, leaseExpires: ended}}},
		"one lease is about to end":      {replicas: []*replica{{inSync: true, leaseExpires: valid}, {inSync: true, leaseExpires: ending}}},
		"connected, may be in sync":      {replicas: []*replica{{connected: true, leaseExpires: ended}}},
		"not in sync, may still recover": {replicas: []*replica{{leaseExpires: ended}}},
		"in sync, never connected":       {replicas: []*replica{{inSync: true}}},
		"enough backups":                 {replicas: []*replica{{leaseExpires: valid}, {leaseExpires: valid}}, needed: 2, want: true},
		"too few backups":                {replicas: []*replica{{leaseExpires: valid}}, needed: 2},
		"no backups, one is needed":      {needed: 1},
	} {
		p := &partition{replicas: c.replicas}
		p.handover.deliveriesStopped = c.stopped
		p.granted.expires = c.granted
		if got := p.mayDeliver(now, margin, c.needed); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

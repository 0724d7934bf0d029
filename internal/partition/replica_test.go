package partition

import (
	"slices"
	"testing"
	"time"

	"saltreel/internal/placement"
)

func ids(records []*Record) []string {
	var ids []string
	for _, r := range records {
		ids = append(ids, r.ID)
	}
	return ids
}

func TestNextBatchHoldsChangedRecordsBeforeMissingOnes(t *testing.T) {
	large := make([]byte, maxBatchBytes)
	first, second, old := &Record{ID: "first", Sequence: 7}, &Record{ID: "second", Sequence: 8}, &Record{ID: "old", Sequence: 1}
	firstLarge, oldLarge := &Record{ID: "first", Sequence: 7, Body: large}, &Record{ID: "old", Sequence: 1, Body: large}
	for name, c := range map[string]struct {
		records  []*Record
		changed  []*Record
		missing  []string
		size     int64
		want     []string
		complete bool
		left     []string
	}{
		"nothing":                  {complete: true},
		"by sequence":              {records: []*Record{first, second, old}, changed: []*Record{second, first}, missing: []string{"old"}, want: []string{"first", "second", "old"}, complete: true},
		"at least one changed":     {records: []*Record{first}, changed: []*Record{first}, size: 2 * maxBatchBytes, want: []string{"first"}, complete: true},
		"the batch is full":        {records: []*Record{firstLarge, second}, changed: []*Record{firstLarge, second}, missing: []string{"old"}, want: []string{"first"}, left: []string{"old"}},
		"full of changed records":  {records: []*Record{firstLarge, old}, changed: []*Record{firstLarge}, missing: []string{"old"}, want: []string{"first"}, left: []string{"old"}},
		"full of missing records":  {records: []*Record{oldLarge, second}, missing: []string{"old", "second"}, want: []string{"old"}, left: []string{"second"}},
		"deleted or changed since": {records: []*Record{first}, changed: []*Record{first}, missing: []string{"first", "deleted"}, want: []string{"first"}, complete: true},
	} {
		r := &replica{unreplicated: map[string]*Record{}, missing: c.missing}
		for _, record := range c.changed {
			r.unreplicated[record.ID] = record
		}
		selected, complete := r.selectRecords(recordsOf(c.records...), c.size)
		if !slices.Equal(ids(selected), c.want) || complete != c.complete || !slices.Equal(r.missing, c.left) {
			t.Errorf("%s: %v, complete %v, left %v", name, ids(selected), complete, r.missing)
		}
	}
}

func TestReplicaNeedsBatch(t *testing.T) {
	now := time.Now()
	const renewal = 450 * time.Millisecond
	fresh, due := now.Add(renewal+time.Millisecond), now.Add(renewal)
	for name, c := range map[string]struct {
		replica replica
		release bool
		want    bool
	}{
		"up to date":         {replica{connected: true, leaseExpires: fresh}, false, false},
		"lease is due":       {replica{connected: true, leaseExpires: due}, false, true},
		"changed records":    {replica{connected: true, leaseExpires: fresh, unreplicated: map[string]*Record{"x": {}}}, false, true},
		"missing records":    {replica{connected: true, leaseExpires: fresh, missing: []string{"x"}}, false, true},
		"not connected":      {replica{leaseExpires: fresh}, false, true},
		"lease to release":   {replica{connected: true, leaseExpires: fresh}, true, true},
		"lease was released": {replica{connected: true, leaseExpires: fresh, leaseReleased: true}, true, false},
	} {
		if got := c.replica.needsBatch(now, c.release, renewal); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestAcknowledgeRetainsARecordThatChangedSince(t *testing.T) {
	sent, changed := &Record{ID: "x"}, &Record{ID: "x", State: Complete}
	r := &replica{unreplicated: map[string]*Record{"x": changed}}
	if r.acknowledge(sent); r.unreplicated["x"] != changed {
		t.Error("the change is lost")
	}
	if r.acknowledge(changed); r.hasBacklog() {
		t.Error("the change is sent again")
	}
}

func TestReconciliationQueuesMissingRecords(t *testing.T) {
	records := recordsOf(
		&Record{ID: "complete", State: Complete},
		&Record{ID: "pending"},
		&Record{ID: "same"},
		&Record{ID: "ended there", State: Pending},
		&Record{ID: "queued"},
		&Record{ID: "changed"},
	)
	remote := map[string]State{"same": Pending, "ended there": Complete, "only there": Pending}
	r := &replica{missing: []string{"queued"}, unreplicated: map[string]*Record{"changed": {}}}
	if n := r.queueMissing(records, remote); n != 2 || !slices.Equal(r.missing, []string{"queued", "pending", "complete"}) {
		t.Errorf("queued %d: %v", n, r.missing)
	}
	missing := records.missingOrOlder(remote)
	slices.Sort(missing)
	if !slices.Equal(missing, []string{"ended there", "only there"}) {
		t.Errorf("to fetch: %v", missing)
	}
}

func TestNewEpochRetainsTheBacklogOfAReplicaWithTheSameDisk(t *testing.T) {
	x := &Record{ID: "x"}
	backlog := map[string]*Record{"y": {ID: "y"}}
	p := &partition{
		records:     *recordsOf(x),
		unconfirmed: map[string]*pendingAccept{"x": {record: x}},
		replicas: []*replica{
			{store: "same", disk: "d1", connected: true, unreplicated: backlog, missing: []string{"z"}},
			{store: "replaced", disk: "d2", connected: true, unreplicated: backlog, missing: []string{"z"}},
		},
	}
	stores := map[string]placement.Store{"same": {Disk: "d1"}, "replaced": {Disk: "d3"}, "new": {Disk: "d4"}}
	p.setReplicas([]placement.Backup{{Store: "same", InSync: true}, {Store: "replaced"}, {Store: "new"}}, stores)
	if len(p.replicas) != 3 {
		t.Fatalf("%d replicas", len(p.replicas))
	}
	for i, want := range []struct{ unreplicated, missing int }{{1, 1}, {1, 0}, {1, 0}} {
		r := p.replicas[i]
		if len(r.unreplicated) != want.unreplicated || len(r.missing) != want.missing || r.connected || r.inSync != (i == 0) {
			t.Errorf("%s: %+v", r.store, r)
		}
		if _, unconfirmed := r.unreplicated["x"]; unconfirmed == (i == 0) {
			t.Errorf("%s: the unconfirmed message is in its backlog: %v", r.store, unconfirmed)
		}
	}
}

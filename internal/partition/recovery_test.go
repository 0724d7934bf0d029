package partition

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"saltreel/internal/placement"
)

// An entry that one store held and no later primary had is not part of the log: its
// publisher has sent the number again, and subscribers have passed its position.
func TestForksAreNotInTheLog(t *testing.T) {
	entry := func(epoch, order int64, previous Position) *Record {
		at := Position{epoch, order}
		return &Record{ID: entryID(at), Epoch: epoch, Order: order, Topic: "a", Previous: previous}
	}
	first := entry(1, 1, Position{})
	confirmed := entry(1, 2, first.Position())
	unconfirmed := entry(1, 3, confirmed.Position())
	next := entry(2, 3, confirmed.Position())
	last := entry(3, 9, next.Position())
	for name, c := range map[string]struct{ entries, want []*Record }{
		"all in one log":                     {[]*Record{first, confirmed, next, last}, nil},
		"the next primary lacked the third":  {[]*Record{first, confirmed, unconfirmed, next, last}, []*Record{unconfirmed}},
		"an entry between them is deleted":   {[]*Record{unconfirmed, last, first}, nil},
		"nothing was accepted later":         {[]*Record{unconfirmed, confirmed, first}, nil},
		"no entry precedes the one of epoch": {[]*Record{first, unconfirmed, entry(2, 4, Position{})}, []*Record{unconfirmed, first}},
	} {
		if got := divergentEntries(slices.Clone(c.entries)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %d divergent entries, want %d: %+v", name, len(got), len(c.want), got)
		}
	}
}

// While a primary is still fetching records from its sources, it must not act as the
// primary in any way.
func TestRecoveringPrimaryDoesNotAct(t *testing.T) {
	m := startBackup(t)
	assign(m, 2, placement.Partition{Epoch: 6, Primary: "me", Sources: []string{"unreachable"}})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var notPrimary *NotPrimaryError
	if err := m.Accept(ctx, 0, &Record{ID: "new"}); !errors.As(err, &notPrimary) {
		t.Errorf("accept: %v", err)
	}
	if _, err := m.Find(ctx, 0, "new"); !errors.As(err, &notPrimary) {
		t.Errorf("find: %v", err)
	}
	if m.MayDeliver(0) {
		t.Error("the recovering primary may deliver")
	}
	if events, _ := m.Events(); len(events) > 0 {
		t.Errorf("events: %+v", events)
	}
	// In a later epoch without sources it acts.
	assign(m, 3, placement.Partition{Epoch: 7, Primary: "me"})
	if err := m.Accept(t.Context(), 0, &Record{ID: "new"}); err != nil {
		t.Errorf("accept in the next epoch: %v", err)
	}
}

// A store that lost its disk must not be read as a source that holds no records.
func TestDigestOfAnotherDiskIsRefused(t *testing.T) {
	m := startBackup(t)
	if _, err := m.HandleDigest(t.Context(), &DigestRequest{From: "other", Epoch: 5, Disk: "lost"}, nil); !errors.Is(err, ErrWrongDisk) {
		t.Errorf("another disk: %v", err)
	}
	if _, err := m.HandleDigest(t.Context(), &DigestRequest{From: "other", Epoch: 5, Disk: m.DiskID()}, nil); err != nil {
		t.Errorf("the current disk: %v", err)
	}
}

// A message that has ended at one of the stores has ended. Pending messages of an
// outdated replica are fetched as well, since no other store may have them.
func TestRecoveryMergesByState(t *testing.T) {
	m := startBackup(t)
	m.mu.Lock()
	p := m.partitions[0]
	m.storeLocked(p, &Record{ID: "ended here", State: Complete, Seal: "s"}, nil)
	m.storeLocked(p, &Record{ID: "ended there", State: Pending}, nil)
	p.contact.outdated = true
	digest := DigestResponse{IDs: map[State][]string{
		Pending: {"ended here", "only there", entryID(Position{1, 1})}, Complete: {"ended there"},
	}}
	missing := p.records.missingOrOlder(digest.statesByID())
	m.mu.Unlock()
	slices.Sort(missing)
	if want := []string{entryID(Position{1, 1}), "ended there", "only there"}; !slices.Equal(missing, want) {
		t.Errorf("to fetch: %q, want %q", missing, want)
	}
	for _, c := range []struct {
		includeOutdated bool
		want            int
	}{{false, 1}, {true, 2}} {
		batch, _, err := m.HandleFetch(t.Context(), &FetchRequest{IDs: []string{"ended here", "ended there"}, IncludeOutdated: c.includeOutdated}, nil)
		if err != nil || len(batch.Records) != c.want {
			t.Errorf("include outdated %v: %d records, %v", c.includeOutdated, len(batch.Records), err)
		}
	}
}

// A store that was no backup of the former primary takes over only after the stores from
// which it recovers have stopped granting leases, and delivers one lease later. Guards
// against two primaries that deliver at the same time (docs/incidents/removed-store.md).
func TestSuccessorFencesItsSourcesAndWaitsForOneLease(t *testing.T) {
	source := startBackup(t)
	batch := func(from string, epoch int64) PartitionResult {
		t.Helper()
		out, err := source.HandleBatch(t.Context(), &BatchRequest{From: from, Partitions: []PartitionBatch{{Epoch: epoch}}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return out.Partitions[0]
	}
	if batch("other", 5).Stale {
		t.Fatal("the source does not follow its primary")
	}
	if _, err := source.HandleDigest(t.Context(), &DigestRequest{From: "successor", Epoch: 7, Disk: source.DiskID(), Fence: true}, nil); err != nil {
		t.Fatal(err)
	}
	if !batch("other", 5).Stale || !batch("third", 6).Stale {
		t.Error("the source grants a lease of an earlier epoch after it was read")
	}
	// The placement then makes it a backup of the successor.
	assign(source, 2, placement.Partition{Epoch: 7, Primary: "successor", Backups: []placement.Backup{{Store: "me"}}})
	if batch("successor", 7).Stale {
		t.Error("the source does not follow the successor")
	}
}

// A successor that recovers from its own disk alone waits as well: it may have granted a
// lease just before.
func TestRecoveredPrimaryWaitsForOneLease(t *testing.T) {
	m := startBackup(t)
	time.Sleep(m.timing.lease()) // of an earlier process of this store
	assign(m, 2, placement.Partition{Epoch: 7, Primary: "me", Sources: []string{"me"}})
	began := time.Now()
	for !m.MayDeliver(0) {
		if time.Since(began) > time.Minute {
			t.Fatal("never delivers")
		}
		time.Sleep(time.Millisecond)
	}
	if waited := time.Since(began); waited < m.timing.lease()*9/10 {
		t.Errorf("delivers after %v, less than a lease of %v", waited, m.timing.lease())
	}
}

// The order of acceptance, by which the next primary sorts, holds beside messages that were
// taken over from another store without having been accepted: that store may have counted
// further, and may have stored them after it was deposed (docs/incidents/order-after-takeover.md).
func TestAdoptedMessageComesAfterAcceptedOnes(t *testing.T) {
	m := startPrimary(t)
	accept := func(id string) {
		t.Helper()
		if err := m.Accept(t.Context(), 0, &Record{ID: id, OrderKey: "k"}); err != nil {
			t.Fatal(err)
		}
	}
	adopt := func(records ...*Record) {
		t.Helper()
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.adoptLocked(m.partitions[0], PartitionBatch{Now: m.Now(), Records: records}, nil) {
			t.Fatal("not adopted")
		}
	}
	accept("first")
	accept("second")
	adopt(&Record{ID: "fourth", Epoch: 5, Order: 2}, &Record{ID: "third", Epoch: 5, Order: 1})
	accept("fifth")
	adopt(&Record{ID: "sixth", Epoch: 5, Order: 3 * sequenceGap, Sequence: 3 * sequenceGap})
	accept("seventh")
	checkPendingOrder(t, m, "first", "second", "third", "fourth", "fifth", "sixth", "seventh")
}

// A store that had stored a message before it was replaced as the primary keeps the position
// that it gave, while its successors count on from a lower number.
func TestMessagesOfDifferentEpochsAreOrderedByEpochFirst(t *testing.T) {
	m := startBackup(t)
	m.mu.Lock()
	p := m.partitions[0]
	m.storeLocked(p, &Record{ID: "second", Epoch: 5, Order: 7}, nil)
	m.storeLocked(p, &Record{ID: "third", Epoch: 5, Order: 8}, nil)
	m.storeLocked(p, &Record{ID: "first", Epoch: 4, Order: 8}, nil)
	m.mu.Unlock()
	checkPendingOrder(t, m, "first", "second", "third")
}

// checkPendingOrder checks the order of the pending messages of partition 0.
func checkPendingOrder(t *testing.T, m *Manager, want ...string) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	var got []string
	for _, r := range m.partitions[0].pending() {
		got = append(got, r.ID)
	}
	if !slices.Equal(got, want) {
		t.Errorf("pending messages %v, want %v", got, want)
	}
}

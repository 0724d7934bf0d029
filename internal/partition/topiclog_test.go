package partition

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

func TestPositions(t *testing.T) {
	ordered := []Position{{}, {0, 5}, {1, 1}, {1, 36}, {2, 0}, {36, 1 << 40}}
	for i, p := range ordered {
		for j, q := range ordered {
			if p.After(q) != (i > j) || p.Compare(q) != -q.Compare(p) {
				t.Errorf("%v and %v compare as %d", p, q, p.Compare(q))
			}
		}
		if read, err := ParsePosition(p.String()); err != nil || read != p {
			t.Errorf("%v is parsed as %v, %v", p, read, err)
		}
	}
	for _, text := range []string{"", "-", "1", "1-", "-1", "1--1", "1-2-3", "x y-1", "-1-5", "zzzzzzzzzzzzzzzzzzzzz-1"} {
		if p, err := ParsePosition(text); err == nil {
			t.Errorf("%q is parsed as %v", text, p)
		}
	}
}

// entry returns a log entry as a replica holds it.
func entry(epoch, order int64, publisher string, number int64) *Record {
	at := Position{epoch, order}
	return &Record{ID: entryID(at), Epoch: epoch, Sequence: order, Order: order, Topic: "t", Publisher: publisher, Number: number}
}

func TestNewTopicLogReturnsDuplicates(t *testing.T) {
	// The first primary of epoch 2 lost entries 4 and 5, restarted, and accepted
	// the same messages again behind one of another publisher.
	records := recordsOf(
		entry(1, 3, "a", 7),
		entry(2, 4, "a", 8), entry(2, 5, "a", 9),
		entry(2, 1+sequenceGap, "b", 1),
		entry(2, 2+sequenceGap, "a", 8), entry(2, 3+sequenceGap, "a", 9), entry(2, 4+sequenceGap, "a", 10),
		&Record{ID: "deferred", Sequence: 4},
	)
	log, repeated := newTopicLog(records)
	var numbers []int64
	for _, r := range log.entries {
		if r.Publisher == "a" {
			numbers = append(numbers, r.Number)
		}
	}
	if !slices.Equal(numbers, []int64{7, 8, 9, 10}) || len(log.entries) != 5 {
		t.Errorf("the log is %v", ids(log.entries))
	}
	slices.SortFunc(repeated, func(a, b *Record) int { return a.Position().Compare(b.Position()) })
	if want := []string{entryID(Position{2, 2 + sequenceGap}), entryID(Position{2, 3 + sequenceGap})}; !slices.Equal(ids(repeated), want) {
		t.Errorf("repeated are %q", ids(repeated))
	}
}

func TestLogReleasesInOrder(t *testing.T) {
	records := recordsOf(entry(1, 1, "a", 1), entry(1, 2, "a", 2), entry(1, 3, "b", 1))
	log, _ := newTopicLog(records)
	unconfirmed := map[string]bool{entryID(Position{1, 2}): true}
	isUnconfirmed := func(id string) bool { return unconfirmed[id] }
	if got := log.release(isUnconfirmed); len(got) != 1 || got[0].Order != 1 {
		t.Errorf("released %v", ids(got))
	}
	if got := log.release(isUnconfirmed); len(got) != 0 {
		t.Errorf("released %v after an unconfirmed entry", ids(got))
	}
	clear(unconfirmed)
	if got := log.release(isUnconfirmed); len(got) != 2 || got[0].Order != 2 || got[1].Order != 3 {
		t.Errorf("released %v", ids(got))
	}
	for _, r := range []*Record{entry(1, 1, "a", 1), entry(1, 2, "a", 2)} {
		records.put(&Record{ID: r.ID, State: Deleted})
	}
	log.removeDeleted(records)
	log.append(entry(1, 4, "a", 3))
	if got := log.release(isUnconfirmed); len(got) != 1 || got[0].Order != 4 {
		t.Errorf("released %v after a deletion", ids(got))
	}
	if log.find(entry(0, 0, "a", 2)) != nil || log.lastPosition["t"] != (Position{1, 4}) {
		t.Errorf("a deleted entry is found, or the last one is %v", log.lastPosition["t"])
	}
}

// publish starts accepting entries at the primary of partition 0. The returned channel
// receives the results.
func publish(t *testing.T, m *Manager, numbers ...int64) <-chan []error {
	t.Helper()
	var records []*Record
	for _, n := range numbers {
		records = append(records, &Record{Topic: "t", Publisher: "p", Number: n, Expires: m.Now() + time.Hour.Milliseconds(), Body: []byte("x")})
	}
	results := make(chan []error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		results <- m.AcceptAll(ctx, 0, records)
	}()
	synctest.Wait()
	return results
}

// released returns the numbers of the entries released since the last call.
func released(m *Manager) (numbers []int64) {
	synctest.Wait()
	events, _ := m.Events()
	for _, e := range events {
		for _, r := range e.Entries {
			numbers = append(numbers, r.Number)
		}
	}
	return numbers
}

func TestEntriesAreReleasedWhenAllDisksHoldThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		first := publish(t, m, 5, 6)
		if got := released(m); got != nil {
			t.Errorf("released %v although no backup holds them", got)
		}
		exchange(t, m, nil)
		if got := released(m); !slices.Equal(got, []int64{5, 6}) {
			t.Errorf("released %v", got)
		}
		republished := publish(t, m, 5, 4, 6, 7)
		exchange(t, m, nil)
		if got := released(m); !slices.Equal(got, []int64{7}) {
			t.Errorf("released %v, want only 7: 5 and 6 were released before", got)
		}
		for _, err := range <-first {
			if err != nil {
				t.Error(err)
			}
		}
		errs := <-republished
		if errs[0] != nil || !errors.Is(errs[1], ErrSuperseded) || errs[2] != nil || errs[3] != nil {
			t.Errorf("accepted again: %v", errs)
		}
	})
}

func TestEntriesFoundByANewPrimaryWaitForItsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startBackup(t)
		batch := &BatchRequest{From: "other", Number: 1, Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{entry(5, 1, "p", 1), entry(5, 2, "p", 2)}}}}
		if _, err := m.HandleBatch(t.Context(), batch, nil); err != nil {
			t.Fatal(err)
		}
		assign(m, 2, placement.Partition{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: true}}})
		accepted := publish(t, m, 3)
		if got := released(m); got != nil {
			t.Errorf("released %v before the replica answered", got)
		}
		exchange(t, m, func(result *PartitionResult) { result.Count = 1 }) // it lacks entries found by the new primary
		if got := released(m); got != nil {
			t.Errorf("released %v although the replica lacks entries", got)
		}
		m.wakeReplicatorLocked("other")
		m.mu.Lock()
		m.partitions[0].replicas[0].connected = false // so that there is a next batch
		m.mu.Unlock()
		exchange(t, m, nil)
		if got := released(m); !slices.Equal(got, []int64{1, 2, 3}) {
			t.Errorf("released %v", got)
		}
		<-accepted
	})
}

// Entries that a former primary released are released at once. Entries that it accepted
// after them must wait for the disks of all replicas, but not until a new replica is
// filled.
func TestTailOfTheLogIsAcceptedAnewByANewPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startBackup(t)
		batch := &BatchRequest{From: "other", Number: 1, Partitions: []PartitionBatch{{
			Epoch: 5, Records: []*Record{entry(5, 1, "p", 1), entry(5, 2, "p", 2)}, Released: Position{5, 1},
		}}}
		if _, err := m.HandleBatch(t.Context(), batch, nil); err != nil {
			t.Fatal(err)
		}
		assign(m, 2, placement.Partition{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: false}}})
		if got := released(m); !slices.Equal(got, []int64{1}) {
			t.Errorf("released %v before any answer", got)
		}
		exchange(t, m, func(result *PartitionResult) { result.Count = 1 }) // it has only the tail
		if got := released(m); !slices.Equal(got, []int64{2}) {
			t.Errorf("released %v when the new replica had the tail", got)
		}
	})
}

func TestReleasedPositionIsSentUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		publish(t, m, 1)
		exchange(t, m, nil)
		m.mu.Lock()
		m.partitions[0].replicas[0].leaseExpires = time.Time{} // so that there are next batches
		m.mu.Unlock()
		for i, want := range []Position{{6, 1}, {6, 1}, {}} {
			batch := nextBatch(t, m, 0)
			if got := batch.request.Partitions[0].Released; got != want {
				t.Errorf("batch %d names %v, want %v", i, got, want)
			}
			if i == 1 {
				m.handleResponse(&replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}, time.Time{}, 0, batch.sent, responseTo(batch))
			} else {
				m.handleFailedBatch(batch.sent)
			}
		}
	})
}

func TestEntriesThatThePrimaryLacksAreDeletedAtTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
		unknownEntry := entryID(Position{5, 9})
		p := m.partitions[0]
		digest := DigestResponse{IDs: map[State][]string{Pending: {unknownEntry, "deferred"}}}
		toSend, toFetch := m.compare(p, 6, "other", digest)
		if toSend != 1 || !slices.Equal(toFetch, []string{"deferred"}) {
			t.Errorf("%d to send, %q to fetch", toSend, toFetch)
		}
		if r := p.replicas[0].unreplicated[unknownEntry]; r == nil || r.State != Deleted {
			t.Errorf("record sent to the replica: %+v", r)
		}
		if toSend, toFetch := m.compare(p, 6, "a former primary", digest); toSend != 0 || len(toFetch) != 1 {
			t.Errorf("%d to send to a store that is no replica, %q to fetch", toSend, toFetch)
		}
	})
}

// A primary that restarts in its epoch may have assigned a position to an entry that its
// own disk lacks, so it must not assign that position again.
func TestRestartedPrimaryDoesNotReusePositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(t.TempDir())
		for run, want := range []int64{1, sequenceGap + 2} {
			m, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx)
			}()
			assign(m, 1, placement.Partition{Epoch: 6, Primary: "me"})
			if errs := <-publish(t, m, int64(run+1)); errs[0] != nil {
				t.Fatal(errs[0])
			}
			if r := m.partitions[0].log.entries[run]; r.Order != want {
				t.Errorf("run %d: the order is %d, want %d", run, r.Order, want)
			}
			cancel()
			<-done
		}
	})
}

func TestExpiredEntriesAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t)
		if errs := <-publish(t, m, 1); errs[0] != nil {
			t.Fatal(errs[0])
		}
		time.Sleep(59 * time.Minute)
		if errs := <-publish(t, m, 2); errs[0] != nil {
			t.Fatal(errs[0])
		}
		time.Sleep(2 * time.Minute)
		m.mu.Lock()
		defer m.mu.Unlock()
		log := m.partitions[0].log
		if len(log.entries) != 1 || log.entries[0].Number != 2 || m.partitions[0].records.count != 1 {
			t.Errorf("the log holds %v", ids(log.entries))
		}
		if previous := log.entries[0].Previous; previous.Order != 1 {
			t.Errorf("the entry before is at %v", previous)
		}
	})
}

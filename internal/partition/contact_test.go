package partition

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

func TestReplicaIsOutdatedOnceItsLastContactIsTooOld(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		contacts []int64 // times at which the contact was renewed
		now      int64
		limit    time.Duration
		want     bool
	}{
		"at the limit":                     {nil, 1000, limit, false},
		"over the limit":                   {nil, 1001, limit, true},
		"renewed in time":                  {[]int64{900}, 1800, limit, false},
		"renewed too late":                 {[]int64{1500}, 1600, limit, true},
		"no outcomes are retained":         {nil, 1 << 40, 0, false},
		"saved contact ahead of the clock": {[]int64{-5000}, -4500, limit, false},
	} {
		var contact replicaContact
		for _, at := range c.contacts {
			contact.renew(at, c.limit)
		}
		contact.check(c.now, c.limit)
		if contact.outdated != c.want {
			t.Errorf("%s: %+v", name, contact)
		}
	}
}

// A message that an outdated replica holds as pending and that the primary lacks must be
// deleted there. Outcomes and log entries are treated as from any other replica.
func TestPrimaryTakesNothingPendingFromAnOutdatedReplica(t *testing.T) {
	remote := map[State][]string{Pending: {"both", "forgotten"}, Complete: {"ended"}}
	for name, c := range map[string]struct {
		peer      string
		outdated  bool
		wantFetch []string
		deleted   bool
	}{
		"current":                              {"other", false, []string{"ended", "forgotten"}, false},
		"outdated":                             {"other", true, []string{"ended"}, true},
		"outdated, a former primary, no more":  {"former", true, []string{"ended"}, false},
		"current, a former primary, no backup": {"former", false, []string{"ended", "forgotten"}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := startPrimary(t, placement.Backup{Store: "other", InSync: true})
			m.mu.Lock()
			m.commitLocked(m.partitions[0], &Record{ID: "both"}, nil)
			m.mu.Unlock()
			_, fetch := m.compare(m.partitions[0], 6, c.peer, DigestResponse{IDs: remote, Outdated: c.outdated})
			slices.Sort(fetch)
			if !slices.Equal(fetch, c.wantFetch) {
				t.Errorf("%s: fetches %v", name, fetch)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			r := m.partitions[0].replicas[0].unreplicated["forgotten"]
			if deleted := r != nil && r.State == Deleted; deleted != c.deleted {
				t.Errorf("%s: the replica is sent %+v", name, r)
			}
		})
	}
}

// A store that was out of contact for too long must report itself as outdated until the
// placement lists it as in sync.
func TestOutdatedReplicaSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startBackup(t)
		outdated := func() bool {
			t.Helper()
			digest, err := m.HandleDigest(t.Context(), &DigestRequest{From: "other", Epoch: 5}, nil)
			if err != nil {
				t.Fatal(err)
			}
			return digest.Outdated
		}
		batch := &BatchRequest{From: "other", Number: 1, Partitions: []PartitionBatch{{Epoch: 5, Records: []*Record{{ID: "x"}}}}}
		if _, err := m.HandleBatch(t.Context(), batch, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(m.outdatedAfter())
		if outdated() {
			t.Error("outdated at the limit")
		}
		time.Sleep(time.Second)
		if !outdated() {
			t.Error("not outdated after the limit")
		}
		fetched, _, err := m.HandleFetch(t.Context(), &FetchRequest{IDs: []string{"x"}}, nil)
		if err != nil || len(fetched.Records) != 0 {
			t.Errorf("fetched from an outdated replica: %+v, %v", fetched, err)
		}
		assign(m, 2, placement.Partition{Epoch: 5, Primary: "other", Backups: []placement.Backup{{Store: "me"}}})
		if !outdated() {
			t.Error("not outdated although not in sync")
		}
		if _, err := m.HandleBatch(t.Context(), batch, nil); err != nil {
			t.Fatal(err)
		}
		assign(m, 3, placement.Partition{Epoch: 5, Primary: "other", Backups: []placement.Backup{{Store: "me", InSync: true}}})
		if outdated() {
			t.Error("outdated although in sync")
		}
	})
}

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/chain"
)

// requireFaultFound verifies that the search detects a planted fault with the
// schedules and checks that it uses without one. classes lists the violation
// classes that count as detection. The seeds in likely have detected the fault
// before and run first to save time.
func requireFaultFound(t *testing.T, classes string, likelySeeds []int, fault func() plantedFault) {
	t.Helper()
	t.Parallel()
	startedAt, otherFailures := time.Now(), 0
	seeds := likelySeeds
	if *searchAll {
		seeds = nil
	}
	for n := range *searchCount {
		if seed := *searchFirst + n; !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	var found []int
	for _, seed := range seeds {
		f := runSchedule(t, drawSchedule(seed), fault())
		if f == nil {
			continue
		}
		// A violation of another class, or one that also occurs without the
		// fault, does not count as detection.
		if !strings.Contains(classes, f.class) || runSchedule(t, drawSchedule(seed), plantedFault{}) != nil {
			otherFailures++
			continue
		}
		if found = append(found, seed); !*searchAll {
			t.Logf("found with seed %d after %v, %d earlier seeds failed for other reasons: %.300v", seed, time.Since(startedAt).Round(time.Millisecond), otherFailures, f)
			return
		}
	}
	if len(found) == 0 {
		t.Errorf("%d schedules in %v did not find the fault; %d failed for other reasons", *searchCount, time.Since(startedAt), otherFailures)
	}
	t.Logf("%d of %d schedules found the fault: %v; %d failed for other reasons", len(found), len(seeds), found, otherFailures)
}

// A core acknowledges writes without syncing them, so a power loss discards the
// most recent ones.
func TestSearchFindsSkippedSync(t *testing.T) {
	requireFaultFound(t, "view, history, events", []int{2}, skippedSync)
}

// skippedSync replaces the database by an image more than 300 ms old on a power
// loss.
func skippedSync() plantedFault {
	type image struct {
		at  time.Time
		raw []byte
	}
	images := map[string][]image{}
	path := func(m *machine) string { return filepath.Join(m.dataPath, "core.db") }
	return plantedFault{
		onTick: func(s *simulation) {
			synctest.Wait()
			for _, m := range s.cores {
				list := images[m.name]
				if raw, err := os.ReadFile(path(m)); err == nil && s.isRunning(m) {
					images[m.name] = append(list[max(0, len(list)-9):], image{time.Now(), raw})
				}
			}
		},
		afterPowerLoss: func(s *simulation, m *machine) {
			for i := len(images[m.name]) - 1; i >= 0; i-- {
				if old := images[m.name][i]; time.Since(old.at) > 300*time.Millisecond {
					if err := os.WriteFile(path(m), old.raw, 0o600); err != nil {
						s.fail("start", "restore an old database image of %s: %v", m.name, err)
					}
					return
				}
			}
		},
	}
}

// The tail serves a read without reaching a majority: unreachable replicas are
// counted as having confirmed the view.
func TestSearchFindsReadWithoutMajority(t *testing.T) {
	requireFaultFound(t, "history", []int{77, 16, 90}, readWithoutMajority)
}

func readWithoutMajority() plantedFault {
	return plantedFault{dialsIgnorePartitions: true, interceptRequest: func(s *simulation, from, to, path string, body []byte) (out, answer []byte) {
		var q chain.StatusRequest
		if path != "/chain/standing" || json.Unmarshal(body, &q) != nil || len(q.View.Members) == 0 {
			return nil, nil
		}
		if !strings.HasPrefix(q.View.Members[len(q.View.Members)-1].Address, from+":") || s.world.network.reachable(from, to) {
			return nil, nil
		}
		answer, _ = json.Marshal(chain.ReplicaStatus{View: q.View, Complete: true, VoterReady: true})
		return nil, answer
	}}
}

// A replica installs an old snapshot as if it were the latest update.
func TestSearchFindsIgnoredUpdateOrder(t *testing.T) {
	requireFaultFound(t, "history", nil, ignoredUpdateOrder)
}

// ignoredUpdateOrder counts updates other than snapshots and replaces every
// sixteenth, if it is empty, by the last snapshot sent to its receiver.
func ignoredUpdateOrder() plantedFault {
	var mu sync.Mutex
	lastSnapshots := map[string]any{} // by receiver
	updateCount := 0
	return plantedFault{interceptRequest: func(_ *simulation, _, to, path string, body []byte) (out, answer []byte) {
		if path != "/chain/pass" {
			return nil, nil
		}
		update := map[string]any{}
		if json.Unmarshal(body, &update) != nil {
			return nil, nil
		}
		mu.Lock()
		defer mu.Unlock()
		if update["all"] == true {
			if update["set"] != nil {
				lastSnapshots[to] = update["set"]
			}
			return nil, nil
		}
		if updateCount++; update["set"] != nil || lastSnapshots[to] == nil || updateCount%16 != 0 {
			return nil, nil
		}
		update["all"], update["set"] = true, lastSnapshots[to]
		out, _ = json.Marshal(update)
		return out, nil
	}}
}

// A view is installed that replaces two voters at once.
func TestSearchFindsTwoVotersReplacedAtOnce(t *testing.T) {
	requireFaultFound(t, "voters", nil, twoVotersReplaced)
}

func twoVotersReplaced() plantedFault {
	done := false
	return plantedFault{onTick: func(s *simulation) {
		if done || time.Since(s.startedAt) < 6*time.Second {
			return
		}
		v, err := s.viewOf(s.cores[0])
		if err != nil || len(v.Voters) < 3 {
			return
		}
		done = true
		v.Number++
		for i := range 2 {
			v.Voters[len(v.Voters)-1-i] = chain.Member{Address: fmt.Sprintf("10.1.9.%d:7100", i), Disk: fmt.Sprint("ghost ", i)}
		}
		for _, m := range s.cores {
			s.post(m, "/chain/adopt", v)
		}
	}}
}

// An acceptor loses its promises and accepted values on a restart.
func TestSearchFindsForgottenPromise(t *testing.T) {
	requireFaultFound(t, "view", []int{58, 35}, forgottenPromise)
}

func forgottenPromise() plantedFault {
	return plantedFault{beforeRestart: func(s *simulation, m *machine) {
		db, err := bbolt.Open(filepath.Join(m.dataPath, "core.db"), 0o600, &bbolt.Options{Timeout: time.Second})
		if err != nil {
			return // the disk was wiped
		}
		defer func() { _ = db.Close() }()
		err = db.Update(func(tx *bbolt.Tx) error {
			if tx.Bucket([]byte("votes")) == nil {
				return nil
			}
			if err := tx.DeleteBucket([]byte("votes")); err != nil {
				return err
			}
			_, err := tx.CreateBucket([]byte("votes"))
			return err
		})
		if err != nil {
			s.fail("start", "delete the votes of %s: %v", m.name, err)
		}
	}}
}

// A tombstone is counted as stored on cores that have not received it: during its
// first second it is removed from each exchange, which is acknowledged as usual.
func TestSearchFindsTombstoneCountedWithoutFence(t *testing.T) {
	requireFaultFound(t, "instance", []int{46, 55, 43}, unfencedTombstone)
}

func unfencedTombstone() plantedFault {
	var mu sync.Mutex
	firstSeen := map[string]time.Time{} // when each tombstone was first sent, by key
	// withheld reports whether an item is a tombstone first sent less than a
	// second ago.
	withheld := func(item any) bool {
		raw, _ := json.Marshal(item)
		var decoded struct {
			Key     string
			Version struct{ Major int64 }
		}
		_ = json.Unmarshal(raw, &decoded)
		if decoded.Version.Major < 1<<60 {
			return false
		}
		if firstSeen[decoded.Key].IsZero() {
			firstSeen[decoded.Key] = time.Now()
		}
		return time.Since(firstSeen[decoded.Key]) < time.Second
	}
	return plantedFault{interceptRequest: func(_ *simulation, _, _, path string, body []byte) (out, answer []byte) {
		if path != "/exchange" || !bytes.Contains(body, []byte(`"instance/`)) {
			return nil, nil
		}
		call := map[string]any{}
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.UseNumber()
		if decoder.Decode(&call) != nil {
			return nil, nil
		}
		items, _ := call["items"].([]any)
		var delivered []any
		mu.Lock()
		defer mu.Unlock()
		for _, item := range items {
			if !withheld(item) {
				delivered = append(delivered, item)
			}
		}
		if len(delivered) == len(items) {
			return nil, nil
		}
		call["items"] = delivered
		out, _ = json.Marshal(call)
		return out, nil
	}}
}

func (s *simulation) isRunning(m *machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[m.name]
}

// post sends a request to a core, bypassing network partitions, and does not wait
// for the response.
func (s *simulation) post(m *machine, path string, in any) {
	s.clientOps.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), contactTimeout)
		defer cancel()
		_ = s.observer.Call(ctx, internalAddress(m), path, in, nil, nil)
	})
}

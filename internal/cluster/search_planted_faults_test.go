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

// planted plays the seeds of a build with a fault that is put in from outside.
// The search must find it: the same schedules, the same checks.
func requireFaultFound(t *testing.T, classes string, likely []int, fault func() plantedFault) {
	t.Helper()
	t.Parallel()
	began, others := time.Now(), 0
	seeds := likely // those that found it before come first, to save time
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
		// What shows in another way, or without the fault too, is not how the
		// fault is to be found.
		if !strings.Contains(classes, f.class) || runSchedule(t, drawSchedule(seed), plantedFault{}) != nil {
			others++
			continue
		}
		if found = append(found, seed); !*searchAll {
			t.Logf("found with seed %d after %v, %d seeds before failed otherwise: %.300v", seed, time.Since(began).Round(time.Millisecond), others, f)
			return
		}
	}
	if len(found) == 0 {
		t.Errorf("%d schedules in %v did not find the fault; %d failed otherwise", *searchCount, time.Since(began), others)
	}
	t.Logf("%d of %d schedules found the fault: %v; %d failed otherwise", len(found), len(seeds), found, others)
}

// What was written in the last moments before a loss of power is not there.
func TestSearchFindsSkippedSync(t *testing.T) {
	requireFaultFound(t, "view, history, news", []int{2}, func() plantedFault {
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
							s.fail("start", "%v", err)
						}
						return
					}
				}
			},
		}
	})
}

// The tail answers a read although it cannot reach a majority: whoever is out of
// reach is taken to agree.
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
		answer, _ = json.Marshal(chain.ReplicaStatus{View: q.View, Complete: true, Ready: true})
		return nil, answer
	}}
}

// An old whole state is taken as if it were the newest pass.
func TestSearchFindsIgnoredUpdateOrder(t *testing.T) {
	requireFaultFound(t, "history", nil, func() plantedFault {
		var mu sync.Mutex
		old := map[string]any{} // the first whole state by receiver
		signs := 0
		return plantedFault{interceptRequest: func(s *simulation, from, to, path string, body []byte) (out, answer []byte) {
			if path != "/chain/pass" {
				return nil, nil
			}
			pass := map[string]any{}
			if json.Unmarshal(body, &pass) != nil {
				return nil, nil
			}
			mu.Lock()
			defer mu.Unlock()
			if pass["all"] == true {
				if pass["set"] != nil {
					old[to] = pass["set"]
				}
				return nil, nil
			}
			if signs++; pass["set"] != nil || old[to] == nil || signs%16 != 0 {
				return nil, nil
			}
			pass["all"], pass["set"] = true, old[to]
			out, _ = json.Marshal(pass)
			return out, nil
		}}
	})
}

// A view is adopted in which two voters are others than before.
func TestSearchFindsTwoVotersReplacedAtOnce(t *testing.T) {
	requireFaultFound(t, "voters", nil, func() plantedFault {
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
	})
}

// A voter that starts again knows nothing of how it voted.
func TestSearchFindsForgottenPromise(t *testing.T) {
	requireFaultFound(t, "view", []int{58, 35}, forgottenPromise)
}

func forgottenPromise() plantedFault {
	return plantedFault{beforeRestart: func(s *simulation, m *machine) {
		db, err := bbolt.Open(filepath.Join(m.dataPath, "core.db"), 0o600, &bbolt.Options{Timeout: time.Second})
		if err != nil {
			return // a wiped one
		}
		defer db.Close()
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
			s.fail("start", "%v", err)
		}
	}}
}

// A leaving is counted as kept by cores that have not heard of it: for its first
// second it reaches no other core, and each says that it has it.
func TestSearchFindsTombstoneCountedWithoutFence(t *testing.T) {
	requireFaultFound(t, "instance", []int{46, 55, 43}, func() plantedFault {
		var mu sync.Mutex
		first := map[string]time.Time{}
		return plantedFault{interceptRequest: func(s *simulation, from, to, path string, body []byte) (out, answer []byte) {
			if path != "/exchange" || !bytes.Contains(body, []byte(`"instance/`)) {
				return nil, nil
			}
			call := map[string]any{}
			items := json.NewDecoder(bytes.NewReader(body))
			items.UseNumber()
			if items.Decode(&call) != nil {
				return nil, nil
			}
			list, _ := call["items"].([]any)
			var left []any
			mu.Lock()
			defer mu.Unlock()
			for _, it := range list {
				raw, _ := json.Marshal(it)
				var item struct {
					Key     string
					Version struct{ Major int64 }
				}
				_ = json.Unmarshal(raw, &item)
				if item.Version.Major >= 1<<60 {
					if first[item.Key].IsZero() {
						first[item.Key] = time.Now()
					}
					if time.Since(first[item.Key]) < time.Second {
						continue
					}
				}
				left = append(left, it)
			}
			if len(left) == len(list) {
				return nil, nil
			}
			call["items"] = left
			out, _ = json.Marshal(call)
			return out, nil
		}}
	})
}

func (s *simulation) isRunning(m *machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[m.name]
}

// tell posts something to a core past all cuts.
func (s *simulation) post(m *machine, path string, in any) {
	s.clientOps.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), contactTimeout)
		defer cancel()
		_ = s.observer.Call(ctx, internalAddress(m), path, in, nil, nil)
	})
}

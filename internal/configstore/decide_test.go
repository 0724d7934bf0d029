package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"

	"saltreel/internal/chain"
	"saltreel/internal/placement"
)

func change(revision int) *Proposal {
	return &Proposal{Configuration: fmt.Appendf(nil, `{"revision":%d}`, revision), BaseRevision: int64(revision - 1)}
}

// checkAcknowledgedAgain checks that a change accepted before is neither rejected nor
// written again.
func checkAcknowledgedAgain(t *testing.T, docs chain.Documents, revision int) {
	t.Helper()
	if set, err := decideConfiguration(docs, change(revision)); err != nil || set != nil {
		t.Fatalf("change %d sent again: %d documents, %v", revision, len(set), err)
	}
}

// The last thousand changes are recognized when they are sent again, and the size of the
// stored records stays bounded.
func TestRepeatedConfigurationIsAcknowledgedAgain(t *testing.T) {
	docs := chain.Documents{}
	for n := 1; n <= 5000; n++ {
		set, err := decideConfiguration(docs, change(n))
		if err != nil || len(set) != 2 {
			t.Fatalf("change %d: %d documents, %v", n, len(set), err)
		}
		maps.Copy(docs, set)
		for _, back := range []int{0, 1, 127, 128, 129, 300, 1023} {
			if n > back {
				checkAcknowledgedAgain(t, docs, n-back)
			}
		}
	}
	size := 0
	for _, raw := range docs {
		size += len(raw)
	}
	if len(docs) > 17 || size > 34<<10 {
		t.Errorf("%d documents, %d bytes", len(docs), size)
	}
	other := &Proposal{Configuration: []byte(`{"revision":5000, "limits":{}}`), BaseRevision: 4999}
	if _, err := decideConfiguration(docs, other); err == nil {
		t.Error("a different change with the same revision was acknowledged")
	}
}

func TestRecordsOfEarlierVersionAreRead(t *testing.T) {
	var list []string
	for n := 1; n <= 64; n++ {
		sum := sha256.Sum256(change(n).Configuration)
		list = append(list, hex.EncodeToString(sum[:]))
	}
	raw, _ := json.Marshal(list)
	docs := chain.Documents{KeyConfiguration: change(64).Configuration, "taken": raw}
	for n := 65; n <= 365; n++ {
		set, err := decideConfiguration(docs, change(n))
		if err != nil {
			t.Fatal(err)
		}
		maps.Copy(docs, set)
	}
	for n := 1; n <= 365; n++ {
		checkAcknowledgedAgain(t, docs, n)
	}
	if left := withoutRecords(docs); len(left) != 1 || left[KeyConfiguration] == nil {
		t.Errorf("%d documents without the records", len(left))
	}
}

// Earlier versions may have accepted a configuration that is invalid for this one.
func TestInvalidConfigurationInForceCanBeReplaced(t *testing.T) {
	docs := chain.Documents{KeyConfiguration: []byte(`{"revision":7,"service-table":[{"name":""}]}`)}
	if _, err := decideConfiguration(docs, change(8)); err != nil {
		t.Error(err)
	}
}

func TestConfigurationRejections(t *testing.T) {
	docs := chain.Documents{KeyConfiguration: change(5).Configuration}
	for name, c := range map[string]struct {
		proposal *Proposal
		code     int
	}{
		"another revision is in force": {change(7), 412},
		"invalid JSON":                 {&Proposal{Configuration: []byte("{")}, 400},
		"revision not higher":          {&Proposal{Configuration: []byte(`{"revision":4}`), BaseRevision: 5}, 400},
	} {
		_, err := decideConfiguration(docs, c.proposal)
		var rejected *RejectedError
		if !errors.As(err, &rejected) || rejected.Code != c.code {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A repeated request to retire a store is acknowledged in each state of the retirement,
// even where a new request would be rejected.
func TestRepeatedRetirementIsAcknowledgedAgain(t *testing.T) {
	s := &Store{config: Config{HostFailures: 1}}
	retire := func(docs chain.Documents, name string) (chain.Documents, error) {
		return s.decide(docs, &Proposal{Retire: name})
	}
	p := placement.Placement{Version: 1, Stores: map[string]placement.Store{"a": {}, "b": {}, "c": {}}}
	raw, _ := json.Marshal(p)
	docs := chain.Documents{KeyPlacement: raw}
	set, err := retire(docs, "a")
	if err != nil || set == nil {
		t.Fatal(set, err)
	}
	maps.Copy(docs, set)
	for _, state := range []string{placement.RetireActive, placement.RetireComplete} {
		p, _ := s.PlacementOf(docs)
		p = p.Clone()
		p.Stores["a"] = placement.Store{RetireState: state}
		docs[KeyPlacement], _ = json.Marshal(p)
		if set, err := retire(docs, "a"); err != nil || set != nil {
			t.Errorf("%s, requested again: %v %v", state, set, err)
		}
		p, _ = s.PlacementOf(docs)
		if got, err := retireStateOf(p, "a"); err != nil || got != state {
			t.Errorf("the state is %q, want %q: %v", got, state, err)
		}
	}
	for name, code := range map[string]int{"b": 409, "nowhere": 404} {
		var rejected *RejectedError
		if _, err := retire(docs, name); !errors.As(err, &rejected) || rejected.Code != code {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"b", "nowhere"} {
		var rejected *RejectedError
		current, _ := s.PlacementOf(docs)
		if _, err := retireStateOf(current, name); !errors.As(err, &rejected) || rejected.Code != 404 {
			t.Errorf("state of %s: %v", name, err)
		}
	}
}

func TestPlacementIsFencedByVersionAndTerm(t *testing.T) {
	current := placement.Placement{Version: 7, Term: 3}
	for name, c := range map[string]struct {
		version, term int64
		accepted      bool
	}{
		"next version, same term":   {8, 3, true},
		"next version, higher term": {8, 4, true},
		"next version, lower term":  {8, 2, false},
		"same version":              {7, 4, false},
		"a version is skipped":      {9, 4, false},
	} {
		set, err := decidePlacement(current, &placement.Placement{Version: c.version, Term: c.term})
		var rejected *RejectedError
		if c.accepted != (err == nil && set[KeyPlacement] != nil) || !c.accepted && (!errors.As(err, &rejected) || rejected.Code != 409) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestPatchIsCheckedLikeAConfiguration(t *testing.T) {
	docs := chain.Documents{KeyConfiguration: []byte(`{"revision":3,"route-table":[{"name":"a","path-prefix":"a.","route-type":"stored","timeout-ms":5}]}`)}
	patch := func(match int64, raw string) (chain.Documents, error) {
		return decidePatch(docs, &Proposal{Patch: []byte(raw), BaseRevision: match})
	}
	add := `{"revision":5,"upsert":{"route-table":[{"name":"b","path-prefix":"b.","route-type":"stored","timeout-ms":5}]},"withdraw":{"route-table":["a"]}}`
	for name, c := range map[string]struct {
		match int64
		raw   string
		code  int
	}{
		"based on another revision": {2, add, 412},
		"invalid JSON":              {3, `{"revision":`, 400},
		"revision not higher":       {3, `{"revision":3}`, 400},
		"invalid result":            {3, `{"revision":5,"upsert":{"route-table":[{"name":"b","path-prefix":"a.","route-type":"stored","timeout-ms":5}]}}`, 400},
	} {
		var rejected *RejectedError
		if set, err := patch(c.match, c.raw); set != nil || !errors.As(err, &rejected) || rejected.Code != c.code {
			t.Errorf("%s: %v, %v", name, set, err)
		}
	}
	set, err := patch(3, add)
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(docs, set)
	want := `{"revision":5,"route-table":[{"name":"b","path-prefix":"b.","route-type":"stored","timeout-ms":5}]}`
	if got := string(docs[KeyConfiguration]); got != want {
		t.Errorf("the configuration in force is %s", got)
	}
	if set, err := patch(3, add); err != nil || set != nil {
		t.Errorf("the same patch sent again: %v, %v", set, err)
	}
	if _, err := patch(3, `{"revision":6}`); err == nil {
		t.Error("a second patch based on the same revision was accepted")
	}
}

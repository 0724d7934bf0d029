package placement

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
)

// failureStep is one event of a failure schedule, followed by one plan.
type failureStep struct {
	crash, start, wipe string // names of stores
	replicates         bool   // whether replicas that can become in sync do so after the plan
}

// planThroughFailures plans after each step of a failure schedule for the stores a to e,
// each in a zone of its own, and one partition that is initially on the first stores by
// name, with a as its primary.
func planThroughFailures(t *testing.T, redundancy Redundancy, steps []failureStep) Placement {
	t.Helper()
	stores := storesInSeparateZones("a", "b", "c", "d", "e")
	p := Initial(stores, redundancy)
	p.Partitions = p.Partitions[:1]
	partition := Partition{Epoch: 1, PreferredPrimary: "a", Primary: "a"}
	for _, name := range []string{"b", "c"}[:redundancy.Backups] {
		partition.PreferredBackups = append(partition.PreferredBackups, name)
		partition.Backups = append(partition.Backups, Backup{Store: name, InSync: true})
	}
	p.Partitions[0] = partition
	for _, step := range steps {
		setStatus(stores, step.crash, func(s *StoreStatus) { s.Alive = false })
		setStatus(stores, step.start, func(s *StoreStatus) { s.Alive = true })
		setStatus(stores, step.wipe, func(s *StoreStatus) { s.Disk += "'"; s.Alive = true })
		delete(stores, "")
		p, _, _ = Plan(p, stores, nil, redundancy)
		if step.replicates {
			p = replicate(p, stores)
		}
	}
	return p
}

// Guards against the loss of messages that only former replicas still hold: when the disks
// of all in-sync replicas are lost, the new primary has to copy from the remaining stores
// that together hold everything (docs/incidents/overlapping-losses.md). The same when the
// machine of a primary without backups never comes back (docs/incidents/removed-store.md).
func TestFormerReplicasAreSources(t *testing.T) {
	for name, c := range map[string]struct {
		redundancy Redundancy
		steps      []failureStep
		primary    string
		sources    []string
	}{
		"former replica restarts before the other disk is lost": {
			oneBackup, []failureStep{{crash: "a"}, {start: "a"}, {wipe: "b"}}, "c", []string{"a"},
		},
		"former replica restarts after the other disk is lost": {
			oneBackup, []failureStep{{crash: "a"}, {wipe: "b"}, {start: "a"}}, "c", []string{"a"},
		},
		"disk of a source is lost before it is read: the new disk is not a source": {
			oneBackup, []failureStep{{crash: "a"}, {start: "a"}, {wipe: "b"}, {wipe: "a"}, {}, {}}, "c", []string{"a"},
		},
		"former replica stays down: partition unavailable": {
			oneBackup, []failureStep{{crash: "a"}, {wipe: "b"}}, "b", nil,
		},
		"three stores hold different messages": {
			oneBackup, []failureStep{{crash: "a"}, {crash: "c"}, {wipe: "b"}, {start: "a"}, {start: "c"}}, "d", []string{"a", "c"},
		},
		"disk of the former replica is lost as well: partition unavailable": {
			oneBackup, []failureStep{{crash: "a"}, {wipe: "a"}, {wipe: "b"}}, "b", nil,
		},
		"all replicas are in sync again: spans are removed": {
			oneBackup, []failureStep{{crash: "a"}, {replicates: true}, {start: "a"}, {wipe: "b"}}, "c", nil,
		},
		"disks of two of three replicas are lost": {
			twoBackups, []failureStep{{crash: "a"}, {crash: "b"}, {wipe: "b"}, {wipe: "c"}, {start: "a"}}, "d", []string{"a"},
		},
		"former primary may still run: a backup that granted it its lease succeeds": {
			oneBackup, []failureStep{{crash: "a"}, {start: "a"}, {crash: "b"}}, "c", []string{"a"},
		},
		"primary without backups is gone for good: the former backup succeeds": {
			oneBackup, []failureStep{{crash: "c"}, {crash: "d"}, {crash: "e"}, {crash: "b"}, {crash: "a"}, {start: "b"}, {start: "c"}}, "b", []string{"b"},
		},
		"two primaries without backups, one after the other, are gone for good": {
			twoBackups, []failureStep{{crash: "d"}, {crash: "e"}, {crash: "c"}, {crash: "a"}, {crash: "b"}, {start: "c"}, {start: "d"}}, "c", []string{"c"},
		},
		"a backup that was being filled was lost too: the messages are on two stores": {
			oneBackup, []failureStep{{crash: "d"}, {crash: "e"}, {crash: "b"}, {crash: "c"}, {crash: "a"}, {start: "b"}, {start: "c"}}, "c", []string{"b"},
		},
	} {
		p := planThroughFailures(t, c.redundancy, c.steps).Partitions[0]
		if p.Primary != c.primary || !slices.Equal(p.Sources, c.sources) {
			t.Errorf("%s: primary %s with sources %v, want %s with %v: %+v", name, p.Primary, p.Sources, c.primary, c.sources, p)
		}
	}
}

// The retirement of a store must not complete while it may hold messages that the
// replicas lack.
func TestStoreWithSpansIsNotRetired(t *testing.T) {
	stores := storesInSeparateZones("a", "b", "c")
	p := Initial(stores, oneBackup)
	setStatus(stores, "a", func(s *StoreStatus) { s.Alive = false })
	p, _, _ = Plan(p, stores, nil, oneBackup)
	retired := p.Stores["a"]
	retired.RetireState = RetireActive
	p.Stores["a"] = retired
	if p, _, _ = Plan(p, stores, nil, oneBackup); p.Stores["a"].RetireState != RetireActive {
		t.Error("retirement completed while the store may be the only one with some messages")
	}
	if p = converge(t, replicate(p, stores), stores, oneBackup, nil); p.Stores["a"].RetireState != RetireComplete {
		t.Errorf("retirement not completed with all partitions in sync: %+v", p)
	}
}

func TestMergeSpans(t *testing.T) {
	got := mergeSpans([]Span{{"b", 3, 0}, {"a", 6, 7}, {"a", 0, 2}, {"a", 3, 4}, {"b", 1, 9}, {"a", 6, 6}})
	want := []Span{{"a", 0, 4}, {"a", 6, 7}, {"b", 1, 0}}
	if !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}

func TestSpansAreEncoded(t *testing.T) {
	p := planThroughFailures(t, oneBackup, []failureStep{{crash: "a"}, {start: "a"}, {wipe: "b"}})
	p.Partitions = append(p.Partitions, Partition{Epoch: 2, PreferredPrimary: "a", Primary: "removed", Spans: []Span{{"also removed", 1, 2}}})
	raw, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var got Placement
	if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("%s: %v\n%+v\n%+v", raw, err, got.Partitions, p.Partitions)
	}
	for _, spans := range []string{"x 0:1-2 ", "9 0:1-2 ", "0 0:1-2", "0 9:1-2 ", "0 0:1 ", "0 0:-2 ", "0  9"} {
		raw, err := json.Marshal(document{Stores: p.Stores, CompactPartitions: "1 0 0", Spans: spans})
		if err != nil {
			t.Fatal(err)
		}
		if json.Unmarshal(raw, &got) == nil {
			t.Errorf("malformed spans %q decoded without error", spans)
		}
	}
}

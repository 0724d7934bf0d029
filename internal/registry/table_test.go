package registry

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

func newTestTable(name string) *table {
	return newTable(journal.New(name, time.Hour, ""), time.Second, time.Second)
}

// valueOf returns the value of an entry, nil if it is unknown, expired or deregistered.
func valueOf(table *table, key string) json.RawMessage {
	table.mu.Lock()
	defer table.mu.Unlock()
	r := table.records[key]
	if r == nil || isNull(r.value) {
		return nil
	}
	return r.value
}

// The newer incarnation of a node is the one that the cores see later, regardless of
// their clocks and of the node's. A delayed heartbeat of an earlier incarnation changes
// nothing.
func TestOrderOfIncarnationsDoesNotDependOnClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, other := newTestTable("ahead"), newTestTable("other")
		current := func(table *table) string { return table.nodes()["edge-1"].Incarnation }
		heartbeat := func(table *table, incarnation string, sequence int64) Entry {
			entry, _ := table.mergeNodeHeartbeat(membership.Node{Name: "edge-1", Incarnation: incarnation, Sequence: sequence})
			return entry
		}
		first := heartbeat(ahead, "one", 5)
		first.Version.Major += 1 << 40 // as from a core with a clock far ahead
		ahead.merge(first)
		other.merge(first)
		second := heartbeat(other, "two", 1)
		if current(other) != "two" || !first.Version.Less(second.Version) {
			t.Fatalf("the second incarnation is not newer than the first: %q, %+v", current(other), second.Version)
		}
		for n, late := range []time.Duration{0, 20 * time.Second, time.Hour} { // possible delays on a link
			time.Sleep(late)
			heartbeat(other, "two", int64(n+2))
			if heartbeat(other, "one", 6); current(other) != "two" {
				t.Errorf("a heartbeat of the first incarnation delayed by %v restored it", late)
			}
		}
		// A delayed heartbeat of an incarnation that this core never saw looks newer.
		// The next heartbeat of the real incarnation replaces it.
		heartbeat(other, "zero", 9)
		time.Sleep(2 * time.Second)
		if heartbeat(other, "two", 5); current(other) != "two" {
			t.Errorf("after a delayed heartbeat of an unknown incarnation, the incarnation is %q", current(other))
		}
		// The core with the clock ahead has seen only the first incarnation. The second
		// replaces it there too, and both cores agree on a third that they see at the
		// same time.
		ahead.merge(second)
		third := [2]Entry{heartbeat(ahead, "three", 1), heartbeat(other, "three", 1)}
		ahead.merge(third[1])
		other.merge(third[0])
		if current(ahead) != "three" || current(other) != "three" {
			t.Errorf("the cores disagree on the incarnation: %q and %q", current(ahead), current(other))
		}
		// An outdated entry that gives an earlier incarnation a newer version is overridden.
		stale := first
		stale.Version.Major += 1 << 40
		other.merge(stale)
		time.Sleep(2 * time.Second)
		if heartbeat(other, "three", 2); current(other) != "three" {
			t.Errorf("after an outdated entry, the incarnation is %q", current(other))
		}
	})
}

// sentVersions are the versions sent to a receiver, as updatedSince needs them.
type sentVersions map[string]journal.Version

func (s sentVersions) of(key string) journal.Version {
	if v, ok := s[key]; ok {
		return v
	}
	return unsent
}

// A store that was frozen long enough to expire at one core but not at another becomes
// known to both again, although its value has not changed. The same holds for a handler.
// A deregistered instance does not return.
func TestExpiredEntryReturnsWithNextHeartbeatUnlessDeregistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := newTestTable("near"), newTestTable("far")
		sent := sentVersions{}
		exchange := func() {
			entries, _ := near.updatedSince(time.Time{}, sent.of)
			for _, entry := range entries {
				if far.needsValue(entry) {
					delete(sent, entry.Key) // request the value
				} else {
					far.merge(entry)
					sent[entry.Key] = entry.Version
				}
			}
		}
		const instance = distribution.PrefixInstance + "one"
		heartbeat := func(n int64) {
			near.mergeNodeHeartbeat(membership.Node{Name: "store-1", Role: "store", Incarnation: "a", Sequence: n})
			near.mergeHeartbeat(Entry{Key: instance, Version: journal.Version{Major: n}, Value: json.RawMessage(`{"state":"ready"}`)})
		}
		heartbeat(1)
		exchange()
		time.Sleep(4 * time.Second)
		if expired, _ := far.expire(3*time.Second, 3*time.Second); len(expired) != 2 {
			t.Fatalf("expired: %v", expired)
		}
		for n := int64(2); n < 5; n++ {
			heartbeat(n)
			exchange()
		}
		if _, ok := far.nodes()["store-1"]; !ok {
			t.Error("the store is still absent at the core where it expired")
		}
		if valueOf(far, instance) == nil {
			t.Error("the handler is still absent at the core where it expired")
		}
		near.mergeHeartbeat(Entry{Key: instance, Version: journal.Version{Major: majorDeregistered}, Value: nullValue})
		exchange()
		exchange()
		if valueOf(far, instance) != nil {
			t.Error("a deregistered handler is still present")
		}
	})
}

func TestOverdueStoreIsReportedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("watch")
		table.mergeNodeHeartbeat(membership.Node{Name: "store-1", Role: "store", Incarnation: "a", Sequence: 1})
		table.mergeNodeHeartbeat(membership.Node{Name: "edge-1", Role: "edge", Incarnation: "a", Sequence: 1})
		table.merge(Entry{Key: distribution.PrefixNode + "store-2", Version: journal.Version{Major: 1}, Value: json.RawMessage(`{"name":"store-2","role":"store"}`)})
		overdue := func() int { return len(table.overdueStores(time.Second, 10*time.Second)) }
		if n := overdue(); n != 0 {
			t.Errorf("%d stores are overdue immediately", n)
		}
		time.Sleep(1500 * time.Millisecond)
		if first, second := overdue(), overdue(); first != 1 || second != 0 {
			t.Errorf("%d stores are reported at first, %d right after", first, second)
		}
		time.Sleep(1500 * time.Millisecond)
		if n := overdue(); n != 1 {
			t.Errorf("%d stores are reported in the next interval", n)
		}
		time.Sleep(10 * time.Second)
		if n := overdue(); n != 0 {
			t.Errorf("%d stores are reported after the last interval", n)
		}
	})
}

package core

import (
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/relay"
)

// The newer life of a node is the one that its watchers see later, whatever
// their clocks and its own say; a late beat of the life before changes nothing.
func TestLivesOfNodesDoNotRestOnClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := &registry{entries: map[string]*entry{}, journal: journal.New("ahead", time.Hour, ""), late: time.Second}
		other := &registry{entries: map[string]*entry{}, journal: journal.New("other", time.Hour, ""), late: time.Second}
		of := func(r *registry) string { return r.nodes()["edge-1"].Life }
		beat := func(r *registry, life string, n int64) Item {
			it, _ := r.beat(relay.Node{Name: "edge-1", Life: life, Sequence: n})
			return it
		}
		first := beat(ahead, "one", 5)
		first.Version.Major += 1 << 40 // as a core tells it whose time of day is far ahead
		ahead.put(first)
		other.put(first)
		second := beat(other, "two", 1)
		if of(other) != "two" || !first.Version.Less(second.Version) {
			t.Fatalf("the second life is not the newer one: %q, %+v", of(other), second.Version)
		}
		beat(other, "one", 6)
		if of(other) != "two" {
			t.Error("a late beat of the first life brought it back")
		}
		// The other watcher saw only the first life so far: the second wins there
		// too, and a third that both see at once is the same for both.
		ahead.put(second)
		third := [2]Item{beat(ahead, "three", 1), beat(other, "three", 1)}
		ahead.put(third[1])
		other.put(third[0])
		if of(ahead) != "three" || of(other) != "three" {
			t.Errorf("the cores disagree: %q and %q", of(ahead), of(other))
		}
		// A picture in which the life before is newer does not last.
		stale := first
		stale.Version.Major += 1 << 40
		other.put(stale)
		time.Sleep(2 * time.Second)
		if beat(other, "three", 2); of(other) != "three" {
			t.Errorf("after a stale picture the life is %q", of(other))
		}
	})
}

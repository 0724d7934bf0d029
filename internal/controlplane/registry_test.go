package controlplane

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// The newer life of a node is the one that its watchers see later, whatever
// their clocks and its own say; a late beat of the life before changes nothing.
func TestLivesOfNodesDoNotRestOnClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := &registry{entries: map[string]*entry{}, journal: journal.New("ahead", time.Hour, ""), late: time.Second}
		other := &registry{entries: map[string]*entry{}, journal: journal.New("other", time.Hour, ""), late: time.Second}
		of := func(r *registry) string { return r.nodes()["edge-1"].Incarnation }
		beat := func(r *registry, life string, n int64) Item {
			it, _ := r.beat(membership.Node{Name: "edge-1", Incarnation: life, Sequence: n})
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
		for n, late := range []time.Duration{0, 20 * time.Second, time.Hour} { // as long as a link may hold it up
			time.Sleep(late)
			beat(other, "two", int64(n+2))
			if beat(other, "one", 6); of(other) != "two" {
				t.Errorf("a beat of the first life that came %v late brought it back", late)
			}
		}
		// Where it passes for the newer one, since this core never heard it, the
		// real one comes back with a beat of its own.
		beat(other, "zero", 9)
		time.Sleep(2 * time.Second)
		if beat(other, "two", 5); of(other) != "two" {
			t.Errorf("after a late beat of an unknown life it is %q", of(other))
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

// A store that froze for longer than one core waits, but not another, is heard
// of again by both, though nothing about it has changed; so is a handler. What
// left for good does not come back.
func TestWhatOneCoreTookOffComesBackWithTheNextBeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near := &registry{entries: map[string]*entry{}, journal: journal.New("near", time.Hour, ""), late: time.Second}
		far := &registry{entries: map[string]*entry{}, journal: journal.New("far", time.Hour, ""), late: time.Second}
		sent := map[string]journal.Version{}
		exchange := func() {
			items, _ := near.since(time.Time{}, func(key string) journal.Version {
				if v, ok := sent[key]; ok {
					return v
				}
				return journal.Version{Major: -1}
			})
			for _, it := range items {
				if far.lacks(it) {
					delete(sent, it.Key) // it is asked for
				} else {
					far.put(it)
					sent[it.Key] = it.Version
				}
			}
		}
		const handlers = distribution.PrefixInstance + "one"
		beat := func(n int64) {
			near.beat(membership.Node{Name: "store-1", Role: "store", Incarnation: "a", Sequence: n})
			near.hear(Item{Key: handlers, Version: journal.Version{Major: n}, Value: json.RawMessage(`{"state":"ready"}`)})
		}
		beat(1)
		exchange()
		time.Sleep(4 * time.Second)
		if out, _ := far.expire(3*time.Second, 3*time.Second); len(out) != 2 {
			t.Fatalf("taken off: %v", out)
		}
		for n := int64(2); n < 5; n++ {
			beat(n)
			exchange()
		}
		if _, ok := far.nodes()["store-1"]; !ok {
			t.Error("the store stays away from the core that took it off")
		}
		if _, _, _, ok := far.get(handlers); !ok {
			t.Error("the handler stays away from the core that took it off")
		}
		near.hear(Item{Key: handlers, Version: journal.Version{Major: gone}, Value: json.RawMessage("null")})
		exchange()
		exchange()
		if _, _, _, ok := far.get(handlers); ok {
			t.Error("a handler that left is still there")
		}
	})
}

func TestExchangesCarryValuesOnceAndMendWhatWasMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := func(name string) *Server {
			return &Server{chain: &chain.Chain{}, registry: &registry{entries: map[string]*entry{}, journal: journal.New(name, time.Hour, "")}}
		}
		a, b := core("a"), core("b")
		beat := func(seq int64, state string) Item {
			return Item{Key: "instance/i", Version: journal.Version{Major: seq}, Value: journal.Encode(map[string]any{"oper-state": state, "call-seq": seq})}
		}
		sent := map[string]journal.Version{}
		tell := func(arrives bool) (values int) {
			time.Sleep(time.Second)
			items, _ := a.registry.since(time.Time{}, func(key string) journal.Version {
				if v, ok := sent[key]; ok {
					return v
				}
				return journal.Version{Major: -1}
			})
			for _, it := range items {
				sent[it.Key] = it.Version
				if it.Value != nil {
					values++
				}
			}
			if arrives {
				out, _ := b.handleExchange(t.Context(), &Exchange{Items: items}, nil)
				for _, key := range out.Want {
					delete(sent, key)
				}
			}
			return values
		}
		a.registry.put(beat(1, "ready"))
		if n := tell(true); n != 1 {
			t.Errorf("the first exchange carries %d values", n)
		}
		a.registry.put(beat(2, "ready"))
		if n := tell(true); n != 0 {
			t.Errorf("an unchanged value is sent again")
		}
		a.registry.put(beat(3, "draining"))
		tell(false) // lost, though the sender thinks otherwise
		a.registry.put(beat(4, "draining"))
		tell(true)
		tell(true)
		raw, _, _, _ := b.registry.get("instance/i")
		if !strings.Contains(string(raw), "draining") {
			t.Errorf("the change that was missed is not known: %s", raw)
		}
		if n := tell(true); n != 0 {
			t.Errorf("a known value is sent again")
		}
	})
}

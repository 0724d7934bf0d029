package core

import (
	"fmt"
	"saltreel/internal/chain"
	"saltreel/internal/journal"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/relay"
)

func stores(names ...string) map[string]StoreStatus {
	out := map[string]StoreStatus{}
	for _, n := range names {
		out[n] = StoreStatus{Node: relay.Node{Name: n, Role: "store", Address: n + ":1", Zone: n, Disk: "disk-" + n}, Up: true}
	}
	return out
}

// settle plans until nothing changes; copies come into step between steps.
func settle(t *testing.T, p Placement, s map[string]StoreStatus, step func(before, after Placement)) Placement {
	t.Helper()
	for range 100 {
		ready := map[int]int64{}
		next, handovers, changed := Plan(p, s, nil)
		for _, i := range handovers {
			ready[i] = p.Partitions[i].Epoch
		}
		if !changed && len(handovers) > 0 {
			next, _, changed = Plan(p, s, ready)
		}
		if !changed {
			return p
		}
		for i, x := range next.Partitions {
			old := p.Partitions[i]
			moved := x.Primary != old.Primary || x.Backup != old.Backup
			if moved != (x.Epoch > old.Epoch) {
				t.Fatalf("partition %d: %+v to %+v", i, old, x)
			}
			if x.Primary != old.Primary && (x.Primary != old.Backup || !old.InStep) {
				t.Fatalf("partition %d: %+v is led by a copy not in step: %+v", i, old, x)
			}
		}
		if step != nil {
			step(p, next)
		}
		p = next.Clone()
		for i := range p.Partitions {
			x := &p.Partitions[i]
			x.InStep = x.InStep || x.Backup != "" && s[x.Backup].Up && s[x.Primary].Up
		}
	}
	t.Fatal("the placement does not settle")
	return p
}

func TestPlacementMendsAndReturns(t *testing.T) {
	s := stores("a", "b", "c")
	first := Found(s)
	lead := map[string]int{}
	for _, x := range first.Partitions {
		lead[x.Primary]++
		if x.Primary == x.Backup || !x.InStep {
			t.Fatalf("%+v", x)
		}
	}
	if lead["a"] != partitionsPerStore || lead["b"] != partitionsPerStore {
		t.Errorf("led: %v", lead)
	}
	for lost := range s {
		down := stores("a", "b", "c")
		x := down[lost]
		x.Up = false
		down[lost] = x
		p := settle(t, first, down, nil)
		for i, y := range p.Partitions {
			if y.Primary == lost || y.Backup == lost || y.Backup == "" {
				t.Errorf("without %s: partition %d at %+v", lost, i, y)
			}
		}
		p = settle(t, p, s, nil)
		for i, y := range p.Partitions {
			if want := first.Partitions[i]; y.Primary != want.Primary || y.Backup != want.Backup {
				t.Errorf("%s is back: partition %d at %+v, not %+v", lost, i, y, want)
			}
		}
	}
}

func TestACopyBehindNeverLeads(t *testing.T) {
	p := Found(stores("a", "b", "c"))
	for i := range p.Partitions {
		p.Partitions[i].InStep = p.Partitions[i].Primary != "a"
	}
	s := stores("a", "b", "c")
	x := s["a"]
	x.Up = false
	s["a"] = x
	next, _, _ := Plan(p, s, nil)
	for i, y := range next.Partitions {
		if p.Partitions[i].Primary == "a" && y.Primary != "a" {
			t.Errorf("partition %d went to a copy behind: %+v", i, y)
		}
	}
}

func TestALostDiskIsAnEmptyStore(t *testing.T) {
	p := Found(stores("a", "b", "c"))
	s := stores("a", "b", "c")
	x := s["a"]
	x.Disk = "disk-new"
	s["a"] = x
	next := settle(t, p, s, func(before, after Placement) {
		for i, y := range after.Partitions {
			if y.Primary == "a" && before.Partitions[i].Primary != "a" && after.Stores["a"].Disk != "disk-new" {
				t.Errorf("partition %d is led by the lost disk", i)
			}
		}
	})
	if next.Stores["a"].Disk != "disk-new" || !holds(next, "a") {
		t.Errorf("the new disk is not taken in: %+v", next.Stores["a"])
	}
}

func TestRetiredAndLeavingStoresAreEmptied(t *testing.T) {
	p := Found(stores("a", "b", "c"))
	r := p.Stores["b"]
	r.Retire = RetireActive
	p.Stores["b"] = r
	q := settle(t, p, stores("a", "b", "c"), nil)
	if holds(q, "b") || q.Stores["b"].Retire != RetireComplete {
		t.Errorf("retired: %+v", q)
	}
	s := stores("a", "b", "c")
	x := s["c"]
	x.Leaving = true
	s["c"] = x
	if q := settle(t, Found(stores("a", "b", "c")), s, nil); holds(q, "c") {
		t.Errorf("leaving: %+v", q)
	}
	for _, n := range []int{1, 2, 4, 5} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("s", i))
		}
		for i, x := range Found(stores(names...)).Partitions {
			if x.Primary == x.Backup || n > 1 && x.Backup == "" {
				t.Errorf("%d stores, partition %d: %+v", n, i, x)
			}
		}
	}
}

func TestExchangesCarryValuesOnceAndMendWhatWasMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := func(name string) *Core {
			return &Core{chain: &chain.Chain{}, registry: &registry{entries: map[string]*entry{}, journal: journal.New(name, time.Hour)}}
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

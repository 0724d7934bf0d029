package placement

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"saltreel/internal/membership"
)

func stores(names ...string) map[string]StoreStatus {
	out := map[string]StoreStatus{}
	for _, n := range names {
		out[n] = StoreStatus{Node: membership.Node{Name: n, Role: "store", Address: n + ":1", Zone: n, Disk: "disk-" + n}, Alive: true}
	}
	return out
}

// settle plans until nothing changes; copies come into step between steps. It
// fails if a copy leads that is not in step, or if a copy is given up on
// purpose before enough others hold everything.
func settle(t *testing.T, p Placement, s map[string]StoreStatus, spread Redundancy, step func(before, after Placement)) Placement {
	t.Helper()
	alive := func(x Partition) (n int) {
		for _, b := range append([]Backup{{x.Primary, true}}, x.Backups...) {
			if b.InSync && s[b.Store].Alive && s[b.Store].Disk == p.Stores[b.Store].Disk {
				n++
			}
		}
		return n
	}
	for range 200 {
		ready := map[int]int64{}
		next, handovers, changed := Plan(p, s, nil, spread)
		for _, i := range handovers {
			ready[i] = p.Partitions[i].Epoch
		}
		if !changed && len(handovers) > 0 {
			next, _, changed = Plan(p, s, ready, spread)
		}
		if !changed {
			return p
		}
		for i, x := range next.Partitions {
			old := p.Partitions[i]
			names := func(x Partition) (out []string) {
				for _, b := range x.Backups {
					out = append(out, b.Store)
				}
				return out
			}
			moved := x.Primary != old.Primary || !slices.Equal(names(x), names(old))
			if moved != (x.Epoch > old.Epoch) {
				t.Fatalf("partition %d: %+v to %+v", i, old, x)
			}
			if at := old.Backup(x.Primary); x.Primary != old.Primary && (at < 0 || !old.Backups[at].InSync) {
				t.Fatalf("partition %d: %+v is led by a copy not in step: %+v", i, old, x)
			}
			if was, is := alive(old), alive(x); is < was && is < spread.Backups+1 {
				t.Fatalf("partition %d: %d copies, then %d: %+v to %+v", i, was, is, old, x)
			}
		}
		if step != nil {
			step(p, next)
		}
		p = next.Clone()
		for i, x := range p.Partitions {
			for j, b := range x.Backups {
				p.Partitions[i].Backups[j].InSync = b.InSync || s[b.Store].Alive && s[x.Primary].Alive
			}
		}
	}
	t.Fatal("the placement does not settle")
	return p
}

var one = Redundancy{Backups: 1}

func TestPlacementMendsAndReturns(t *testing.T) {
	s := stores("a", "b", "c")
	first := Initial(s, one)
	lead := map[string]int{}
	for _, x := range first.Partitions {
		lead[x.Primary]++
		if x.Backup(x.Primary) >= 0 || !x.InSync(1) {
			t.Fatalf("%+v", x)
		}
	}
	if lead["a"] != partitionsPerStore || lead["b"] != partitionsPerStore {
		t.Errorf("led: %v", lead)
	}
	for lost := range s {
		down := stores("a", "b", "c")
		x := down[lost]
		x.Alive = false
		down[lost] = x
		p := settle(t, first, down, one, nil)
		for i, y := range p.Partitions {
			if y.Has(lost) || !y.InSync(1) {
				t.Errorf("without %s: partition %d at %+v", lost, i, y)
			}
		}
		p = settle(t, p, s, one, nil)
		for i, y := range p.Partitions {
			if want := first.Partitions[i]; y.Primary != want.Primary || !slices.Equal(y.Backups, want.Backups) {
				t.Errorf("%s is back: partition %d at %+v, not %+v", lost, i, y, want)
			}
		}
	}
}

func TestACopyBehindNeverLeads(t *testing.T) {
	p := Initial(stores("a", "b", "c"), one)
	for i := range p.Partitions {
		p.Partitions[i].Backups[0].InSync = p.Partitions[i].Primary != "a"
	}
	s := stores("a", "b", "c")
	x := s["a"]
	x.Alive = false
	s["a"] = x
	next, _, _ := Plan(p, s, nil, one)
	for i, y := range next.Partitions {
		if p.Partitions[i].Primary == "a" && y.Primary != "a" {
			t.Errorf("partition %d went to a copy behind: %+v", i, y)
		}
	}
}

func TestALostDiskIsAnEmptyStore(t *testing.T) {
	p := Initial(stores("a", "b", "c"), one)
	s := stores("a", "b", "c")
	x := s["a"]
	x.Disk = "disk-new"
	s["a"] = x
	next := settle(t, p, s, one, func(before, after Placement) {
		for i, y := range after.Partitions {
			if y.Primary == "a" && before.Partitions[i].Primary != "a" && after.Stores["a"].Disk != "disk-new" {
				t.Errorf("partition %d is led by the lost disk", i)
			}
		}
	})
	if next.Stores["a"].Disk != "disk-new" || !Holds(next, "a") {
		t.Errorf("the new disk is not taken in: %+v", next.Stores["a"])
	}
}

func TestRetiredAndLeavingStoresAreEmptied(t *testing.T) {
	p := Initial(stores("a", "b", "c"), one)
	r := p.Stores["b"]
	r.Retire = RetireActive
	p.Stores["b"] = r
	q := settle(t, p, stores("a", "b", "c"), one, nil)
	if Holds(q, "b") || q.Stores["b"].Retire != RetireComplete {
		t.Errorf("retired: %+v", q)
	}
	s := stores("a", "b", "c")
	x := s["c"]
	x.Alive = false // no other store could take the copies of the retired one
	s["c"] = x
	for i, y := range settle(t, p, s, one, nil).Partitions {
		if len(y.Backups) < 1 {
			t.Errorf("partition %d is left with one copy: %+v", i, y)
		}
	}
	x.Alive, x.Draining = true, true
	s["c"] = x
	if q := settle(t, Initial(stores("a", "b", "c"), one), s, one, nil); Holds(q, "c") {
		t.Errorf("leaving: %+v", q)
	}
	for _, n := range []int{1, 2, 4, 5} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("s", i))
		}
		for i, x := range Initial(stores(names...), one).Partitions {
			if x.Backup(x.Primary) >= 0 || len(x.Backups) != min(1, n-1) {
				t.Errorf("%d stores, partition %d: %+v", n, i, x)
			}
		}
	}
}

func TestCopiesLieAsNearAsWhatMayBeLostAllows(t *testing.T) {
	fleet := func() map[string]StoreStatus {
		s := map[string]StoreStatus{}
		for z := range 6 {
			for k := range 3 {
				name := fmt.Sprintf("s%d%d", z, k)
				s[name] = StoreStatus{Node: membership.Node{Name: name, Role: "store", Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2), Disk: name}, Alive: true}
			}
		}
		return s
	}
	for _, c := range []struct {
		spread         Redundancy
		zones, regions int // that each partition lies in
	}{{Redundancy{Backups: 2}, 1, 1}, {Redundancy{Backups: 2, Zones: 1}, 2, 1}, {Redundancy{Backups: 2, Zones: 2}, 3, 2}, {Redundancy{Backups: 2, Regions: 1}, 2, 2}, {Redundancy{Backups: 2, Regions: 2}, 3, 3}} {
		s := fleet()
		p := Initial(s, c.spread)
		held := map[string]int{}
		for i, x := range p.Partitions {
			zones, regions := map[string]bool{}, map[string]bool{}
			for _, b := range append(x.Backups, Backup{Store: x.Primary}) {
				zones[s[b.Store].Zone], regions[s[b.Store].Region] = true, true
				held[b.Store]++
			}
			if len(x.Backups) != 2 || len(zones) != c.zones || len(regions) != c.regions {
				t.Errorf("%+v: partition %d at %+v", c.spread, i, x)
			}
		}
		for name := range s {
			if held[name] < partitionsPerStore*2 || held[name] > partitionsPerStore*4 {
				t.Errorf("%+v: %s holds %d copies", c.spread, name, held[name])
			}
		}
		for _, lost := range []string{"s00", "s12"} { // two at once come back empty
			x := s[lost]
			x.Disk = "new"
			s[lost] = x
		}
		q := settle(t, p, s, c.spread, nil)
		for i, x := range q.Partitions {
			if !x.InSync(2) || x.Primary != p.Partitions[i].Primary {
				t.Errorf("%+v: partition %d at %+v", c.spread, i, x)
			}
		}
		s["s99"] = StoreStatus{Node: membership.Node{Name: "s99", Zone: "z0", Region: "r0", Disk: "d"}, Alive: true}
		before := q
		moved := 0
		q = settle(t, q, s, c.spread, nil)
		for i, x := range q.Partitions {
			if x.Primary != before.Partitions[i].Primary {
				moved++
			}
		}
		if !Holds(q, "s99") || moved != partitionsPerStore-1 {
			t.Errorf("%+v: of an added store's share of %d, %d were moved", c.spread, partitionsPerStore-1, moved)
		}
	}
}

// What a round of the steward costs follows the number of partitions: ten times
// the stores must not cost a hundred times as much.
func TestAPlanCostsWhatItPlaces(t *testing.T) {
	cost := func(each int) float64 {
		s := map[string]StoreStatus{}
		for z := range 6 {
			for i := range each {
				name := fmt.Sprintf("s%d-%d", z, i)
				s[name] = StoreStatus{Node: membership.Node{Name: name, Role: "store", Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2), Disk: "disk-" + name}, Alive: true}
			}
		}
		spread := Redundancy{Backups: 2}
		p := Initial(s, spread)
		return testing.AllocsPerRun(3, func() {
			if _, _, changed := Plan(p, s, nil, spread); changed {
				t.Error("a placement that is as it should be is changed")
			}
		})
	}
	if small, large := cost(1), cost(10); large > 20*small {
		t.Errorf("%.0f steps for 6 stores, %.0f for 60", small, large)
	}
}

// A store that is added takes over its share of the copies, and no others move.
func TestAddedStoresMoveTheirShareOnly(t *testing.T) {
	for _, each := range []int{3, 10} {
		s := map[string]StoreStatus{}
		add := func(z, i int) {
			name := fmt.Sprintf("s%d-%d", z, i)
			s[name] = StoreStatus{Node: membership.Node{Name: name, Role: "store", Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2), Disk: "disk-" + name}, Alive: true}
		}
		for z := range 6 {
			for i := range each {
				add(z, i)
			}
		}
		spread := Redundancy{Backups: 2}
		p := Initial(s, spread)
		add(1, 99)
		add(4, 10)
		q := settle(t, p, s, spread, func(Placement, Placement) {})
		moved, got := 0, map[string]int{}
		for i, x := range q.Partitions {
			for _, b := range append(x.Backups, Backup{Store: x.Primary}) {
				got[b.Store]++
				if !p.Partitions[i].Has(b.Store) {
					moved++
				}
			}
		}
		share := 3 * len(q.Partitions) / len(s)
		if moved > 3*share || got["s1-99"] < share/2 || got["s4-10"] < share/2 {
			t.Errorf("%d copies of %d moved; the new stores hold %d and %d, a share is %d", moved, 3*len(q.Partitions), got["s1-99"], got["s4-10"], share)
		}
	}
}

// Each node reads each placement, so its short form is to say the same in a
// fraction of the bytes; what earlier versions wrote is still read.
func TestTheShortFormOfAPlacementSaysTheSame(t *testing.T) {
	stores := map[string]StoreStatus{}
	for i := range 60 {
		name := fmt.Sprintf("storage-hall-%d", i)
		stores[name] = StoreStatus{Node: membership.Node{Name: name, Role: "store", Address: "10.0.0.9:7000", Zone: fmt.Sprint(i % 6), Region: "r", Disk: "d"}, Alive: true}
	}
	p := Initial(stores, Redundancy{Backups: 2})
	p.Term = 3
	p.Partitions[1] = Partition{Epoch: 7, PreferredPrimary: "gone", Primary: "storage-hall-3", Backups: []Backup{{"gone", false}, {"storage-hall-4", true}}}
	p.Partitions[2] = Partition{Epoch: 8, PreferredPrimary: "storage-hall-1"}
	short, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	long, err := json.Marshal(Readable(p))
	if err != nil {
		t.Fatal(err)
	}
	if len(short)*3 > len(long) {
		t.Errorf("the short form has %d bytes, the long one %d", len(short), len(long))
	}
	for what, raw := range map[string][]byte{"short": short, "earlier": long} {
		var got Placement
		if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%s form: %v", what, err)
		}
	}
	for _, raw := range []string{`{"places":"1 0 0"}`, `{"places":"x"}`, `{"places":"1 a b","others":["a"]}`} {
		var got Placement
		if err := json.Unmarshal([]byte(raw), &got); err == nil {
			t.Errorf("%s is read as %+v", raw, got)
		}
	}
}

// Package placement says which stores hold each partition: the types of a
// placement, the planner that computes the next one, and the calls about copies
// between the stores and the control plane.
package placement

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sort"
	"strings"

	"saltreel/internal/membership"
)

// Placement says which stores hold each partition.
type Placement struct {
	Version       int64            `json:"version"`
	Term          int64            `json:"term"`     // of the steward that wrote it
	InitialStores int              `json:"founders"` // how many stores it began with
	Partitions    []Partition      `json:"partitions"`
	Stores        map[string]Store `json:"stores"`
}

// Partition is the place of one partition. A change of primary or backups has a
// new epoch; copies refuse what comes under an older one.
type Partition struct {
	Epoch            int64    `json:"epoch"`
	PreferredPrimary string   `json:"home"`             // the store that leads it when all is well
	PreferredBackups []string `json:"beside,omitempty"` // those that back it up then
	Primary          string   `json:"primary"`
	Backups          []Backup `json:"backups,omitempty"`
}

// Backup is a copy that follows the primary.
type Backup struct {
	Store  string `json:"store"`
	InSync bool   `json:"in-step,omitempty"` // it holds everything and may succeed
}

// Backup finds the place of a store among the backups; -1 if it is none.
func (p Partition) Backup(store string) int {
	return slices.IndexFunc(p.Backups, func(b Backup) bool { return b.Store == store })
}

// Has tells whether a store holds a copy.
func (p Partition) Has(store string) bool { return p.Primary == store || p.Backup(store) >= 0 }

// InStep tells whether there are as many copies as asked for, all in step.
func (p Partition) InSync(backups int) bool {
	return len(p.Backups) >= backups && !slices.ContainsFunc(p.Backups, func(b Backup) bool { return !b.InSync })
}

// without gives the backups but for one store, in a list of its own.
func (p Partition) without(store string) []Backup {
	return slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return b.Store == store })
}

// Store is a storage machine that holds, or may hold, partitions.
type Store struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Disk    string `json:"disk"`             // the identity of the disk: a new one is empty
	Retire  string `json:"retire,omitempty"` // "", active or complete
}

// Clone copies a placement, so that it may be changed.
func (p Placement) Clone() Placement {
	p.Partitions = slices.Clone(p.Partitions)
	for i := range p.Partitions {
		p.Partitions[i].Backups = slices.Clone(p.Partitions[i].Backups)
	}
	p.Stores = maps.Clone(p.Stores)
	return p
}

// Retire states.
const (
	RetireActive   = "active"
	RetireComplete = "complete"
)

// partitionsPerStore is how many partitions a store leads at the first start.
const partitionsPerStore = 4

// StoreStatus is what the steward knows of a store now.
type StoreStatus struct {
	membership.Node
	Alive bool
}

// order lists the stores that partitions belong to, whether up or not.
func (p Placement) order() []string {
	var out []string
	for name, s := range p.Stores {
		if s.Retire == "" {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := p.Stores[out[i]], p.Stores[out[j]]
		return a.Zone < b.Zone || a.Zone == b.Zone && out[i] < out[j]
	})
	return out
}

// Spread is how far copies must lie apart.
type Redundancy struct {
	Backups int // copies beside the primary: the stores that may be lost at once
	Zones   int // zones that may be lost at once
	Regions int
}

// Found makes the first placement.
func Initial(stores map[string]StoreStatus, spread Redundancy) Placement {
	p := Placement{Version: 1, Stores: map[string]Store{}}
	for name, s := range stores {
		p.Stores[name] = Store{Address: s.Address, Zone: s.Zone, Region: s.Region, Disk: s.Disk}
	}
	l := p.layout()
	order := l.order
	p.InitialStores = len(order)
	for i := range partitionsPerStore * len(order) {
		p.Partitions = append(p.Partitions, Partition{Epoch: 1, PreferredPrimary: order[i%len(order)]})
		x := &p.Partitions[i]
		want := p.ideal(l, i, spread)
		x.Primary, x.PreferredBackups = want[0], want[1:]
	}
	p.settleBeside(l, spread)
	for i := range p.Partitions {
		x := &p.Partitions[i]
		for _, b := range x.PreferredBackups {
			x.Backups = append(x.Backups, Backup{b, true})
		}
	}
	return p
}

// settleHomes gives the homes of stores that were retired to others, and a
// store that was added its share; all others stay where they are.
func (p *Placement) settleHomes(order []string) (changed bool) {
	load := map[string]int{}
	for _, x := range p.Partitions {
		load[x.PreferredPrimary]++
	}
	far := p.far
	move := func(i int, to string) {
		load[p.Partitions[i].PreferredPrimary]--
		load[to]++
		p.Partitions[i].PreferredPrimary = to
		changed = true
	}
	if len(order) == 0 {
		return false
	}
	belongs := map[string]bool{}
	for _, name := range order {
		belongs[name] = true
	}
	for i, x := range p.Partitions {
		if belongs[x.PreferredPrimary] {
			continue
		}
		move(i, slices.MinFunc(order, func(a, b string) int {
			return cmp.Or(load[a]-load[b], far(x.PreferredPrimary, a)-far(x.PreferredPrimary, b), strings.Compare(a, b))
		}))
	}
	share := len(p.Partitions) / len(order)
	for _, name := range order {
		for load[name] < share {
			at := -1
			for i, x := range p.Partitions {
				if load[x.PreferredPrimary] > share && (at < 0 || cmp.Or(load[p.Partitions[at].PreferredPrimary]-load[x.PreferredPrimary], far(name, x.PreferredPrimary)-far(name, p.Partitions[at].PreferredPrimary)) < 0) {
					at = i
				}
			}
			if at < 0 {
				break
			}
			move(at, name)
		}
	}
	return changed
}

// far is how far two stores lie apart.
func (p Placement) far(a, b string) int {
	switch x, y := p.Stores[a], p.Stores[b]; {
	case x.Zone == y.Zone:
		return 0
	case x.Region == y.Region:
		return 1
	}
	return 2
}

// reach tells how far the stores of a partition lie from its home, nearest
// first, and over how many zones and regions they lie.
func (p Placement) reach(home string, beside []string) []int {
	var out []int
	zones, regions := map[string]bool{p.Stores[home].Zone: true}, map[string]bool{p.Stores[home].Region: true}
	for _, name := range beside {
		s := p.Stores[name]
		zones[s.Zone], regions[s.Region] = true, true
		out = append(out, p.far(home, name))
	}
	slices.Sort(out)
	return append(out, len(zones), len(regions))
}

// settleBeside keeps the backups of each partition where they are as long as
// they lie as near as may be, and gives a store that was added its share of
// them. What moves is what must, however many stores there are.
func (p *Placement) settleBeside(l *layout, spread Redundancy) (changed bool) {
	load, all := map[string]int{}, 0
	belongs := map[string]bool{}
	for _, name := range l.order {
		belongs[name] = true
	}
	for _, x := range p.Partitions {
		for _, name := range x.PreferredBackups {
			load[name]++
			all++
		}
	}
	for i := range p.Partitions {
		x := &p.Partitions[i]
		ideal := p.ideal(l, i, spread)
		if len(ideal) == 0 {
			return false
		}
		gone := slices.ContainsFunc(x.PreferredBackups, func(name string) bool { return !belongs[name] || name == x.PreferredPrimary })
		if !gone && slices.Equal(p.reach(x.PreferredPrimary, x.PreferredBackups), p.reach(ideal[0], ideal[1:])) {
			continue
		}
		for _, name := range x.PreferredBackups {
			load[name]--
		}
		var beside []string
		for _, pick := range ideal[1:] { // any store of its zone will do as well
			best := ""
			for _, name := range l.order {
				if p.Stores[name].Zone == p.Stores[pick].Zone && name != x.PreferredPrimary && !slices.Contains(beside, name) && (best == "" || load[name] < load[best]) {
					best = name
				}
			}
			beside = append(beside, best)
			load[best]++
		}
		x.PreferredBackups, changed = beside, true
	}
	share := all / max(1, len(l.order))
	for _, name := range l.order {
		for load[name] < share {
			from, at := -1, 0
			for i, x := range p.Partitions {
				if x.PreferredPrimary == name || slices.Contains(x.PreferredBackups, name) {
					continue
				}
				for j, b := range x.PreferredBackups {
					if p.Stores[b].Zone == p.Stores[name].Zone && load[b] > share && (from < 0 || load[b] > load[p.Partitions[from].PreferredBackups[at]]) {
						from, at = i, j
					}
				}
			}
			if from < 0 {
				break
			}
			x := &p.Partitions[from]
			load[x.PreferredBackups[at]]--
			load[name]++
			x.PreferredBackups = slices.Clone(x.PreferredBackups)
			x.PreferredBackups[at], changed = name, true
		}
	}
	return changed
}

// layout is the stores that partitions belong to, and for each of them the
// others by how far they lie from it, worked out once for each that is a home.
type layout struct {
	order  []string
	stores map[string]Store
	around map[string]*around
}

// around is the surroundings of a store.
type around struct {
	at           int // its place in the order
	zone, region []string
	regions      []string // the other regions
	others       map[string][]string
}

func (p Placement) layout() *layout {
	return &layout{p.order(), p.Stores, map[string]*around{}}
}

func (l *layout) of(home string) *around {
	if a := l.around[home]; a != nil {
		return a
	}
	a := &around{at: max(0, slices.Index(l.order, home)), others: map[string][]string{}}
	at := l.stores[l.order[a.at]]
	for i, name := range l.order {
		switch s := l.stores[name]; {
		case i == a.at:
		case s.Zone == at.Zone:
			a.zone = append(a.zone, name)
		case s.Region == at.Region:
			a.region = append(a.region, name)
		default:
			if a.others[s.Region] == nil {
				a.regions = append(a.regions, s.Region)
			}
			a.others[s.Region] = append(a.others[s.Region], name)
		}
	}
	l.around[home] = a
	return a
}

// turn goes round a list once, from a place on; it tells whether to go on.
func turn(list []string, from int, yield func(string) bool) bool {
	for i := range list {
		if !yield(list[(from+i)%len(list)]) {
			return false
		}
	}
	return true
}

// near goes through all stores for partition i: its home, then the others by
// how far they are from it, those equally far in an order that goes round.
func (p Placement) near(l *layout, i int) iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(l.order) == 0 {
			return
		}
		a := l.of(p.Partitions[i].PreferredPrimary)
		k := a.at*partitionsPerStore + i/max(1, p.InitialStores)
		if !yield(l.order[a.at]) || !turn(a.zone, k, yield) || !turn(a.region, k, yield) {
			return
		}
		turn(a.regions, k, func(r string) bool { return turn(a.others[r], k/len(a.regions), yield) })
	}
}

// ideal is where partition i belongs, the primary first. Primaries go round;
// the backups lie as near as what may be lost at once allows, since bytes
// between zones and regions are dear.
func (p Placement) ideal(l *layout, i int, spread Redundancy) (out []string) {
	for len(out) <= spread.Backups {
		var zones, regions []string // those that hold one already
		for _, name := range out {
			s := p.Stores[name]
			if !slices.Contains(zones, s.Zone) {
				zones = append(zones, s.Zone)
			}
			if !slices.Contains(regions, s.Region) {
				regions = append(regions, s.Region)
			}
		}
		left := spread.Backups + 1 - len(out)
		found := ""
		for name := range p.near(l, i) {
			s := p.Stores[name]
			apart := (spread.Regions+1-len(regions) < left || !slices.Contains(regions, s.Region)) && (spread.Zones+1-len(zones) < left || !slices.Contains(zones, s.Zone))
			if !slices.Contains(out, name) && (found == "" || apart) {
				if found = name; apart {
					break
				}
			}
		}
		if found == "" {
			break
		}
		out = append(out, found)
	}
	return out
}

// Plan takes the next step from a placement towards the one wanted: it mends
// first, and only when all is mended it moves partitions to where they belong.
// A copy that is to go stays until the one in its place holds everything.
// Handovers are the partitions whose primary must stop before a backup may
// succeed it; those in ready have stopped.
func Plan(cur Placement, stores map[string]StoreStatus, ready map[int]int64, spread Redundancy) (next Placement, handovers []int, changed bool) {
	next = cur.Clone()
	for name, s := range stores {
		old, known := next.Stores[name]
		if !known && s.Alive && !s.Draining {
			next.Stores[name] = Store{Address: s.Address, Zone: s.Zone, Region: s.Region, Disk: s.Disk}
			changed = true
		} else if known && s.Disk != "" && old.Disk != s.Disk && !Holds(next, name) {
			old.Disk, old.Address = s.Disk, s.Address
			next.Stores[name] = old
			changed = true
		}
	}
	up := func(name string) bool {
		s, ok := stores[name]
		return ok && s.Alive && s.Disk == next.Stores[name].Disk
	}
	usable := func(name string) bool {
		return up(name) && !stores[name].Draining && next.Stores[name].Retire == ""
	}
	l := next.layout()
	changed = next.settleHomes(l.order) || changed
	changed = next.settleBeside(l, spread) || changed
	// wanted is where a partition is to lie as things are, the primary first.
	wanted := func(i int) (out []string) {
		for _, name := range append([]string{next.Partitions[i].PreferredPrimary}, next.Partitions[i].PreferredBackups...) {
			if usable(name) {
				out = append(out, name)
			}
		}
		for name := range next.near(l, i) {
			if len(out) > spread.Backups {
				break
			}
			if usable(name) && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
		return out
	}
	// A store that is to be emptied still takes a copy where there is no other.
	var last []string
	for _, name := range slices.Sorted(maps.Keys(next.Stores)) {
		if up(name) && !stores[name].Draining && next.Stores[name].Retire == RetireActive {
			last = append(last, name)
		}
	}
	mended := true
	for i := range next.Partitions {
		p := &next.Partitions[i]
		alive := slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return !up(b.Store) })
		primary := p.Primary
		if !up(primary) {
			mended = false
			at := slices.IndexFunc(alive, func(b Backup) bool { return b.InSync })
			if at < 0 {
				continue // nobody who holds everything is left: wait for the primary
			}
			primary = alive[at].Store
			alive = slices.Delete(alive, at, at+1)
		}
		var more []string
		if len(alive) < spread.Backups {
			more = append(wanted(i), last...)
		}
		for _, name := range more {
			if len(alive) < spread.Backups && name != primary && !slices.ContainsFunc(alive, func(b Backup) bool { return b.Store == name }) {
				alive = append(alive, Backup{Store: name})
			}
		}
		if primary != p.Primary || !slices.Equal(alive, p.Backups) {
			*p = Partition{Epoch: p.Epoch + 1, PreferredPrimary: p.PreferredPrimary, PreferredBackups: p.PreferredBackups, Primary: primary, Backups: alive}
			changed = true
		}
		mended = mended && p.InSync(spread.Backups)
	}
	for i := range next.Partitions {
		p := &next.Partitions[i]
		want := wanted(i)
		if !p.InSync(0) || len(want) == 0 || !up(p.Primary) {
			continue
		}
		leaving := !usable(p.Primary)
		heir := ""
		switch {
		case leaving:
			if at := slices.IndexFunc(p.Backups, func(b Backup) bool { return usable(b.Store) }); at >= 0 {
				heir = p.Backups[at].Store
			}
		case mended && p.Primary != want[0] && p.Backup(want[0]) >= 0:
			heir = want[0]
		}
		if heir != "" { // the primary stops first
			if ready[i] == p.Epoch {
				*p = Partition{Epoch: p.Epoch + 1, PreferredPrimary: p.PreferredPrimary, PreferredBackups: p.PreferredBackups, Primary: heir, Backups: append(p.without(heir), Backup{p.Primary, true})}
				changed = true
			} else {
				handovers = append(handovers, i)
			}
			continue
		}
		urgent := leaving || slices.ContainsFunc(p.Backups, func(b Backup) bool { return !usable(b.Store) })
		if !mended && !urgent {
			continue
		}
		var missing []Backup
		for _, name := range want {
			if !p.Has(name) {
				missing = append(missing, Backup{Store: name})
			}
		}
		if len(missing) > 0 {
			*p = Partition{Epoch: p.Epoch + 1, PreferredPrimary: p.PreferredPrimary, PreferredBackups: p.PreferredBackups, Primary: p.Primary, Backups: append(slices.Clone(p.Backups), missing...)}
			changed = true
			continue
		}
		keep := slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return !slices.Contains(want, b.Store) })
		if len(keep) < len(p.Backups) && len(keep) >= spread.Backups && slices.Contains(want, p.Primary) {
			*p = Partition{Epoch: p.Epoch + 1, PreferredPrimary: p.PreferredPrimary, PreferredBackups: p.PreferredBackups, Primary: p.Primary, Backups: keep}
			changed = true
		}
	}
	for name, s := range next.Stores {
		if s.Retire == RetireActive && !Holds(next, name) {
			s.Retire = RetireComplete
			next.Stores[name] = s
			changed = true
		}
	}
	if changed {
		next.Version++
	}
	return next, handovers, changed
}

// holds tells whether a store has any partition.
func Holds(p Placement, name string) bool {
	for _, x := range p.Partitions {
		if x.Has(name) {
			return true
		}
	}
	return false
}

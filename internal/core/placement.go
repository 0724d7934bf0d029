package core

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"

	"saltreel/internal/relay"
)

// Placement says which stores hold each partition.
type Placement struct {
	Version    int64            `json:"version"`
	Term       int64            `json:"term"`     // of the steward that wrote it
	Founders   int              `json:"founders"` // how many stores it began with
	Partitions []Partition      `json:"partitions"`
	Stores     map[string]Store `json:"stores"`
}

// Partition is the place of one partition. A change of primary or backups has a
// new epoch; copies refuse what comes under an older one.
type Partition struct {
	Epoch   int64    `json:"epoch"`
	Home    string   `json:"home"` // the store that leads it when all is well
	Primary string   `json:"primary"`
	Backups []Backup `json:"backups,omitempty"`
}

// Backup is a copy that follows the primary.
type Backup struct {
	Store  string `json:"store"`
	InStep bool   `json:"in-step,omitempty"` // it holds everything and may succeed
}

// Backup finds the place of a store among the backups; -1 if it is none.
func (p Partition) Backup(store string) int {
	return slices.IndexFunc(p.Backups, func(b Backup) bool { return b.Store == store })
}

// Has tells whether a store holds a copy.
func (p Partition) Has(store string) bool { return p.Primary == store || p.Backup(store) >= 0 }

// InStep tells whether there are as many copies as asked for, all in step.
func (p Partition) InStep(backups int) bool {
	return len(p.Backups) >= backups && !slices.ContainsFunc(p.Backups, func(b Backup) bool { return !b.InStep })
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
	relay.Node
	Up bool
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
type Spread struct {
	Backups int // copies beside the primary: the stores that may be lost at once
	Zones   int // zones that may be lost at once
	Regions int
}

// Found makes the first placement.
func Found(stores map[string]StoreStatus, spread Spread) Placement {
	p := Placement{Version: 1, Stores: map[string]Store{}}
	for name, s := range stores {
		p.Stores[name] = Store{Address: s.Address, Zone: s.Zone, Region: s.Region, Disk: s.Disk}
	}
	order := p.order()
	p.Founders = len(order)
	for i := range partitionsPerStore * len(order) {
		p.Partitions = append(p.Partitions, Partition{Epoch: 1, Home: order[i%len(order)]})
		x := &p.Partitions[i]
		want := p.ideal(order, i, spread)
		x.Primary = want[0]
		for _, b := range want[1:] {
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
		load[x.Home]++
	}
	far := func(a, b string) int {
		switch x, y := p.Stores[a], p.Stores[b]; {
		case x.Zone == y.Zone:
			return 0
		case x.Region == y.Region:
			return 1
		}
		return 2
	}
	move := func(i int, to string) {
		load[p.Partitions[i].Home]--
		load[to]++
		p.Partitions[i].Home = to
		changed = true
	}
	if len(order) == 0 {
		return false
	}
	for i, x := range p.Partitions {
		if slices.Contains(order, x.Home) {
			continue
		}
		move(i, slices.MinFunc(order, func(a, b string) int {
			return cmp.Or(load[a]-load[b], far(x.Home, a)-far(x.Home, b), strings.Compare(a, b))
		}))
	}
	share := len(p.Partitions) / len(order)
	for _, name := range order {
		for load[name] < share {
			at := -1
			for i, x := range p.Partitions {
				if load[x.Home] > share && (at < 0 || cmp.Or(load[p.Partitions[at].Home]-load[x.Home], far(name, x.Home)-far(name, p.Partitions[at].Home)) < 0) {
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

// ideal is where partition i belongs, the primary first. Primaries go round;
// the backups lie as near as what may be lost at once allows, since bytes
// between zones and regions are dear.
func (p Placement) ideal(order []string, i int, spread Spread) []string {
	n := len(order)
	if n == 0 {
		return nil
	}
	ranked := p.near(order, i)
	out := ranked[:1]
	for len(out) <= spread.Backups {
		zones, regions := map[string]bool{}, map[string]bool{}
		for _, name := range out {
			zones[p.Stores[name].Zone], regions[p.Stores[name].Region] = true, true
		}
		left := spread.Backups + 1 - len(out)
		at := -1
		for j, name := range ranked {
			s := p.Stores[name]
			apart := (spread.Regions+1-len(regions) < left || !regions[s.Region]) && (spread.Zones+1-len(zones) < left || !zones[s.Zone])
			if !slices.Contains(out, name) && (at < 0 || apart) {
				if at = j; apart {
					break
				}
			}
		}
		if at < 0 {
			break
		}
		out = append(slices.Clone(out), ranked[at])
	}
	return out
}

// near lists all stores for partition i: its primary, then the others by how
// far they are from it, those equally far in an order that goes round.
func (p Placement) near(order []string, i int) []string {
	at := max(0, slices.Index(order, p.Partitions[i].Home))
	if len(order) == 0 {
		return nil
	}
	out := []string{order[at]}
	home := p.Stores[out[0]]
	turn := func(list []string, by int) []string {
		if len(list) == 0 {
			return nil
		}
		k := by % len(list)
		return append(slices.Clone(list[k:]), list[:k]...)
	}
	var zone, region, regions []string
	others := map[string][]string{}
	for _, name := range order {
		switch s := p.Stores[name]; {
		case name == out[0]:
		case s.Zone == home.Zone:
			zone = append(zone, name)
		case s.Region == home.Region:
			region = append(region, name)
		default:
			if others[s.Region] == nil {
				regions = append(regions, s.Region)
			}
			others[s.Region] = append(others[s.Region], name)
		}
	}
	k := at*partitionsPerStore + i/max(1, p.Founders)
	out = append(append(out, turn(zone, k)...), turn(region, k)...)
	for _, r := range turn(regions, k) {
		out = append(out, turn(others[r], k/max(1, len(regions)))...)
	}
	return out
}

// Plan takes the next step from a placement towards the one wanted: it mends
// first, and only when all is mended it moves partitions to where they belong.
// A copy that is to go stays until the one in its place holds everything.
// Handovers are the partitions whose primary must stop before a backup may
// succeed it; those in ready have stopped.
func Plan(cur Placement, stores map[string]StoreStatus, ready map[int]int64, spread Spread) (next Placement, handovers []int, changed bool) {
	next = cur.Clone()
	for name, s := range stores {
		old, known := next.Stores[name]
		if !known && s.Up && !s.Leaving {
			next.Stores[name] = Store{Address: s.Address, Zone: s.Zone, Region: s.Region, Disk: s.Disk}
			changed = true
		} else if known && s.Disk != "" && old.Disk != s.Disk && !holds(next, name) {
			old.Disk, old.Address = s.Disk, s.Address
			next.Stores[name] = old
			changed = true
		}
	}
	up := func(name string) bool {
		s, ok := stores[name]
		return ok && s.Up && s.Disk == next.Stores[name].Disk
	}
	usable := func(name string) bool {
		return up(name) && !stores[name].Leaving && next.Stores[name].Retire == ""
	}
	order := next.order()
	changed = next.settleHomes(order) || changed
	// wanted is where a partition is to lie as things are, the primary first.
	wanted := func(i int) []string {
		if len(order) == 0 {
			return nil
		}
		var out []string
		for _, name := range append(next.ideal(order, i, spread), next.near(order, i)...) {
			if len(out) <= spread.Backups && usable(name) && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
		return out
	}
	// A store that is to be emptied still takes a copy where there is no other.
	var last []string
	for _, name := range slices.Sorted(maps.Keys(next.Stores)) {
		if up(name) && !stores[name].Leaving && next.Stores[name].Retire == RetireActive {
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
			at := slices.IndexFunc(alive, func(b Backup) bool { return b.InStep })
			if at < 0 {
				continue // nobody who holds everything is left: wait for the primary
			}
			primary = alive[at].Store
			alive = slices.Delete(alive, at, at+1)
		}
		for _, name := range append(wanted(i), last...) {
			if len(alive) < spread.Backups && name != primary && !slices.ContainsFunc(alive, func(b Backup) bool { return b.Store == name }) {
				alive = append(alive, Backup{Store: name})
			}
		}
		if primary != p.Primary || !slices.Equal(alive, p.Backups) {
			*p = Partition{Epoch: p.Epoch + 1, Home: p.Home, Primary: primary, Backups: alive}
			changed = true
		}
		mended = mended && p.InStep(spread.Backups)
	}
	for i := range next.Partitions {
		p := &next.Partitions[i]
		want := wanted(i)
		if !p.InStep(0) || len(want) == 0 || !up(p.Primary) {
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
				*p = Partition{Epoch: p.Epoch + 1, Home: p.Home, Primary: heir, Backups: append(p.without(heir), Backup{p.Primary, true})}
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
			*p = Partition{Epoch: p.Epoch + 1, Home: p.Home, Primary: p.Primary, Backups: append(slices.Clone(p.Backups), missing...)}
			changed = true
			continue
		}
		keep := slices.DeleteFunc(slices.Clone(p.Backups), func(b Backup) bool { return !slices.Contains(want, b.Store) })
		if len(keep) < len(p.Backups) && len(keep) >= spread.Backups && slices.Contains(want, p.Primary) {
			*p = Partition{Epoch: p.Epoch + 1, Home: p.Home, Primary: p.Primary, Backups: keep}
			changed = true
		}
	}
	for name, s := range next.Stores {
		if s.Retire == RetireActive && !holds(next, name) {
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
func holds(p Placement, name string) bool {
	for _, x := range p.Partitions {
		if x.Has(name) {
			return true
		}
	}
	return false
}

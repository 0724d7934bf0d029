package core

import (
	"maps"
	"slices"
	"sort"

	"saltreel/internal/relay"
)

// Placement says which stores hold each partition.
type Placement struct {
	Version    int64            `json:"version"`
	Term       int64            `json:"term"` // of the steward that wrote it
	Partitions []Partition      `json:"partitions"`
	Stores     map[string]Store `json:"stores"`
}

// Partition is the place of one partition. A change of primary or backup has a
// new epoch; copies refuse what comes under an older one.
type Partition struct {
	Epoch   int64  `json:"epoch"`
	Primary string `json:"primary"`
	Backup  string `json:"backup,omitempty"`
	InStep  bool   `json:"in-step,omitempty"` // the backup holds everything and may succeed
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

// Found makes the first placement.
func Found(stores map[string]StoreStatus) Placement {
	p := Placement{Version: 1, Stores: map[string]Store{}}
	for name, s := range stores {
		p.Stores[name] = Store{Address: s.Address, Zone: s.Zone, Region: s.Region, Disk: s.Disk}
	}
	order := p.order()
	for i := range partitionsPerStore * len(order) {
		primary, backup := ideal(order, i)
		p.Partitions = append(p.Partitions, Partition{Epoch: 1, Primary: primary, Backup: backup, InStep: true})
	}
	return p
}

// ideal is where partition i belongs: primaries and backups in turn.
func ideal(order []string, i int) (primary, backup string) {
	n := len(order)
	if n == 0 {
		return "", ""
	}
	if n == 1 {
		return order[0], ""
	}
	return order[i%n], order[(i%n+1+(i/n)%(n-1))%n]
}

// Plan takes the next step from a placement towards the one wanted: it mends
// first, and only when all is mended it moves partitions to where they belong.
// Handovers are the partitions whose primary must stop before its backup may
// succeed it; those in ready have stopped.
func Plan(cur Placement, stores map[string]StoreStatus, ready map[int]int64) (next Placement, handovers []int, changed bool) {
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
	pick := func(i int, not string) string {
		primary, backup := ideal(order, i)
		for _, name := range append([]string{primary, backup}, order...) {
			if name != "" && name != not && usable(name) {
				return name
			}
		}
		return ""
	}
	mended := true
	for i := range next.Partitions {
		p := &next.Partitions[i]
		switch {
		case !up(p.Primary):
			mended = false
			if p.InStep && up(p.Backup) {
				*p = Partition{Epoch: p.Epoch + 1, Primary: p.Backup, Backup: pick(i, p.Backup)}
				changed = true
			}
		case p.Backup == "" || !up(p.Backup):
			if b := pick(i, p.Primary); b != p.Backup {
				*p = Partition{Epoch: p.Epoch + 1, Primary: p.Primary, Backup: b}
				changed = true
			}
			mended = mended && p.Backup != ""
		case !p.InStep:
			mended = false
		}
	}
	for i := range next.Partitions {
		p := &next.Partitions[i]
		if !p.InStep || !up(p.Primary) || !up(p.Backup) {
			continue
		}
		primary, backup := ideal(order, i)
		leaving := !usable(p.Primary)
		switch {
		case leaving && usable(p.Backup), mended && p.Backup == primary && usable(primary):
			// The backup is to lead: the primary stops first.
			if ready[i] == p.Epoch {
				*p = Partition{Epoch: p.Epoch + 1, Primary: p.Backup, Backup: p.Primary, InStep: true}
				changed = true
			} else {
				handovers = append(handovers, i)
			}
		case !usable(p.Backup):
			if b := pick(i, p.Primary); b != "" {
				*p = Partition{Epoch: p.Epoch + 1, Primary: p.Primary, Backup: b}
				changed = true
			}
		case mended && p.Primary != primary && usable(primary):
			*p = Partition{Epoch: p.Epoch + 1, Primary: p.Primary, Backup: primary}
			changed = true
		case mended && p.Primary == primary && p.Backup != backup && usable(backup):
			*p = Partition{Epoch: p.Epoch + 1, Primary: p.Primary, Backup: backup}
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
		if x.Primary == name || x.Backup == name {
			return true
		}
	}
	return false
}

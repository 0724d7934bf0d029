package distribution

import (
	"cmp"
	"slices"

	"saltreel/internal/membership"
	"saltreel/internal/ring"
)

// fanOut is the maximum number of children of a node in the tree of its zone.
const fanOut = 3

// parents returns the addresses that a node may poll, in order of preference: its
// parent in the tree of its zone, then the cores of its zone, then the other cores and
// the seeds not known from events. All nodes of a zone derive the same tree from the
// same members; the root polls the cores.
func parents(self membership.Node, nodes map[string]membership.Node, seeds []string) []string {
	candidates := orderedCores(self, nodes, seeds)
	if parent, ok := treeParent(zoneMembers(self, nodes), self.Name); ok {
		return slices.Insert(candidates, 0, parent.Address)
	}
	return candidates
}

// orderedCores returns the cores of the node's zone, then all others.
func orderedCores(self membership.Node, nodes map[string]membership.Node, seeds []string) []string {
	var sameZone, otherZones []string
	known := map[string]bool{}
	for _, n := range nodes {
		if n.Role != roleCore {
			continue
		}
		known[n.Address] = true
		if n.Zone == self.Zone {
			sameZone = append(sameZone, n.Address)
		} else {
			otherZones = append(otherZones, n.Address)
		}
	}
	slices.Sort(sameZone)
	slices.Sort(otherZones)
	for _, seed := range seeds {
		if !known[seed] {
			otherZones = append(otherZones, seed)
		}
	}
	return slices.Concat(rotate(sameZone, self.Name), rotate(otherZones, self.Name))
}

// rotate rotates a list by an offset that depends only on the node's name. This
// spreads the nodes over the cores, and each node returns to the same core. That
// matters because a change of the parent transfers all events by which the two
// journals differ.
func rotate(list []string, name string) []string {
	if len(list) < 2 {
		return list
	}
	start := int(ring.Hash(name) % uint64(len(list)))
	return slices.Concat(list[start:], list[:start])
}

// zoneMembers returns the members of the tree of the node's zone, including the node,
// starting at the root. Stores come first, since their events are the most urgent.
func zoneMembers(self membership.Node, nodes map[string]membership.Node) []membership.Node {
	members := []membership.Node{self}
	for _, n := range nodes {
		if n.Role != roleCore && n.Zone == self.Zone && n.Name != self.Name && !n.Draining {
			members = append(members, n)
		}
	}
	rank := func(n membership.Node) int {
		if n.Role == roleStore {
			return 0
		}
		return 1
	}
	slices.SortFunc(members, func(a, b membership.Node) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return members
}

// treeParent returns the parent of a node in the tree whose members are listed level
// by level; the root has none.
func treeParent(members []membership.Node, name string) (membership.Node, bool) {
	i := slices.IndexFunc(members, func(n membership.Node) bool { return n.Name == name })
	if i <= 0 {
		return membership.Node{}, false
	}
	return members[(i-1)/fanOut], true
}

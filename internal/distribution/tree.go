package distribution

import (
	"cmp"
	"slices"

	"saltreel/internal/membership"
	"saltreel/internal/ring"
)

// fanOut is how many children a node has in the tree of its zone.
const fanOut = 3

// parents orders the addresses that a node may follow: its parent in the tree
// of its zone, then the cores of its zone, then the other cores and those seeds
// that no event named. The nodes of a zone derive the same tree from the same
// members; the node at its root has no parent but the cores.
func parents(self membership.Node, nodes map[string]membership.Node, seeds []string) []string {
	candidates := orderedCores(self, nodes, seeds)
	if parent, ok := treeParent(zoneMembers(self, nodes), self.Name); ok {
		return slices.Insert(candidates, 0, parent.Address)
	}
	return candidates
}

// orderedCores lists the cores of the node's zone, then all others.
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

// rotate starts a list at a place that depends on the node's name only. So nodes
// spread over the cores, and each returns to the same one: a change of the
// parent transfers everything that the two journals do not have in common.
func rotate(list []string, name string) []string {
	if len(list) < 2 {
		return list
	}
	start := int(ring.Hash(name) % uint64(len(list)))
	return slices.Concat(list[start:], list[:start])
}

// zoneMembers are the node and the others of its zone that form its tree, from
// the root on. Stores come first, since they need events soonest.
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

// treeParent is the parent of a node in the tree of which the members are listed
// level by level; the root has none.
func treeParent(members []membership.Node, name string) (membership.Node, bool) {
	i := slices.IndexFunc(members, func(n membership.Node) bool { return n.Name == name })
	if i <= 0 {
		return membership.Node{}, false
	}
	return members[(i-1)/fanOut], true
}

package distribution

import (
	"fmt"
	"slices"
	"testing"

	"saltreel/internal/membership"
)

func TestParentsOfANode(t *testing.T) {
	core := func(name, zone string) membership.Node {
		return membership.Node{Name: name, Role: roleCore, Address: name + ":1", Zone: zone}
	}
	node := func(name, role, zone string) membership.Node {
		return membership.Node{Name: name, Role: role, Address: name + ":1", Zone: zone}
	}
	draining := node("store-0", roleStore, "a")
	draining.Draining = true
	stores := []membership.Node{node("store-1", roleStore, "a"), node("store-2", roleStore, "a"), node("store-3", roleStore, "a"), node("store-4", roleStore, "a"), node("store-5", roleStore, "a")}
	for name, c := range map[string]struct {
		self  membership.Node
		nodes []membership.Node
		seeds []string
		want  []string
	}{
		"nothing is known":                 {stores[0], nil, nil, nil},
		"seeds only":                       {stores[0], nil, []string{"seed:1"}, []string{"seed:1"}},
		"a seed that an event named":       {stores[0], []membership.Node{core("core-b", "b")}, []string{"core-b:1"}, []string{"core-b:1"}},
		"the core of the zone comes first": {stores[0], []membership.Node{core("core-b", "b"), core("core-a", "a")}, nil, []string{"core-a:1", "core-b:1"}},
		"the root follows a core":          {stores[0], append(slices.Clone(stores), core("core-a", "a")), nil, []string{"core-a:1"}},
		"the first level follows the root": {stores[3], append(slices.Clone(stores), core("core-a", "a")), nil, []string{"store-1:1", "core-a:1"}},
		"the second level":                 {stores[4], append(slices.Clone(stores), core("core-a", "a")), nil, []string{"store-2:1", "core-a:1"}},
		"an edge comes after the stores":   {node("edge-0", roleEdge, "a"), stores[:1], nil, []string{"store-1:1"}},
		"another zone is no parent":        {node("edge-0", roleEdge, "b"), stores, nil, nil},
		"a draining node is no parent":     {stores[0], []membership.Node{draining}, nil, nil},
	} {
		nodes := map[string]membership.Node{}
		for _, n := range c.nodes {
			nodes[n.Name] = n
		}
		got := parents(c.self, nodes, c.seeds)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, not %v", name, got, c.want)
		}
	}
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	var members []membership.Node
	for i := range 50 {
		members = append(members, membership.Node{Name: fmt.Sprint(i)})
	}
	children := map[string]int{}
	for i, n := range members {
		parent, ok := treeParent(members, n.Name)
		if ok != (i > 0) {
			t.Errorf("member %d has a parent: %v", i, ok)
		}
		if ok && slices.IndexFunc(members, func(m membership.Node) bool { return m.Name == parent.Name }) >= i {
			t.Errorf("the parent of member %d stands behind it", i)
		}
		if children[parent.Name]++; ok && children[parent.Name] > fanOut {
			t.Errorf("%s has more than %d children", parent.Name, fanOut)
		}
	}
	if _, ok := treeParent(members, "unknown"); ok {
		t.Error("an unknown node has a parent")
	}
}

// If a zone has several cores, the root of its tree must not alternate between them.
func TestCoreOfTheZoneIsChosenConsistently(t *testing.T) {
	self := membership.Node{Name: "store-1", Role: roleStore, Zone: "a"}
	nodes := map[string]membership.Node{}
	for i := range 4 {
		name := fmt.Sprint("core-", i)
		nodes[name] = membership.Node{Name: name, Role: roleCore, Address: name + ":1", Zone: "a"}
	}
	first := parents(self, nodes, nil)
	for range 50 {
		if got := parents(self, nodes, nil); !slices.Equal(got, first) {
			t.Fatalf("%v, then %v", first, got)
		}
	}
}

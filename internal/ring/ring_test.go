package ring

import (
	"fmt"
	"slices"
	"testing"
)

// Nodes of different versions must agree on the positions, so they must not change.
func TestHashIsStable(t *testing.T) {
	for _, c := range []struct {
		parts []string
		hash  uint64
	}{
		{nil, 0xecba3df2c3383c52},
		{[]string{"store-1"}, 0xb9833c865b3c530e},
		{[]string{"a", "bc"}, 0xfdefb95a439ddeb6},
		{[]string{"ab", "c"}, 0x2f3cb174e5aed850},
	} {
		if got := Hash(c.parts...); got != c.hash {
			t.Errorf("%q: %#x, not %#x", c.parts, got, c.hash)
		}
	}
}

func TestWatchersFollowOnTheRing(t *testing.T) {
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("node-", i))
	}
	given := slices.Clone(all)
	order := slices.SortedFunc(slices.Values(all), func(a, b string) int {
		if Hash(a) < Hash(b) {
			return -1
		}
		return 1
	})
	for i, name := range order {
		want := []string{order[(i+1)%20], order[(i+2)%20], order[(i+3)%20]}
		if got := Watchers(name, all, 3); !slices.Equal(got, want) {
			t.Errorf("%s: %v, not %v", name, got, want)
		}
	}
	if !slices.Equal(all, given) {
		t.Errorf("Watchers reordered its input: %v", all)
	}
	if got := Watchers("node-0", all[:2], 3); !slices.Equal(got, []string{"node-1"}) {
		t.Errorf("two nodes: watchers of node-0 are %v", got)
	}
	if got := Watchers("other", all[:1], 3); !slices.Equal(got, []string{"node-0"}) {
		t.Errorf("watchers of a node that is not on the ring: %v", got)
	}
	if got := Watchers("node-0", nil, 3); len(got) != 0 {
		t.Errorf("empty ring: %v", got)
	}
}

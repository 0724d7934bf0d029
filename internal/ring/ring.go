// Package ring assigns to each node the nodes that watch it: all nodes have a
// position on a ring by the hash of their name (consistent hashing, Karger et
// al., STOC 1997), and the next few after a node are its watchers. So every node
// knows the watchers of every other, and a node that joins or fails changes those
// of its neighbors only.
package ring

import (
	"hash/fnv"
	"sort"
)

// Hash returns the position of a name, which may consist of several parts, on
// the ring. Programs of different versions must agree on it.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	// The high bits of FNV hardly differ for short names. This is a step of
	// the finalizer of MurmurHash3, which mixes the low bits into them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Watchers returns the n nodes that follow a node on the ring of all names, or
// as many as there are. The node itself need not be among them.
func Watchers(name string, all []string, n int) []string {
	order := append([]string(nil), all...)
	sort.Slice(order, func(i, j int) bool { return Hash(order[i]) < Hash(order[j]) })
	var watchers []string
	first := sort.Search(len(order), func(i int) bool { return Hash(order[i]) > Hash(name) })
	for i := 0; i < len(order) && len(watchers) < n; i++ {
		if watcher := order[(first+i)%len(order)]; watcher != name {
			watchers = append(watchers, watcher)
		}
	}
	return watchers
}

// Package ring selects the watchers of each node by consistent hashing (Karger et
// al., STOC 1997): all nodes have a position on a ring, given by the hash of their
// name, and the next few nodes on the ring are the watchers of a node. Every node can
// therefore compute the watchers of every other one, and a node that joins or fails
// affects only the watchers of its neighbors.
package ring

import (
	"hash/fnv"
	"sort"
)

// Hash returns the position on the ring of a name, which may consist of several parts.
// It must not change between versions: nodes of different versions must agree on it.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	// FNV-1a barely changes the high bits for short inputs. Part of the MurmurHash3
	// finalizer mixes the low bits into them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Watchers returns the n nodes that follow a node on the ring of all names, or all
// other nodes if there are fewer. The node itself need not be on the ring.
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

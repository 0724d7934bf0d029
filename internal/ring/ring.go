// Package ring owns the order in which nodes watch each other: each node has
// a place on a ring, and the next few nodes behind it are its watchers.
package ring

import (
	"hash/fnv"
	"sort"
)

// Hash is the place of a name on the ring.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV leaves the high bits of short names alike; mix them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Watchers names the n nodes that follow name on the ring of all names.
func Watchers(name string, all []string, n int) []string {
	order := append([]string(nil), all...)
	sort.Slice(order, func(i, j int) bool { return Hash(order[i]) < Hash(order[j]) })
	var out []string
	at := sort.Search(len(order), func(i int) bool { return Hash(order[i]) > Hash(name) })
	for i := 0; i < len(order) && len(out) < n; i++ {
		if w := order[(at+i)%len(order)]; w != name {
			out = append(out, w)
		}
	}
	return out
}

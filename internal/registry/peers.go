package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
)

// KnownCores are the other cores whose heartbeats are recent, by address.
func (r *Registry) KnownCores() []chain.Member {
	var out []chain.Member
	for _, n := range r.otherCores() {
		if n.Disk != "" && n.Age < r.timing.coreRecency() {
			out = append(out, chain.Member{Address: n.Address, Disk: n.Disk})
		}
	}
	slices.SortFunc(out, func(a, b chain.Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Peers are the internal addresses of the other cores: the voters,
// the known cores, and the seeds as long as the registry is not loaded.
func (r *Registry) Peers() []string {
	all := r.config.Chain.Voters()
	for _, m := range r.KnownCores() {
		all = append(all, m.Address)
	}
	if len(all) == 0 || !r.completeness.isLoaded() {
		all = append(all, r.config.Seeds()...)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(p string) bool { return p == r.config.Address })
}

func (r *Registry) otherCores() []NodeStatus {
	var out []NodeStatus
	for _, n := range r.table.nodes() {
		if n.Role == "core" && n.Address != r.config.Address {
			out = append(out, n)
		}
	}
	return out
}

// SessionStart is when an instance began to send its heartbeats to this core.
func (r *Registry) SessionStart(instance string) time.Time {
	return r.table.sessionStart(distribution.PrefixInstance + instance)
}

// coreCache is the list of the other cores as it was a moment ago.
type coreCache struct {
	mu       sync.Mutex
	cores    []NodeStatus
	listedAt time.Time
}

// CachedCores are the other cores as they were a moment ago; the ages are of
// then. It costs little: each heartbeat of a handler asks for them, and a list of
// all nodes goes through all handlers. The result must not be changed.
func (r *Registry) CachedCores() []NodeStatus {
	r.cores.mu.Lock()
	list, current := r.cores.cores, time.Since(r.cores.listedAt) < r.timing.coreCacheAge()
	r.cores.mu.Unlock()
	if current {
		return list
	}
	list = r.otherCores()
	r.cores.mu.Lock()
	defer r.cores.mu.Unlock()
	r.cores.cores = list
	r.cores.listedAt = time.Now()
	return list
}

package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
)

// KnownCores returns the other cores whose heartbeats are recent, sorted by address.
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

// Peers returns the internal addresses of the other cores: the voters, the known
// cores, and the seeds while the registry is not loaded or no voter or other core is
// known.
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

// SessionStart returns the time of the first heartbeat in the instance's current
// session with this core, or the zero time if there is none.
func (r *Registry) SessionStart(instance string) time.Time {
	return r.table.sessionStart(distribution.PrefixInstance + instance)
}

// coreCache caches the list of the other cores.
type coreCache struct {
	mu       sync.Mutex
	cores    []NodeStatus
	listedAt time.Time
}

// CachedCores returns the other cores from a cache that is at most coreCacheAge old;
// their ages are as of the time when the list was built. It is cheap enough to be
// called for each heartbeat of a handler, whereas building the list scans all records.
// The caller must not modify the result.
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

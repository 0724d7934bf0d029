package edge

import (
	"saltreel/internal/configuration"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/ring"
	"saltreel/internal/settings"
)

// Tiers of the candidate partitions of a message, most preferred first.
const (
	tierZone            = iota // the primary is in the edge's zone
	tierRegion                 // ... in its region
	tierRemote                 // ... elsewhere
	tierUnderReplicated        // backups are missing, so the primary declines messages for now
	tierCount
)

// candidatePartitions lists the partitions that may store a message, the nearest
// tier first. Within a tier the order starts at a partition derived from the message
// ID, so that an edge distributes its messages over all of them. If a single node has
// to pace the service or to order the key, the partition that the name of the service or
// the key hashes to is the only candidate. The list is empty if there are no partitions.
func candidatePartitions(p *placement.Placement, set *settings.Settings, route *configuration.Route, service *configuration.Service, r *partition.Record) []int {
	n := uint64(len(p.Partitions))
	if n == 0 {
		return nil
	}
	if service != nil && service.RatePerS > 0 {
		return []int{int(ring.Hash("service", service.Name) % n)}
	}
	if route.OrdersByKey() && r.OrderKey != "" {
		return []int{int(ring.Hash("order", r.Tenant, r.OrderKey) % n)}
	}
	first := int(ring.Hash(r.ID) % n)
	var byTier [tierCount][]int
	for i := range p.Partitions {
		candidate := (first + i) % len(p.Partitions)
		tier := tierOf(p, candidate, set)
		byTier[tier] = append(byTier[tier], candidate)
	}
	ordered := byTier[tierZone]
	for _, further := range byTier[tierZone+1:] {
		ordered = append(ordered, further...)
	}
	return ordered
}

// tierOf returns the tier of a partition for an edge with the given settings.
func tierOf(p *placement.Placement, candidate int, set *settings.Settings) int {
	assigned := &p.Partitions[candidate]
	if len(assigned.Backups) < int(set.FaultTolerance.HostFailures) {
		return tierUnderReplicated
	}
	primary := p.Stores[assigned.Primary]
	switch {
	case primary.Zone == set.Zone:
		return tierZone
	case primary.Region == set.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// allDeclined reports whether every store that is primary of a candidate is also
// primary of a partition that declined, so that no store is left to try.
func allDeclined(p *placement.Placement, declined map[int]bool, candidates []int) bool {
	stores := map[string]bool{}
	for i := range declined {
		stores[p.Partitions[i].Primary] = true
	}
	for _, candidate := range candidates {
		if !stores[p.Partitions[candidate].Primary] {
			return false
		}
	}
	return true
}

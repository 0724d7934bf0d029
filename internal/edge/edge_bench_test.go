package edge

import (
	"fmt"
	"testing"

	"saltreel/internal/configuration"
	"saltreel/internal/membership"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/settings"
)

// BenchmarkCandidates orders the partitions that may take one message.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{6, 18, 60, 133} {
		b.Run(fmt.Sprintf("stores=%d", n), func(b *testing.B) {
			stores := map[string]placement.StoreStatus{}
			for i := range n {
				name := fmt.Sprintf("store-zone-%d-%d", i%9, i)
				stores[name] = placement.StoreStatus{Alive: true, Node: membership.Node{Name: name, Role: "store", Zone: fmt.Sprintf("zone-%d", i%9), Region: fmt.Sprintf("region-%d", i%3)}}
			}
			p := placement.Initial(stores, placement.Redundancy{Backups: 2})
			e := &Edge{set: &settings.Settings{Zone: "zone-1", Region: "region-1", FaultTolerance: &settings.FaultTolerance{HostFailures: 2}}}
			r := &partition.Record{ID: "attempt-000000000017", Tenant: "one"}
			b.ReportAllocs()
			for b.Loop() {
				e.candidates(&p, &configuration.Route{}, nil, r)
			}
		})
	}
}

package placement

import (
	"encoding/json"
	"fmt"
	"testing"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// benchmarkStores returns n available stores in nine zones of three regions.
func benchmarkStores(n int) map[string]StoreStatus {
	stores := map[string]StoreStatus{}
	for i := range n {
		name := fmt.Sprintf("store-zone-%d-%d", i%9, i)
		stores[name] = StoreStatus{Alive: true, Node: membership.Node{
			Name:    name,
			Role:    "store",
			Address: fmt.Sprintf("10.%d.0.%d:7100", i%9, i),
			Zone:    fmt.Sprintf("zone-%d", i%9),
			Region:  fmt.Sprintf("region-%d", i%3),
			Disk:    fmt.Sprintf("DISKDISKDISKDISKDISK%06d", i),
		}}
	}
	return stores
}

var storeSizes = []int{6, 18, 60, 133}

func BenchmarkPlacement(b *testing.B) {
	for _, n := range storeSizes {
		p := Initial(benchmarkStores(n), twoBackups)
		raw := journal.Encode(p)
		b.Run(fmt.Sprintf("encode/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				journal.Encode(p)
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		b.Run(fmt.Sprintf("decode/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var out Placement
				if err := json.Unmarshal(raw, &out); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlan measures a plan without any change and a plan after the loss of a store.
func BenchmarkPlan(b *testing.B) {
	for _, n := range storeSizes {
		stores := benchmarkStores(n)
		p := Initial(stores, twoBackups)
		b.Run(fmt.Sprintf("calm/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), stores, nil, twoBackups)
			}
		})
		lost := benchmarkStores(n)
		for name := range lost {
			setStatus(lost, name, func(s *StoreStatus) { s.Alive = false })
			break
		}
		b.Run(fmt.Sprintf("lost/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), lost, nil, twoBackups)
			}
		})
	}
}

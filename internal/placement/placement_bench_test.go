package placement

import (
	"encoding/json"
	"fmt"
	"testing"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// fleet is n stores in nine zones of three regions, all up.
func fleet(n int) map[string]StoreStatus {
	out := map[string]StoreStatus{}
	for i := range n {
		name := fmt.Sprintf("store-zone-%d-%d", i%9, i)
		out[name] = StoreStatus{Alive: true, Node: membership.Node{Name: name, Role: "store", Address: fmt.Sprintf("10.%d.0.%d:7100", i%9, i), Zone: fmt.Sprintf("zone-%d", i%9),
			Region: fmt.Sprintf("region-%d", i%3), Disk: fmt.Sprintf("DISKDISKDISKDISKDISK%06d", i)}}
	}
	return out
}

var (
	two        = Redundancy{Backups: 2}
	storeSizes = []int{6, 18, 60, 133}
)

func BenchmarkPlacement(b *testing.B) {
	for _, n := range storeSizes {
		p := Initial(fleet(n), two)
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

// BenchmarkPlan is one round of the steward when nothing changed, and one in
// which a store is lost.
func BenchmarkPlan(b *testing.B) {
	for _, n := range storeSizes {
		s := fleet(n)
		p := Initial(s, two)
		b.Run(fmt.Sprintf("calm/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), s, nil, two)
			}
		})
		lost := fleet(n)
		for name, x := range lost {
			x.Alive = false
			lost[name] = x
			break
		}
		b.Run(fmt.Sprintf("lost/stores=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(p.Clone(), lost, nil, two)
			}
		})
	}
}

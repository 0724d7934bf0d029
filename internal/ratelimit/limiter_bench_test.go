package ratelimit

import (
	"fmt"
	"testing"

	"saltreel/internal/configuration"
)

// BenchmarkGrant handles one request of an edge for tokens of n tenants.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			c := &configuration.Configuration{}
			in := &QuotaLeaseRequest{Partitions: 520, Requested: map[string]float64{}}
			for i := range 1000 {
				name := fmt.Sprintf("tenant-%d", i)
				c.TenantTable = append(c.TenantTable, &configuration.Tenant{Name: name, RatePerS: 1e9, BurstSize: 1e9})
				if i < n {
					in.Requested[name] = 20
				}
			}
			l := newTestLimiter(b, configuration.NewTable(c), 0)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := l.Handle(b.Context(), in, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package store

import (
	"fmt"
	"testing"
	"time"

	"saltreel/internal/configuration"
)

// BenchmarkGrant answers one question of an edge for grants of n tenants.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			c := &configuration.Configuration{}
			in := &QuotaLeaseRequest{Partitions: 520, Wanted: map[string]float64{}}
			for i := range 1000 {
				name := fmt.Sprintf("tenant-%d", i)
				c.TenantTable = append(c.TenantTable, &configuration.Tenant{Name: name, RatePerS: 1e9, BurstSize: 1e9})
				if i < n {
					in.Wanted[name] = 20
				}
			}
			table := configuration.NewTable(c)
			m := &meters{share: 10, tenants: map[string]*meter{}, leads: func(int) bool { return true },
				paused: func(int) time.Duration { return 0 }, mark: func() {}, table: func() *configuration.Table { return table }}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := m.handle(b.Context(), in, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

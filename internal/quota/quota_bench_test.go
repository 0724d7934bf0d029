package quota

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRecord records one request and checks its limit, with n sensors in the manager.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("tenant-%d", i)
			}
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := NewManager(RequestBytes)
			m.SetLimit(Entity{Tenant: Default}, 1e12)
			for _, name := range names {
				m.Record(name, "r", 1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				m.Record(names[i%n], "r", 1000)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "held-B/tenant")
		})
	}
}

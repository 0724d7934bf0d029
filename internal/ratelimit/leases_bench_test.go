package ratelimit

import (
	"testing"
	"time"

	"saltreel/internal/configuration"
)

// BenchmarkAcquire admits one message with a lease that holds enough tokens.
func BenchmarkAcquire(b *testing.B) {
	tenant := &configuration.Tenant{Name: "one", RatePerS: 1e9}
	l := NewLeases(nil, nil, 4*time.Second)
	l.leases["one"] = &lease{tokens: 1e18, expiresAt: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if l.Acquire(b.Context(), tenant) != 0 {
			b.Fatal("refused")
		}
	}
}

package ratelimit

import (
	"testing"
	"time"

	"saltreel/internal/configuration"
)

func TestNewBucketStartsWithAllowanceAndDowntime(t *testing.T) {
	for _, c := range []struct {
		rate, burst, allowance float64
		downtime               time.Duration
		want                   float64
	}{
		{100, 100, 10, 0, 10},
		{100, 100, 10, 300 * time.Millisecond, 40},
		{100, 100, 10, time.Hour, 100},
		{100, 5, 10, time.Hour, 10}, // the allowance may exceed the burst size
	} {
		tenant := &configuration.Tenant{RatePerS: c.rate, BurstSize: c.burst}
		if got := newBucket(tenant, c.allowance, c.downtime, time.Now()).tokens; got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestBucketCapacityAddsAllowanceForSlowTenants(t *testing.T) {
	for _, c := range []struct{ rate, burst, allowance, want float64 }{
		{10, 20, 10, 29},
		{10, 0, 10, 10},
		{100, 100, 10, 100},
		{1000, 50, 10, 50},
	} {
		if got := bucketCapacity(&configuration.Tenant{RatePerS: c.rate, BurstSize: c.burst}, c.allowance); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestBucketRefillIsBoundedByCapacity(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		tokens, returned float64
		elapsed          time.Duration
		want             float64
	}{
		{0, 0, time.Second, 10},
		{5, 3, 200 * time.Millisecond, 10},
		{-5, 0, time.Second, 5},
		{15, 50, time.Second, 20},
	} {
		b := &bucket{tokens: c.tokens, lastRefill: now}
		later := now.Add(c.elapsed)
		b.refill(10, 20, c.returned, later)
		if b.tokens != c.want || !b.lastRefill.Equal(later) {
			t.Errorf("%+v: %v", c, b.tokens)
		}
	}
}

func TestBucketDeductsAtMostAccumulatedTokens(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		admitted float64
		age      time.Duration
		want     float64
	}{
		{0, time.Second, 20},
		{5, time.Second, 15},
		{50, time.Second, 10},
		{50, 0, 20},
	} {
		b := &bucket{tokens: 20, created: now.Add(-c.age)}
		if b.deduct(c.admitted, 10, now); b.tokens != c.want {
			t.Errorf("%+v: %v", c, b.tokens)
		}
	}
}

func TestBucketGrantsWholeTokens(t *testing.T) {
	for _, c := range []struct{ tokens, requested, want float64 }{
		{10.5, 3, 3},
		{10.5, 2.2, 3},
		{10.5, 20, 10},
		{0.9, 1, 0},
		{-3, 1, 0},
	} {
		b := &bucket{tokens: c.tokens}
		if got := b.take(c.requested); got != c.want || b.tokens != c.tokens-c.want {
			t.Errorf("%+v: %v, %v left", c, got, b.tokens)
		}
	}
}

func TestBucketRetryTime(t *testing.T) {
	for _, c := range []struct {
		tokens, rate float64
		want         int64
	}{
		{0, 10, 200},
		{0.5, 10, 150},
		{-2, 100, 40},
	} {
		if got := (&bucket{tokens: c.tokens}).retryAfterMs(c.rate); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

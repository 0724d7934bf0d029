package ratelimit

import (
	"math"
	"time"

	"saltreel/internal/configuration"
)

// bucket is the token bucket of one tenant; a token admits one message. It has
// no lock: the limiter's guards it.
type bucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last computed
	created    time.Time
}

// newBucket makes a bucket that starts almost without burst, since an earlier
// one on another store may have spent it. Downtime is for how long the earlier
// one, if it was here, has not run: it would have filled in that time.
func newBucket(tenant *configuration.Tenant, allowance float64, downtime time.Duration, now time.Time) *bucket {
	full := math.Max(tenant.BurstSize, allowance)
	tokens := min(full, allowance+tenant.RatePerS*downtime.Seconds())
	return &bucket{tokens: tokens, lastRefill: now, created: now}
}

// bucketCapacity is how many tokens the bucket of a tenant holds: its burst,
// and for a slow tenant also the leases that are unused at edges. Those of a
// fast one are used soon.
func bucketCapacity(tenant *configuration.Tenant, allowance float64) float64 {
	perTenthSecond := tenant.RatePerS / 10
	return math.Max(1, tenant.BurstSize) + max(0, allowance-perTenthSecond)
}

// refill adds the tokens for the time since the last refill, and those of
// leases that were not used.
func (b *bucket) refill(ratePerS, capacity, returned float64, now time.Time) {
	b.tokens = min(capacity, b.tokens+ratePerS*now.Sub(b.lastRefill).Seconds()+returned)
	b.lastRefill = now
}

// deduct takes off what edges admitted without a lease: at most what this
// bucket has gathered since it was created. What they admitted before that was
// another bucket's.
func (b *bucket) deduct(spent, ratePerS float64, now time.Time) {
	b.tokens -= min(spent, ratePerS*now.Sub(b.created).Seconds())
}

// take removes up to wanted tokens, a whole number of them, and returns how many.
func (b *bucket) take(requested float64) float64 {
	removed := max(0, min(math.Floor(b.tokens), math.Ceil(requested)))
	b.tokens -= removed
	return removed
}

// retryAfterMs is in how many milliseconds the bucket holds two tokens again, so that
// one of them is left when the edge asks.
func (b *bucket) retryAfterMs(ratePerS float64) int64 {
	return int64(1000 * (1 - b.tokens + 1) / ratePerS)
}

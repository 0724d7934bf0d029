package ratelimit

import (
	"math"
	"time"

	"saltreel/internal/configuration"
)

// bucket is the token bucket of one tenant; one token admits one message. It is guarded by
// the mutex of Limiter.
type bucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last updated
	created    time.Time
}

// newBucket returns a bucket that starts with almost none of its burst, since a previous
// bucket on another store may have granted it already. downtime is how long the previous
// bucket was not running if it was on this store, and else 0: it would have been refilled
// during that time.
func newBucket(tenant *configuration.Tenant, allowance float64, downtime time.Duration, now time.Time) *bucket {
	full := math.Max(tenant.BurstSize, allowance)
	tokens := min(full, allowance+tenant.RatePerS*downtime.Seconds())
	return &bucket{tokens: tokens, lastRefill: now, created: now}
}

// bucketCapacity returns the capacity of the bucket of a tenant: its burst size, and for a
// tenant with a low rate also the tokens that are leased to edges and unused. Those of a
// tenant with a high rate are used soon.
func bucketCapacity(tenant *configuration.Tenant, allowance float64) float64 {
	perTenthSecond := tenant.RatePerS / 10
	return math.Max(1, tenant.BurstSize) + max(0, allowance-perTenthSecond)
}

// refill adds the tokens for the time since the last refill, and the unused tokens that
// edges have returned.
func (b *bucket) refill(ratePerS, capacity, returned float64, now time.Time) {
	b.tokens = min(capacity, b.tokens+ratePerS*now.Sub(b.lastRefill).Seconds()+returned)
	b.lastRefill = now
}

// deduct removes the tokens for messages that edges admitted without a lease, up to the
// tokens that this bucket has accumulated since its creation: messages admitted earlier
// belong to the previous bucket.
func (b *bucket) deduct(admitted, ratePerS float64, now time.Time) {
	b.tokens -= min(admitted, ratePerS*now.Sub(b.created).Seconds())
}

// take removes up to the requested number of whole tokens and returns how many it removed.
func (b *bucket) take(requested float64) float64 {
	removed := max(0, min(math.Floor(b.tokens), math.Ceil(requested)))
	b.tokens -= removed
	return removed
}

// retryAfterMs returns the time in milliseconds until the bucket holds two tokens, so that
// at least one is left when the next request of the edge arrives.
func (b *bucket) retryAfterMs(ratePerS float64) int64 {
	return int64(1000 * (1 - b.tokens + 1) / ratePerS)
}

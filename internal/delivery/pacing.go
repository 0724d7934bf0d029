package delivery

import "time"

// tokenBucket paces the deliveries of a service; a token starts one. A new one
// is empty.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last computed
}

// take removes a token and reports whether there was one. RatePerS is the limit
// of the service, overshoot the factor by which the setting origin-overshoot lets
// it be exceeded.
func (b *tokenBucket) take(ratePerS, overshoot float64, now time.Time) bool {
	burst := max(1, ratePerS/20) // that of 50 ms
	b.tokens = min(burst, b.tokens+refillRate(ratePerS, overshoot)*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refillRate is the rate at which a bucket fills: a quarter of the overshoot above
// the limit. The rest is for arrivals that bunch on the way.
func refillRate(ratePerS, overshoot float64) float64 { return ratePerS * (1 + (overshoot-1)/4) }

// timeUntilToken is how long the bucket takes to hold a token again.
func (b *tokenBucket) timeUntilToken(ratePerS float64) time.Duration {
	return time.Duration((1 - b.tokens) / ratePerS * float64(time.Second))
}

// returnToken returns a token whose delivery did not start.
func (b *tokenBucket) returnToken() { b.tokens++ }

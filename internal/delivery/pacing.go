package delivery

import "time"

// tokenBucket paces the deliveries of a service; each delivery takes one token. A new bucket is
// empty.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last updated
}

// take removes a token and reports whether there was one. ratePerS is the limit of the service;
// overshoot is the setting origin-overshoot, the factor by which the limit may be exceeded.
func (b *tokenBucket) take(ratePerS, overshoot float64, now time.Time) bool {
	burst := max(1, ratePerS/20) // tokens of 50 ms
	b.tokens = min(burst, b.tokens+refillRate(ratePerS, overshoot)*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refillRate returns the rate at which a bucket is refilled: the limit plus a quarter of the
// overshoot. The rest of the overshoot is reserved for deliveries that bunch up on the way.
func refillRate(ratePerS, overshoot float64) float64 { return ratePerS * (1 + (overshoot-1)/4) }

// timeUntilToken returns the time until the bucket holds a whole token if it is refilled at the
// limit, without the overshoot.
func (b *tokenBucket) timeUntilToken(ratePerS float64) time.Duration {
	return time.Duration((1 - b.tokens) / ratePerS * float64(time.Second))
}

// returnToken puts back the token of a delivery that was not started.
func (b *tokenBucket) returnToken() { b.tokens++ }

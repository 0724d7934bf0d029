package delivery

import "time"

// tokenBucket paces the deliveries of a service; a token starts one. A new one
// is empty.
type tokenBucket struct {
	tokens float64
	filled time.Time // when tokens was last computed
}

// take removes a token and reports whether there was one. RatePerS is the limit
// of the service, overshoot the factor by which the setting origin-overshoot lets
// it be exceeded.
func (b *tokenBucket) take(ratePerS, overshoot float64, now time.Time) bool {
	burst := max(1, ratePerS/20) // that of 50 ms
	b.tokens = min(burst, b.tokens+pacedRate(ratePerS, overshoot)*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pacedRate is the rate at which a bucket fills: a quarter of the overshoot above
// the limit. The rest is for arrivals that bunch on the way.
func pacedRate(ratePerS, overshoot float64) float64 { return ratePerS * (1 + (overshoot-1)/4) }

// untilToken is how long the bucket takes to hold a token again.
func (b *tokenBucket) untilToken(ratePerS float64) time.Duration {
	return time.Duration((1 - b.tokens) / ratePerS * float64(time.Second))
}

// putBack returns a token whose delivery did not start.
func (b *tokenBucket) putBack() { b.tokens++ }

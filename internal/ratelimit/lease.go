package ratelimit

import (
	"math"
	"time"

	"saltreel/internal/quota"
)

// lease holds the tokens that this edge has leased for one tenant, and the measured
// demand of the tenant. It is guarded by the mutex of Leases.
type lease struct {
	tokens       float64
	expiresAt    time.Time
	demand       float64       // messages since the last update of demandRate
	demandRate   float64       // moving average, messages per second
	granted      float64       // tokens leased since the last update of grantRate
	grantRate    float64       // moving average, messages per second
	pending      chan struct{} // closed when the request in flight ends; nil if there is none
	requestedAt  time.Time     // when the last request was sent
	waiting      int           // messages waiting for tokens
	refusedUntil time.Time     // the owner has no tokens before then

	unreachable  bool      // the last request failed, or was not answered in time
	lastResponse time.Time // when the owner last responded
	fallback     fallbackBucket
}

// fallbackBucket is the token bucket from which an edge admits messages without a lease
// while the owner is unreachable.
type fallbackBucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last updated
	unreported float64   // messages admitted from it and not yet reported to the owner
}

// admitDecision is the outcome of the admission check of one message.
type admitDecision int

const (
	admitted      admitDecision = iota
	overLimit                   // reject until lease.refusedUntil
	retryLater                  // the owner is unreachable: wait before sending another request
	awaitResponse               // send a request to the owner, or wait for the one in flight
)

// admit checks whether one message may be admitted now. retryInterval is the minimum time
// between two requests to an unreachable owner.
func (l *lease) admit(now time.Time, retryInterval time.Duration) admitDecision {
	switch {
	case l.tokens >= 1 && now.Before(l.expiresAt):
		l.tokens--
		return admitted
	case now.Before(l.refusedUntil):
		return overLimit
	case l.unreachable && l.admitUnleased(now):
		return admitted
	case l.unreachable && l.pending == nil && now.Sub(l.requestedAt) < retryInterval:
		return retryLater
	}
	return awaitResponse
}

// admitUnleased admits messages without a lease for up to two quota windows after the last
// response of the owner. The rate is at most the one at which the owner granted tokens to
// this edge, and the bucket is emptied after each response: an owner that is being moved
// is unreachable repeatedly for short times, and tokens saved up in between would exceed
// the limit. The next request reports the admitted messages to the owner.
func (l *lease) admitUnleased(now time.Time) bool {
	if now.Sub(l.lastResponse) > quota.Window*2 {
		return false
	}
	rate := min(l.demandRate, l.grantRate)
	b := &l.fallback
	if b.lastRefill.Before(l.lastResponse) {
		b.tokens = 0
		b.lastRefill = l.lastResponse
	}
	burst := max(1, rate/4) // tokens of 250 ms
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.unreported++
	return true
}

// updateRates updates the moving averages after one renewal interval. The grant rate is
// kept unchanged while the owner does not respond.
func (l *lease) updateRates(now time.Time, interval time.Duration) {
	l.demandRate = l.demandRate*3/4 + l.demand/interval.Seconds()/4
	l.demand = 0
	if l.granted > 0 || now.Sub(l.lastResponse) < interval*2 {
		l.grantRate = l.grantRate*7/8 + l.granted/interval.Seconds()/8
		l.granted = 0
	}
	if l.demandRate < idleRate {
		l.demandRate = 0
	}
}

const (
	idleRate         = 0.01 // messages per second; below it a tenant is idle at this edge
	idleLeaseTimeout = time.Minute
)

// evictable reports whether the tenant is idle and its lease may be deleted.
func (l *lease) evictable(now time.Time) bool {
	return l.demandRate == 0 && l.pending == nil && now.Sub(l.lastResponse) > idleLeaseTimeout
}

// needsRenewal reports whether to request tokens ahead of demand. For tenants with less
// than one message per renewal interval it returns false: tokens leased ahead would stay
// unused here while other edges lack them, so they are requested per message.
func (l *lease) needsRenewal(now time.Time, interval time.Duration) bool {
	if l.demandRate == 0 || l.demandRate*interval.Seconds() < 1 {
		return false
	}
	if l.pending != nil || now.Before(l.refusedUntil) {
		return false
	}
	return l.tokens < l.targetTokens(interval)/2 || now.After(l.expiresAt)
}

// targetTokens is the number of tokens to hold: the demand of three renewal intervals.
func (l *lease) targetTokens(interval time.Duration) float64 {
	return math.Floor(l.demandRate*3*interval.Seconds()) + 1
}

// addToRequest adds the tokens needed for a tenant to the request to its owner, and
// returns expired tokens to the bucket of the owner.
func (l *lease) addToRequest(request *QuotaLeaseRequest, tenant string, now time.Time, interval time.Duration) {
	if l.tokens > 0 && now.After(l.expiresAt) {
		request.Returned[tenant] = l.tokens
		l.tokens = 0
	}
	if l.fallback.unreported > 0 {
		request.AdmittedUnleased[tenant] = l.fallback.unreported
	}
	request.Requested[tenant] = max(1, float64(l.waiting), l.targetTokens(interval)-l.tokens)
}

// leaseGrant is the response of the owner for one tenant.
type leaseGrant struct {
	requested        float64
	granted          float64
	admittedUnleased float64       // messages reported with the request
	retryAfter       time.Duration // set if less was granted than requested
}

// applyGrant adds the granted tokens to the lease. The lease expires one window after the
// request was sent, so that it never outlasts the window that the owner assumes.
func (l *lease) applyGrant(g leaseGrant, sent, now time.Time, interval time.Duration) {
	if now.After(l.expiresAt) {
		l.tokens = 0
	}
	l.fallback.unreported = max(0, l.fallback.unreported-g.admittedUnleased)
	l.tokens += g.granted
	l.granted += g.granted
	l.expiresAt = sent.Add(quota.Window)
	l.lastResponse = now
	l.unreachable = false
	if g.granted < g.requested {
		l.refusedUntil = now.Add(min(interval/2, g.retryAfter))
	}
}

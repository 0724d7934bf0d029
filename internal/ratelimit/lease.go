package ratelimit

import (
	"math"
	"time"

	"saltreel/internal/quota"
)

// lease is the quota that this edge holds of one tenant, and what it knows of
// the tenant's demand. It has no lock: that of Leases guards it.
type lease struct {
	tokens       float64
	expiresAt    time.Time
	demand       float64       // messages since the last round
	demandRate   float64       // smoothed, messages a second
	granted      float64       // messages leased since the last round
	grantRate    float64       // smoothed, messages a second
	pending      chan struct{} // closed when the request under way ends; nil if none is
	requestedAt  time.Time     // when it was sent
	waiting      int           // messages that wait for a lease
	refusedUntil time.Time     // the owner has nothing before then

	unreachable  bool      // the owner did not answer the last request
	lastResponse time.Time // when it last answered
	fallback     fallbackBucket
}

// fallbackBucket is what an edge may admit without a lease while the owner is
// unreachable.
type fallbackBucket struct {
	tokens     float64
	lastRefill time.Time // when tokens was last computed
	unreported float64   // admitted so, and not yet reported to the owner
}

// admitDecision is what a lease allows for one message now.
type admitDecision int

const (
	admitted      admitDecision = iota
	overLimit                   // refused until lease.refusedUntil
	retryLater                  // the owner is unreachable: wait before the next request
	awaitResponse               // a request to the owner decides
)

// admit decides on one message. Retry is the time between two requests to an
// owner that does not answer.
func (l *lease) admit(now time.Time, retry time.Duration) admitDecision {
	switch {
	case l.tokens >= 1 && now.Before(l.expiresAt):
		l.tokens--
		return admitted
	case now.Before(l.refusedUntil):
		return overLimit
	case l.unreachable && l.admitUnleased(now):
		return admitted
	case l.unreachable && l.pending == nil && now.Sub(l.requestedAt) < retry:
		return retryLater
	}
	return awaitResponse
}

// admitUnleased admits a little while the owner is unreachable, for two windows
// at most: no more than the owner leased to this edge before, for the time since
// it last answered. An owner that moves is unreachable again and again for a
// moment, so nothing may be saved up for that in between. The next request
// reports it to the owner.
func (l *lease) admitUnleased(now time.Time) bool {
	if now.Sub(l.lastResponse) > quota.Window*2 {
		return false
	}
	rate := min(l.demandRate, l.grantRate)
	a := &l.fallback
	if a.lastRefill.Before(l.lastResponse) {
		a.tokens = 0
		a.lastRefill = l.lastResponse
	}
	most := max(1, rate/4) // a quarter of a second's
	a.tokens = min(most, a.tokens+rate*now.Sub(a.lastRefill).Seconds())
	a.lastRefill = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	a.unreported++
	return true
}

// updateRates smooths the rates after a round. The grant rate stands still while
// the owner does not answer.
func (l *lease) updateRates(now time.Time, round time.Duration) {
	l.demandRate = l.demandRate*3/4 + l.demand/round.Seconds()/4
	l.demand = 0
	if l.granted > 0 || now.Sub(l.lastResponse) < round*2 {
		l.grantRate = l.grantRate*7/8 + l.granted/round.Seconds()/8
		l.granted = 0
	}
	if l.demandRate < idleRate {
		l.demandRate = 0
	}
}

const (
	idleRate         = 0.01 // messages a second; below it a tenant counts as idle here
	idleLeaseTimeout = time.Minute
)

// evictable reports whether the lease of an idle tenant may be dropped.
func (l *lease) evictable(now time.Time) bool {
	return l.demandRate == 0 && l.pending == nil && now.Sub(l.lastResponse) > idleLeaseTimeout
}

// needsRenewal reports whether to request quota ahead of demand. Where messages
// are few, what is leased ahead would be unused here while other edges lack it:
// their quota is requested one by one.
func (l *lease) needsRenewal(now time.Time, round time.Duration) bool {
	if l.demandRate == 0 || l.demandRate*round.Seconds() < 1 {
		return false
	}
	if l.pending != nil || now.Before(l.refusedUntil) {
		return false
	}
	return l.tokens < l.targetTokens(round)/2 || now.After(l.expiresAt)
}

// targetTokens is how many tokens to hold ahead: the demand of three rounds.
func (l *lease) targetTokens(round time.Duration) float64 {
	return math.Floor(l.demandRate*3*round.Seconds()) + 1
}

// addToRequest adds what this edge wants of a tenant to the request to its owner. What
// was not used in time returns to the bucket.
func (l *lease) addToRequest(request *QuotaLeaseRequest, tenant string, now time.Time, round time.Duration) {
	if l.tokens > 0 && now.After(l.expiresAt) {
		request.Returned[tenant] = l.tokens
		l.tokens = 0
	}
	if l.fallback.unreported > 0 {
		request.AdmittedUnleased[tenant] = l.fallback.unreported
	}
	request.Requested[tenant] = max(1, float64(l.waiting), l.targetTokens(round)-l.tokens)
}

// leaseGrant is the owner's answer for one tenant.
type leaseGrant struct {
	requested        float64
	granted          float64
	admittedUnleased float64       // reported with the request
	retryAfter       time.Duration // if less was granted than wanted
}

// applyGrant takes over what the owner has granted. A lease ends one window after
// its request was sent, so that it ends no later than the owner reckons.
func (l *lease) applyGrant(g leaseGrant, sent, now time.Time, round time.Duration) {
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
		l.refusedUntil = now.Add(min(round/2, g.retryAfter))
	}
}

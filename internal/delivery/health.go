package delivery

import (
	"math/rand/v2"
	"time"

	"saltreel/internal/handler"
)

// endpointState is what an endpoint is trusted with. It follows the outlier
// detection and the slow start of Envoy: an endpoint is ejected after consecutive
// failures, for a time that doubles up to a bound. Unlike there, an endpoint that
// comes back from its ejection is probed first: it gets one delivery at a time
// until one is answered.
type endpointState int

const (
	healthy    endpointState = iota
	slowStart                // new: chosen less often until its warm-up is over
	probing                  // one delivery at a time until one is answered
	backingOff               // declined: no deliveries for a moment
	ejected                  // failed: no deliveries for a while, then probing
)

func (s endpointState) String() string {
	return [...]string{"healthy", "slow start", "probing", "backing off", "ejected"}[s]
}

// available reports whether deliveries may start.
func (s endpointState) available() bool { return s != backingOff && s != ejected }

// maxEjectionDoublings bounds the exponent of an ejection time.
const maxEjectionDoublings = 6

// endpointHealth holds what becomes of the deliveries to an endpoint, which
// decides its state; what the endpoint says of itself does not.
type endpointHealth struct {
	consecutiveFailures int
	needsProbe          bool      // ejected, and no delivery was answered since
	blockedUntil        time.Time // ejected or backing off until then
	slowStartUntil      time.Time
	failureRate         float64 // smoothed part of the attempts that failed
}

func (h *endpointHealth) state(now time.Time) endpointState {
	switch {
	case now.Before(h.blockedUntil) && h.needsProbe:
		return ejected
	case now.Before(h.blockedUntil):
		return backingOff
	case h.needsProbe:
		return probing
	case now.Before(h.slowStartUntil):
		return slowStart
	}
	return healthy
}

// recordOutcome takes the outcome of one attempt into account.
func (h *endpointHealth) recordOutcome(o handler.Outcome, now time.Time, t timing) {
	if o != handler.NotExecuted {
		h.failureRate = updateFailureRate(h.failureRate, o, 8)
	}
	switch o {
	case handler.Done, handler.Refused, handler.Failed: // it answers
		h.consecutiveFailures = 0
		h.needsProbe = false
	case handler.NotExecuted:
		h.blockedUntil = now.Add(t.declineBackoff() + rand.N(t.declineBackoff()))
	case handler.NoResponse:
		h.consecutiveFailures++
		h.eject(t.baseEjectionTime(), now, t)
	case handler.Indeterminate:
		h.consecutiveFailures++
		if h.consecutiveFailures > 1 {
			h.consecutiveFailures++ // after another failure it counts twice
			h.eject(t.baseIndeterminateEjectionTime(), now, t)
		}
	case handler.WrongInstance: // another endpoint has its address: the caller removes it
	}
}

// eject blocks the endpoint for base, doubled with each consecutive failure, give
// or take a quarter, so that endpoints do not come back all at once.
func (h *endpointHealth) eject(base time.Duration, now time.Time, t timing) {
	doublings := min(h.consecutiveFailures-1, maxEjectionDoublings)
	d := min(t.maxEjectionTime(), base<<doublings)
	h.blockedUntil = now.Add(d*3/4 + rand.N(d/2))
	h.needsProbe = true
}

// updateFailureRate updates the smoothed part of attempts that failed, over about n of them.
func updateFailureRate(rate float64, o handler.Outcome, n float64) float64 {
	failed := 0.0
	if o != handler.Done && o != handler.Refused {
		failed = 1
	}
	return rate + (failed-rate)/n
}

// baselineFailureRate is the part of attempts that fail without an outage.
const baselineFailureRate = 0.1

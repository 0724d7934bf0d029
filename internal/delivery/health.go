package delivery

import (
	"math/rand/v2"
	"time"

	"saltreel/internal/handler"
)

// endpointState is the health state of an endpoint. It follows the outlier detection and slow
// start of Envoy: an endpoint is ejected after consecutive failures, for a time that doubles
// up to a maximum. Unlike in Envoy, an endpoint is probed after its ejection: it gets one
// delivery at a time until one is answered.
type endpointState int

const (
	healthy    endpointState = iota
	slowStart                // new: picked less often until its warm-up is over
	probing                  // one delivery at a time until one is answered
	backingOff               // declined a delivery: gets none for a short time
	ejected                  // failed: gets no deliveries for the ejection time, then probing
)

func (s endpointState) String() string {
	return [...]string{"healthy", "slow start", "probing", "backing off", "ejected"}[s]
}

// available reports whether deliveries to the endpoint may start.
func (s endpointState) available() bool { return s != backingOff && s != ejected }

// maxEjectionDoublings bounds the exponent of the ejection time.
const maxEjectionDoublings = 6

// endpointHealth derives the state of an endpoint from the outcomes of its deliveries. What
// the instance reports about itself is not used.
type endpointHealth struct {
	consecutiveFailures int
	needsProbe          bool      // ejected, and no delivery has been answered since
	blockedUntil        time.Time // end of the ejection or backoff
	slowStartUntil      time.Time
	failureRate         float64 // moving average of the fraction of failed attempts
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

// recordOutcome updates the health with the outcome of one attempt.
func (h *endpointHealth) recordOutcome(o handler.Outcome, now time.Time, t timing) {
	if o != handler.NotExecuted {
		h.failureRate = updateFailureRate(h.failureRate, o, 8)
	}
	switch o {
	case handler.Done, handler.Refused, handler.Failed: // the endpoint responds
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
			h.consecutiveFailures++ // counts twice after another failure
			h.eject(t.baseIndeterminateEjectionTime(), now, t)
		}
	case handler.WrongInstance: // another instance has the address: the caller removes this endpoint
	}
}

// eject blocks the endpoint for base, doubled with each consecutive failure, with a jitter of
// ±25% so that endpoints do not come back all at once.
func (h *endpointHealth) eject(base time.Duration, now time.Time, t timing) {
	doublings := min(h.consecutiveFailures-1, maxEjectionDoublings)
	d := min(t.maxEjectionTime(), base<<doublings)
	h.blockedUntil = now.Add(d*3/4 + rand.N(d/2))
	h.needsProbe = true
}

// updateFailureRate updates the exponential moving average of the fraction of failed attempts,
// with a weight of 1/n for the new outcome.
func updateFailureRate(rate float64, o handler.Outcome, n float64) float64 {
	failed := 0.0
	if o != handler.Done && o != handler.Refused {
		failed = 1
	}
	return rate + (failed-rate)/n
}

// baselineFailureRate is the fraction of attempts that fail in normal operation.
const baselineFailureRate = 0.1

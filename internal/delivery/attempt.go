package delivery

import (
	"math/rand/v2"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/partition"
)

// attempt makes one delivery attempt and applies its outcome. The instance is a copy from the
// start of the attempt, since an event may replace the one of the endpoint meanwhile.
func (s *Scheduler) attempt(m *message, e *endpoint, instance handler.Instance, route *configuration.Route) {
	result := s.deliver(m, instance, route)
	deadLetter := isDeadLetter(result.Outcome, m.failedAttempts, int(route.MaxAttempts))
	switch {
	case deadLetter:
		s.config.Partitions.Finish(m.record.Partition, m.record.ID, partition.DeadLetter, "")
	case result.Outcome == handler.Done:
		s.config.Partitions.Finish(m.record.Partition, m.record.ID, partition.Complete, result.Seal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	defer s.endDelivery(m)
	now := time.Now()
	s.releaseEndpointLocked(e)
	m.running = false
	if !result.IdleConnectionBroke {
		s.recordOutcomeLocked(e, m.queue, result.Outcome, now)
	}
	if m.finished {
		return
	}
	if result.Outcome == handler.Done || deadLetter {
		s.finishLocked(m)
		return
	}
	if result.Outcome == handler.Failed {
		m.failedAttempts++
	}
	m.due = now.Add(s.retryDelay(m, result.Outcome, route))
	s.enqueueLocked(m)
}

func routeTimeout(route *configuration.Route) time.Duration {
	return time.Duration(route.TimeoutMs) * time.Millisecond
}

// deliver sends a message to an instance and returns the result. The attempt continues
// while the process shuts down, until the deadline of SetShutdownDeadline.
func (s *Scheduler) deliver(m *message, instance handler.Instance, route *configuration.Route) handler.Result {
	r := m.record
	began := time.Now()
	result := handler.Deliver(s.attemptCtx, s.config.Pool, handler.Delivery{
		Address:  instance.Address,
		Instance: instance.ID,
		ID:       r.ID,
		Tenant:   r.Tenant,
		OrderKey: r.OrderKey,
		Method:   r.Method,
		Target:   r.Target,
		Host:     r.Host,
		Type:     r.Type,
		Body:     r.Body,
		Timeout:  routeTimeout(route),
	})
	switch result.Outcome {
	case handler.Done, handler.Refused, handler.Failed: // the handler responded
	default:
		s.config.Log.Printf("delivery: %s to %s: %v %d after %v: %v", r.ID, instance.Address, result.Outcome, result.Status, time.Since(began).Round(time.Millisecond), result.Err)
	}
	return result
}

// isDeadLetter reports whether an outcome makes a message a dead letter: the handler has
// refused it permanently, or this was the last attempt that the route allows.
func isDeadLetter(o handler.Outcome, failedBefore, maxAttempts int) bool {
	switch o {
	case handler.Refused:
		return true
	case handler.Failed:
		return failedBefore+1 >= maxAttempts
	default:
		return false
	}
}

// recordOutcomeLocked updates the health of the endpoint and the failure rate of the service.
func (s *Scheduler) recordOutcomeLocked(e *endpoint, q *serviceQueue, o handler.Outcome, now time.Time) {
	if o != handler.NotExecuted {
		q.failureRate = updateFailureRate(q.failureRate, o, 16)
	}
	e.health.recordOutcome(o, now, s.timing)
	switch o {
	case handler.WrongInstance: // another instance has the address: this one is no longer running
		if !e.static {
			s.endpoints.remove(e)
		}
	case handler.NoResponse:
		s.config.Pool.CloseIdle(e.Address) // its idle connections may be stalled
	default:
	}
}

// maxRetryDoublings bounds the exponential backoff of a message.
const maxRetryDoublings = 4

// retryDelay returns the time until the next attempt of a message: exponential backoff, except
// after an attempt that was declined or met another instance, and jitter of ±50% in any case.
// The last attempt is delayed by longer while the service is failing, so that an outage does
// not use it up.
func (s *Scheduler) retryDelay(m *message, o handler.Outcome, route *configuration.Route) time.Duration {
	mean := s.timing.baseRetryDelay()
	lastAttempt := m.failedAttempts+1 >= int(route.MaxAttempts)
	switch {
	case o == handler.Failed && lastAttempt && m.queue.failureRate > 2*baselineFailureRate:
		mean = s.timing.finalRetryDelay()
	case o == handler.Failed, o == handler.Indeterminate, o == handler.NoResponse:
		mean <<= min(m.attempts-1, maxRetryDoublings)
	}
	return mean/2 + rand.N(mean)
}

package edge

import "time"

// timing derives the timeouts of an edge from the contact timeout (timers.contact-ms)
// and the grace period in which a process has to stop (timers.grace-s).
type timing struct {
	contactTimeout time.Duration
	grace          time.Duration
}

// placementWait is how long a request waits for the first configuration and
// placement, which an edge normally receives shortly after its start.
func (t timing) placementWait() time.Duration { return t.contactTimeout / 8 }

// messageTimeout bounds the time from the arrival of a message to its response: the
// time that the client requested, or half of the contact timeout. 1/25 of it is
// reserved for the transfer of the response.
func (t timing) messageTimeout(requested time.Duration) time.Duration {
	if requested <= 0 {
		requested = t.contactTimeout / 2
	}
	return requested * 24 / 25
}

// attemptTimeout bounds one call to a primary, so that at least one more attempt
// fits into the default message timeout.
func (t timing) attemptTimeout() time.Duration { return t.contactTimeout / 5 }

// storeWait is how long the primary may wait for its backups: less than the attempt
// timeout, so that the primary itself reports an indeterminate outcome.
func (t timing) storeWait() time.Duration { return t.contactTimeout / 6 }

// forwardRetryDelay is the delay before another attempt at the same partition.
func (t timing) forwardRetryDelay() time.Duration { return t.contactTimeout / 200 }

// stallTimeout is how long a call may go without a response before its primary is
// marked as stalled and reported as failed.
func (t timing) stallTimeout() time.Duration { return t.contactTimeout / 40 }

// stallRetention is how long new messages avoid a stalled primary. It exceeds the
// time in which the controller replaces a failed primary.
func (t timing) stallRetention() time.Duration { return t.contactTimeout / 4 }

// unavailableRetryAfter is the Retry-After time of a 503.
func (t timing) unavailableRetryAfter() time.Duration { return t.contactTimeout / 8 }

// queryTimeout bounds the processing of a query: slightly below half of the contact
// timeout, which leaves time for the transfer of the response.
func (t timing) queryTimeout() time.Duration { return t.contactTimeout * 9 / 20 }

// queryAttemptTimeout bounds one call of a query, so that two fit into queryTimeout.
func (t timing) queryAttemptTimeout() time.Duration { return t.contactTimeout / 6 }

// queryRetryDelay is the delay between two calls of a query.
func (t timing) queryRetryDelay() time.Duration { return t.contactTimeout / 80 }

// unreadyDelay is how long clients are still served after readiness is withdrawn, so
// that the platform can notice.
func (t timing) unreadyDelay() time.Duration { return t.grace * 2 / 5 }

// shutdownTimeout bounds the forwards in flight after unreadyDelay. It leaves a fifth
// of the grace period for the rest.
func (t timing) shutdownTimeout() time.Duration { return t.grace * 2 / 5 }

// answerTimeout bounds the responses to requests whose forward did not end within
// shutdownTimeout. It leaves a tenth of the grace period for the rest.
func (t timing) answerTimeout() time.Duration { return t.grace / 10 }

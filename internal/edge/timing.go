package edge

import "time"

// timing derives the bounds of an edge from the settings: the contact bound
// (timers.contact-ms) and the time that the platform gives a process to stop
// (timers.grace-s).
type timing struct {
	contactTimeout time.Duration
	grace          time.Duration
}

// placementWait is how long a request waits for the first configuration and
// placement, which an edge that just started gets within moments.
func (t timing) placementWait() time.Duration { return t.contactTimeout / 8 }

// messageTimeout is how long after its arrival a message is answered at the
// latest, as the client asked or half of the contact bound. A part of it remains
// for the way of the answer.
func (t timing) messageTimeout(requested time.Duration) time.Duration {
	if requested <= 0 {
		requested = t.contactTimeout / 2
	}
	return requested * 24 / 25
}

// attemptTimeout bounds one call to a primary, so that at least one more attempt
// fits into the default deadline.
func (t timing) attemptTimeout() time.Duration { return t.contactTimeout / 5 }

// storeWait is how long the primary may wait for its backups: less than an
// attempt lasts, so that the primary itself says that it is unclear.
func (t timing) storeWait() time.Duration { return t.contactTimeout / 6 }

// forwardRetryDelay is the delay before an attempt at the same partition.
func (t timing) forwardRetryDelay() time.Duration { return t.contactTimeout / 200 }

// stallTimeout is how long a call may have no answer before its primary is
// reported as failed and counts as stalled.
func (t timing) stallTimeout() time.Duration { return t.contactTimeout / 40 }

// stallRetention is how long new messages avoid a primary that stalled. It is above
// the time in which the controller replaces one that is dead.
func (t timing) stallRetention() time.Duration { return t.contactTimeout / 4 }

// unavailableRetryAfter is when a client should come back after a 503.
func (t timing) unavailableRetryAfter() time.Duration { return t.contactTimeout / 8 }

// queryTimeout bounds the answer to a query: a little below half of the contact
// bound, so that time remains for the way of the answer.
func (t timing) queryTimeout() time.Duration { return t.contactTimeout * 9 / 20 }

// queryAttemptTimeout bounds one call of a query, so that two fit into its deadline.
func (t timing) queryAttemptTimeout() time.Duration { return t.contactTimeout / 6 }

// queryRetryDelay is the delay between two calls of a query.
func (t timing) queryRetryDelay() time.Duration { return t.contactTimeout / 80 }

// unreadyDelay is how long clients are served after readiness is withdrawn, for
// the platform to notice.
func (t timing) unreadyDelay() time.Duration { return t.grace * 2 / 5 }

// shutdownTimeout bounds the forwards that are under way after that. A fifth of
// the grace is left for the rest.
func (t timing) shutdownTimeout() time.Duration { return t.grace * 2 / 5 }

// answerTimeout is how long the answers may take to the requests whose forward did
// not end in that time. A tenth of the grace is left for the rest.
func (t timing) answerTimeout() time.Duration { return t.grace / 10 }

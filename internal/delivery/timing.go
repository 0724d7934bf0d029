package delivery

import "time"

// timing derives the times of the scheduler from the contact timeout, in which
// the system notices and replaces a failed node.
type timing struct{ contactTimeout time.Duration }

// maxPollInterval is the longest time between two looks at the queues: what changes without
// an event is noticed by then.
func (t timing) maxPollInterval() time.Duration { return t.contactTimeout / 4 }

// configurationRecheck is when to look again while no configuration is known.
func (t timing) configurationRecheck() time.Duration { return t.contactTimeout / 200 }

// leaseRecheck is when to look again at a message whose partition may not
// deliver now, or whose configuration is not here yet: both come any moment.
func (t timing) leaseRecheck() time.Duration { return t.contactTimeout / 400 }

// endpointRecheck is when to look again where no endpoint is free; an attempt
// that ends wakes the scheduler earlier.
func (t timing) endpointRecheck() time.Duration { return t.contactTimeout / 16 }

// localityDelay is how long a message waits for an endpoint of this zone
// before it goes to another.
func (t timing) localityDelay() time.Duration { return t.contactTimeout / 40 }

// localRecheck is when to look again for an endpoint of this zone.
func (t timing) localRecheck() time.Duration { return t.contactTimeout / 100 }

// baseEjectionTime is how long an endpoint is ejected first when it does not answer;
// the time doubles with each further failure.
func (t timing) baseEjectionTime() time.Duration { return t.contactTimeout / 40 }

// baseIndeterminateEjectionTime is that of an endpoint whose attempts may have run.
func (t timing) baseIndeterminateEjectionTime() time.Duration { return t.contactTimeout / 80 }

// maxEjectionTime is the longest ejection: an endpoint that works again is noticed
// well within the contact timeout.
func (t timing) maxEjectionTime() time.Duration { return t.contactTimeout / 8 }

// declineBackoff is how long, at least, an endpoint that declined gets nothing:
// it is full for a moment.
func (t timing) declineBackoff() time.Duration { return t.contactTimeout / 200 }

// baseRetryDelay is the mean time before a message is tried again first.
func (t timing) baseRetryDelay() time.Duration { return t.contactTimeout / 200 }

// finalRetryDelay is the mean time before the last attempt at a service that fails.
func (t timing) finalRetryDelay() time.Duration { return t.contactTimeout / 2 }

package delivery

import "time"

// timing derives all durations from the contact timeout (timers.contact-ms), the time within
// which the system detects and replaces a failed node.
type timing struct{ contactTimeout time.Duration }

// maxPollInterval is the maximum time between two steps: it bounds how late changes are noticed
// that cause no event.
func (t timing) maxPollInterval() time.Duration { return t.contactTimeout / 4 }

// configurationRecheck is the time between two checks while no configuration is known.
func (t timing) configurationRecheck() time.Duration { return t.contactTimeout / 200 }

// leaseRecheck is the time between two checks of a message whose partition may not deliver yet,
// or whose configuration revision has not arrived; both are expected within a short time.
func (t timing) leaseRecheck() time.Duration { return t.contactTimeout / 400 }

// endpointRecheck is the time between two checks while no endpoint is free. An attempt that ends
// wakes up the scheduler earlier.
func (t timing) endpointRecheck() time.Duration { return t.contactTimeout / 16 }

// localityDelay is how long a message waits for an endpoint in the local zone before it may be
// sent to another zone.
func (t timing) localityDelay() time.Duration { return t.contactTimeout / 40 }

// localRecheck is the time between two checks for an endpoint in the local zone.
func (t timing) localRecheck() time.Duration { return t.contactTimeout / 100 }

// baseEjectionTime is the ejection time after the first failure of an endpoint that does not
// respond. It doubles with each further failure.
func (t timing) baseEjectionTime() time.Duration { return t.contactTimeout / 40 }

// baseIndeterminateEjectionTime is the base ejection time of an endpoint whose failed attempts
// may have been executed.
func (t timing) baseIndeterminateEjectionTime() time.Duration { return t.contactTimeout / 80 }

// maxEjectionTime is the maximum ejection time. It is well below the contact timeout, so that a
// recovered endpoint is noticed in time.
func (t timing) maxEjectionTime() time.Duration { return t.contactTimeout / 8 }

// declineBackoff is the minimum time without deliveries for an endpoint that declined one: it is
// at capacity for a short time.
func (t timing) declineBackoff() time.Duration { return t.contactTimeout / 200 }

// baseRetryDelay is the mean time until the first retry of a message.
func (t timing) baseRetryDelay() time.Duration { return t.contactTimeout / 200 }

// finalRetryDelay is the mean time before the last attempt while the service is failing.
func (t timing) finalRetryDelay() time.Duration { return t.contactTimeout / 2 }

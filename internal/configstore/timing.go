package configstore

import "time"

// timing derives the durations of the store from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct{ contactTimeout time.Duration }

// operationTimeout bounds the operator's requests. Clients try another core after one
// second without a response, and the contact timeout is about six seconds.
func (t timing) operationTimeout() time.Duration { return t.contactTimeout * 3 / 20 }

// placementTimeout bounds a change of the placement. It may be longer than
// operationTimeout, since only the controller waits for it.
func (t timing) placementTimeout() time.Duration { return t.contactTimeout / 4 }

// headTimeout bounds a change forwarded by another core, which no longer waits by
// then.
func (t timing) headTimeout() time.Duration { return t.contactTimeout / 4 }

// refusalRecency is how long a core is considered down after its host refused a
// connection.
func (t timing) refusalRecency() time.Duration { return t.contactTimeout / 4 }

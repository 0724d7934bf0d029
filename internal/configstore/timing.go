package configstore

import "time"

// timing derives the durations of the store from contact-ms, the time within
// which the system notices that a machine is lost.
type timing struct{ contact time.Duration }

// operationTimeout bounds the operator's calls: clients try another core after
// a second without an answer, and contact-ms is about six.
func (t timing) operationTimeout() time.Duration { return t.contact * 3 / 20 }

// placementTimeout bounds a change of the placement: only the controller waits
// for it.
func (t timing) placementTimeout() time.Duration { return t.contact / 4 }

// headTimeout bounds a change that came from another core, which has given up
// by then.
func (t timing) headTimeout() time.Duration { return t.contact / 4 }

// refusalRecency is how long a core counts as down after its machine refused a
// connection.
func (t timing) refusalRecency() time.Duration { return t.contact / 4 }

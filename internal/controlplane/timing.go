package controlplane

import "time"

// timing derives the durations of the process from contact-ms, the time within
// which the system notices that a machine is lost.
type timing struct{ contact time.Duration }

// diskRetryInterval is how often a disk that fails is tried again.
func (t timing) diskRetryInterval() time.Duration { return t.contact / 40 }

// leaseGrantDelay is how long no lease is granted after the start: the process
// before may have granted one.
func (t timing) leaseGrantDelay() time.Duration { return t.contact / 32 }

// journalRetention is how long the journal holds deleted keys: longer than any
// subscriber that is cut off for a while.
func (t timing) journalRetention() time.Duration { return 16 * t.contact }

// watchTimeout is how long a subscriber's poll waits for an event.
func (t timing) watchTimeout() time.Duration { return t.contact / 2 }

// eventBatchDelay is how long events that can wait are gathered before they are
// sent to subscribers.
func (t timing) eventBatchDelay() time.Duration { return t.contact / 32 }

// upToDateWait is how long a poll waits for a core that is not up to date.
func (t timing) upToDateWait() time.Duration { return t.contact / 16 }

// warmup is how long after it came into contact a core serves stores first.
func (t timing) warmup() time.Duration { return t.contact / 8 }

// syncInterval is the time between two rounds of anti-entropy, in which a core
// also sends its own heartbeat.
func (t timing) syncInterval() time.Duration { return t.contact / 4 }

// trafficLogInterval is how often the calls of this core are logged.
func (t timing) trafficLogInterval() time.Duration { return 4 * t.contact }

// heartbeatTargetRecency is how old the newest heartbeat of a core may be for it
// to be named as the target of heartbeats: a round and a half of anti-entropy.
func (t timing) heartbeatTargetRecency() time.Duration { return t.contact * 3 / 8 }

// shutdownTimeout is how long calls under way may take when the process ends.
func (t timing) shutdownTimeout() time.Duration { return t.contact / 8 }

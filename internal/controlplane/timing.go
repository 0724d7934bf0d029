package controlplane

import "time"

// timing derives the durations of the process from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct{ contactTimeout time.Duration }

// diskRetryInterval is the interval between attempts to use a failed disk.
func (t timing) diskRetryInterval() time.Duration { return t.contactTimeout / 40 }

// leaseGrantDelay is how long after its start a core grants no lease, since the
// process that ran before may have granted one.
func (t timing) leaseGrantDelay() time.Duration { return t.contactTimeout / 32 }

// journalRetention is how long the journal retains deleted keys. It must exceed the
// time for which a subscriber may be disconnected.
func (t timing) journalRetention() time.Duration { return 16 * t.contactTimeout }

// watchTimeout is how long a subscriber's poll waits for an event.
func (t timing) watchTimeout() time.Duration { return t.contactTimeout / 2 }

// eventBatchDelay is how long events that are not urgent are batched before they are
// sent to the subscribers.
func (t timing) eventBatchDelay() time.Duration { return t.contactTimeout / 32 }

// upToDateWait is how long a poll waits for this core to become up to date.
func (t timing) upToDateWait() time.Duration { return t.contactTimeout / 16 }

// warmup is how long after regaining contact a core serves the stores first.
func (t timing) warmup() time.Duration { return t.contactTimeout / 8 }

// syncInterval is the interval between rounds of anti-entropy, in which a core also
// sends its own heartbeat.
func (t timing) syncInterval() time.Duration { return t.contactTimeout / 4 }

// trafficLogInterval is how often call statistics are logged.
func (t timing) trafficLogInterval() time.Duration { return 4 * t.contactTimeout }

// heartbeatTargetRecency is the maximum age of the newest heartbeat of a core to which
// instances are directed: one and a half rounds of anti-entropy.
func (t timing) heartbeatTargetRecency() time.Duration { return t.contactTimeout * 3 / 8 }

// shutdownTimeout is how long calls in progress may take at shutdown.
func (t timing) shutdownTimeout() time.Duration { return t.contactTimeout / 8 }

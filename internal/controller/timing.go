package controller

import "time"

// timing derives the durations of the controller from contact-ms, the time
// within which the system notices that a machine is lost.
type timing struct{ contactTimeout time.Duration }

// tickInterval is how often a core looks after its lease and its heartbeats.
func (t timing) tickInterval() time.Duration { return t.contactTimeout / 32 }

// placementInterval is how often the lease holder checks the placement when
// nothing wakes it.
func (t timing) placementInterval() time.Duration { return t.contactTimeout / 20 }

// leaseDuration bounds how long nobody reassigns after the holder is lost.
func (t timing) leaseDuration() time.Duration { return t.contactTimeout / 4 }

// renewBelow is the rest of a lease at which the holder renews it: early enough
// for several attempts.
func (t timing) renewBelow() time.Duration { return t.leaseDuration() * 5 / 8 }

// heartbeatOverdueAfter is how long a store may send no heartbeat to the core
// that it sends them to before it is reported.
func (t timing) heartbeatOverdueAfter() time.Duration { return t.contactTimeout / 8 }

// heartbeatOverdueBefore is how long it is reported again: later, it sends its
// heartbeats to another core, or its loss is known.
func (t timing) heartbeatOverdueBefore() time.Duration { return t.contactTimeout }

// reportTimeout bounds a failure report to another core.
func (t timing) reportTimeout() time.Duration { return t.contactTimeout / 8 }

// probeAfter is the age of a store's newest heartbeat at which the lease holder
// probes it without any report.
func (t timing) probeAfter() time.Duration { return t.contactTimeout / 2 }

// probeTimeout is how long a store that runs may need to answer a probe.
func (t timing) probeTimeout() time.Duration { return t.contactTimeout / 24 }

// timeoutTolerance is by how much a core that runs may notice a time-out late.
func (t timing) timeoutTolerance(timeout time.Duration) time.Duration { return timeout / 8 }

// unansweredAfter is the part of probeTimeout after which a probe counts as
// unanswered for the rule of correlated failures: half of it.
func (t timing) unansweredAfter() time.Duration { return t.contactTimeout / 48 }

// correlatedProbeTimeout is how long a store has for a second probe when more
// are unanswered at once than may be lost.
func (t timing) correlatedProbeTimeout() time.Duration { return t.contactTimeout / 4 }

// warmup is how long after it came into contact a core waits for heartbeats of
// all stores that hold partitions.
func (t timing) warmup() time.Duration { return t.contactTimeout / 8 }

// initialStability is how long the number of stores must not change before the
// first placement.
func (t timing) initialStability() time.Duration { return t.contactTimeout / 4 }

// handoverTimeout bounds a handover: the primary finishes what is under way.
func (t timing) handoverTimeout() time.Duration { return t.contactTimeout }

// stoppedValidity is how long a primary that stopped for a handover waits for
// its successor before it goes on.
func (t timing) stoppedValidity() time.Duration { return t.contactTimeout / 8 }

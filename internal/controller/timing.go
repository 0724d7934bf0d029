package controller

import "time"

// timing derives the durations of the controller from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct{ contactTimeout time.Duration }

// tickInterval is the interval at which a core checks its lease and the heartbeats
// that it receives.
func (t timing) tickInterval() time.Duration { return t.contactTimeout / 32 }

// placementInterval is the interval at which the lease holder checks the placement
// without a call of Wake.
func (t timing) placementInterval() time.Duration { return t.contactTimeout / 20 }

// leaseDuration bounds how long no core reassigns partitions after the loss of the
// lease holder.
func (t timing) leaseDuration() time.Duration { return t.contactTimeout / 4 }

// renewBelow is the remaining time of a lease below which the holder renews it. It
// leaves time for several attempts.
func (t timing) renewBelow() time.Duration { return t.leaseDuration() * 5 / 8 }

// heartbeatOverdueAfter is the time without a heartbeat after which a core reports a
// store that sends its heartbeats to it.
func (t timing) heartbeatOverdueAfter() time.Duration { return t.contactTimeout / 8 }

// heartbeatOverdueBefore is the time without a heartbeat up to which the store is
// reported. After that it sends its heartbeats to another core, or its failure is known.
func (t timing) heartbeatOverdueBefore() time.Duration { return t.contactTimeout }

// reportTimeout bounds a failure report to another core.
func (t timing) reportTimeout() time.Duration { return t.contactTimeout / 8 }

// probeAfter is the age of the last heartbeat of a store after which the lease holder
// probes the store without a failure report.
func (t timing) probeAfter() time.Duration { return t.contactTimeout / 2 }

// probeTimeout is the time within which a running store answers a probe.
func (t timing) probeTimeout() time.Duration { return t.contactTimeout / 24 }

// timeoutTolerance is the delay up to which the expiry of a timeout counts as on time.
// A longer delay shows that this core did not get the CPU.
func (t timing) timeoutTolerance(timeout time.Duration) time.Duration { return timeout / 8 }

// unansweredAfter is the age from which a probe in progress counts as unanswered in the
// check for correlated failures: half of probeTimeout.
func (t timing) unansweredAfter() time.Duration { return t.contactTimeout / 48 }

// correlatedProbeTimeout is the timeout of the second ping when more probes are
// unanswered than hosts may fail at once.
func (t timing) correlatedProbeTimeout() time.Duration { return t.contactTimeout / 4 }

// warmup is how long a core that has regained contact waits for the heartbeats of all
// stores that hold replicas.
func (t timing) warmup() time.Duration { return t.contactTimeout / 8 }

// initialStability is how long the number of stores must remain unchanged before the
// initial placement.
func (t timing) initialStability() time.Duration { return t.contactTimeout / 4 }

// handoverTimeout bounds a handover, in which the primary completes the work in progress.
func (t timing) handoverTimeout() time.Duration { return t.contactTimeout }

// stoppedValidity is how long a primary that stopped for a handover waits for its
// successor before it resumes.
func (t timing) stoppedValidity() time.Duration { return t.contactTimeout / 8 }

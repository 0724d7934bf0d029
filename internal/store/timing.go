package store

import (
	"time"

	"saltreel/internal/settings"
)

// timing derives the timeouts and intervals of a store from the contact timeout and
// from the grace period in which a process has to stop.
type timing struct {
	contactTimeout time.Duration
	grace          time.Duration
}

func newTiming(set *settings.Settings) timing {
	return timing{contactTimeout: set.ContactTimeout(), grace: settings.Seconds(set.Timers.GraceS)}
}

// dialTimeout bounds opening a connection to an endpoint.
func (t timing) dialTimeout() time.Duration { return t.contactTimeout / 16 }

// limiterReconcileInterval is how often the limiter is reconciled with the placement:
// once per renewal interval of the edges' leases.
func (t timing) limiterReconcileInterval() time.Duration { return t.contactTimeout / 16 }

// lookupTimeout bounds finding a message, including on its backups.
func (t timing) lookupTimeout() time.Duration { return t.contactTimeout / 4 }

// handoverTimeout bounds how long the deliveries of a partition are stopped while a
// handover waits for those in flight and for the backups.
func (t timing) handoverTimeout() time.Duration { return t.contactTimeout * 3 / 4 }

// drainTimeout bounds the handover of the partitions. The rest of the grace period is
// for the deliveries in flight and the calls.
func (t timing) drainTimeout() time.Duration { return t.grace * 3 / 4 }

// drainPollInterval is how often drain checks for partitions that are left.
func (t timing) drainPollInterval() time.Duration { return t.contactTimeout / 200 }

// deliveryDrainTimeout bounds the deliveries in flight after drainTimeout.
func (t timing) deliveryDrainTimeout() time.Duration { return t.grace / 16 }

// flushTimeout bounds the replication of all outcomes to the backups after that.
func (t timing) flushTimeout() time.Duration { return t.grace / 16 }

// diskRetryInterval is the delay between attempts to open a disk that does not work.
func (t timing) diskRetryInterval() time.Duration { return t.contactTimeout / 40 }

// shutdownTimeout bounds the responses to the calls that were read.
func (t timing) shutdownTimeout() time.Duration { return t.grace / 16 }

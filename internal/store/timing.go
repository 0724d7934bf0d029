package store

import (
	"time"

	"saltreel/internal/settings"
)

// timing derives the times of a store from the contact timeout and from the grace
// period, in which a process that is to stop has to end.
type timing struct {
	contactTimeout time.Duration
	grace          time.Duration
}

func newTiming(set *settings.Settings) timing {
	return timing{contactTimeout: set.Contact(), grace: settings.Seconds(set.Timers.GraceS)}
}

// dialTimeout is how long opening a connection to an endpoint may take.
func (t timing) dialTimeout() time.Duration { return t.contactTimeout / 16 }

// limiterReconcileInterval is how often the limiter follows the placement: once in a round
// of the edges' leases.
func (t timing) limiterReconcileInterval() time.Duration { return t.contactTimeout / 16 }

// lookupTimeout is how long finding a message may take, its backups included.
func (t timing) lookupTimeout() time.Duration { return t.contactTimeout / 4 }

// handoverTimeout is how long a partition may be frozen for deliveries in flight to end.
func (t timing) handoverTimeout() time.Duration { return t.contactTimeout * 3 / 4 }

// drainTimeout is how long handing over the partitions may take. The rest of the grace
// period is for the deliveries in flight and the calls.
func (t timing) drainTimeout() time.Duration { return t.grace * 3 / 4 }

// drainPollInterval is how often it is looked whether they are handed over.
func (t timing) drainPollInterval() time.Duration { return t.contactTimeout / 200 }

// deliveryDrainTimeout is how long the deliveryDrainTimeout in flight may take after that.
func (t timing) deliveryDrainTimeout() time.Duration { return t.grace / 16 }

// flushTimeout is how long the backups may take after that to have all outcomes.
func (t timing) flushTimeout() time.Duration { return t.grace / 16 }

// diskRetryInterval is how often it is tried to open a disk that does not work.
func (t timing) diskRetryInterval() time.Duration { return t.contactTimeout / 40 }

// shutdownTimeout is how long the answers to the calls that were read may take.
func (t timing) shutdownTimeout() time.Duration { return t.grace / 16 }

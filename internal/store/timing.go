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
	return timing{contactTimeout: set.ContactTimeout(), grace: settings.Seconds(set.Timers.GraceS)}
}

// dial is how long opening a connection to an endpoint may take.
func (t timing) dial() time.Duration { return t.contactTimeout / 16 }

// limiterInterval is how often the limiter follows the placement: once in a round
// of the edges' leases.
func (t timing) limiterInterval() time.Duration { return t.contactTimeout / 16 }

// lookup is how long finding a message may take, its backups included.
func (t timing) lookup() time.Duration { return t.contactTimeout / 4 }

// handover is how long a partition may be frozen for deliveries in flight to end.
func (t timing) handover() time.Duration { return t.contactTimeout * 3 / 4 }

// drain is how long handing over the partitions may take. The rest of the grace
// period is for the deliveries in flight and the calls.
func (t timing) drain() time.Duration { return t.grace * 3 / 4 }

// drainPoll is how often it is looked whether they are handed over.
func (t timing) drainPoll() time.Duration { return t.contactTimeout / 200 }

// deliveries is how long the deliveries in flight may take after that.
func (t timing) deliveries() time.Duration { return t.grace / 16 }

// flush is how long the backups may take after that to have all outcomes.
func (t timing) flush() time.Duration { return t.grace / 16 }

// diskRetry is how often it is tried to open a disk that does not work.
func (t timing) diskRetry() time.Duration { return t.contactTimeout / 40 }

// shutdown is how long the answers to the calls that were read may take.
func (t timing) shutdown() time.Duration { return t.grace / 16 }

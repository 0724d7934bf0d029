package distribution

import (
	"math/rand/v2"
	"time"
)

// timing derives the intervals of a subscriber from the contact time-out,
// the time after which a process without contact counts as failed.
type timing struct{ contactTimeout time.Duration }

// pollWait is the long poll of a subscriber: several fit into maxAge.
func (t timing) pollWait() time.Duration { return t.contactTimeout / 4 }

// pollTimeout leaves room for the transfer behind the long poll.
func (t timing) pollTimeout() time.Duration { return t.pollWait() + t.contactTimeout/8 }

// maxResponseAge is how old the last response may be for a subscriber to be up to date:
// two long polls and some, and well below the contact time-out, since those who
// follow this node must be able to go elsewhere in time.
func (t timing) maxResponseAge() time.Duration { return t.contactTimeout * 5 / 8 }

// failedParentBackoff is how long a parent that failed is not asked again.
func (t timing) failedParentBackoff() time.Duration { return t.contactTimeout / 2 }

// reselectTime is when the parent is chosen anew although it answers. Were it
// chosen with each node that joins or leaves, the tree would not become stable
// while many do. It is jittered so that nodes do not move at the same time.
func (t timing) reselectTime(now time.Time) time.Time {
	return now.Add(t.contactTimeout/4 - rand.N(t.contactTimeout/16))
}

// retryDelay is the wait, jittered, after no parent answered.
func (t timing) retryDelay() time.Duration {
	return t.contactTimeout/80 + rand.N(t.contactTimeout/80)
}

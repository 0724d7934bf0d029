package distribution

import (
	"math/rand/v2"
	"time"
)

// timing derives the intervals of a subscriber from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct{ contactTimeout time.Duration }

// pollWait is the wait of a long poll: two fit into maxResponseAge.
func (t timing) pollWait() time.Duration { return t.contactTimeout / 4 }

// pollTimeout bounds a long poll including the transfer of the response.
func (t timing) pollTimeout() time.Duration { return t.pollWait() + t.contactTimeout/8 }

// maxResponseAge is the maximum age of the last response for a subscriber to be up to
// date: more than two long polls, and well below the contact timeout, since the
// children of this node must be able to change to another parent in time.
func (t timing) maxResponseAge() time.Duration { return t.contactTimeout * 5 / 8 }

// failedParentBackoff is how long a failed parent is not polled again.
func (t timing) failedParentBackoff() time.Duration { return t.contactTimeout / 2 }

// reselectTime returns when to reselect the parent although it responds. Reselecting
// whenever a node joins or leaves would keep the tree unstable while many do. The time
// is jittered so that nodes do not change their parents simultaneously.
func (t timing) reselectTime(now time.Time) time.Time {
	return now.Add(t.contactTimeout/4 - rand.N(t.contactTimeout/16))
}

// retryDelay returns the jittered delay after no parent responded.
func (t timing) retryDelay() time.Duration {
	return t.contactTimeout/80 + rand.N(t.contactTimeout/80)
}

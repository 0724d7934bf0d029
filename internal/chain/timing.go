package chain

import "time"

// timing derives all durations of the chain from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct {
	contactTimeout time.Duration
}

// heartbeatInterval is the interval between heartbeats of the head and between checks
// of the neighbors. Several heartbeats fit into neighborTimeout, so that the loss
// of a single one does not cause a reconfiguration.
func (t timing) heartbeatInterval() time.Duration { return t.contactTimeout / 16 }

// inactiveInterval replaces heartbeatInterval while no update has been committed in
// the view. It is shorter because the members behind may start at any moment.
func (t timing) inactiveInterval() time.Duration { return t.contactTimeout / 80 }

// forwardTimeout limits the time of an update to the tail and back. It is shorter than
// neighborTimeout, so that an update blocked by a failed member has failed before the
// view changes.
func (t timing) forwardTimeout() time.Duration { return t.contactTimeout / 5 }

// installGrace is how long the installation of a view waits for an update in progress
// before canceling it.
func (t timing) installGrace() time.Duration { return t.contactTimeout / 16 }

// statusTimeout limits the wait for answers to a StatusRequest or to the announcement
// of a view. A running core answers immediately.
func (t timing) statusTimeout() time.Duration { return t.contactTimeout / 16 }

// readTimeout limits the wait for a majority that confirms the view of a read.
func (t timing) readTimeout() time.Duration { return t.contactTimeout / 8 }

// contactGap is how long a proof of contact with all members is valid.
func (t timing) contactGap() time.Duration { return t.contactTimeout / 2 }

// neighborTimeout is the time without a committed update after which a member starts a
// reconfiguration: four heartbeats.
func (t timing) neighborTimeout() time.Duration { return t.contactTimeout / 4 }

// probeAfter is the time without a committed update after which a member probes the
// host of its predecessor: two heartbeats.
func (t timing) probeAfter() time.Duration { return t.contactTimeout / 8 }

// startGrace is the time after its start during which a core starts no
// reconfiguration, because cores that start together do not all come up at once.
func (t timing) startGrace() time.Duration { return t.contactTimeout / 8 }

// startLogGrace is the time after its start during which a core does not log failed
// heartbeats.
func (t timing) startLogGrace() time.Duration { return t.contactTimeout / 4 }

// reconfigureInterval is the minimum time between two reconfiguration attempts.
func (t timing) reconfigureInterval() time.Duration { return t.contactTimeout / 16 }

// proposalStagger is the delay between the proposals of successive members of the next
// view, so that proposers rarely compete.
func (t timing) proposalStagger() time.Duration { return t.contactTimeout / 16 }

// proposalTimeout limits one proposal of a view, including all its rounds.
func (t timing) proposalTimeout() time.Duration { return t.contactTimeout / 4 }

// voterLostAfter is the time without an answer after which a voter may be replaced or
// removed.
func (t timing) voterLostAfter() time.Duration { return t.contactTimeout / 2 }

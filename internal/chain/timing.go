package chain

import "time"

// timing derives all durations of the chain from the contact timeout, the time
// after which a machine that does not answer counts as lost.
type timing struct {
	contactTimeout time.Duration
}

// heartbeatInterval is the time between two heartbeats of the head, and between
// two looks at the neighbors. Several fit into neighborTimeout, so that a lost
// one alone changes nothing.
func (t timing) heartbeatInterval() time.Duration { return t.contactTimeout / 16 }

// inactiveInterval takes the place of heartbeatInterval while no update has come
// through in the view: the members that follow may start at any moment.
func (t timing) inactiveInterval() time.Duration { return t.contactTimeout / 80 }

// forwardTimeout bounds how long an update may take to the tail and back. It is
// shorter than neighborTimeout, so that an update which is stuck at a lost
// member has failed by the time the view changes.
func (t timing) forwardTimeout() time.Duration { return t.contactTimeout / 5 }

// installGrace is how long a new view waits for an update that is under way
// before it cancels it.
func (t timing) installGrace() time.Duration { return t.contactTimeout / 16 }

// statusTimeout bounds the wait for the answers to a StatusRequest or to the
// announcement of a view. A core that runs answers at once.
func (t timing) statusTimeout() time.Duration { return t.contactTimeout / 16 }

// readTimeout bounds the wait for a majority that confirms the view of a read.
func (t timing) readTimeout() time.Duration { return t.contactTimeout / 8 }

// contactGap is how long one proof of contact with all members lasts.
func (t timing) contactGap() time.Duration { return t.contactTimeout / 2 }

// neighborTimeout is how long no update may come through before the member
// calls for another view: four heartbeats.
func (t timing) neighborTimeout() time.Duration { return t.contactTimeout / 4 }

// probeAfter is how long no update may come through before the member asks its
// predecessor's machine whether a core runs there: two heartbeats.
func (t timing) probeAfter() time.Duration { return t.contactTimeout / 8 }

// startGrace is how long after its start a core calls for no other view: cores
// that start together are not all there at once.
func (t timing) startGrace() time.Duration { return t.contactTimeout / 8 }

// startLogGrace is how long after its start a core logs no failed heartbeat.
func (t timing) startLogGrace() time.Duration { return t.contactTimeout / 4 }

// reconfigureInterval is the least time between two tries to change the view.
func (t timing) reconfigureInterval() time.Duration { return t.contactTimeout / 16 }

// proposalStagger is how long each member of the next view lets the one before
// it go first, so that proposers seldom compete.
func (t timing) proposalStagger() time.Duration { return t.contactTimeout / 16 }

// proposalTimeout bounds one proposal of a view, with all its rounds.
func (t timing) proposalTimeout() time.Duration { return t.contactTimeout / 4 }

// voterLostAfter is how long a voter must not have answered before it may lose
// its vote.
func (t timing) voterLostAfter() time.Duration { return t.contactTimeout / 2 }

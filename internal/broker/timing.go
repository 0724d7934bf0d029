package broker

import "time"

// timing derives the times of a broker from the contact timeout and the bounds of
// the topics.
type timing struct {
	contactTimeout time.Duration
	retransmit     time.Duration // how long a client may send a number again
}

// sweepInterval is how often messages that are past their retention and sessions without
// a gateway are dropped.
func (t timing) sweepInterval() time.Duration { return t.contactTimeout / 8 }

// sessionTimeout is how long a session outlives the last poll: a gateway polls
// again at once, so it is gone, or cut off and begins a new session later.
func (t timing) sessionTimeout() time.Duration { return t.contactTimeout / 2 }

// extraRetention is how much longer than its space says a message is kept: a
// client that was away for just the retention still has to connect and to ask,
// clocks of stores differ, and a client may send the number of a message again
// for some time.
func (t timing) extraRetention() time.Duration { return 2*t.contactTimeout + t.retransmit }

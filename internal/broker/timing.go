package broker

import "time"

// timing derives the broker's intervals and timeouts from the contact timeout and the
// retransmission period.
type timing struct {
	contactTimeout time.Duration
	retransmit     time.Duration // how long a client may retransmit a message number
}

// sweepInterval is the interval between two sweeps, which delete expired messages and sessions
// that are no longer polled.
func (t timing) sweepInterval() time.Duration { return t.contactTimeout / 8 }

// sessionTimeout is how long a session is kept after its last poll. A gateway polls again
// immediately, so one that does not has stopped, or is disconnected and will begin a new
// session.
func (t timing) sessionTimeout() time.Duration { return t.contactTimeout / 2 }

// extraRetention is how much longer a message is kept than the retention of its space. A
// client that was disconnected for the whole retention still has to connect and subscribe,
// clocks of stores differ, and a client may retransmit a message number for some time.
func (t timing) extraRetention() time.Duration { return 2*t.contactTimeout + t.retransmit }

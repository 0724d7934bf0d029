package gateway

import (
	"time"

	"saltreel/internal/settings"
)

// timing derives the times of a gateway from the settings: the contact bound, the
// grace period, and what clients keep to.
type timing struct {
	contact  time.Duration
	grace    time.Duration
	ping     time.Duration // a client says something at least this often
	presence time.Duration // how old a count of subscribers may be
}

func newTiming(set *settings.Settings) timing {
	return timing{
		contact:  set.ContactTimeout(),
		grace:    settings.Seconds(set.Timers.GraceS),
		ping:     settings.Seconds(set.Timers.PingIntervalS),
		presence: settings.Milliseconds(set.Timers.PresenceMs),
	}
}

// placementWait is how long a new client waits for the first configuration and
// placement. After a loss of all power they come within about a second, and a client
// that is refused comes back later than that.
func (t timing) placementWait() time.Duration { return t.contact / 5 }

// idleTimeout is how long a client may say nothing until it is dropped.
func (t timing) idleTimeout() time.Duration { return 3 * t.ping }

// present is how long after its last word a client counts as a subscriber.
func (t timing) present() time.Duration { return t.ping * 3 / 2 }

// maxHold bounds how long reads from a connection stop over a quota: a client
// whose PING is not answered resets its connection after 2.5 ping intervals.
func (t timing) maxHold() time.Duration { return t.ping / 2 }

// write is how long a client may take nothing of what waits for it. It would have
// reset the connection by then if it were there.
func (t timing) write() time.Duration { return t.ping * 5 / 2 }

// publishAnswer is when a message is answered at the latest, of the time after
// which its client resets the connection.
func (t timing) publishAnswer(timeout time.Duration) time.Duration { return timeout * 4 / 5 }

// publishAttempt bounds one call to a broker.
func (t timing) publishAttempt() time.Duration { return t.contact / 6 }

// repeat is how long after UNKNOWN a message keeps its place: the client sends its
// number again within it.
func (t timing) repeat() time.Duration { return t.contact / 4 }

// retry is the delay before a broker is asked again for what it refused, or after
// it did not answer. A new placement ends it.
func (t timing) retry() time.Duration { return t.contact / 100 }

// suspect is how long a broker may have no answer until it is reported. Several
// writes to a slow disk fit into it.
func (t timing) suspect() time.Duration { return t.contact / 10 }

// follow bounds one call that changes what is followed. A call that is given up is
// made again from the start, so it is long enough for an answer that shares a thin
// link with those of all other brokers.
func (t timing) follow() time.Duration { return t.contact / 3 }

// transfer is how long the answers of all brokers at once may occupy the link.
func (t timing) transfer() time.Duration { return t.contact / 12 }

// pollWait is how long a poll waits at the broker, and poll bounds the call.
func (t timing) pollWait() time.Duration { return t.contact / 4 }
func (t timing) poll() time.Duration     { return t.pollWait() + t.contact/4 }

// count bounds one question how many subscribers a topic has, and countAnswer the
// answer to the client.
func (t timing) count() time.Duration       { return t.contact / 24 }
func (t timing) countAnswer() time.Duration { return t.contact / 4 }

// unusedFeed is how long a topic without subscribers is followed on: most of those
// who lost their connection come back within it.
func (t timing) unusedFeed() time.Duration { return t.contact }

// countReport is how often changed numbers of subscribers are reported.
func (t timing) countReport() time.Duration { return t.presence / 8 }

// redirects is the time over which clients are sent to other gateways when the
// process is to stop, and drain that after which the last connections close.
func (t timing) redirects() time.Duration { return t.grace * 2 / 5 }
func (t timing) drain() time.Duration     { return t.grace * 4 / 5 }

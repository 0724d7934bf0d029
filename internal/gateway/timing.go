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
		contact:  set.Contact(),
		grace:    settings.Seconds(set.Timers.GraceS),
		ping:     settings.Seconds(set.Timers.PingIntervalS),
		presence: settings.Ms(set.Timers.PresenceMs),
	}
}

// placementTimeout is how long a new client waits for the first configuration and
// placement. After a loss of all power they come within about a second, and a client
// that is refused comes back later than that.
func (t timing) placementTimeout() time.Duration { return t.contact / 5 }

// idleTimeout is how long a client may say nothing until it is dropped.
func (t timing) idleTimeout() time.Duration { return 3 * t.ping }

// presenceTimeout is how long after its last word a client counts as a subscriber.
func (t timing) presenceTimeout() time.Duration { return t.ping * 3 / 2 }

// maxReadThrottle bounds how long reads from a connection stop over a quota: a client
// whose PING is not answered resets its connection after 2.5 ping intervals.
func (t timing) maxReadThrottle() time.Duration { return t.ping / 2 }

// writeTimeout is how long a client may take nothing of what waits for it. It would have
// reset the connection by then if it were there.
func (t timing) writeTimeout() time.Duration { return t.ping * 5 / 2 }

// publishDeadline is when a message is answered at the latest, of the time after
// which its client resets the connection.
func (t timing) publishDeadline(timeout time.Duration) time.Duration { return timeout * 4 / 5 }

// publishCallTimeout bounds one call to a broker.
func (t timing) publishCallTimeout() time.Duration { return t.contact / 6 }

// retransmitWindow is how long after UNKNOWN a message keeps its place: the client sends its
// number again within it.
func (t timing) retransmitWindow() time.Duration { return t.contact / 4 }

// retryDelay is the delay before a broker is asked again for what it refused, or after
// it did not answer. A new placement ends it.
func (t timing) retryDelay() time.Duration { return t.contact / 100 }

// suspectTimeout is how long a broker may have no answer until it is reported. Several
// writes to a slow disk fit into it.
func (t timing) suspectTimeout() time.Duration { return t.contact / 10 }

// followTimeout bounds one call that changes what is followed. A call that is given up is
// made again from the start, so it is long enough for an answer that shares a thin
// link with those of all other brokers.
func (t timing) followTimeout() time.Duration { return t.contact / 3 }

// transferTime is how long the answers of all brokers at once may occupy the link.
func (t timing) transferTime() time.Duration { return t.contact / 12 }

// pollWait is how long a poll waits at the broker, and poll bounds the call.
func (t timing) pollWait() time.Duration    { return t.contact / 4 }
func (t timing) pollTimeout() time.Duration { return t.pollWait() + t.contact/4 }

// countCallTimeout bounds one question how many subscribers a topic has, and countAnswer the
// answer to the client.
func (t timing) countCallTimeout() time.Duration { return t.contact / 24 }
func (t timing) countTimeout() time.Duration     { return t.contact / 4 }

// unusedFeedRetention is how long a topic without subscribers is followed on: most of those
// who lost their connection come back within it.
func (t timing) unusedFeedRetention() time.Duration { return t.contact }

// countReportInterval is how often changed numbers of subscribers are reported.
func (t timing) countReportInterval() time.Duration { return t.presence / 8 }

// redirectPeriod is the time over which clients are sent to other gateways when the
// process is to stop, and drain that after which the last connections close.
func (t timing) redirectPeriod() time.Duration { return t.grace * 2 / 5 }
func (t timing) drainTimeout() time.Duration   { return t.grace * 4 / 5 }

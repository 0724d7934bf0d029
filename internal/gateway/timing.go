package gateway

import (
	"time"

	"saltreel/internal/settings"
)

// timing derives the gateway's intervals and timeouts from the settings: the contact timeout,
// the grace period, and the intervals that clients keep to.
type timing struct {
	contact  time.Duration
	grace    time.Duration
	ping     time.Duration // clients send something at least this often
	presence time.Duration // maximum age of a subscriber count
}

func newTiming(set *settings.Settings) timing {
	return timing{
		contact:  set.ContactTimeout(),
		grace:    settings.Seconds(set.Timers.GraceS),
		ping:     settings.Seconds(set.Timers.PingIntervalS),
		presence: settings.Milliseconds(set.Timers.PresenceMs),
	}
}

// placementTimeout is how long a new client waits for the first configuration and placement.
// After a total power loss they arrive within about a second, whereas a rejected client
// reconnects later than that.
func (t timing) placementTimeout() time.Duration { return t.contact / 5 }

// idleTimeout is how long a client may send nothing before its connection is closed.
func (t timing) idleTimeout() time.Duration { return 3 * t.ping }

// presenceTimeout is how long after its last message a client counts as a subscriber.
func (t timing) presenceTimeout() time.Duration { return t.ping * 3 / 2 }

// maxReadThrottle limits how long reads from a connection are paused because of a quota: a
// client whose PING is not answered resets its connection after 2.5 ping intervals.
func (t timing) maxReadThrottle() time.Duration { return t.ping / 2 }

// writeTimeout is how long a client may accept no data while data is queued for it. A live
// client would have reset the connection by then.
func (t timing) writeTimeout() time.Duration { return t.ping * 5 / 2 }

// publishDeadline is the time within which a PUBLISH is answered, given the timeout after
// which its client resets the connection.
func (t timing) publishDeadline(timeout time.Duration) time.Duration { return timeout * 4 / 5 }

// publishCallTimeout limits one publish call to a broker.
func (t timing) publishCallTimeout() time.Duration { return t.contact / 6 }

// retransmitWindow is how long a message keeps its place in the queue after UNKNOWN. The
// client retransmits its number within that time.
func (t timing) retransmitWindow() time.Duration { return t.contact / 4 }

// retryDelay is the delay before a call is repeated that a broker refused or did not answer. A
// new placement ends it early.
func (t timing) retryDelay() time.Duration { return t.contact / 100 }

// suspectTimeout is how long a broker may take to respond before it is reported. It leaves
// time for several writes to a slow disk.
func (t timing) suspectTimeout() time.Duration { return t.contact / 10 }

// followTimeout limits one follow or read call. An abandoned call is repeated from the start,
// so the timeout is long enough for a response that shares a slow link with those of all other
// brokers.
func (t timing) followTimeout() time.Duration { return t.contact / 3 }

// transferTime is how long the concurrent responses of all brokers may occupy the link.
func (t timing) transferTime() time.Duration { return t.contact / 12 }

// pollWait is how long a poll waits at the broker; pollTimeout limits the call.
func (t timing) pollWait() time.Duration    { return t.contact / 4 }
func (t timing) pollTimeout() time.Duration { return t.pollWait() + t.contact/4 }

// countCallTimeout limits one call for a subscriber count; countTimeout limits the response to
// the client.
func (t timing) countCallTimeout() time.Duration { return t.contact / 24 }
func (t timing) countTimeout() time.Duration     { return t.contact / 4 }

// unusedFeedRetention is how long a topic without subscribers is still followed. Most clients
// that lost their connection return within that time.
func (t timing) unusedFeedRetention() time.Duration { return t.contact }

// countReportInterval is the interval at which changed subscriber counts are reported.
func (t timing) countReportInterval() time.Duration { return t.presence / 8 }

// redirectPeriod is the time over which clients are redirected to other gateways at shutdown;
// drainTimeout is the time after which the remaining connections are closed.
func (t timing) redirectPeriod() time.Duration { return t.grace * 2 / 5 }
func (t timing) drainTimeout() time.Duration   { return t.grace * 4 / 5 }

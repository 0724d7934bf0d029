package node

import "time"

// timing derives the timeouts and intervals of a node from the contact timeout of the
// settings (timers.contact-ms).
type timing struct {
	contactTimeout time.Duration
}

// heartbeatInterval is the time between two heartbeats. A store is suspected after an
// eighth of the contact timeout without heartbeats, since messages wait for it: two
// heartbeat intervals of a store fit into that time.
func (t timing) heartbeatInterval(role string) time.Duration {
	interval := t.contactTimeout / 4
	if role == "store" {
		interval /= 4
	}
	return interval
}

// heartbeatTimeout bounds one heartbeat call, so that at most two calls to the same
// core are in flight.
func (t timing) heartbeatTimeout(role string) time.Duration { return 2 * t.heartbeatInterval(role) }

// startupRetryDelay is how long a starting store waits before it repeats its first
// heartbeat to a core that refused the connection.
func (t timing) startupRetryDelay() time.Duration { return t.contactTimeout / 80 }

// trafficInterval is how often the traffic of the calls is logged.
func (t timing) trafficInterval() time.Duration { return 4 * t.contactTimeout }

// reportInterval is the minimum time between two failure reports about the same node.
// A report about a node that did not refuse the connection must also be this much later
// than the last report about any node.
func (t timing) reportInterval() time.Duration { return t.contactTimeout / 20 }

// reportTimeout bounds one failure report. The controller responds before it
// probes the node.
func (t timing) reportTimeout() time.Duration { return t.contactTimeout / 8 }

// inSyncTimeout bounds one report of in-sync replicas to one core; the cores are tried
// one after the other.
func (t timing) inSyncTimeout() time.Duration { return t.contactTimeout / 16 }

// placementPollInterval is how often a request that arrived before the first placement
// checks for it.
func (t timing) placementPollInterval() time.Duration { return t.contactTimeout / 400 }

// journalRetention is how long the journal keeps tombstones, such as those of deleted
// nodes.
func (t timing) journalRetention() time.Duration { return 16 * t.contactTimeout }

// watchDialTimeout bounds opening a connection to the parent, so that an unresponsive
// host does not delay the attempt at the next candidate.
func (t timing) watchDialTimeout() time.Duration { return t.contactTimeout / 16 }

// watchMaxWait bounds the long poll of a child. It exceeds the wait that children
// request, a quarter of the contact timeout.
func (t timing) watchMaxWait() time.Duration { return t.contactTimeout / 2 }

// watchBatchDelay is how long non-urgent events are batched for one response to a
// child.
func (t timing) watchBatchDelay() time.Duration { return t.contactTimeout / 32 }

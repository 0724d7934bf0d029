package node

import "time"

// timing derives the bounds of a node's calls from the contact bound of the
// settings (timers.contact-ms).
type timing struct {
	contactTimeout time.Duration
}

// heartbeatInterval is the time between two heartbeats. A store whose heartbeats
// stop is suspected after an eighth of the contact bound, since messages wait for
// it: two of its heartbeats fit into that.
func (t timing) heartbeatInterval(role string) time.Duration {
	interval := t.contactTimeout / 4
	if role == "store" {
		interval /= 4
	}
	return interval
}

// heartbeatTimeout bounds one heartbeat call, so that at most two to the same
// core are under way.
func (t timing) heartbeatTimeout(role string) time.Duration { return 2 * t.heartbeatInterval(role) }

// startupRetryDelay is how long a store that just started waits before it sends
// its first heartbeat again to a core where nothing listens yet.
func (t timing) startupRetryDelay() time.Duration { return t.contactTimeout / 80 }

// trafficInterval is how often the calls made are logged.
func (t timing) trafficInterval() time.Duration { return 4 * t.contactTimeout }

// reportInterval is the least time between two failure reports of one node, and
// between two reports of any node that did not refuse a connection.
func (t timing) reportInterval() time.Duration { return t.contactTimeout / 20 }

// reportTimeout bounds one failure report. The controller answers it before it
// probes the node.
func (t timing) reportTimeout() time.Duration { return t.contactTimeout / 8 }

// inSyncTimeout bounds one report of replicas in sync to one core; the cores are
// asked one after the other.
func (t timing) inSyncTimeout() time.Duration { return t.contactTimeout / 16 }

// placementPollInterval is how often a request that came before the first
// placement looks for it.
func (t timing) placementPollInterval() time.Duration { return t.contactTimeout / 400 }

// journalRetention is how long the journal remembers that a node was deleted.
func (t timing) journalRetention() time.Duration { return 16 * t.contactTimeout }

// watchDialTimeout bounds the opening of a connection to the parent: one whose
// machine does not answer must not keep this node from the next.
func (t timing) watchDialTimeout() time.Duration { return t.contactTimeout / 16 }

// watchMaxWait bounds the long poll of a child. It is above what children ask
// for, a quarter of the contact bound.
func (t timing) watchMaxWait() time.Duration { return t.contactTimeout / 2 }

// watchBatchDelay is how long events that are not urgent are gathered for one
// answer to a child.
func (t timing) watchBatchDelay() time.Duration { return t.contactTimeout / 32 }

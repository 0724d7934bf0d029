package registry

import "time"

// timing derives the durations of the registry from the contact timeout
// (timers.contact-ms), the time within which the system detects and replaces a failed
// node.
type timing struct {
	contactTimeout    time.Duration
	keepaliveInterval time.Duration // interval between the heartbeats of a handler
}

// staleHeartbeatWindow is how long heartbeats of an earlier incarnation of a node
// are ignored. The current incarnation sends at least one heartbeat in that time.
func (t timing) staleHeartbeatWindow() time.Duration { return t.contactTimeout / 2 }

// coreRecency is the maximum age of the newest heartbeat of a core that counts as
// running: two rounds of anti-entropy.
func (t timing) coreRecency() time.Duration { return t.contactTimeout / 2 }

// coreCacheAge is the maximum age of the cached list of cores, which is consulted
// for every heartbeat of a handler. Building the list scans all records.
func (t timing) coreCacheAge() time.Duration { return t.contactTimeout / 40 }

// broadcastDelay is how long a changed entry is held back so that others are sent
// with it. It is short compared with a call, but long enough to batch the entries
// of many nodes that start at the same time.
func (t timing) broadcastDelay() time.Duration { return t.contactTimeout / 400 }

// syncTimeout bounds one anti-entropy exchange: half the interval between rounds.
func (t timing) syncTimeout() time.Duration { return t.contactTimeout / 8 }

// loadTimeout bounds one attempt to load the tombstones of a quorum, and the call for
// one page: a few round trips between regions.
func (t timing) loadTimeout() time.Duration { return t.contactTimeout / 16 }

// loadRetryDelay is the delay after a failed attempt to load. It is short, since
// handlers are not served in the meantime.
func (t timing) loadRetryDelay() time.Duration { return t.contactTimeout / 80 }

// loadCheckInterval is how often a loaded registry checks whether it has to load
// again.
func (t timing) loadCheckInterval() time.Duration { return t.contactTimeout / 40 }

// quorumTimeout bounds how long a handler waits until its draining or deregistration is
// on the disks of a quorum.
func (t timing) quorumTimeout() time.Duration { return t.contactTimeout / 5 }

// quorumAttemptTimeout bounds one attempt to persist a tombstone on a quorum. It leaves
// time for a second attempt after a change of the voters.
func (t timing) quorumAttemptTimeout() time.Duration { return t.contactTimeout / 10 }

// quorumRetryDelay is the delay between two attempts, about the time that a change
// of the voters takes.
func (t timing) quorumRetryDelay() time.Duration { return t.contactTimeout / 80 }

// nodeExpiry is how long after its last heartbeat a node expires: three heartbeat
// intervals.
func (t timing) nodeExpiry() time.Duration { return t.contactTimeout * 3 / 4 }

// instanceExpiry is how long after its last heartbeat an instance expires. Two
// heartbeats may be lost.
func (t timing) instanceExpiry() time.Duration { return 3 * t.keepaliveInterval }

// contactBeforeExpiry is how long this core must have been in contact before it
// expires anything: a core that was isolated does not know which heartbeats the
// others received.
func (t timing) contactBeforeExpiry() time.Duration { return max(t.contactTimeout, t.instanceExpiry()) }

// tombstoneRetentionPeriods is the number of expiry periods after the last heartbeat
// for which the record of an absent instance or node is retained. No heartbeat is
// delayed for that long.
const tombstoneRetentionPeriods = 16

// TombstoneBatchDelay is how long a tombstone waits for others to be written in the
// same transaction: about the duration of one disk sync.
const TombstoneBatchDelay = 2 * time.Millisecond

package registry

import "time"

// timing derives the durations of the registry from contact-ms, the time within
// which the system notices that a machine is lost.
type timing struct {
	contact           time.Duration
	keepaliveInterval time.Duration // between two heartbeats of a handler
}

// staleHeartbeatWindow is how long a heartbeat of an earlier incarnation of a
// node is ignored: as long as the current one is certain to send one.
func (t timing) staleHeartbeatWindow() time.Duration { return t.contact / 2 }

// coreRecency is how old the newest heartbeat of a core may be for it to count
// as running: two rounds of anti-entropy.
func (t timing) coreRecency() time.Duration { return t.contact / 2 }

// coreCacheAge is how old the list of cores may be that each heartbeat of a
// handler looks at: listing goes through all handlers.
func (t timing) coreCacheAge() time.Duration { return t.contact / 40 }

// broadcastDelay is how long an entry waits for others to be sent together:
// short beside a call, long enough for a fleet that starts at once.
func (t timing) broadcastDelay() time.Duration { return t.contact / 400 }

// syncTimeout bounds one exchange: half a round.
func (t timing) syncTimeout() time.Duration { return t.contact / 8 }

// loadTimeout bounds the attempt to load from a majority: a few round trips
// between regions.
func (t timing) loadTimeout() time.Duration { return t.contact / 16 }

// loadRetryDelay is the wait after an attempt to load that failed. Handlers
// are not served meanwhile, so it is short.
func (t timing) loadRetryDelay() time.Duration { return t.contact / 80 }

// loadCheckInterval is how often a loaded registry checks that it still is.
func (t timing) loadCheckInterval() time.Duration { return t.contact / 40 }

// quorumTimeout bounds how long a handler waits for its deregistration.
func (t timing) quorumTimeout() time.Duration { return t.contact / 5 }

// quorumAttemptTimeout is short enough for a second attempt under the next voters.
func (t timing) quorumAttemptTimeout() time.Duration { return t.contact / 10 }

// quorumRetryDelay is the wait between two attempts: a change of voters needs
// about as long.
func (t timing) quorumRetryDelay() time.Duration { return t.contact / 80 }

// nodeExpiry is how long a node may send no heartbeat: three rounds.
func (t timing) nodeExpiry() time.Duration { return t.contact * 3 / 4 }

// instanceExpiry is how long an instance may send no heartbeat: two may be lost.
func (t timing) instanceExpiry() time.Duration { return 3 * t.keepaliveInterval }

// contactBeforeExpiry is how long this core must have been in contact before it
// expires anything: a core that was out of contact cannot say who was reachable.
func (t timing) contactBeforeExpiry() time.Duration { return max(t.contact, t.instanceExpiry()) }

// tombstoneRetentionPeriods is how many expiries after its last heartbeat an entry that
// is no longer there is dropped: no heartbeat is under way for that long.
const tombstoneRetentionPeriods = 16

// TombstoneBatchDelay is how long a tombstone waits for others to be synced
// with: about the duration of a sync.
const TombstoneBatchDelay = 2 * time.Millisecond

package registry

import (
	"sync"

	"saltreel/internal/chain"
)

// Tombstones are not stored in the chain: each is held by a majority of the voters.
// After a change of the voters, a majority of the new voters need not intersect the
// majority of the old ones that holds a tombstone. Therefore a tombstone is persisted
// for a quorum epoch, the period between two changes of the voters:
//
//   - A voter persists a tombstone only while its epoch is in force, and checks that
//     again after the write.
//   - A core is complete for an epoch once it has the tombstones of a majority of
//     the epoch's voters that are all complete for it, or of a majority of the
//     previous voters that are all complete for the previous epoch and have already
//     entered the new one. Every tombstone acknowledged before the epoch is then on
//     its disk.
//   - The voters change again only when a majority of them is complete.

// completeness tracks which part of the state of a quorum this core may lack.
type completeness struct {
	mu            sync.Mutex
	loaded        bool  // a quorum has sent its tombstones since the start
	stale         bool  // this core has been out of contact since it loaded
	completeEpoch int64 // all tombstones acknowledged before this quorum epoch are on this disk
}

func (c *completeness) reset(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeEpoch = epoch
}

func (c *completeness) completedEpoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeEpoch
}

// isLoaded reports whether a quorum has sent its tombstones since the start.
func (c *completeness) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// isCompleteFor reports whether this core is loaded and complete for an epoch.
func (c *completeness) isCompleteFor(epoch int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && c.completeEpoch >= epoch
}

// isUpToDate reports whether this core is loaded and has been in contact ever since.
func (c *completeness) isUpToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && !c.stale
}

// updateStale marks the state stale if contact was lost, and returns the flags.
func (c *completeness) updateStale(lostContact bool) (loaded, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = c.stale || lostContact
	return c.loaded, c.stale
}

// clearStale records that the state was loaded again while in contact.
func (c *completeness) clearStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = false
}

// setLoaded sets the loaded flag and reports whether it was unset before.
func (c *completeness) setLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.loaded
	c.loaded = true
	return first
}

func (c *completeness) raise(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeEpoch = max(c.completeEpoch, epoch)
}

// loadResponses holds the responses to a load, by the core that sent them.
type loadResponses map[chain.Member]*SyncResponse

// hasQuorum reports whether the responses, together with this core's own state, make
// this core complete for the epoch of a view, and how many voters it counted.
func (responses loadResponses) hasQuorum(view chain.View, self chain.Member, completeEpoch int64) (n int, ok bool) {
	majority := func(voters []chain.Member, epoch int64) (int, bool) {
		return chain.CountMembers(voters, func(m chain.Member) bool {
			if m == self {
				return completeEpoch >= epoch
			}
			response := responses[m]
			return response != nil && response.View.QuorumEpoch >= view.QuorumEpoch && response.CompleteEpoch >= epoch
		})
	}
	if n, ok = majority(view.Voters, view.QuorumEpoch); ok {
		return n, true
	}
	return majority(view.PreviousVoters, view.PreviousQuorumEpoch)
}

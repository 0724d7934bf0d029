package registry

import (
	"sync"

	"saltreel/internal/chain"
)

// Tombstones are not in the chain: a majority of the voters holds each. When the
// voters change, a majority of the new ones need not intersect that majority of
// the old. So a tombstone is persisted for a quorum epoch, the time between two
// changes of the voters:
//
//   - A voter persists it only while that epoch is in force, and checks so again
//     after the write.
//   - A core is complete for an epoch once it has the tombstones of a majority
//     of its voters, all complete, or of a majority of the voters before, all
//     complete for their epoch and already in the new one. Whatever was
//     acknowledged before is on its disk then.
//   - The voters change again only when a majority of them is complete.

// completeness is what this core may lack of what a quorum knows.
type completeness struct {
	mu            sync.Mutex
	loaded        bool  // since the start, a quorum has sent its entries
	stale         bool  // this core was out of contact since it loaded
	completeEpoch int64 // the tombstones acknowledged before this quorum epoch are on this disk
}

func (c *completeness) reset(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeEpoch = epoch
}

func (c *completeness) currentEpoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeEpoch
}

// isLoaded says whether a quorum has sent its entries since the start.
func (c *completeness) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// completeFor says whether this core is loaded, and complete for an epoch.
func (c *completeness) completeFor(epoch int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && c.completeEpoch >= epoch
}

// upToDate says whether this core is loaded and was in contact ever since.
func (c *completeness) upToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && !c.stale
}

// updateStale notes that this core lost contact, and gives the state.
func (c *completeness) updateStale(lostContact bool) (loaded, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = c.stale || lostContact
	return c.loaded, c.stale
}

// clearStale ends being stale.
func (c *completeness) clearStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = false
}

// setLoaded says whether this is the first time.
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

// loadResponses are the answers of other cores that loaded their entries.
type loadResponses map[chain.Member]*SyncResponse

// hasQuorum says whether the responses, with what this core itself has, make it
// complete for the epoch of a view, and how many cores they come from.
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

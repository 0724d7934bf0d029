package registry

import (
	"context"

	"saltreel/internal/chain"
	"saltreel/internal/timeutil"
)

// VoterReady reports whether this core holds what a voter must hold: all tombstones
// acknowledged before the quorum epoch in force.
func (r *Registry) VoterReady() bool {
	return r.completeness.isCompleteFor(r.config.Chain.View().QuorumEpoch)
}

// InContactWithQuorum reports whether the instances and nodes known to this core are
// current: it has loaded from a quorum since it was last out of contact.
func (r *Registry) InContactWithQuorum() bool {
	return r.completeness.isUpToDate() && r.config.Chain.InContact()
}

// RunLoader loads from the other cores whenever this core may lack state that a
// quorum has: after its start, after a change of the voters, and after a loss of
// contact. It returns when ctx ends.
func (r *Registry) RunLoader(ctx context.Context) {
	everInContact := false
	var pages pageCursor
	for ctx.Err() == nil {
		inContact := r.config.Chain.InContact()
		loaded, stale := r.completeness.updateStale(everInContact && !inContact)
		everInContact = everInContact || inContact
		canRefresh := stale && inContact
		if r.VoterReady() && !canRefresh {
			timeutil.Sleep(ctx, r.timing.loadCheckInterval())
			continue
		}
		if !loaded {
			// An error is ignored: if all other cores are starting too, none of them sends
			// pages, and this core has to become complete without them.
			_ = r.loadPages(ctx, &pages)
		}
		if r.load(ctx) != nil {
			timeutil.Sleep(ctx, r.timing.loadRetryDelay())
			continue
		}
		if inContact {
			r.completeness.clearStale()
		}
	}
}

// peerResponse is the response of a core, nil if the call failed.
type peerResponse struct {
	from     chain.Member
	response *SyncResponse
}

// load requests the tombstones of all other cores concurrently. It returns nil once
// this core is complete for the quorum epoch in force.
func (r *Registry) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timing.loadTimeout())
	defer cancel()
	view := r.config.Chain.View()
	peers := r.loadPeers(view)
	results := make(chan peerResponse, len(peers))
	for _, peer := range peers {
		r.config.Go(func(context.Context) { results <- r.fetchTombstones(ctx, peer, view) })
	}
	responses := loadResponses{}
	if r.tryComplete(responses) { // this core is the only voter
		return nil
	}
	for range peers {
		result := <-results
		if result.response == nil || result.response.View == nil {
			continue
		}
		if err := r.config.Chain.InstallView(ctx, *result.response.View); err != nil {
			return err
		}
		if err := r.merge(result.response.Entries); err != nil {
			return err
		}
		responses[result.from] = result.response
		if r.tryComplete(responses) {
			return nil
		}
	}
	return errNotComplete
}

// loadPeers returns the cores to load from. They include the previous voters, which
// may be the only ones that are complete.
func (r *Registry) loadPeers(view chain.View) []string {
	peers := r.Peers()
	for _, m := range view.PreviousVoters {
		if m.Address != r.config.Address {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

func (r *Registry) fetchTombstones(ctx context.Context, peer string, view chain.View) peerResponse {
	var out SyncResponse
	request := SyncRequest{From: r.config.Address, Want: WantTombstones, View: &view}
	if r.config.Client.Call(ctx, peer, pathSync, request, nil, &out) != nil {
		return peerResponse{}
	}
	return peerResponse{chain.Member{Address: peer, Disk: out.Disk}, &out}
}

// tryComplete reports whether the responses make this core complete, and if so
// records that on disk and in memory.
func (r *Registry) tryComplete(responses loadResponses) bool {
	view := r.config.Chain.View()
	n, ok := responses.hasQuorum(view, r.config.Self(), r.completeness.completedEpoch())
	if !ok {
		return false
	}
	if err := r.raiseCompleteEpoch(view.QuorumEpoch); err != nil {
		r.config.Log.Printf("core: %v", err)
		return false
	}
	if r.completeness.setLoaded() {
		r.config.Log.Printf("core: registry loaded from %d of %d voters", n, len(view.Voters))
	}
	return true
}

func (r *Registry) raiseCompleteEpoch(epoch int64) error {
	if r.completeness.completedEpoch() >= epoch {
		return nil
	}
	if err := r.tombstones.persistCompleteEpoch(epoch); err != nil {
		return err
	}
	r.completeness.raise(epoch)
	return nil
}

package registry

import (
	"context"

	"saltreel/internal/chain"
	"saltreel/internal/timeutil"
)

// VoterReady says whether this core holds what a voter must hold: all tombstones
// that were acknowledged before the quorum epoch in force.
func (r *Registry) VoterReady() bool {
	return r.completeness.completeFor(r.config.Chain.View().QuorumEpoch)
}

// InContactWithQuorum says whether what this core knows of instances and nodes
// is current: it loaded from a quorum since it was last out of contact.
func (r *Registry) InContactWithQuorum() bool {
	return r.completeness.upToDate() && r.config.Chain.InContact()
}

// RunLoader loads from the other cores whenever this core may lack what a quorum
// knows: after its start, when the voters have changed, and when it was out of
// contact. It ends with ctx.
func (r *Registry) RunLoader(ctx context.Context) {
	wasInContact := false
	var pages pageCursor
	for ctx.Err() == nil {
		inContact := r.config.Chain.InContact()
		loaded, stale := r.completeness.updateStale(wasInContact && !inContact)
		wasInContact = wasInContact || inContact
		outdated := stale && inContact
		if r.VoterReady() && !outdated {
			timeutil.Sleep(ctx, r.timing.loadCheckInterval())
			continue
		}
		if !loaded {
			// Without them too this core may become complete: all others may be starting.
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

// peerResponse is the answer of a core; without a response it is a failure.
type peerResponse struct {
	from     chain.Member
	response *SyncResponse
}

// load asks all other cores at once for the tombstones that they know. It returns
// nil when this core is complete for the quorum epoch in force.
func (r *Registry) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timing.loadTimeout())
	defer cancel()
	view := r.config.Chain.View()
	peers := r.loadPeers(view)
	answers := make(chan peerResponse, len(peers))
	for _, peer := range peers {
		r.config.Go(func(context.Context) { answers <- r.fetchTombstones(ctx, peer, view) })
	}
	responses := loadResponses{}
	if r.tryComplete(responses) { // the only voter
		return nil
	}
	for range peers {
		answer := <-answers
		if answer.response == nil || answer.response.View == nil {
			continue
		}
		if err := r.config.Chain.InstallView(ctx, *answer.response.View); err != nil {
			return err
		}
		if err := r.merge(answer.response.Entries); err != nil {
			return err
		}
		responses[answer.from] = answer.response
		if r.tryComplete(responses) {
			return nil
		}
	}
	return errNotComplete
}

// loadPeers are the cores to load from: also the voters before, who may be the
// only ones that are complete.
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

// tryComplete notes, on disk and in memory, that this core is complete if the
// responses are enough for that.
func (r *Registry) tryComplete(responses loadResponses) bool {
	view := r.config.Chain.View()
	n, ok := responses.hasQuorum(view, r.config.Self(), r.completeness.currentEpoch())
	if !ok {
		return false
	}
	if err := r.raiseCompleteEpoch(view.QuorumEpoch); err != nil {
		r.config.Log.Printf("core: %v", err)
		return false
	}
	if r.completeness.setLoaded() {
		r.config.Log.Printf("core: the registry is loaded from %d of %d voters", n, len(view.Voters))
	}
	return true
}

func (r *Registry) raiseCompleteEpoch(epoch int64) error {
	if r.completeness.currentEpoch() >= epoch {
		return nil
	}
	if err := r.tombstones.persistCompleteEpoch(epoch); err != nil {
		return err
	}
	r.completeness.raise(epoch)
	return nil
}

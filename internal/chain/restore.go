package chain

import (
	"context"
	"fmt"
	"maps"
)

// A view is without a complete member where its members that were lost their disks before
// they had filled a new one. Nothing was committed then since that one joined: an update is
// committed once all members hold it, and a member that holds one is complete. So a core that
// was complete for the view before it joined, or for a later one, holds everything. The new
// member takes the state over from it, and is complete. It decides that by itself, while it
// takes no update: no other core has to agree, and a member that was only slow finds it ahead
// or level.

// wasNeverComplete reports whether this replica is a member that was not complete in any view
// since it joined, and since which view it is a member. A disk that was found to be put back
// is marked incomplete, and says nothing of what it held before.
func (r *replica) wasNeverComplete() (sinceView int64, neverComplete bool) {
	i := r.view.indexOf(r.self)
	if i < 0 || r.isComplete() {
		return 0, false
	}
	sinceView = r.view.Members[i].SinceView
	isNew := r.completeForView == 0 && r.sequence == 0
	return sinceView, isNew || r.completeForView > 0 && r.completeForView < sinceView
}

// restoreSource chooses a core from which this member may take the state over: one that was
// complete for the view before this one joined, or for a later one, where no member is
// complete.
func restoreSource(view View, sinceView int64, statuses map[Member]*ReplicaStatus) (source Member, found bool) {
	for _, m := range view.Members {
		if s := statuses[m.identity()]; s != nil && s.Complete {
			return Member{}, false
		}
	}
	for _, v := range view.Voters {
		if s := statuses[v.identity()]; s != nil && s.CompleteForView > 0 && s.CompleteForView >= sinceView-1 {
			return v, true
		}
	}
	return Member{}, false
}

// restore takes the state over from a core that holds everything, if this member is to do
// that. It reports whether it has.
func (c *Chain) restore(ctx context.Context, view View, statuses map[Member]*ReplicaStatus) bool {
	c.mu.Lock()
	sinceView, neverComplete := c.replica.wasNeverComplete()
	c.mu.Unlock()
	if !neverComplete {
		return false
	}
	source, found := restoreSource(view, sinceView, statuses)
	if !found {
		return false
	}
	if err := c.restoreFrom(ctx, view, sinceView, source); err != nil {
		c.config.Log.Printf("chain: restore the state from %s: %v", source.Address, err)
		return false
	}
	c.config.Log.Printf("chain: the state is restored from %s, no member of view %d had it", source.Address, view.Number)
	return true
}

func (c *Chain) restoreFrom(ctx context.Context, view View, sinceView int64, source Member) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.forwardTimeout())
	defer cancel()
	var snapshot Snapshot
	if err := c.config.Client.Call(ctx, source.Address, "/chain/snapshot", SnapshotRequest{Disk: source.Disk}, nil, &snapshot); err != nil {
		return err
	}
	if snapshot.CompleteForView == 0 || snapshot.CompleteForView < sinceView-1 {
		return fmt.Errorf("it is complete for view %d, not for %d", snapshot.CompleteForView, sinceView-1)
	}
	if err := c.acquireUpdateLock(ctx); err != nil {
		return err
	}
	defer c.releaseUpdateLock()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replica
	if currentSince, neverComplete := r.wasNeverComplete(); !neverComplete || currentSince != sinceView || r.view.Number != view.Number {
		return ErrStaleView
	}
	before := r.durableState
	r.sequence = snapshot.Sequence
	r.completeForView = r.view.Number
	if err := c.storage.writeUpdate(r.durableState, r.docs, snapshot.Documents); err != nil {
		r.durableState = before
		return fmt.Errorf("write control state: %w", err)
	}
	r.docs = snapshot.Documents
	r.active = false
	return nil
}

// HandleSnapshot tells what this disk holds.
func (c *Chain) HandleSnapshot(ctx context.Context, request *SnapshotRequest, _ []byte) (*Snapshot, error) {
	if err := c.checkDisk(request.Disk); err != nil {
		return nil, err
	}
	if err := c.acquireUpdateLock(ctx); err != nil { // the disk and memory say the same
		return nil, err
	}
	defer c.releaseUpdateLock()
	if err := c.storage.err(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replica
	return &Snapshot{CompleteForView: r.completeForView, Sequence: r.sequence, Documents: maps.Clone(r.docs)}, nil
}

package chain

import (
	"context"
	"fmt"
	"maps"
)

// A view has no complete member if its complete members lost their disks before a new member
// had received a snapshot. Nothing has been committed since the new member joined: an update is
// committed once all members hold it, and a member that holds one is complete. A core that was
// complete for the view before the new member joined, or for a later view, therefore holds every
// committed update. The new member restores the state from that core and becomes complete. It
// decides this alone, while it accepts no updates: no agreement of other cores is needed, and a
// complete member that was only slow then finds that the new one holds the same or later updates.

// wasNeverComplete reports whether this replica is a member that has not been complete in any
// view since it joined, and returns the view in which it joined. It returns false for a disk
// marked incomplete because an old file was restored: what that disk held before is unknown.
func (r *replica) wasNeverComplete() (sinceView int64, neverComplete bool) {
	i := r.view.indexOf(r.self)
	if i < 0 || r.isComplete() {
		return 0, false
	}
	sinceView = r.view.Members[i].SinceView
	isNew := r.completeForView == 0 && r.sequence == 0
	return sinceView, isNew || r.completeForView > 0 && r.completeForView < sinceView
}

// restoreSource returns a voter from which this member may restore the state: if no member is
// complete, a voter that was complete for the view before sinceView or for a later one.
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

// restore restores the state from another core if this member was never complete and
// restoreSource finds a source. It reports whether the state was restored.
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
		return fmt.Errorf("snapshot is complete for view %d, need view %d or later", snapshot.CompleteForView, sinceView-1)
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

// HandleSnapshot returns the state on the disk of this core.
func (c *Chain) HandleSnapshot(ctx context.Context, request *SnapshotRequest, _ []byte) (*Snapshot, error) {
	if err := c.checkDisk(request.Disk); err != nil {
		return nil, err
	}
	if err := c.acquireUpdateLock(ctx); err != nil { // memory and disk are equal while it is held
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

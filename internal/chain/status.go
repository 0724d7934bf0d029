package chain

import (
	"context"
	"fmt"

	"saltreel/internal/paxos"
)

// HandleStatus installs the view of the request and returns the status of this core.
func (c *Chain) HandleStatus(ctx context.Context, request *StatusRequest, _ []byte) (*ReplicaStatus, error) {
	if err := c.checkDisk(request.Disk); err != nil {
		return nil, err
	}
	if err := c.InstallView(ctx, request.View); err != nil {
		return nil, err
	}
	c.mu.Lock()
	view := c.replica.view
	complete := c.replica.isComplete() && view.indexOf(c.Self) >= 0
	completeForView := c.replica.completeForView
	c.mu.Unlock()
	if err := c.storage.err(); err != nil {
		return nil, err
	}
	return &ReplicaStatus{
		View:         view,
		NextAccepted: c.acceptor.HasAccepted(view.Number + 1),
		Complete:     complete,
		VoterReady:   c.config.VoterReady(),

		CompleteForView: completeForView,
	}, nil
}

// checkDisk returns ErrWrongDisk for a request addressed to another disk.
func (c *Chain) checkDisk(disk string) error {
	if disk != c.Self.Disk {
		return fmt.Errorf("%w: it is %s, not %s", ErrWrongDisk, c.Self.Disk, disk)
	}
	return nil
}

// requestStatus requests the status of a core, for this core without a network call.
func (c *Chain) requestStatus(ctx context.Context, m Member, view View) (*ReplicaStatus, error) {
	request := StatusRequest{Disk: m.Disk, View: view}
	if m.sameIdentity(c.Self) {
		return c.HandleStatus(ctx, &request, nil)
	}
	status := &ReplicaStatus{}
	if err := c.config.Client.Call(ctx, m.Address, "/chain/standing", request, nil, status); err != nil {
		return nil, err
	}
	return status, nil
}

// HandleVote handles a Paxos request for a view after the current one.
func (c *Chain) HandleVote(_ context.Context, vote *VoteRequest, _ []byte) (*paxos.Response, error) {
	if err := c.checkDisk(vote.Disk); err != nil {
		return nil, err
	}
	if newest := c.View().Number; vote.Call.Instance <= newest {
		return nil, fmt.Errorf("%w: %d, the newest is %d", ErrViewChosen, vote.Call.Instance, newest)
	}
	response, err := c.acceptor.Handle(vote.Call)
	return &response, err
}

// HandleInstallView installs a chosen view received from a peer.
func (c *Chain) HandleInstallView(ctx context.Context, v *View, _ []byte) (*struct{}, error) {
	return &struct{}{}, c.InstallView(ctx, *v)
}

// InstallView writes a chosen view to disk and enters it, if it is newer than the
// current one. It returns an error if the write fails or if ctx ends first.
func (c *Chain) InstallView(ctx context.Context, v View) error {
	if v.Number <= c.View().Number {
		return nil
	}
	if err := c.acquireUpdateLockForView(ctx); err != nil {
		return err
	}
	defer c.releaseUpdateLock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Number <= c.replica.view.Number {
		return nil
	}
	before := c.replica.durableState
	c.enterViewLocked(v)
	if err := c.storage.writeState(c.replica.durableState); err != nil {
		c.replica.durableState = before // the previous view stays current until the new one is on disk
		return fmt.Errorf("write the view: %w", err)
	}
	return nil
}

// acquireUpdateLockForView acquires updateLock for a view change. An update of the
// previous view may hold it while it waits for a failed member; its forwarding is
// canceled after installGrace.
func (c *Chain) acquireUpdateLockForView(ctx context.Context) error {
	graceCtx, cancel := context.WithTimeout(ctx, c.timing.installGrace())
	err := c.acquireUpdateLock(graceCtx)
	cancel()
	if err == nil {
		return nil
	}
	c.mu.Lock()
	cancelForward := c.cancelForward
	c.mu.Unlock()
	if cancelForward != nil {
		cancelForward()
	}
	return c.acquireUpdateLock(ctx)
}

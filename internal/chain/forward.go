package chain

import (
	"context"
	"errors"
	"fmt"
	"time"

	"saltreel/internal/httpwire"
)

// HandleUpdate handles an update from the predecessor. It accepts the
// update only after all members behind this one hold it as well.
func (c *Chain) HandleUpdate(ctx context.Context, u *UpdateRequest, _ []byte) (*UpdateResponse, error) {
	if err := c.acquireUpdateLock(ctx); err != nil {
		return nil, err
	}
	defer c.releaseUpdateLock()
	c.mu.Lock()
	admitted, err := c.replica.admit(u)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	switch admitted {
	case admitAhead:
		return &UpdateResponse{Ahead: true}, nil
	case admitGap:
		return &UpdateResponse{Gap: true}, nil
	case admitApply:
		if err := c.apply(u); err != nil {
			return nil, err
		}
	}
	if err := c.forward(ctx, *u); err != nil {
		return nil, err
	}
	return &UpdateResponse{}, nil
}

// apply writes an update to disk and then applies it in memory. If the write fails,
// memory keeps its state until the file is loaded again. The caller holds updateLock.
func (c *Chain) apply(u *UpdateRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replica
	before := r.durableState
	c.enterViewLocked(u.View)
	docs := r.documentsAfter(u)
	r.sequence = u.Sequence
	var removed Documents
	if u.Snapshot {
		r.completeForView = u.View.Number
		removed = r.docs
	}
	if err := c.storage.writeUpdate(r.durableState, removed, u.Set); err != nil {
		r.durableState = before
		r.active = false
		return fmt.Errorf("write control state: %w", err)
	}
	r.docs = docs
	return nil
}

// forward sends an update to the successor, if there is one. When it returns nil, the
// tail holds everything that this member holds. The caller holds updateLock.
func (c *Chain) forward(ctx context.Context, u UpdateRequest) error {
	forwardStart := time.Now()
	if successor, ok := u.View.successor(c.Self); ok {
		if len(u.Set) > 0 {
			go c.config.OnUpdate(u.Set)
		}
		if err := c.sendUpdate(ctx, successor, u); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.replica.recordCommitted(&u, forwardStart, time.Now())
	docs := c.replica.docs
	c.mu.Unlock()
	c.config.OnCommit(docs)
	return nil
}

// sendUpdate sends an update to the successor, and a snapshot if it requests one.
func (c *Chain) sendUpdate(ctx context.Context, successor Member, u UpdateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.forwardTimeout())
	defer cancel()
	c.mu.Lock()
	c.cancelForward = cancel
	c.mu.Unlock()
	for {
		var response UpdateResponse
		if err := c.config.Client.Call(ctx, successor.Address, "/chain/pass", u, nil, &response); err != nil {
			c.mu.Lock()
			c.replica.successorDown = httpwire.ConnectionRefused(err)
			c.mu.Unlock()
			return fmt.Errorf("forward update: %w", err)
		}
		switch {
		case response.Ahead:
			return c.recordSuccessorAhead(successor)
		case !response.Gap:
			return nil
		case u.Snapshot:
			return fmt.Errorf("forward update: %s does not take the snapshot", successor.Address)
		}
		u.Snapshot = true
		u.Set = c.replica.docs
	}
}

// recordSuccessorAhead marks this member incomplete because its successor is complete
// and holds later updates, and returns an error. The caller holds updateLock.
func (c *Chain) recordSuccessorAhead(successor Member) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica.completeForView != 0 {
		c.config.Log.Printf("chain: %s holds later updates than this disk, on which an old file was restored", successor.Address)
	}
	c.replica.markIncomplete()
	err := fmt.Errorf("forward update: %s holds more than this disk", successor.Address)
	return errors.Join(err, c.storage.writeState(c.replica.durableState))
}

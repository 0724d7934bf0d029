package chain

import (
	"context"
	"fmt"

	"saltreel/internal/quorum"
)

// Propose makes an update at the head. It calls decide with the newest state; decide
// returns the documents to set, or an error, which Propose returns. If there are no
// documents to set, nothing is written. Propose returns the result of decide only
// after everything that decide saw and set is committed, because a rejection must not
// be based on state that may still be lost. After any other error the update may
// still be committed later, unless decide was not called.
func (c *Chain) Propose(ctx context.Context, decide func(Documents) (Documents, error)) error {
	if err := c.acquireUpdateLock(ctx); err != nil {
		return err
	}
	defer c.releaseUpdateLock()
	view, docs, err := c.prepareHead(ctx)
	if err != nil {
		return err
	}
	// The decision and the state it is based on must survive HostFailures host failures,
	// even if nothing is written.
	if needed := c.config.HostFailures + 1; len(view.Members) < needed {
		return fmt.Errorf("%w: there are %d, %d are needed", ErrTooFewMembers, len(view.Members), needed)
	}
	set, decideErr := decide(docs)
	u := c.nextUpdate(view)
	if decideErr == nil && len(set) > 0 {
		u.Sequence++
		u.Set = set
		if err := c.apply(&u); err != nil {
			return err
		}
	}
	if err := c.forward(ctx, u); err != nil {
		return err
	}
	return decideErr
}

// heartbeat sends an update without documents along the chain.
func (c *Chain) heartbeat(ctx context.Context) error {
	if err := c.acquireUpdateLock(ctx); err != nil {
		return err
	}
	defer c.releaseUpdateLock()
	view, _, err := c.prepareHead(ctx)
	if err != nil {
		return err
	}
	return c.forward(ctx, c.nextUpdate(view))
}

// prepareHead returns the view and the state on which the next update is based. In a
// view that is not active it first forwards a heartbeat, because this disk may hold an
// old file: no update is based on it before the other members hold the same state. The
// caller holds updateLock.
func (c *Chain) prepareHead(ctx context.Context) (View, Documents, error) {
	c.mu.Lock()
	view, docs := c.replica.view, c.replica.docs
	ready, active := c.replica.isHead() && c.replica.isComplete(), c.replica.active
	c.mu.Unlock()
	if !ready {
		return View{}, nil, ErrNotHead
	}
	if !active {
		if err := c.forward(ctx, c.nextUpdate(view)); err != nil {
			return View{}, nil, err
		}
	}
	return view, docs, nil
}

// nextUpdate returns the next request of this head as a heartbeat. The caller holds
// updateLock.
func (c *Chain) nextUpdate(view View) UpdateRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.nextUpdate(view)
}

// Read returns the committed state. It returns ErrNotTail if this core is not the
// tail, ErrViewNotActive if the tail does not know yet what is committed, and
// ErrNoQuorum unless a majority of the voters confirms that it knows no newer view.
func (c *Chain) Read(ctx context.Context) (Documents, error) {
	c.mu.Lock()
	view, active, docs := c.replica.view, c.replica.active, c.replica.docs
	c.mu.Unlock()
	if _, hasSuccessor := view.successor(c.Self); hasSuccessor || view.indexOf(c.Self) < 0 {
		return nil, ErrNotTail
	}
	if err := c.storage.err(); err != nil {
		return nil, err
	}
	if !active {
		return nil, ErrViewNotActive
	}
	if !c.confirmView(ctx, view) {
		return nil, ErrNoQuorum
	}
	return docs, nil
}

// confirmView reports whether a majority of the voters knows no newer view and has
// not accepted one.
func (c *Chain) confirmView(ctx context.Context, view View) bool {
	ctx, cancel := context.WithTimeout(ctx, c.timing.readTimeout())
	defer cancel()
	answers := make(chan bool, len(view.Voters))
	for _, v := range view.Voters {
		go func() {
			s, err := c.requestStatus(ctx, v, view)
			answers <- err == nil && s.View.Number <= view.Number && !s.NextAccepted
		}()
	}
	confirmed := 0
	for range view.Voters {
		if !<-answers {
			continue
		}
		confirmed++
		if quorum.Majority(confirmed, len(view.Voters)) {
			return true
		}
	}
	return false
}

package chain

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"saltreel/internal/httpwire"
)

// Run maintains the chain until ctx ends: the head sends heartbeats along it, and a
// member whose neighbor fails starts a reconfiguration. The two tasks have separate
// goroutines, because a heartbeat may block on a failed member.
func (c *Chain) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	started := time.Now()
	tasks.Go(func() { c.sendHeartbeats(ctx, started) })
	tasks.Go(func() { c.monitorView(ctx, started) })
	tasks.Wait()
}

// runPeriodically runs a task at the interval given by taskInterval until ctx ends.
func (c *Chain) runPeriodically(ctx context.Context, task func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(c.taskInterval())
		task()
	}
}

func (c *Chain) taskInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replica.active {
		return c.timing.inactiveInterval()
	}
	return c.timing.heartbeatInterval()
}

// sendHeartbeats sends heartbeats while this core is the head.
func (c *Chain) sendHeartbeats(ctx context.Context, started time.Time) {
	c.runPeriodically(ctx, func() {
		if c.View().indexOf(c.Self) != 0 || c.storage.err() != nil { // the owner of the file logs a disk failure
			return
		}
		err := c.heartbeat(ctx)
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrNotHead) {
			return
		}
		if time.Since(started) > c.timing.startLogGrace() {
			c.config.Log.Printf("chain: heartbeat: %v", err)
		}
	})
}

// monitorView starts a reconfiguration when the view may have to change.
func (c *Chain) monitorView(ctx context.Context, started time.Time) {
	r := newReconfigurer(c)
	var lastAttempt time.Time
	c.runPeriodically(ctx, func() {
		if time.Since(started) < c.timing.startGrace() || time.Since(lastAttempt) < c.timing.reconfigureInterval() {
			return
		}
		view := c.View()
		if c.needsReconfiguration(ctx, view) {
			lastAttempt = time.Now()
			r.reconfigure(ctx, view)
		}
	})
}

// needsReconfiguration reports whether the view may have to change: a neighbor is
// lost, or this core is the head and there are voters or candidates to add. A proposal
// accepted by the acceptor of this core must be completed as well: until then there
// may be no majority that confirms that this view is the newest.
func (c *Chain) needsReconfiguration(ctx context.Context, view View) bool {
	if c.neighborLost(ctx, view) || c.acceptor.HasAccepted(view.Number+1) {
		return true
	}
	if view.indexOf(c.Self) != 0 || c.storage.err() != nil {
		return false
	}
	return len(view.Members) < len(view.Voters) || len(c.candidates(view)) > 0
}

// neighborLost reports whether no update has been committed through this member for
// neighborTimeout, or the host of a neighbor refuses connections.
func (c *Chain) neighborLost(ctx context.Context, view View) bool {
	c.mu.Lock()
	sinceUpdate := time.Since(c.replica.lastUpdate)
	successorDown := c.replica.successorDown
	c.mu.Unlock()
	if sinceUpdate > c.timing.neighborTimeout() || successorDown {
		return true
	}
	i := view.indexOf(c.Self)
	if i < 1 || sinceUpdate < c.timing.probeAfter() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.timing.statusTimeout())
	defer cancel()
	_, err := c.requestStatus(ctx, view.Members[i-1], view)
	return httpwire.ConnectionRefused(err)
}

// candidates returns the cores with recent heartbeats that are not voters.
func (c *Chain) candidates(view View) []Member {
	return slices.DeleteFunc(c.config.KnownCores(), view.isVoter)
}

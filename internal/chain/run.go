package chain

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"saltreel/internal/httpwire"
)

// Run keeps the chain in force until ctx ends: the head sends heartbeats down it,
// and a member whose neighbor does not answer calls for another view. A heartbeat
// may wait for a member that is lost, so each has a goroutine of its own.
func (c *Chain) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	started := time.Now()
	tasks.Go(func() { c.sendHeartbeats(ctx, started) })
	tasks.Go(func() { c.monitorView(ctx, started) })
	tasks.Wait()
}

// runPeriodically runs a task at each heartbeat interval until ctx ends.
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
		if c.View().indexOf(c.Self) != 0 || c.storage.err() != nil { // the file's owner logs that once
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

// monitorView calls for another view where one is needed.
func (c *Chain) monitorView(ctx context.Context, started time.Time) {
	r := newReconfigurer(c)
	var last time.Time
	c.runPeriodically(ctx, func() {
		if time.Since(started) < c.timing.startGrace() || time.Since(last) < c.timing.reconfigureInterval() {
			return
		}
		view := c.View()
		if c.needsReconfiguration(ctx, view) {
			last = time.Now()
			r.reconfigure(ctx, view)
		}
	})
}

// needsReconfiguration tells whether the view may have to change: a neighbor is
// lost, or this is the head and there are voters or candidates to take in. A
// proposal that somebody began must come to an end as well: until then no
// majority can say that this view is the newest.
func (c *Chain) needsReconfiguration(ctx context.Context, view View) bool {
	if c.neighborLost(ctx, view) || c.acceptor.HasAccepted(view.Number+1) {
		return true
	}
	if view.indexOf(c.Self) != 0 || c.storage.err() != nil {
		return false
	}
	return len(view.Members) < len(view.Voters) || len(c.candidates(view)) > 0
}

// neighborLost tells whether no update has come through for long, or a neighbor's
// machine says that no core runs there.
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

// candidates are the cores heard of lately that are no voters.
func (c *Chain) candidates(view View) []Member {
	return slices.DeleteFunc(c.config.KnownCores(), view.isVoter)
}

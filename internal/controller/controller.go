// Package controller assigns partitions to stores. The core that holds the
// controller lease detects failed stores, and proposes placements until the
// partitions are where they should be. Losing the lease is safe: placements are
// fenced by the term of the lease and by their version.
package controller

import (
	"context"
	"errors"
	"log"
	"time"

	"saltreel/internal/configstore"
	"saltreel/internal/lease"
	"saltreel/internal/placement"
	"saltreel/internal/registry"
)

// Chain is the part of the replication chain of the control state that the
// controller uses.
type Chain interface {
	Head() string
	Voters() []string
	InContact() bool
	InContactFor() time.Duration
}

// Registry is the part of the node registry that the controller uses.
type Registry interface {
	Nodes() map[string]registry.NodeStatus
	OverdueStores(minAge, maxAge time.Duration) []string
	Peers() []string
}

// Proposer submits a placement to the head of the chain.
type Proposer interface {
	Propose(ctx context.Context, p configstore.Proposal) error
}

// Caller makes RPCs to other processes. *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
	// Connect opens a connection for the next call unless there is one already.
	Connect(ctx context.Context, address string) error
}

// Config holds the dependencies and settings of a Controller. All fields except
// HostFailures and Redundancy are required.
type Config struct {
	Address  string // internal address of this core
	Chain    Chain
	Registry Registry
	Proposer Proposer
	// Placement returns the newest placement that the tail of the chain is known to
	// hold. The controller does not modify it.
	Placement      func() placement.Placement
	Client         Caller
	Grantor        *lease.Grantor // this core's vote on the lease
	HostFailures   int            // number of simultaneous host failures to tolerate
	Redundancy     placement.Redundancy
	ContactTimeout time.Duration
	Log            *log.Logger
	// Go runs a task in the background. The context ends no later than the process.
	Go func(task func(ctx context.Context))
}

// Controller is the candidate of one core for the controller lease. The fields
// below wake are confined to Run; the others do their own locking.
type Controller struct {
	config    Config
	timing    timing
	lease     *lease.Lease
	failures  *failureDetector
	inSync    inSyncReports
	handovers handovers
	wake      chan struct{}

	heldLease     bool
	checkedAt     time.Time // time of the last check of the placement
	initialStores storeCount
}

// New creates a controller. It returns an error if a required field of config is not
// set.
func New(config Config) (*Controller, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("controller: the address is not set")
	case config.ContactTimeout <= 0:
		return nil, errors.New("controller: the contact timeout must be positive")
	case config.Chain == nil || config.Registry == nil || config.Proposer == nil || config.Placement == nil || config.Client == nil ||
		config.Grantor == nil || config.Log == nil || config.Go == nil:
		return nil, errors.New("controller: a required component is not set")
	}
	c := &Controller{config: config, timing: timing{config.ContactTimeout}, wake: make(chan struct{}, 1)}
	c.lease = c.newLease()
	c.failures = newFailureDetector(config, c.timing, c.Wake)
	return c, nil
}

// Wake triggers an immediate check of the placement if this core holds the lease.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run runs the controller until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(c.timing.tickInterval())
	defer tick.Stop()
	c.initialStores.since = time.Now()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
			woken = true
		}
		if c.config.Chain.InContact() {
			c.step(ctx, woken)
		}
	}
}

// step does the work that is due at a tick or after a call of Wake.
func (c *Controller) step(ctx context.Context, woken bool) {
	c.reportOverdueStores(ctx)
	c.maintainLease(ctx, woken)
	term, held := c.lease.Held()
	c.logLease(term, held)
	if !held || !woken && time.Since(c.checkedAt) < c.timing.placementInterval() {
		return
	}
	c.checkedAt = time.Now()
	c.reassign(ctx, term)
}

// reassign proposes the next placement, or else requests the pending handovers. The
// caller holds the lease for the given term.
func (c *Controller) reassign(ctx context.Context, term int64) {
	stores := c.failures.storeStatuses(ctx)
	current := c.config.Placement()
	if c.config.Chain.InContactFor() < c.timing.warmup() && !allReplicaStoresReported(current, stores) {
		return
	}
	next, pending, changed := c.nextPlacement(current, stores)
	if !changed {
		c.handOver(ctx, current, pending)
		return
	}
	next.Term = term
	if err := c.config.Proposer.Propose(ctx, configstore.Proposal{Placement: &next}); err != nil {
		c.config.Log.Printf("controller: proposing placement %d failed: %v", next.Version, err)
		return
	}
	c.config.Log.Printf("controller: placement %d is in force", next.Version)
}

// nextPlacement returns the placement to propose, and the partitions whose primary
// must stop before they can be moved.
func (c *Controller) nextPlacement(current placement.Placement, stores map[string]placement.StoreStatus) (next placement.Placement, pending []int, changed bool) {
	if current.Version == 0 {
		c.initialStores.observe(countAlive(stores), time.Now())
		if !c.initialStores.isStable(c.config.HostFailures+1, c.timing.initialStability(), time.Now()) {
			return current, nil, false
		}
		return placement.Initial(stores, c.config.Redundancy), nil, true
	}
	reported := current.Clone()
	marked := c.inSync.apply(&reported)
	stopped := c.handovers.stoppedEpochs(time.Now(), c.timing.stoppedValidity())
	next, pending, changed = placement.Plan(reported, stores, stopped, c.config.Redundancy)
	if marked && !changed {
		next.Version++
		changed = true
	}
	return next, pending, changed
}

// allReplicaStoresReported reports whether every store that holds a replica, or is a
// source, has sent a heartbeat.
func allReplicaStoresReported(p placement.Placement, stores map[string]placement.StoreStatus) bool {
	for name := range p.Stores {
		if _, ok := stores[name]; !ok && placement.IsReplicaOrSource(p, name) {
			return false
		}
	}
	return len(p.Stores) > 0
}

func countAlive(stores map[string]placement.StoreStatus) int {
	n := 0
	for _, s := range stores {
		if s.Alive {
			n++
		}
	}
	return n
}

// storeCount tracks the number of available stores before the initial placement.
type storeCount struct {
	count int
	since time.Time // time of the last change
}

func (s *storeCount) observe(n int, now time.Time) {
	if n != s.count {
		s.count = n
		s.since = now
	}
}

// isStable reports whether there are enough stores and their number has not changed for
// the given time.
func (s *storeCount) isStable(needed int, stability time.Duration, now time.Time) bool {
	return s.count >= needed && now.Sub(s.since) >= stability
}

// Package controller reassigns partitions: among the cores, the holder of the
// lease for that role detects failed stores, and proposes the next placement
// until the partitions lie as they should. A lost lease is harmless: placements
// are fenced by the term of the lease and by their version.
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

// Chain is what the controller needs of the chain of control state.
type Chain interface {
	Head() string
	Voters() []string
	InContact() bool
	InContactFor() time.Duration
}

// Registry is what the controller needs of the registry.
type Registry interface {
	Nodes() map[string]registry.NodeStatus
	OverdueStores(after, before time.Duration) []string
	Peers() []string
}

// Proposer brings a placement to the head of the chain.
type Proposer interface {
	Propose(ctx context.Context, p configstore.Proposal) error
}

// Caller calls other processes; *rpc.Client is one.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
	// Connect opens a connection for the next call, unless there is one.
	Connect(ctx context.Context, address string) error
}

// Config is what a Controller is made of. All fields but HostFailures and
// Redundancy are required.
type Config struct {
	Address  string // internal, of this core
	Chain    Chain
	Registry Registry
	Proposer Proposer
	// Placement gives the newest placement that the tail of the chain is known
	// to hold. It is not changed.
	Placement      func() placement.Placement
	Client         Caller
	Grantor        *lease.Grantor // this core's vote on the lease
	HostFailures   int            // how many machines may be lost at once
	Redundancy     placement.Redundancy
	ContactTimeout time.Duration
	Log            *log.Logger
	// Go runs a task in the background, until the process ends at the latest.
	Go func(task func(ctx context.Context))
}

// Controller is one core's candidate for the role. Run owns the fields below
// wake; the others have locks of their own.
type Controller struct {
	config    Config
	timing    timing
	lease     *lease.Lease
	failures  *failureDetector
	inSync    inSyncReports
	handovers handovers
	wake      chan struct{}

	heldLease     bool
	checkedAt     time.Time // when the placement was last checked
	initialStores storeCount
}

// New makes a controller.
func New(config Config) (*Controller, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("controller: no address")
	case config.ContactTimeout <= 0:
		return nil, errors.New("controller: the contact timeout is not positive")
	case config.Chain == nil || config.Registry == nil || config.Proposer == nil || config.Placement == nil || config.Client == nil ||
		config.Grantor == nil || config.Log == nil || config.Go == nil:
		return nil, errors.New("controller: a part is missing")
	}
	c := &Controller{config: config, timing: timing{config.ContactTimeout}, wake: make(chan struct{}, 1)}
	c.lease = c.newLease()
	c.failures = newFailureDetector(config, c.timing, c.Wake)
	return c, nil
}

// Wake has the placement checked at once, if this core holds the lease.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
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

// step does what is due at a tick, or when the controller was woken.
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

// reassign brings the placement one step further, as the lease holder.
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
		c.config.Log.Printf("controller: placement %d: %v", next.Version, err)
		return
	}
	c.config.Log.Printf("controller: placement %d is in force", next.Version)
}

// nextPlacement gives the placement to propose, and the partitions whose primary
// must stop first.
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

// allReplicaStoresReported says whether every store that holds a partition sent a
// heartbeat.
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

// storeCount is the number of stores before the first placement, and since when.
type storeCount struct {
	count int
	since time.Time
}

func (s *storeCount) observe(n int, now time.Time) {
	if n != s.count {
		s.count = n
		s.since = now
	}
}

// isStable says whether there are enough stores, and have been for a while.
func (s *storeCount) isStable(needed int, stability time.Duration, now time.Time) bool {
	return s.count >= needed && now.Sub(s.since) >= stability
}

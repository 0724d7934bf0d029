package controller

import (
	"context"
	"math/rand/v2"

	"saltreel/internal/lease"
)

// leaseRole is the name of the controller role in a lease request.
const leaseRole = "steward"

// pathLease is the path of the lease RPC, which the grantors of the other cores answer.
const pathLease = "/duty"

func (c *Controller) newLease() *lease.Lease {
	return &lease.Lease{
		Role:     leaseRole,
		Self:     c.config.Address,
		Duration: c.timing.leaseDuration(),
		Call:     c.callGrantor,
		Go:       func(task func()) { c.config.Go(func(context.Context) { task() }) },
	}
}

func (c *Controller) callGrantor(ctx context.Context, voter string, request lease.Request) (response lease.Response, err error) {
	if voter == c.config.Address {
		return c.config.Grantor.Handle(request), nil
	}
	err = c.config.Client.Call(ctx, voter, pathLease, request, nil, &response)
	return response, err
}

// maintainLease renews the lease if it is held, or tries to acquire it if it has expired.
func (c *Controller) maintainLease(ctx context.Context, woken bool) {
	c.lease.Voters = c.config.Chain.Voters()
	if c.leaseIsDue(woken) {
		c.lease.Acquire(ctx, c.config.Placement().Term)
	}
}

// leaseIsDue reports whether to request the lease now. The holder renews it whether
// woken or not, so that frequent calls of Wake do not cost it the lease. If the lease has
// expired, the head of the chain requests it at the next tick and the other candidates
// at random ticks, so that they do not all request it at the same time.
func (c *Controller) leaseIsDue(woken bool) bool {
	remaining, held := c.lease.Remaining()
	if held {
		return remaining < c.timing.renewBelow()
	}
	if woken || !c.config.Grantor.Expired(leaseRole) {
		return false
	}
	return c.config.Chain.Head() == c.config.Address || rand.IntN(2*len(c.lease.Voters)+1) == 0
}

func (c *Controller) logLease(term int64, held bool) {
	if held && !c.heldLease {
		c.config.Log.Printf("controller: this core holds the lease, term %d", term)
	}
	c.heldLease = held
}

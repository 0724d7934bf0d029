package controller

import (
	"context"
	"math/rand/v2"

	"saltreel/internal/lease"
)

// leaseRole is the name of the controller's leaseRole in a lease request.
const leaseRole = "steward"

// pathLease is the path of the call that the other cores' grantors answer.
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

// maintainLease renews the lease, or tries to acquire a vacant one.
func (c *Controller) maintainLease(ctx context.Context, woken bool) {
	c.lease.Voters = c.config.Chain.Voters()
	if c.leaseIsDue(woken) {
		c.lease.Acquire(ctx, c.config.Placement().Term)
	}
}

// leaseIsDue says whether to ask for the lease. The holder renews it in any case:
// being woken without a break must not cost the lease. A vacant one the head of
// the chain asks for at once, and the other candidates by chance, so that not
// all ask at the same moment.
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

package ratelimit

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/placement"
	"saltreel/internal/quota"
)

// Caller makes calls to the system's own processes, as *rpc.Client does.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Leases is the edge's side: it leases quota from the owners of the tenants
// ahead of demand, and admits messages out of it.
type Leases struct {
	client    Caller
	placement func() *placement.Placement
	timing    timing

	mu     sync.Mutex
	leases map[string]*lease
	runCtx context.Context // of Run: no request outlives it; nil before
}

// NewLeases makes the edge's side without any lease. Placement returns the newest
// placement, nil before the first.
func NewLeases(client Caller, placement func() *placement.Placement, contactTimeout time.Duration) *Leases {
	return &Leases{client: client, placement: placement, timing: timing{contactTimeout}, leases: map[string]*lease{}}
}

// timing derives the times of the leases from the contact timeout.
type timing struct{ contactTimeout time.Duration }

// renewalInterval is how often demand is measured and leases are renewed: leases of a few
// rounds follow the demand, at one call in a renewalInterval to each owner.
func (t timing) renewalInterval() time.Duration { return t.contactTimeout / 16 }

// requestTimeout is how long a requestTimeout to an owner may take: one round.
func (t timing) requestTimeout() time.Duration { return t.renewalInterval() }

// suspicionTimeout is how long a message waits for an owner's answer until it may be
// admitted without.
func (t timing) suspicionTimeout() time.Duration { return t.contactTimeout / 40 }

// retryInterval is the time between two requests to an owner that does not answer.
func (t timing) retryInterval() time.Duration { return t.contactTimeout / 80 }

// ThrottleTime is how long to throttle a tenant that was refused: what this edge
// observed of it, in messages a second, against what it was granted here, or
// against its whole limit where nothing was.
func (l *Leases) ThrottleTime(tenant *configuration.Tenant, observed float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := tenant.RatePerS
	if x := l.leases[tenant.Name]; x != nil && x.grantRate > 0 {
		bound = min(bound, x.grantRate)
	}
	return quota.ThrottleTime(observed, bound)
}

// Acquire admits one message of a tenant and returns 0; if the tenant is over
// its limit, it returns how long to wait. While the owner is unreachable nobody
// knows whether it is, so the message waits for it, as it would for its store,
// until ctx ends.
func (l *Leases) Acquire(ctx context.Context, tenant *configuration.Tenant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leases[tenant.Name]
	if x == nil {
		x = &lease{}
		l.leases[tenant.Name] = x
	}
	x.demand++
	x.waiting++
	defer func() { x.waiting-- }()
	for ctx.Err() == nil {
		now := time.Now()
		switch x.admit(now, l.timing.retryInterval()) {
		case admitted:
			return 0
		case overLimit:
			return x.refusedUntil.Sub(now)
		case retryLater:
			l.waitReleasingLock(ctx, nil, l.timing.retryInterval())
		case awaitResponse:
			l.awaitResponse(ctx, x, tenant.Name, now)
		}
	}
	return quota.Window / 2
}

// awaitResponse waits for the answer to the request under way, or to a new one,
// and notes if it does not come soon. It is called and returns with the lock.
func (l *Leases) awaitResponse(ctx context.Context, x *lease, tenant string, now time.Time) {
	if x.pending == nil {
		x.pending = make(chan struct{})
		x.requestedAt = now
		go l.requestLeases(context.WithoutCancel(ctx), []string{tenant})
	}
	pending := x.pending
	l.waitReleasingLock(ctx, pending, l.timing.suspicionTimeout())
	if x.pending == pending {
		x.unreachable = true
	}
}

// waitReleasingLock waits without the lock until done is closed, d is over or ctx
// ends, and returns with the lock.
func (l *Leases) waitReleasingLock(ctx context.Context, done <-chan struct{}, d time.Duration) {
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run renews the leases ahead of demand, round by round, until ctx ends.
func (l *Leases) Run(ctx context.Context) {
	l.mu.Lock()
	l.runCtx = ctx
	l.mu.Unlock()
	tick := time.NewTicker(l.timing.renewalInterval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if tenants := l.startRound(time.Now()); len(tenants) > 0 {
			go l.requestLeases(ctx, tenants)
		}
	}
}

// startRound measures demand, drops the leases of idle tenants, and returns the
// tenants whose leases are to be renewed.
func (l *Leases) startRound(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	round := l.timing.renewalInterval()
	var tenants []string
	for name, x := range l.leases {
		x.updateRates(now, round)
		if x.evictable(now) {
			delete(l.leases, name)
		}
		if x.needsRenewal(now, round) {
			x.pending = make(chan struct{})
			x.requestedAt = now
			tenants = append(tenants, name)
		}
	}
	return tenants
}

// requestLeases leases quota of tenants from their owners, and ends their pending
// requests.
func (l *Leases) requestLeases(ctx context.Context, tenants []string) {
	ctx, cancel := context.WithTimeout(ctx, l.timing.requestTimeout())
	defer cancel()
	p := l.placement()
	l.mu.Lock()
	if l.runCtx != nil {
		defer context.AfterFunc(l.runCtx, cancel)()
	}
	requests := l.requestsLocked(p, tenants)
	l.mu.Unlock()
	var calls sync.WaitGroup
	for owner, in := range requests {
		calls.Go(func() { l.sendRequest(ctx, p.Stores[owner].Address, in) })
	}
	calls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range tenants {
		if x := l.leases[name]; x != nil && x.pending != nil {
			close(x.pending)
			x.pending = nil
		}
	}
}

// requestsLocked makes one request for each owner of some of the tenants, by
// the owner's name.
func (l *Leases) requestsLocked(p *placement.Placement, tenants []string) map[string]QuotaLeaseRequest {
	requests := map[string]QuotaLeaseRequest{}
	if p == nil || len(p.Partitions) == 0 {
		return requests
	}
	for _, name := range tenants {
		x := l.leases[name]
		if x == nil {
			continue
		}
		owner := p.Partitions[LimiterPartition(name, len(p.Partitions))].Primary
		in, ok := requests[owner]
		if !ok {
			in = QuotaLeaseRequest{Partitions: len(p.Partitions), Requested: map[string]float64{}, Returned: map[string]float64{}, AdmittedUnleased: map[string]float64{}}
			requests[owner] = in
		}
		x.addToRequest(&in, name, time.Now(), l.timing.renewalInterval())
	}
	return requests
}

// sendRequest sends a request to one owner and takes over what it grants.
func (l *Leases) sendRequest(ctx context.Context, address string, in QuotaLeaseRequest) {
	sent := time.Now()
	var out QuotaLeaseResponse
	err := l.client.Call(ctx, address, LeasePath, in, nil, &out)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, requested := range in.Requested {
		x := l.leases[name]
		if x == nil {
			continue
		}
		if err != nil {
			x.unreachable = true
			continue
		}
		grant := leaseGrant{
			requested:        requested,
			granted:          out.Granted[name],
			admittedUnleased: in.AdmittedUnleased[name],
			retryAfter:       time.Duration(out.RetryAfterMs[name]) * time.Millisecond,
		}
		x.applyGrant(grant, sent, now, l.timing.renewalInterval())
	}
}

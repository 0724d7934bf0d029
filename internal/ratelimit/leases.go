package ratelimit

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/placement"
	"saltreel/internal/quota"
)

// Caller sends RPCs to other processes of the system; *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Leases is the edge side of rate limiting: it leases tokens from the owners of the
// tenants ahead of demand, and admits messages with them. It is safe for concurrent use.
type Leases struct {
	client    Caller
	placement func() *placement.Placement
	timing    timing

	mu     sync.Mutex
	leases map[string]*lease
	runCtx context.Context // context of Run, which bounds all requests; nil before Run
}

// NewLeases returns a Leases without any lease. The placement function returns the newest
// placement, or nil before the first one is known.
func NewLeases(client Caller, placement func() *placement.Placement, contactTimeout time.Duration) *Leases {
	return &Leases{client: client, placement: placement, timing: timing{contactTimeout}, leases: map[string]*lease{}}
}

// timing derives all durations from the contact timeout (timers.contact-ms), the time
// within which the system detects and replaces a failed node.
type timing struct{ contactTimeout time.Duration }

// renewalInterval is how often demand is measured and leases are renewed. Leases cover a
// few intervals, so that they follow the demand at one call per interval and owner.
func (t timing) renewalInterval() time.Duration { return t.contactTimeout / 16 }

// requestTimeout bounds a request to an owner.
func (t timing) requestTimeout() time.Duration { return t.renewalInterval() }

// suspicionTimeout is how long a message waits for the response of an owner before the
// owner is considered unreachable and the message may be admitted without a lease.
func (t timing) suspicionTimeout() time.Duration { return t.contactTimeout / 40 }

// retryInterval is the minimum time between two requests to an unreachable owner.
func (t timing) retryInterval() time.Duration { return t.contactTimeout / 80 }

// ThrottleTime returns how long to throttle a tenant whose message was refused. It compares
// the observed rate at this edge, in messages per second, with the rate granted to this
// edge, or with the whole limit of the tenant if nothing was granted here.
func (l *Leases) ThrottleTime(tenant *configuration.Tenant, observed float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := tenant.RatePerS
	if ls := l.leases[tenant.Name]; ls != nil && ls.grantRate > 0 {
		limit = min(limit, ls.grantRate)
	}
	return quota.ThrottleTime(observed, limit)
}

// Acquire admits one message of a tenant and returns 0, or returns how long to wait if the
// tenant is over its limit. While the owner is unreachable this is not known, so the
// message waits for the owner until ctx is done, as it would wait for its store, and is
// then refused for half a quota window.
func (l *Leases) Acquire(ctx context.Context, tenant *configuration.Tenant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ls := l.leases[tenant.Name]
	if ls == nil {
		ls = &lease{}
		l.leases[tenant.Name] = ls
	}
	ls.demand++
	ls.waiting++
	defer func() { ls.waiting-- }()
	for ctx.Err() == nil {
		now := time.Now()
		switch ls.admit(now, l.timing.retryInterval()) {
		case admitted:
			return 0
		case overLimit:
			return ls.refusedUntil.Sub(now)
		case retryLater:
			l.waitReleasingLock(ctx, nil, l.timing.retryInterval())
		case awaitResponse:
			l.awaitResponse(ctx, ls, tenant.Name, now)
		}
	}
	return quota.Window / 2
}

// awaitResponse waits for the response to the request in flight, or to a new one, and marks
// the owner as unreachable if it takes too long. The caller holds l.mu.
func (l *Leases) awaitResponse(ctx context.Context, ls *lease, tenant string, now time.Time) {
	if ls.pending == nil {
		ls.pending = make(chan struct{})
		ls.requestedAt = now
		go l.requestLeases(context.WithoutCancel(ctx), []string{tenant})
	}
	pending := ls.pending
	l.waitReleasingLock(ctx, pending, l.timing.suspicionTimeout())
	if ls.pending == pending {
		ls.unreachable = true
	}
}

// waitReleasingLock releases l.mu, waits until done is closed, d has elapsed or ctx is done,
// and locks l.mu again.
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

// Run renews the leases ahead of demand once per renewal interval, until ctx is done.
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
		if tenants := l.startRenewal(time.Now()); len(tenants) > 0 {
			go l.requestLeases(ctx, tenants)
		}
	}
}

// startRenewal updates the measured rates, deletes the leases of idle tenants, and returns
// the tenants whose leases must be renewed; it marks their requests as in flight.
func (l *Leases) startRenewal(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := l.timing.renewalInterval()
	var tenants []string
	for name, ls := range l.leases {
		ls.updateRates(now, interval)
		if ls.evictable(now) {
			delete(l.leases, name)
		}
		if ls.needsRenewal(now, interval) {
			ls.pending = make(chan struct{})
			ls.requestedAt = now
			tenants = append(tenants, name)
		}
	}
	return tenants
}

// requestLeases requests tokens for tenants from their owners, waits for the responses, and
// wakes up the messages that wait for them.
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
		if ls := l.leases[name]; ls != nil && ls.pending != nil {
			close(ls.pending)
			ls.pending = nil
		}
	}
}

// requestsLocked builds one request for each owner of the tenants, keyed by the name of the
// owner.
func (l *Leases) requestsLocked(p *placement.Placement, tenants []string) map[string]QuotaLeaseRequest {
	requests := map[string]QuotaLeaseRequest{}
	if p == nil || len(p.Partitions) == 0 {
		return requests
	}
	for _, name := range tenants {
		ls := l.leases[name]
		if ls == nil {
			continue
		}
		owner := p.Partitions[LimiterPartition(name, len(p.Partitions))].Primary
		in, ok := requests[owner]
		if !ok {
			in = QuotaLeaseRequest{Partitions: len(p.Partitions), Requested: map[string]float64{}, Returned: map[string]float64{}, AdmittedUnleased: map[string]float64{}}
			requests[owner] = in
		}
		ls.addToRequest(&in, name, time.Now(), l.timing.renewalInterval())
	}
	return requests
}

// sendRequest sends a request to one owner and applies the grants of its response.
func (l *Leases) sendRequest(ctx context.Context, address string, in QuotaLeaseRequest) {
	sent := time.Now()
	var out QuotaLeaseResponse
	err := l.client.Call(ctx, address, LeasePath, in, nil, &out)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, requested := range in.Requested {
		ls := l.leases[name]
		if ls == nil {
			continue
		}
		if err != nil {
			ls.unreachable = true
			continue
		}
		grant := leaseGrant{
			requested:        requested,
			granted:          out.Granted[name],
			admittedUnleased: in.AdmittedUnleased[name],
			retryAfter:       time.Duration(out.RetryAfterMs[name]) * time.Millisecond,
		}
		ls.applyGrant(grant, sent, now, l.timing.renewalInterval())
	}
}

package ratelimit

import (
	"context"
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/placement"
	"saltreel/internal/quota"
)

// admitUnleasedFor tries to admit messages without a lease for the duration d, and returns
// how many were admitted.
func admitUnleasedFor(ls *lease, d time.Duration) int {
	admitted := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ls.admitUnleased(time.Now()) {
			admitted++
		}
	}
	return admitted
}

// Guards against an edge that exceeds its share of the limit while its owner is moved: the
// owner is then unreachable repeatedly for short times, and tokens saved up in between would
// add up.
func TestUnleasedAdmissionsFollowTheOutageTime(t *testing.T) {
	for _, outage := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ls := &lease{demandRate: 500, grantRate: 100}
			admitted, total := 0, time.Duration(0)
			for range 8 {
				ls.lastResponse = time.Now()
				admitted += admitUnleasedFor(ls, outage)
				total += outage
				time.Sleep(200 * time.Millisecond) // the owner is reachable
			}
			if limit := ls.grantRate * total.Seconds(); float64(admitted) > limit || float64(admitted) < limit*3/4-8 {
				t.Errorf("8 outages of %v: %d admitted, limit %v", outage, admitted, limit)
			}
			if float64(admitted) != ls.fallback.unreported {
				t.Errorf("%d admitted, %v unreported", admitted, ls.fallback.unreported)
			}
		})
	}
}

// fakeOwner answers lease requests in place of a store and records them.
type fakeOwner struct {
	requests []QuotaLeaseRequest
	respond  func(ctx context.Context) (QuotaLeaseResponse, error)
}

func (o *fakeOwner) Call(ctx context.Context, address, path string, in any, _ []byte, out any) error {
	if address != "store:1" || path != LeasePath {
		return errors.New("unexpected call: " + address + path)
	}
	request := in.(QuotaLeaseRequest)
	request.Requested = maps.Clone(request.Requested)
	o.requests = append(o.requests, request)
	response, err := o.respond(ctx)
	*out.(*QuotaLeaseResponse) = response
	return err
}

// newTestLeases returns the leases of an edge whose tenants all have the same owner.
func newTestLeases(o *fakeOwner) *Leases {
	var store placement.Store
	store.Address = "store:1"
	p := &placement.Placement{
		Stores:     map[string]placement.Store{"store": store},
		Partitions: []placement.Partition{{Primary: "store"}},
	}
	return NewLeases(o, func() *placement.Placement { return p }, 4*time.Second)
}

func TestAcquireFollowsResponseOfOwner(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		granted float64
		waitMs  int64
		delay   time.Duration
		err     error
		want    time.Duration
	}{
		"granted":            {granted: 1},
		"refused":            {waitMs: 100, want: 100 * time.Millisecond},
		"refused for longer": {waitMs: 5000, want: second / 8}, // at most half a renewal interval
		"granted late":       {granted: 1, delay: 150 * time.Millisecond},
		"unreachable":        {err: errors.New("unreachable"), want: quota.Window / 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := &fakeOwner{respond: func(context.Context) (QuotaLeaseResponse, error) {
				time.Sleep(c.delay)
				return QuotaLeaseResponse{Granted: map[string]float64{"a": c.granted}, RetryAfterMs: map[string]int64{"a": c.waitMs}}, c.err
			}}
			l := newTestLeases(o)
			ctx, cancel := context.WithTimeout(t.Context(), 3*second)
			defer cancel()
			got := l.Acquire(ctx, &configuration.Tenant{Name: "a", RatePerS: 10})
			synctest.Wait()
			if got != c.want {
				t.Errorf("%s: wait %v, want %v", name, got, c.want)
			}
			if o.requests[0].Requested["a"] != 1 || o.requests[0].Partitions != 1 {
				t.Errorf("%s: unexpected request %+v", name, o.requests[0])
			}
			if (c.err != nil) != (ctx.Err() != nil) {
				t.Errorf("%s: context error after the wait: %v", name, ctx.Err())
			}
		})
	}
}

func TestUnusedTokensAreReturnedToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwner{respond: func(context.Context) (QuotaLeaseResponse, error) {
			return QuotaLeaseResponse{Granted: map[string]float64{"a": 5}}, nil
		}}
		l := newTestLeases(o)
		tenant := &configuration.Tenant{Name: "a", RatePerS: 10}
		l.Acquire(t.Context(), tenant)
		time.Sleep(time.Minute) // the lease has expired by then
		l.Acquire(t.Context(), tenant)
		if len(o.requests) != 2 || o.requests[0].Returned["a"] != 0 || o.requests[1].Returned["a"] != 4 {
			t.Errorf("requests %+v", o.requests)
		}
		if ls := l.leases["a"]; ls.tokens != 4 {
			t.Errorf("%v tokens, want 4: returned tokens were kept", ls.tokens)
		}
	})
}

func TestLeaseAdmission(t *testing.T) {
	now := time.Now()
	later, before := now.Add(time.Second), now.Add(-time.Second)
	for name, c := range map[string]struct {
		lease lease
		want  admitDecision
	}{
		"leased":                         {lease{tokens: 1, expiresAt: later}, admitted},
		"less than one token":            {lease{tokens: 0.9, expiresAt: later}, awaitResponse},
		"expired":                        {lease{tokens: 5, expiresAt: before}, awaitResponse},
		"refused":                        {lease{refusedUntil: later}, overLimit},
		"leased and refused":             {lease{tokens: 1, expiresAt: later, refusedUntil: later}, admitted},
		"refusal is over":                {lease{refusedUntil: before}, awaitResponse},
		"unreachable":                    {lease{unreachable: true, requestedAt: before}, awaitResponse},
		"unreachable, asked recently":    {lease{unreachable: true, requestedAt: now}, retryLater},
		"unreachable, request in flight": {lease{unreachable: true, requestedAt: now, pending: make(chan struct{})}, awaitResponse},
		"unreachable, fallback":          {lease{unreachable: true, lastResponse: before, demandRate: 9, grantRate: 9}, admitted},
	} {
		if got := c.lease.admit(now, 50*time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestLeaseRenewalAheadOfDemand(t *testing.T) {
	now := time.Now()
	const interval = 250 * time.Millisecond
	for name, c := range map[string]struct {
		lease lease
		want  bool
	}{
		"empty":                      {lease{demandRate: 100, expiresAt: now.Add(time.Second)}, true},
		"half full":                  {lease{demandRate: 100, tokens: 38, expiresAt: now.Add(time.Second)}, false},
		"less than half":             {lease{demandRate: 100, tokens: 37, expiresAt: now.Add(time.Second)}, true},
		"expired":                    {lease{demandRate: 100, tokens: 100, expiresAt: now.Add(-1)}, true},
		"request in flight":          {lease{demandRate: 100, pending: make(chan struct{})}, false},
		"refused":                    {lease{demandRate: 100, refusedUntil: now.Add(1)}, false},
		"less than one per interval": {lease{demandRate: 3.9}, false},
		"idle":                       {lease{}, false},
	} {
		if got := c.lease.needsRenewal(now, interval); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestIdleLeaseIsEvictable(t *testing.T) {
	const interval = 250 * time.Millisecond
	now := time.Now()
	for name, c := range map[string]struct {
		lease lease
		want  bool
	}{
		"idle":                      {lease{lastResponse: now.Add(-2 * time.Minute)}, true},
		"rate falls below idleRate": {lease{lastResponse: now.Add(-2 * time.Minute), demandRate: 0.0133}, true},
		"rate above idleRate":       {lease{lastResponse: now.Add(-2 * time.Minute), demandRate: 0.0134}, false},
		"one message":               {lease{lastResponse: now.Add(-2 * time.Minute), demand: 1}, false},
		"recent response":           {lease{lastResponse: now.Add(-time.Second)}, false},
		"request in flight":         {lease{lastResponse: now.Add(-2 * time.Minute), pending: make(chan struct{})}, false},
	} {
		c.lease.updateRates(now, interval)
		if got := c.lease.evictable(now); got != c.want {
			t.Errorf("%s: %v, demand %v", name, got, c.lease.demandRate)
		}
	}
}

func TestGrantRateIsKeptWhileOwnerIsUnreachable(t *testing.T) {
	const interval = 250 * time.Millisecond
	now := time.Now()
	for name, c := range map[string]struct {
		lease lease
		want  float64
	}{
		"recent response": {lease{grantRate: 80, lastResponse: now}, 70},
		"granted":         {lease{grantRate: 80, granted: 20, lastResponse: now.Add(-time.Second)}, 80},
		"unreachable":     {lease{grantRate: 80, lastResponse: now.Add(-time.Second)}, 80},
	} {
		if c.lease.updateRates(now, interval); c.lease.grantRate != c.want || c.lease.granted != 0 {
			t.Errorf("%s: %v", name, c.lease.grantRate)
		}
	}
}

func TestThrottleTimeUsesRateGrantedToThisEdge(t *testing.T) {
	tenant := &configuration.Tenant{Name: "a", RatePerS: 100}
	l := NewLeases(nil, nil, 4*time.Second)
	global := l.ThrottleTime(tenant, 150)
	l.leases["a"] = &lease{grantRate: 50}
	if local := l.ThrottleTime(tenant, 150); global <= 0 || local <= global {
		t.Errorf("throttle time %v for the whole limit, %v for the lower granted rate", global, local)
	}
}

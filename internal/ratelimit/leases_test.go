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

// admitUnleasedFor admits as many messages as the lease lets through for a while,
// and returns how many.
func admitUnleasedFor(x *lease, d time.Duration) int {
	admitted := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if x.admitUnleased(time.Now()) {
			admitted++
		}
	}
	return admitted
}

// An owner that moves is unreachable for a moment, again and again. What an edge
// admits meanwhile is its part of the rate for that time, however often.
func TestUnleasedAdmissionsFollowTheOutageTime(t *testing.T) {
	for _, outage := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			x := &lease{demandRate: 500, grantRate: 100}
			admitted, total := 0, time.Duration(0)
			for range 8 {
				x.lastResponse = time.Now()
				admitted += admitUnleasedFor(x, outage)
				total += outage
				time.Sleep(200 * time.Millisecond) // within reach
			}
			if most := x.grantRate * total.Seconds(); float64(admitted) > most || float64(admitted) < most*3/4-8 {
				t.Errorf("8 times %v: %d admitted, %v at the most", outage, admitted, most)
			}
			if float64(admitted) != x.fallback.unreported {
				t.Errorf("%d admitted, %v are to be reported to the owner", admitted, x.fallback.unreported)
			}
		})
	}
}

// owner answers lease requests in place of a store.
type owner struct {
	requests []QuotaLeaseRequest
	answer   func(ctx context.Context) (QuotaLeaseResponse, error)
}

func (o *owner) Call(ctx context.Context, address, path string, in any, _ []byte, out any) error {
	if address != "store:1" || path != LeasePath {
		return errors.New("unexpected call of " + address + path)
	}
	request := in.(QuotaLeaseRequest)
	request.Requested = maps.Clone(request.Requested)
	o.requests = append(o.requests, request)
	response, err := o.answer(ctx)
	*out.(*QuotaLeaseResponse) = response
	return err
}

// leasesFrom makes the leases of an edge whose tenants all have the same owner.
func leasesFrom(o *owner) *Leases {
	var store placement.Store
	store.Address = "store:1"
	p := &placement.Placement{
		Stores:     map[string]placement.Store{"store": store},
		Partitions: []placement.Partition{{Primary: "store"}},
	}
	return NewLeases(o, func() *placement.Placement { return p }, 4*time.Second)
}

func TestAcquireFollowsTheOwnersAnswer(t *testing.T) {
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
		"refused for longer": {waitMs: 5000, want: second / 8}, // half a round at the most
		"granted late":       {granted: 1, delay: 150 * time.Millisecond},
		"unreachable":        {err: errors.New("unreachable"), want: quota.Window / 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := &owner{answer: func(context.Context) (QuotaLeaseResponse, error) {
				time.Sleep(c.delay)
				return QuotaLeaseResponse{Granted: map[string]float64{"a": c.granted}, RetryAfterMs: map[string]int64{"a": c.waitMs}}, c.err
			}}
			l := leasesFrom(o)
			ctx, cancel := context.WithTimeout(t.Context(), 3*second)
			defer cancel()
			got := l.Acquire(ctx, &configuration.Tenant{Name: "a", RatePerS: 10})
			synctest.Wait()
			if got != c.want {
				t.Errorf("%s: wait %v, not %v", name, got, c.want)
			}
			if o.requests[0].Requested["a"] != 1 || o.requests[0].Partitions != 1 {
				t.Errorf("%s: requested %+v", name, o.requests[0])
			}
			if (c.err != nil) != (ctx.Err() != nil) {
				t.Errorf("%s: the wait ended with %v", name, ctx.Err())
			}
		})
	}
}

func TestUnusedLeaseReturnsToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{answer: func(context.Context) (QuotaLeaseResponse, error) {
			return QuotaLeaseResponse{Granted: map[string]float64{"a": 5}}, nil
		}}
		l := leasesFrom(o)
		tenant := &configuration.Tenant{Name: "a", RatePerS: 10}
		l.Acquire(t.Context(), tenant)
		time.Sleep(time.Minute) // the lease has expired by then
		l.Acquire(t.Context(), tenant)
		if len(o.requests) != 2 || o.requests[0].Returned["a"] != 0 || o.requests[1].Returned["a"] != 4 {
			t.Errorf("requests %+v", o.requests)
		}
		if x := l.leases["a"]; x.tokens != 4 {
			t.Errorf("%v tokens, the expired ones are returned and used too", x.tokens)
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
		"leased":                    {lease{tokens: 1, expiresAt: later}, admitted},
		"less than one":             {lease{tokens: 0.9, expiresAt: later}, awaitResponse},
		"expired":                   {lease{tokens: 5, expiresAt: before}, awaitResponse},
		"refused":                   {lease{refusedUntil: later}, overLimit},
		"leased and refused":        {lease{tokens: 1, expiresAt: later, refusedUntil: later}, admitted},
		"refused long ago":          {lease{refusedUntil: before}, awaitResponse},
		"unreachable":               {lease{unreachable: true, requestedAt: before}, awaitResponse},
		"unreachable just now":      {lease{unreachable: true, requestedAt: now}, retryLater},
		"unreachable, under way":    {lease{unreachable: true, requestedAt: now, pending: make(chan struct{})}, awaitResponse},
		"unreachable, with history": {lease{unreachable: true, lastResponse: before, demandRate: 9, grantRate: 9}, admitted},
	} {
		if got := c.lease.admit(now, 50*time.Millisecond); got != c.want {
			t.Errorf("%s: %v, not %v", name, got, c.want)
		}
	}
}

func TestLeaseRenewalAheadOfDemand(t *testing.T) {
	now := time.Now()
	const round = 250 * time.Millisecond
	for name, c := range map[string]struct {
		lease lease
		want  bool
	}{
		"empty":                 {lease{demandRate: 100, expiresAt: now.Add(time.Second)}, true},
		"half full":             {lease{demandRate: 100, tokens: 38, expiresAt: now.Add(time.Second)}, false},
		"less than half":        {lease{demandRate: 100, tokens: 37, expiresAt: now.Add(time.Second)}, true},
		"expired":               {lease{demandRate: 100, tokens: 100, expiresAt: now.Add(-1)}, true},
		"under way":             {lease{demandRate: 100, pending: make(chan struct{})}, false},
		"refused":               {lease{demandRate: 100, refusedUntil: now.Add(1)}, false},
		"less than one a round": {lease{demandRate: 3.9}, false},
		"idle":                  {lease{}, false},
	} {
		if got := c.lease.needsRenewal(now, round); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestIdleLeaseIsForgotten(t *testing.T) {
	const round = 250 * time.Millisecond
	now := time.Now()
	for name, c := range map[string]struct {
		lease lease
		want  bool
	}{
		"idle":                {lease{lastResponse: now.Add(-2 * time.Minute)}, true},
		"fading":              {lease{lastResponse: now.Add(-2 * time.Minute), demandRate: 0.0133}, true},
		"not quite idle":      {lease{lastResponse: now.Add(-2 * time.Minute), demandRate: 0.0134}, false},
		"one message":         {lease{lastResponse: now.Add(-2 * time.Minute), demand: 1}, false},
		"answered lately":     {lease{lastResponse: now.Add(-time.Second)}, false},
		"a request under way": {lease{lastResponse: now.Add(-2 * time.Minute), pending: make(chan struct{})}, false},
	} {
		c.lease.updateRates(now, round)
		if got := c.lease.evictable(now); got != c.want {
			t.Errorf("%s: %v, demand %v", name, got, c.lease.demandRate)
		}
	}
}

func TestGrantRateStandsStillWhileTheOwnerIsUnreachable(t *testing.T) {
	const round = 250 * time.Millisecond
	now := time.Now()
	for name, c := range map[string]struct {
		lease lease
		want  float64
	}{
		"answered":    {lease{grantRate: 80, lastResponse: now}, 70},
		"granted":     {lease{grantRate: 80, granted: 20, lastResponse: now.Add(-time.Second)}, 80},
		"unreachable": {lease{grantRate: 80, lastResponse: now.Add(-time.Second)}, 80},
	} {
		if c.lease.updateRates(now, round); c.lease.grantRate != c.want || c.lease.granted != 0 {
			t.Errorf("%s: %v", name, c.lease.grantRate)
		}
	}
}

func TestThrottleTimeIsAgainstWhatWasGrantedHere(t *testing.T) {
	tenant := &configuration.Tenant{Name: "a", RatePerS: 100}
	l := NewLeases(nil, nil, 4*time.Second)
	everywhere := l.ThrottleTime(tenant, 150)
	l.leases["a"] = &lease{grantRate: 50}
	if here := l.ThrottleTime(tenant, 150); everywhere <= 0 || here <= everywhere {
		t.Errorf("throttled for %v, and for %v where less was granted", everywhere, here)
	}
}

package ratelimit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
)

// maxInFiveSeconds is the limit for a tenant with rate and burst size 100 over five seconds,
// with quota-overshoot 0.1 and quota-allowance 20.
const maxInFiveSeconds = (100*5+100)*1.1 + 20

// newTable returns a configuration whose only tenant, "a", has this rate and burst size.
func newTable(ratePerS, burst float64) *configuration.Table {
	tenant := &configuration.Tenant{Name: "a", RatePerS: ratePerS, BurstSize: burst}
	return configuration.NewTable(&configuration.Configuration{TenantTable: []*configuration.Tenant{tenant}})
}

// newTestLimiter returns a limiter that owns all partitions, on a store that was not running
// for the given downtime before.
func newTestLimiter(tb testing.TB, table *configuration.Table, downtime time.Duration) *Limiter {
	tb.Helper()
	l, err := NewLimiter(LimiterConfig{
		Allowance:         10,
		ReconcileInterval: time.Second,
		Table:             func() *configuration.Table { return table },
		Partitions:        func() int { return 4 },
		IsOwner:           func(int) bool { return true },
		Downtime:          func(int) time.Duration { return downtime },
		RecordActivity:    func() {},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

// acquire requests tokens of tenant "a", reports messages admitted without a lease, and
// returns the granted tokens.
func acquire(t *testing.T, l *Limiter, requested, admitted float64) float64 {
	t.Helper()
	out, err := l.Handle(t.Context(), &QuotaLeaseRequest{Partitions: 4, Requested: map[string]float64{"a": requested}, AdmittedUnleased: map[string]float64{"a": admitted}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return out.Granted["a"]
}

// timedGrant is a grant with its time.
type timedGrant struct {
	at      time.Time
	granted float64
}

// acquireFor repeatedly requests more tokens than the bucket has, for the duration d.
func acquireFor(t *testing.T, l *Limiter, d time.Duration) []timedGrant {
	t.Helper()
	var all []timedGrant
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all = append(all, timedGrant{time.Now(), acquire(t, l, 200, 0)})
	}
	return all
}

// maxGranted returns the maximum number of tokens granted in any five seconds.
func maxGranted(all []timedGrant) float64 {
	largest := 0.0
	for i, from := range all {
		sum := 0.0
		for _, g := range all[i:] {
			if g.at.Sub(from.at) < 5*time.Second {
				sum += g.granted
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

func TestRestartedLimiterStaysWithinLimit(t *testing.T) {
	for _, downtime := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			table := newTable(100, 100)
			first := newTestLimiter(t, table, 0)
			first.bucketLocked(table.Tenant("a"), 4, time.Now())
			time.Sleep(3 * time.Second) // the bucket is full when the requests start
			all := acquireFor(t, first, 3*time.Second)
			time.Sleep(downtime)
			before := len(all)
			all = append(all, acquireFor(t, newTestLimiter(t, table, downtime), 3*time.Second)...)
			if sum := maxGranted(all); sum > maxInFiveSeconds {
				t.Fatalf("downtime %v: %v granted in five seconds, limit %v", downtime, sum, maxInFiveSeconds)
			}
			if want := min(100, 10+100*downtime.Seconds()); all[before].granted < want-1 || all[before].granted > want+1 {
				t.Errorf("downtime %v: first grant after the restart is %v, want %v", downtime, all[before].granted, want)
			}
		})
	}
}

// Messages that edges admitted while the limiter was unreachable are deducted from the tokens
// that the bucket has accumulated, but a new bucket is not charged for messages of the
// previous bucket.
func TestUnleasedAdmissionsAreDeductedFromTheBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(t, newTable(100, 100), 0)
		if got := acquire(t, l, 1000, 80); got != 10 {
			t.Errorf("a new bucket granted %v, want 10", got)
		}
		time.Sleep(2 * time.Second) // unreachable for an edge that admits 150 messages
		if got := acquire(t, l, 1000, 150); got != 0 {
			t.Errorf("%v granted, want 0: 100 tokens accumulated, 150 messages admitted", got)
		}
		time.Sleep(600 * time.Millisecond)
		if got := acquire(t, l, 1000, 0); got != 10 {
			t.Errorf("%v granted, want 10", got)
		}
	})
}

func TestLimiterErrors(t *testing.T) {
	table := newTable(100, 100)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx        context.Context
		table      *configuration.Table
		partitions int
		owner      bool
		want       error
	}{
		"granted":              {t.Context(), table, 4, true, nil},
		"no configuration":     {t.Context(), nil, 4, true, ErrNoConfiguration},
		"no partitions":        {t.Context(), table, 0, true, ErrNoConfiguration},
		"caller timed out":     {ended, table, 4, true, ErrCallerTimedOut},
		"owned by another":     {t.Context(), table, 4, false, &NotOwnerError{"a"}},
		"timed out, not owner": {ended, table, 4, false, ErrCallerTimedOut},
		"unknown and unowned":  {t.Context(), nil, 4, false, ErrNoConfiguration},
	} {
		l := newTestLimiter(t, c.table, 0)
		l.config.IsOwner = func(int) bool { return c.owner }
		_, err := l.Handle(c.ctx, &QuotaLeaseRequest{Partitions: c.partitions, Requested: map[string]float64{"a": 1}}, nil)
		var notOwner, want *NotOwnerError
		if errors.As(c.want, &want) {
			if !errors.As(err, &notOwner) || *notOwner != *want {
				t.Errorf("%s: %v", name, err)
			}
		} else if !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

func TestReconcileKeepsOnlyOwnedBuckets(t *testing.T) {
	table := newTable(100, 100)
	l := newTestLimiter(t, table, 0)
	if l.reconcile(table, 4) || l.buckets["a"] == nil {
		t.Errorf("active without a grant, or bucket missing: %v", l.buckets)
	}
	acquire(t, l, 1, 0)
	if !l.reconcile(table, 4) || l.reconcile(table, 4) {
		t.Error("activity was not reported exactly once after a grant")
	}
	l.config.IsOwner = func(int) bool { return false }
	if l.reconcile(table, 4); len(l.buckets) != 0 {
		t.Errorf("buckets of tenants with another owner remain: %v", l.buckets)
	}
}

func TestIncompleteLimiterConfigIsRejected(t *testing.T) {
	complete := newTestLimiter(t, newTable(1, 1), 0).config
	for name, change := range map[string]func(*LimiterConfig){
		"interval":       func(c *LimiterConfig) { c.ReconcileInterval = 0 },
		"table":          func(c *LimiterConfig) { c.Table = nil },
		"partitions":     func(c *LimiterConfig) { c.Partitions = nil },
		"owner":          func(c *LimiterConfig) { c.IsOwner = nil },
		"downtime":       func(c *LimiterConfig) { c.Downtime = nil },
		"recordActivity": func(c *LimiterConfig) { c.RecordActivity = nil },
	} {
		config := complete
		change(&config)
		if _, err := NewLimiter(config); err == nil {
			t.Errorf("configuration without %s was accepted", name)
		}
	}
}

package ratelimit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
)

// maxInFiveSeconds is what the rules allow a tenant with rate and burst 100 in
// five seconds, with quota-overshoot 0.1 and quota-allowance 20.
const maxInFiveSeconds = (100*5+100)*1.1 + 20

// tableOf is a configuration whose only tenant, "a", has this rate and burst.
func tableOf(ratePerS, burst float64) *configuration.Table {
	tenant := &configuration.Tenant{Name: "a", RatePerS: ratePerS, BurstSize: burst}
	return configuration.NewTable(&configuration.Configuration{TenantTable: []*configuration.Tenant{tenant}})
}

// limiterOf makes a limiter that owns all partitions and whose store did not run
// for the downtime before.
func limiterOf(tb testing.TB, table *configuration.Table, downtime time.Duration) *Limiter {
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

// acquire requests quota of tenant "a" and returns what was granted.
func acquire(t *testing.T, l *Limiter, wanted, spent float64) float64 {
	t.Helper()
	out, err := l.Handle(t.Context(), &QuotaLeaseRequest{Partitions: 4, Requested: map[string]float64{"a": wanted}, AdmittedUnleased: map[string]float64{"a": spent}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return out.Granted["a"]
}

// timedGrant is a grant with the time at which it was given.
type timedGrant struct {
	at      time.Time
	granted float64
}

// acquireFor requests more than the bucket has, again and again for a while.
func acquireFor(t *testing.T, l *Limiter, d time.Duration) []timedGrant {
	t.Helper()
	var all []timedGrant
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all = append(all, timedGrant{time.Now(), acquire(t, l, 200, 0)})
	}
	return all
}

// maxGranted is the most that was granted in any five seconds.
func maxGranted(all []timedGrant) float64 {
	most := 0.0
	for i, from := range all {
		sum := 0.0
		for _, g := range all[i:] {
			if g.at.Sub(from.at) < 5*time.Second {
				sum += g.granted
			}
		}
		most = max(most, sum)
	}
	return most
}

func TestRestartedLimiterStaysWithinTheLimit(t *testing.T) {
	for _, downtime := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			table := tableOf(100, 100)
			first := limiterOf(t, table, 0)
			first.bucketLocked(table.Tenant("a"), 4, time.Now())
			time.Sleep(3 * time.Second) // the bucket is full when the demand begins
			all := acquireFor(t, first, 3*time.Second)
			time.Sleep(downtime)
			before := len(all)
			all = append(all, acquireFor(t, limiterOf(t, table, downtime), 3*time.Second)...)
			if sum := maxGranted(all); sum > maxInFiveSeconds {
				t.Fatalf("downtime %v: %v granted in five seconds, %v are allowed", downtime, sum, maxInFiveSeconds)
			}
			if want := min(100, 10+100*downtime.Seconds()); all[before].granted < want-1 || all[before].granted > want+1 {
				t.Errorf("downtime %v: the restarted limiter begins with %v, not %v", downtime, all[before].granted, want)
			}
		})
	}
}

// What edges admitted while the limiter did not answer is taken off what the
// bucket has gathered meanwhile, but a new bucket does not answer for the one before.
func TestUnleasedAdmissionsAreDeductedFromTheBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limiterOf(t, tableOf(100, 100), 0)
		if got := acquire(t, l, 1000, 80); got != 10 {
			t.Errorf("a new bucket grants %v, not 10", got)
		}
		time.Sleep(2 * time.Second) // unreachable for an edge that admits 150
		if got := acquire(t, l, 1000, 150); got != 0 {
			t.Errorf("%v granted, 100 are gathered and 150 spent", got)
		}
		time.Sleep(600 * time.Millisecond)
		if got := acquire(t, l, 1000, 0); got != 10 {
			t.Errorf("%v granted, not 10", got)
		}
	})
}

func TestLimiterRefusesWhatItCannotGrant(t *testing.T) {
	table := tableOf(100, 100)
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
		l := limiterOf(t, c.table, 0)
		l.config.IsOwner = func(int) bool { return c.owner }
		_, err := l.Handle(c.ctx, &QuotaLeaseRequest{Partitions: c.partitions, Requested: map[string]float64{"a": 1}}, nil)
		var notOwner, want *NotOwnerError
		if errors.As(c.want, &want) {
			if !errors.As(err, &notOwner) || *notOwner != *want {
				t.Errorf("%s: %v", name, err)
			}
		} else if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, not %v", name, err, c.want)
		}
	}
}

func TestReconcileRetainsOnlyOwnedBuckets(t *testing.T) {
	table := tableOf(100, 100)
	l := limiterOf(t, table, 0)
	if l.reconcile(table, 4) || l.buckets["a"] == nil {
		t.Errorf("active without a lease, or no bucket: %v", l.buckets)
	}
	acquire(t, l, 1, 0)
	if !l.reconcile(table, 4) || l.reconcile(table, 4) {
		t.Error("activity is not reported exactly once after a lease")
	}
	l.config.IsOwner = func(int) bool { return false }
	if l.reconcile(table, 4); len(l.buckets) != 0 {
		t.Errorf("buckets of another owner's tenants: %v", l.buckets)
	}
}

func TestIncompleteLimiterConfigIsRejected(t *testing.T) {
	complete := limiterOf(t, tableOf(1, 1), 0).config
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
			t.Errorf("a limiter without %s was made", name)
		}
	}
}

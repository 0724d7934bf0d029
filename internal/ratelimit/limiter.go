package ratelimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"saltreel/internal/configuration"
)

// LimiterConfig is what a Limiter needs of the store that it runs on.
type LimiterConfig struct {
	// Allowance is half of the setting quota-allowance, in messages: what a new
	// bucket may lease at once, and what the bucket of a slow tenant holds
	// beyond its burst.
	Allowance float64
	// ReconcileInterval is how often the buckets that belong here are created and the
	// others are dropped.
	ReconcileInterval time.Duration
	// Table returns the newest configuration; nil before the first.
	Table func() *configuration.Table
	// Partitions returns how many partitions there are; 0 before a placement
	// is known.
	Partitions func() int
	// IsOwner reports whether the buckets of a partition's tenants are here.
	IsOwner func(partition int) bool
	// Downtime returns for how long this store did not run before its last
	// start, if it owned the partition then and nobody has owned it since; else 0.
	Downtime func(partition int) time.Duration
	// RecordActivity stores that the limiter runs now, for Downtime after the
	// next start.
	RecordActivity func()
}

func (c *LimiterConfig) check() error {
	if c.ReconcileInterval <= 0 {
		return errors.New("ratelimit: the interval of a limiter must be above 0")
	}
	if c.Table == nil || c.Partitions == nil || c.IsOwner == nil || c.Downtime == nil || c.RecordActivity == nil {
		return errors.New("ratelimit: the configuration of a limiter is incomplete")
	}
	return nil
}

// Limiter is the owner's side: it runs the token buckets of the tenants whose
// partitions this store is primary of.
type Limiter struct {
	config LimiterConfig

	mu      sync.Mutex
	buckets map[string]*bucket // by tenant
	active  bool               // quota was leased since the activity was last recorded
}

// NewLimiter makes a limiter without buckets.
func NewLimiter(config LimiterConfig) (*Limiter, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Limiter{config: config, buckets: map[string]*bucket{}}, nil
}

// Handle answers one edge's request for leases. It fails with
// ErrNoConfiguration, ErrCallerTimedOut or a *NotOwnerError.
func (l *Limiter) Handle(ctx context.Context, in *QuotaLeaseRequest, _ []byte) (*QuotaLeaseResponse, error) {
	table := l.config.Table()
	if table == nil || in.Partitions <= 0 {
		return nil, ErrNoConfiguration
	}
	out := &QuotaLeaseResponse{Granted: map[string]float64{}, RetryAfterMs: map[string]int64{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ErrCallerTimedOut
	}
	now := time.Now()
	for name, requested := range in.Requested {
		tenant := table.Tenant(name)
		if tenant == nil {
			continue
		}
		if !l.config.IsOwner(LimiterPartition(name, in.Partitions)) {
			delete(l.buckets, name)
			return nil, &NotOwnerError{Tenant: name}
		}
		if tenant.RatePerS <= 0 {
			out.Granted[name] = requested
			continue
		}
		l.grantLocked(tenant, requested, in, out, now)
	}
	return out, nil
}

// grantLocked leases what the bucket of one tenant has.
func (l *Limiter) grantLocked(tenant *configuration.Tenant, requested float64, in *QuotaLeaseRequest, out *QuotaLeaseResponse, now time.Time) {
	b := l.bucketLocked(tenant, in.Partitions, now)
	l.active = true
	b.refill(tenant.RatePerS, bucketCapacity(tenant, l.config.Allowance), in.Returned[tenant.Name], now)
	b.deduct(in.AdmittedUnleased[tenant.Name], tenant.RatePerS, now)
	granted := b.take(requested)
	out.Granted[tenant.Name] = granted
	if granted < requested {
		out.RetryAfterMs[tenant.Name] = b.retryAfterMs(tenant.RatePerS)
	}
}

// bucketLocked finds a tenant's bucket, or creates it.
func (l *Limiter) bucketLocked(tenant *configuration.Tenant, partitions int, now time.Time) *bucket {
	b := l.buckets[tenant.Name]
	if b == nil {
		downtime := l.config.Downtime(LimiterPartition(tenant.Name, partitions))
		b = newBucket(tenant, l.config.Allowance, downtime, now)
		l.buckets[tenant.Name] = b
	}
	return b
}

// Run creates the buckets that belong here before anyone asks, so that they
// have filled by then, and drops those that do not, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	tick := time.NewTicker(l.config.ReconcileInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		table, partitions := l.config.Table(), l.config.Partitions()
		if table == nil || partitions == 0 {
			continue
		}
		if l.reconcile(table, partitions) {
			l.config.RecordActivity()
		}
	}
}

// reconcile makes the buckets those of the tenants that are owned here. It
// reports whether quota was leased since the last time.
func (l *Limiter) reconcile(table *configuration.Table, partitions int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, tenant := range table.TenantTable {
		if l.config.IsOwner(LimiterPartition(tenant.Name, partitions)) {
			l.bucketLocked(tenant, partitions, time.Now())
		} else {
			delete(l.buckets, tenant.Name)
		}
	}
	active := l.active
	l.active = false
	return active
}

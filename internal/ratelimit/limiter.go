package ratelimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"saltreel/internal/configuration"
)

// LimiterConfig configures a Limiter. All functions must be set.
type LimiterConfig struct {
	// Allowance is half of the setting quota-allowance, in messages: the initial tokens
	// of a new bucket, and the capacity beyond the burst size for tenants with a low rate.
	Allowance float64
	// ReconcileInterval is how often buckets are created for the tenants that this store
	// owns and deleted for all others.
	ReconcileInterval time.Duration
	// Table returns the newest configuration, or nil before the first one is known.
	Table func() *configuration.Table
	// Partitions returns the number of partitions, or 0 before a placement is known.
	Partitions func() int
	// IsOwner reports whether this store owns the token buckets of a partition.
	IsOwner func(partition int) bool
	// Downtime returns how long this store was not running before its last start, if it
	// owned the partition before and no other store has owned it since; otherwise 0.
	Downtime func(partition int) time.Duration
	// RecordActivity stores the current time as the last time that the limiter was
	// running; Downtime uses it after the next start.
	RecordActivity func()
}

func (c *LimiterConfig) check() error {
	if c.ReconcileInterval <= 0 {
		return errors.New("ratelimit: the reconcile interval must be positive")
	}
	if c.Table == nil || c.Partitions == nil || c.IsOwner == nil || c.Downtime == nil || c.RecordActivity == nil {
		return errors.New("ratelimit: a required function is not set")
	}
	return nil
}

// Limiter is the owner side of rate limiting: it runs the token buckets of the tenants that
// this store owns. It is safe for concurrent use.
type Limiter struct {
	config LimiterConfig

	mu      sync.Mutex
	buckets map[string]*bucket // by tenant
	active  bool               // tokens were granted since the last reconcile
}

// NewLimiter returns a limiter without buckets.
func NewLimiter(config LimiterConfig) (*Limiter, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Limiter{config: config, buckets: map[string]*bucket{}}, nil
}

// Handle grants tokens for the request of one edge. It returns ErrNoConfiguration,
// ErrCallerTimedOut or a *NotOwnerError on failure.
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

// grantLocked refills the bucket of one tenant and grants up to the requested tokens.
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

// bucketLocked returns the bucket of a tenant, and creates it if necessary.
func (l *Limiter) bucketLocked(tenant *configuration.Tenant, partitions int, now time.Time) *bucket {
	b := l.buckets[tenant.Name]
	if b == nil {
		downtime := l.config.Downtime(LimiterPartition(tenant.Name, partitions))
		b = newBucket(tenant, l.config.Allowance, downtime, now)
		l.buckets[tenant.Name] = b
	}
	return b
}

// Run reconciles the buckets with the configuration and the placement at regular intervals
// until ctx is done. Buckets are created before the first request so that they have been
// refilled by the time it arrives.
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

// reconcile creates the buckets of the tenants that this store owns and deletes all others.
// It reports whether tokens were granted since the last call.
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

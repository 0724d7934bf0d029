// Package admission measures what clients ask of a node that admits them against
// the quotas of their tenants (package quota), and says how long to hold them.
package admission

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/quota"
)

// Quotas are the quotas that a node measures requests against.
type Quotas struct {
	RequestBytes     *quota.Manager
	RequestTime      *quota.Manager
	AcceptedMessages *quota.Manager // messages; the limit over all edges is enforced elsewhere

	mu     sync.Mutex
	limits *configuration.Table // whose limits are applied
}

// NewQuotas makes quotas for a node with so much of a processor. One tenant may have
// half of what it can do.
func NewQuotas(processorShare float64) *Quotas {
	q := &Quotas{
		RequestBytes:     quota.NewManager(quota.RequestBytes),
		RequestTime:      quota.NewManager(quota.RequestTime),
		AcceptedMessages: quota.NewManager(quota.AcceptedMessages),
	}
	q.RequestTime.SetLimit(quota.Entity{Tenant: quota.Default}, processorShare/2)
	return q
}

// Reap removes sensors without use and releases what was held, until ctx ends.
func (q *Quotas) Reap(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, m := range []*quota.Manager{q.RequestBytes, q.RequestTime, q.AcceptedMessages} {
		tasks.Go(func() { m.Reap(ctx) })
	}
	tasks.Wait()
}

// ApplyLimits applies the limits of a configuration, once. It reports whether this
// was the first time.
func (q *Quotas) ApplyLimits(t *configuration.Table) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limits == t {
		return false
	}
	q.limits = t
	q.RequestBytes.SetLimits(ByteLimits(t))
	rates := map[quota.Entity]float64{}
	for _, tenant := range t.TenantTable {
		if tenant.RatePerS > 0 {
			rates[quota.Entity{Tenant: tenant.Name}] = tenant.RatePerS
		}
	}
	q.AcceptedMessages.SetLimits(rates)
	return true
}

// RecordRequest records the bytes of a request and the time that it was worked
// on. It gives the longest throttle time X, that of the accepted messages
// included, and the quota that asks for it.
func (q *Quotas) RecordRequest(tenant, route string, bytes int, worked, acceptedThrottle time.Duration) (time.Duration, *quota.Manager) {
	throttle, by := q.RequestBytes.Record(tenant, route, float64(bytes)), q.RequestBytes
	if x := q.RequestTime.Record(tenant, route, max(0, worked.Seconds())); x > throttle {
		throttle, by = x, q.RequestTime
	}
	if acceptedThrottle > throttle {
		throttle, by = acceptedThrottle, q.AcceptedMessages
	}
	return throttle, by
}

// ByteLimits returns the limits of tenants in bytes a second: what their rates
// allow in messages of the largest size.
func ByteLimits(t *configuration.Table) map[quota.Entity]float64 {
	out := map[quota.Entity]float64{}
	for _, tenant := range t.TenantTable {
		if tenant.RatePerS > 0 && t.Limits.GetMaxBodyBytes() > 0 {
			out[quota.Entity{Tenant: tenant.Name}] = tenant.RatePerS * float64(t.Limits.MaxBodyBytes)
		}
	}
	return out
}

// Package admission checks client requests against the quotas of their tenants (package
// quota) on the node that admits them, and returns how long to throttle the client.
package admission

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/quota"
)

// Quotas holds the quotas that a node enforces on client requests. It is safe for
// concurrent use.
type Quotas struct {
	RequestBytes     *quota.Manager
	RequestTime      *quota.Manager
	AcceptedMessages *quota.Manager // at this node; package ratelimit enforces the limit over all edges

	mu           sync.Mutex
	appliedTable *configuration.Table // configuration whose limits are in force
}

// NewQuotas returns the quotas for a node with the given share of processor cores. One tenant may
// use half of that processing time.
func NewQuotas(processorShare float64) *Quotas {
	q := &Quotas{
		RequestBytes:     quota.NewManager(quota.RequestBytes),
		RequestTime:      quota.NewManager(quota.RequestTime),
		AcceptedMessages: quota.NewManager(quota.AcceptedMessages),
	}
	q.RequestTime.SetLimit(quota.Entity{Tenant: quota.Default}, processorShare/2)
	return q
}

// Reap releases throttled requests of all quotas when they are due, until ctx is done.
func (q *Quotas) Reap(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, m := range []*quota.Manager{q.RequestBytes, q.RequestTime, q.AcceptedMessages} {
		tasks.Go(func() { m.Reap(ctx) })
	}
	tasks.Wait()
}

// ApplyLimits applies the limits of a configuration. It returns false if this configuration
// is already in force.
func (q *Quotas) ApplyLimits(t *configuration.Table) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.appliedTable == t {
		return false
	}
	q.appliedTable = t
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

// RecordRequest records the size and the processing time of a request. It returns the longest
// throttle time of all quotas, including the given one for accepted messages, and the quota
// that requires it.
func (q *Quotas) RecordRequest(tenant, route string, bytes int, processingTime, acceptedThrottle time.Duration) (time.Duration, *quota.Manager) {
	throttle, limiting := q.RequestBytes.Record(tenant, route, float64(bytes)), q.RequestBytes
	if timeThrottle := q.RequestTime.Record(tenant, route, max(0, processingTime.Seconds())); timeThrottle > throttle {
		throttle, limiting = timeThrottle, q.RequestTime
	}
	if acceptedThrottle > throttle {
		throttle, limiting = acceptedThrottle, q.AcceptedMessages
	}
	return throttle, limiting
}

// ByteLimits returns the limits of the tenants in bytes per second: the message rate of the
// tenant times the maximum body size.
func ByteLimits(t *configuration.Table) map[quota.Entity]float64 {
	out := map[quota.Entity]float64{}
	for _, tenant := range t.TenantTable {
		if tenant.RatePerS > 0 && t.Limits.GetMaxBodyBytes() > 0 {
			out[quota.Entity{Tenant: tenant.Name}] = tenant.RatePerS * float64(t.Limits.MaxBodyBytes)
		}
	}
	return out
}

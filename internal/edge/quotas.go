package edge

import (
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/quota"
	"saltreel/internal/store"
)

// quotas are the quotas that an edge measures requests against.
type quotas struct {
	requestBytes *quota.Manager
	requestTime  *quota.Manager
	accepted     *quota.Manager // messages; the limit over all edges is enforced elsewhere

	mu     sync.Mutex
	limits *configuration.Table // whose limits are applied
}

func newQuotas() quotas {
	return quotas{
		requestBytes: quota.NewManager(quota.RequestBytes),
		requestTime:  quota.NewManager(quota.RequestTime),
		accepted:     quota.NewManager(quota.Accepted),
	}
}

// applyLimits applies the limits of a configuration, once.
func (q *quotas) applyLimits(t *configuration.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limits == t {
		return
	}
	q.limits = t
	q.requestBytes.SetLimits(store.ByteLimits(t))
	rates := map[quota.Entity]float64{}
	for _, tenant := range t.TenantTable {
		if tenant.RatePerS > 0 {
			rates[quota.Entity{Tenant: tenant.Name}] = tenant.RatePerS
		}
	}
	q.accepted.SetLimits(rates)
}

// recordRequest records the bytes of a request and the time that it was worked
// on. It gives the longest throttle time X, that of the accepted messages
// included, and the quota that asks for it.
func (q *quotas) recordRequest(tenant, route string, bytes int, worked, acceptedThrottle time.Duration) (time.Duration, *quota.Manager) {
	throttle, by := q.requestBytes.Record(tenant, route, float64(bytes)), q.requestBytes
	if x := q.requestTime.Record(tenant, route, max(0, worked.Seconds())); x > throttle {
		throttle, by = x, q.requestTime
	}
	if acceptedThrottle > throttle {
		throttle, by = acceptedThrottle, q.accepted
	}
	return throttle, by
}

package store

import (
	"context"
	"math"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/rpc"
)

// meters count the accepted messages of tenants over all nodes. The meter of a
// tenant runs where the partition of its name is led; edges ask it for grants.
type meters struct {
	// share is half of quota-allowance: what a new meter may give at once, and
	// what a slow tenant's meter holds beyond the burst, for the grants that
	// lie idle at edges. Those of a fast one are used soon.
	share float64
	leads func(n int) bool
	// paused is how long the last life of this store is over, if the meters of
	// a partition ran in it and nowhere since; mark notes that they run.
	paused func(n int) time.Duration
	mark   func()
	table  func() *configuration.Table

	mu      sync.Mutex
	tenants map[string]*meter
	granted bool // since the last mark
}

// meter is a token bucket.
type meter struct {
	tokens float64
	filled time.Time
	began  time.Time
}

// Grant asks for grants by tenant.
type QuotaLeaseRequest struct {
	Partitions int                `json:"partitions"`
	Wanted     map[string]float64 `json:"want"`
	Returned   map[string]float64 `json:"back,omitempty"` // granted earlier and not used
	// Spent is what was let through while the meter did not answer.
	Spent map[string]float64 `json:"spent,omitempty"`
}

// Granted gives them, and tells how long to wait for the next where nothing is left.
type QuotaLeaseResponse struct {
	Granted map[string]float64 `json:"given"`
	WaitMs  map[string]int64   `json:"wait,omitempty"`
}

func (m *meters) handle(ctx context.Context, in *QuotaLeaseRequest, _ []byte) (*QuotaLeaseResponse, error) {
	t := m.table()
	if t == nil || in.Partitions <= 0 {
		return nil, &rpc.StatusError{Code: 503, Text: "no configuration is known here"}
	}
	out := &QuotaLeaseResponse{Granted: map[string]float64{}, WaitMs: map[string]int64{}}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil { // what is given to nobody is lost
		return nil, &rpc.StatusError{Code: 503, Text: "the caller waits no longer"}
	}
	now := time.Now()
	for name, want := range in.Wanted {
		tenant := t.Tenant(name)
		if tenant == nil {
			continue
		}
		if !m.leads(LimiterPartition(name, in.Partitions)) {
			delete(m.tenants, name)
			return nil, &rpc.StatusError{Code: 421, Text: "the meter of " + name + " is not here"}
		}
		if tenant.RatePerS <= 0 {
			out.Granted[name] = want
			continue
		}
		x := m.meter(tenant, in.Partitions, now)
		m.granted = true
		most := math.Max(1, tenant.BurstSize) + max(0, m.share-tenant.RatePerS/10)
		x.tokens = min(most, x.tokens+tenant.RatePerS*now.Sub(x.filled).Seconds()+in.Returned[name])
		x.filled = now
		// What edges let through since this meter began was let through of what it
		// has gathered; before, another one's.
		x.tokens -= min(in.Spent[name], tenant.RatePerS*now.Sub(x.began).Seconds())
		give := max(0, min(math.Floor(x.tokens), math.Ceil(want)))
		x.tokens -= give
		out.Granted[name] = give
		if give < want {
			out.WaitMs[name] = int64(1000 * (1 - x.tokens + 1) / tenant.RatePerS)
		}
	}
	return out, nil
}

// meter finds a tenant's meter. A new one starts almost without burst, since
// an earlier one, elsewhere, may have spent it; but if the earlier one was here
// and ended with the last life of this store, it has filled in the meantime.
func (m *meters) meter(t *configuration.Tenant, partitions int, now time.Time) *meter {
	x := m.tenants[t.Name]
	if x == nil {
		paused := m.paused(LimiterPartition(t.Name, partitions))
		x = &meter{tokens: min(math.Max(t.BurstSize, m.share), m.share+t.RatePerS*paused.Seconds()), filled: now, began: now}
		m.tenants[t.Name] = x
	}
	return x
}

// tend starts the meters that belong here before anyone asks, so that they
// have filled by then, and drops those that do not.
func (m *meters) tend(ctx context.Context, every time.Duration, partitions func() int) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		t, n := m.table(), partitions()
		if t == nil || n == 0 {
			continue
		}
		m.mu.Lock()
		for _, x := range t.TenantTable {
			if m.leads(LimiterPartition(x.Name, n)) {
				m.meter(x, n, time.Now())
			} else {
				delete(m.tenants, x.Name)
			}
		}
		granted := m.granted
		m.granted = false
		m.mu.Unlock()
		if granted {
			m.mark()
		}
	}
}

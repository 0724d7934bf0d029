package admission

import (
	"maps"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/quota"
)

func TestByteLimits(t *testing.T) {
	tenants := []*configuration.Tenant{{Name: "limited", RatePerS: 10}, {Name: "unlimited"}}
	for _, c := range []struct {
		limits *configuration.Limits
		want   map[quota.Entity]float64
	}{
		{&configuration.Limits{MaxBodyBytes: 1000}, map[quota.Entity]float64{{Tenant: "limited"}: 10000}},
		{&configuration.Limits{}, nil},
		{nil, nil},
	} {
		table := configuration.NewTable(&configuration.Configuration{TenantTable: tenants, Limits: c.limits})
		if got := ByteLimits(table); !maps.Equal(got, c.want) {
			t.Errorf("limits %v: got %v", c.limits, got)
		}
	}
}

// RecordRequest returns the longest throttle time and the quota that requires it.
func TestRecordRequestReturnsLongestThrottleTime(t *testing.T) {
	for _, test := range []struct {
		name           string
		bytes          int
		processingTime time.Duration
		accepted       time.Duration
		limiting       func(*Quotas) *quota.Manager
		throttle       bool
	}{
		{"within all limits", 1, time.Millisecond, 0, func(q *Quotas) *quota.Manager { return q.RequestBytes }, false},
		{"bytes", 1 << 20, time.Millisecond, 0, func(q *Quotas) *quota.Manager { return q.RequestBytes }, true},
		{"time", 1, time.Hour, 0, func(q *Quotas) *quota.Manager { return q.RequestTime }, true},
		{"accepted messages", 1, time.Millisecond, time.Second, func(q *Quotas) *quota.Manager { return q.AcceptedMessages }, true},
		{"the longest of several", 1 << 20, time.Millisecond, time.Hour, func(q *Quotas) *quota.Manager { return q.AcceptedMessages }, true},
		{"negative time counts as none", 1, -time.Hour, 0, func(q *Quotas) *quota.Manager { return q.RequestBytes }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := NewQuotas(1)
			q.RequestBytes.SetLimit(quota.Entity{Tenant: quota.Default}, 1000)
			q.RequestTime.SetLimit(quota.Entity{Tenant: quota.Default}, 0.5)
			x, limiting := q.RecordRequest("one", "route", test.bytes, test.processingTime, test.accepted)
			if (x > 0) != test.throttle {
				t.Errorf("throttle time %v, want throttled: %v", x, test.throttle)
			}
			if limiting != test.limiting(q) {
				t.Error("wrong quota returned")
			}
		})
	}
}

func TestApplyLimits(t *testing.T) {
	q := NewQuotas(1)
	table := func(rate float64) *configuration.Table {
		return configuration.NewTable(&configuration.Configuration{
			TenantTable: []*configuration.Tenant{{Name: "one", RatePerS: rate}, {Name: "two"}},
		})
	}
	for _, rate := range []float64{10, 20} {
		q.ApplyLimits(table(rate))
		reference := quota.NewManager(quota.AcceptedMessages)
		reference.SetLimit(quota.Entity{Tenant: "one"}, rate)
		want, _ := reference.MaxInWindow("one", "route")
		if got, limited := q.AcceptedMessages.MaxInWindow("one", "route"); !limited || got != want {
			t.Errorf("rate %v: MaxInWindow %v, limited %v; want %v", rate, got, limited, want)
		}
		if _, limited := q.AcceptedMessages.MaxInWindow("two", "route"); limited {
			t.Error("a tenant without a rate is limited")
		}
	}
}

package edge

import (
	"slices"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/quota"
)

func TestRetryAfterInWholeSeconds(t *testing.T) {
	for _, test := range []struct {
		wait time.Duration
		want string
	}{
		{0, "1"},
		{time.Millisecond, "1"},
		{time.Second, "1"},
		{time.Second + time.Millisecond, "2"},
		{90 * time.Second, "90"},
	} {
		response := withRetryAfter(&httpwire.Response{Status: 503}, test.wait)
		if want := []string{"Retry-After", test.want}; !slices.Equal(response.Header, want) {
			t.Errorf("%v: header %q, want %q", test.wait, response.Header, want)
		}
	}
}

func TestMessageDeadline(t *testing.T) {
	timing := timing{contact: 2 * time.Second}
	for _, test := range []struct{ asked, want time.Duration }{
		{0, 960 * time.Millisecond}, // none: half of the contact bound
		{-time.Second, 960 * time.Millisecond},
		{100 * time.Millisecond, 96 * time.Millisecond},
		{10 * time.Second, 9600 * time.Millisecond}, // above the contact bound as well
	} {
		if got := timing.messageDeadline(test.asked); got != test.want {
			t.Errorf("asked %v: %v, want %v", test.asked, got, test.want)
		}
	}
}

// X is the longest that any quota asks for, and the hold is on that quota.
func TestLongestThrottleTimeDecides(t *testing.T) {
	for _, test := range []struct {
		name     string
		bytes    int
		worked   time.Duration
		accepted time.Duration
		by       func(*quotas) *quota.Manager
		throttle bool
	}{
		{"within all limits", 1, time.Millisecond, 0, func(q *quotas) *quota.Manager { return q.requestBytes }, false},
		{"bytes", 1 << 20, time.Millisecond, 0, func(q *quotas) *quota.Manager { return q.requestBytes }, true},
		{"time", 1, time.Hour, 0, func(q *quotas) *quota.Manager { return q.requestTime }, true},
		{"accepted messages", 1, time.Millisecond, time.Second, func(q *quotas) *quota.Manager { return q.accepted }, true},
		{"the longest of several", 1 << 20, time.Millisecond, time.Hour, func(q *quotas) *quota.Manager { return q.accepted }, true},
		{"negative time counts as none", 1, -time.Hour, 0, func(q *quotas) *quota.Manager { return q.requestBytes }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := newQuotas()
			q.requestBytes.SetLimit(quota.Entity{Tenant: quota.Default}, 1000)
			q.requestTime.SetLimit(quota.Entity{Tenant: quota.Default}, 0.5)
			x, by := q.recordRequest("one", "route", test.bytes, test.worked, test.accepted)
			if (x > 0) != test.throttle {
				t.Errorf("throttle time %v, want one: %v", x, test.throttle)
			}
			if by != test.by(&q) {
				t.Error("another quota asks for it")
			}
		})
	}
}

func TestLimitsFollowConfiguration(t *testing.T) {
	q := newQuotas()
	table := func(rate float64) *configuration.Table {
		return configuration.NewTable(&configuration.Configuration{
			TenantTable: []*configuration.Tenant{{Name: "one", RatePerS: rate}, {Name: "two"}},
		})
	}
	for _, rate := range []float64{10, 20} {
		q.applyLimits(table(rate))
		reference := quota.NewManager(quota.Accepted)
		reference.SetLimit(quota.Entity{Tenant: "one"}, rate)
		want, _ := reference.MaxInWindow("one", "route")
		if got, limited := q.accepted.MaxInWindow("one", "route"); !limited || got != want {
			t.Errorf("rate %v: most in a window %v, limited %v; want %v", rate, got, limited, want)
		}
		if _, limited := q.accepted.MaxInWindow("two", "route"); limited {
			t.Error("a tenant without rate is limited")
		}
	}
}

package store

import (
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
)

// most is what the rules let a tenant with rate and burst 100 have in five
// seconds, with quota-overshoot 0.1 and quota-allowance 20.
const most = (100*5+100)*1.1 + 20

func TestAMeterThatComesBackGivesNoMoreThanTheLimit(t *testing.T) {
	for _, paused := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			table := configuration.NewTable(&configuration.Configuration{TenantTable: []*configuration.Tenant{{Name: "a", RatePerS: 100, BurstSize: 100}}})
			life := func(paused time.Duration) *meters {
				return &meters{share: 10, tenants: map[string]*meter{}, leads: func(int) bool { return true },
					paused: func(int) time.Duration { return paused }, mark: func() {}, table: func() *configuration.Table { return table }}
			}
			type grant struct {
				at time.Time
				n  float64
			}
			var all []grant
			ask := func(m *meters, d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					out, err := m.handle(t.Context(), &QuotaLeaseRequest{Partitions: 4, Wanted: map[string]float64{"a": 200}}, nil)
					if err != nil {
						t.Fatal(err)
					}
					all = append(all, grant{time.Now(), out.Granted["a"]})
				}
			}
			first := life(0)
			first.meter(table.Tenant("a"), 4, time.Now())
			time.Sleep(3 * time.Second) // it is full when the demand begins
			ask(first, 3*time.Second)
			time.Sleep(paused)
			before := len(all)
			ask(life(paused), 3*time.Second)
			for i, from := range all {
				sum := 0.0
				for _, g := range all[i:] {
					if g.at.Sub(from.at) < 5*time.Second {
						sum += g.n
					}
				}
				if sum > most {
					t.Fatalf("paused %v: %v granted in five seconds, %v are allowed", paused, sum, most)
				}
			}
			if want := min(100, 10+100*paused.Seconds()); all[before].n < want-1 || all[before].n > want+1 {
				t.Errorf("paused %v: the new life begins with %v, not %v", paused, all[before].n, want)
			}
		})
	}
}

// What edges let through while the meter did not answer them is taken off what it
// has gathered meanwhile, but a new meter does not answer for the one before.
func TestAMeterIsToldWhatWasLetThroughWithoutIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := configuration.NewTable(&configuration.Configuration{TenantTable: []*configuration.Tenant{{Name: "a", RatePerS: 100, BurstSize: 100}}})
		m := &meters{share: 10, tenants: map[string]*meter{}, leads: func(int) bool { return true },
			paused: func(int) time.Duration { return 0 }, mark: func() {}, table: func() *configuration.Table { return table }}
		ask := func(spent float64) float64 {
			out, err := m.handle(t.Context(), &QuotaLeaseRequest{Partitions: 4, Wanted: map[string]float64{"a": 1000}, Spent: map[string]float64{"a": spent}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			return out.Granted["a"]
		}
		if got := ask(80); got != 10 {
			t.Errorf("a new meter gives %v, not 10", got)
		}
		time.Sleep(2 * time.Second) // out of reach of an edge that lets 150 through
		if got := ask(150); got != 0 {
			t.Errorf("%v given, 100 are gathered and 150 spent", got)
		}
		time.Sleep(600 * time.Millisecond)
		if got := ask(0); got != 10 {
			t.Errorf("%v given, not 10", got)
		}
	})
}

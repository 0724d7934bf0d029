package quota

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// approximately reports whether two numbers are equal up to rounding errors.
func approximately(a, b float64) bool { return math.Abs(a-b) < 1e-6*math.Max(1, math.Abs(b)) }

func TestRatePadsSpanAndExpiresOldSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sensor{}
		s.record(100, time.Now())
		if r := s.Rate(time.Now()); !approximately(r, 10) {
			t.Errorf("new sensor: rate %v, want 100 over ten padded windows", r)
		}
		time.Sleep(500 * time.Millisecond)
		if r := s.Rate(time.Now()); !approximately(r, 100/10.5) {
			t.Errorf("after half a window: rate %v", r)
		}
		time.Sleep(9500 * time.Millisecond)
		s.record(100, time.Now())
		if r := s.Rate(time.Now()); !approximately(r, 20) {
			t.Errorf("after ten complete windows: rate %v", r)
		}
		time.Sleep(1500 * time.Millisecond)
		if r := s.Rate(time.Now()); !approximately(r, 100/(1.5+9)) {
			t.Errorf("rate %v includes the expired sample", r)
		}
	})
}

func TestThrottleTimeReducesRateToLimit(t *testing.T) {
	for _, c := range []struct{ o, b, x float64 }{{10, 10, 0}, {5, 10, 0}, {15, 10, 0.5}, {30, 10, 2}} {
		if x := ThrottleTime(c.o, c.b); !approximately(x.Seconds(), c.x) {
			t.Errorf("O=%v T=%v: X=%v, want %v", c.o, c.b, x, c.x)
		}
		w, x := Window.Seconds(), c.x
		if c.o > c.b && !approximately(c.o*w/(w+x), c.b) {
			t.Errorf("O·W/(W+X) != T for %v", c)
		}
	}
}

// Guards against throttle times that outlast the samples they are computed from: after a
// limit was close to 0 for a few seconds, the unbounded formula would delay clients for
// minutes or hours.
func TestThrottleTimeIsBounded(t *testing.T) {
	for _, limit := range []float64{0, 1e-9, 1.0 / 60, 1} {
		if x := ThrottleTime(1000, limit); x != MaxThrottleTime {
			t.Errorf("T=%v: X=%v, want %v", limit, x, MaxThrottleTime)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestBytes)
		m.SetLimit(Entity{Tenant: "a"}, 1.0/60)
		time.Sleep(m.Record("a", "r", 1000))
		if rate := m.Rate("a", "r"); rate != 0 {
			t.Errorf("rate after the throttle time: %v, want 0", rate)
		}
	})
}

func TestRecordThenCheckLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestBytes)
		if x := m.Record("a", "r", 1e9); x != 0 {
			t.Errorf("without a limit: X=%v", x)
		}
		m.SetLimit(Entity{Tenant: "a"}, 10)
		if x := m.Record("a", "r", 100); x != 0 {
			t.Errorf("at the limit: X=%v", x)
		}
		if x := m.Record("a", "other", 50); !approximately(x.Seconds(), 0.5) {
			t.Errorf("1.5 times the limit: X=%v", x)
		}
		if x := m.Record("b", "r", 1e6); x != 0 {
			t.Errorf("tenant without a limit: X=%v", x)
		}
		m.Unrecord("a", "r", 50)
		if r := m.Rate("a", "r"); !approximately(r, 10) {
			t.Errorf("rate %v includes the reverted value", r)
		}
		if got, ok := m.MaxInWindow("a", "r"); !ok || !approximately(got, 100) {
			t.Errorf("MaxInWindow: %v, want 100", got)
		}
	})
}

func TestSetLimitKeepsSensor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(AcceptedMessages)
		m.SetLimit(Entity{Tenant: "a"}, 1000)
		m.Record("a", "r", 200)
		m.SetLimits(map[Entity]float64{{Tenant: "a"}: 10})
		if x := m.Record("a", "r", 0); !approximately(x.Seconds(), 1) {
			t.Errorf("after the limit was lowered: X=%v, want 1 s for a rate of 20 and a limit of 10", x)
		}
		m.SetLimit(Entity{Tenant: "a"}, 1000)
		if r := m.Rate("a", "r"); !approximately(r, 20) {
			t.Errorf("rate %v, want 20: the sensor was reset", r)
		}
	})
}

func TestMostSpecificLimitApplies(t *testing.T) {
	m := NewManager(RequestBytes)
	m.SetLimits(map[Entity]float64{{"a", "r"}: 1, {"a", Default}: 2, {"a", ""}: 3, {Default, ""}: 4})
	for _, c := range []struct {
		tenant, route string
		limit         float64
		sensor        Entity
	}{{"a", "r", 1, Entity{"a", "r"}}, {"a", "s", 2, Entity{"a", "s"}}, {"b", "r", 4, Entity{"b", ""}}} {
		if e, b, ok := m.resolve(c.tenant, c.route); !ok || b != c.limit || e != c.sensor {
			t.Errorf("%s %s: %v %v", c.tenant, c.route, e, b)
		}
	}
	m.RemoveLimit(Entity{"a", Default})
	if e, b, _ := m.resolve("a", "s"); b != 3 || e != (Entity{"a", ""}) {
		t.Errorf("after removal of the default for routes: %v %v", e, b)
	}
}

func TestReapReleasesEachRequestOnceWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestTime)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Reap(ctx); close(done) }()
		began := time.Now()
		var released atomic.Int32
		for _, d := range []time.Duration{700, 200, 5000} {
			ch := m.Throttle(d * time.Millisecond)
			want := min(d*time.Millisecond, Window)
			go func() {
				<-ch // a second close would panic
				released.Add(1)
				if got := time.Since(began); got < want || got > want+Window {
					t.Errorf("released after %v, want %v", got, want)
				}
			}()
		}
		if m.NumThrottled() != 3 {
			t.Errorf("%d requests throttled, want 3", m.NumThrottled())
		}
		time.Sleep(3 * time.Second)
		if released.Load() != 3 || m.NumThrottled() != 0 {
			t.Errorf("%d released, %d still throttled", released.Load(), m.NumThrottled())
		}
		last := m.Throttle(time.Minute)
		synctest.Wait()
		cancel()
		<-done
		<-last // Reap releases all requests when it ends
	})
}

func TestExpiredSensorsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestBytes)
		m.SetLimit(Entity{Tenant: Default}, 1)
		m.Record("a", "r", 1)
		time.Sleep(SensorExpiration / 2)
		m.Record("b", "r", 1)
		time.Sleep(SensorExpiration*2/3 + time.Second)
		m.Record("c", "r", 1)
		if len(m.sensors) != 2 || m.sensors[Entity{"a", ""}] != nil {
			t.Errorf("sensors: %v", m.sensors)
		}
	})
}

package quota

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// approximately reports whether two numbers differ by rounding only.
func approximately(a, b float64) bool { return math.Abs(a-b) < 1e-6*math.Max(1, math.Abs(b)) }

func TestRatePadsItsSpanAndExpiresOldWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sensor{}
		s.record(100, time.Now())
		if r := s.Rate(time.Now()); !approximately(r, 10) {
			t.Errorf("fresh sensor: %v, not 100 over ten padded windows", r)
		}
		time.Sleep(500 * time.Millisecond)
		if r := s.Rate(time.Now()); !approximately(r, 100/10.5) {
			t.Errorf("after half a window: %v", r)
		}
		time.Sleep(9500 * time.Millisecond)
		s.record(100, time.Now())
		if r := s.Rate(time.Now()); !approximately(r, 20) {
			t.Errorf("ten complete windows: %v", r)
		}
		time.Sleep(1500 * time.Millisecond)
		if r := s.Rate(time.Now()); !approximately(r, 100/(1.5+9)) {
			t.Errorf("the oldest window is still counted: %v", r)
		}
	})
}

func TestThrottleTimeBringsRateBackToBound(t *testing.T) {
	for _, c := range []struct{ o, b, x float64 }{{10, 10, 0}, {5, 10, 0}, {15, 10, 0.5}, {30, 10, 2}} {
		if x := ThrottleTime(c.o, c.b); !approximately(x.Seconds(), c.x) {
			t.Errorf("O=%v T=%v: X=%v, not %v", c.o, c.b, x, c.x)
		}
		w, x := Window.Seconds(), c.x
		if c.o > c.b && !approximately(c.o*w/(w+x), c.b) {
			t.Errorf("O·W/(W+X) is not T for %v", c)
		}
	}
}

// A limit that was low for seconds must not make anyone wait for longer than its use counts.
func TestThrottleTimeIsBounded(t *testing.T) {
	for _, bound := range []float64{0, 1e-9, 1.0 / 60, 1} {
		if x := ThrottleTime(1000, bound); x != MaxThrottleTime {
			t.Errorf("T=%v: X=%v, not %v", bound, x, MaxThrottleTime)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestBytes)
		m.SetLimit(Entity{Tenant: "a"}, 1.0/60)
		time.Sleep(m.Record("a", "r", 1000))
		if rate := m.Rate("a", "r"); rate != 0 {
			t.Errorf("after X the rate is %v", rate)
		}
	})
}

func TestRequestIsRecordedThenChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestBytes)
		if x := m.Record("a", "r", 1e9); x != 0 {
			t.Errorf("no limit: X=%v", x)
		}
		m.SetLimit(Entity{Tenant: "a"}, 10)
		if x := m.Record("a", "r", 100); x != 0 {
			t.Errorf("at the bound: X=%v", x)
		}
		if x := m.Record("a", "other", 50); !approximately(x.Seconds(), 0.5) {
			t.Errorf("half over the bound: X=%v", x)
		}
		if x := m.Record("b", "r", 1e6); x != 0 {
			t.Errorf("another tenant: X=%v", x)
		}
		m.Unrecord("a", "r", 50)
		if r := m.Rate("a", "r"); !approximately(r, 10) {
			t.Errorf("what was cancelled still counts: %v", r)
		}
		if most, ok := m.MaxInWindow("a", "r"); !ok || !approximately(most, 100) {
			t.Errorf("clamp: %v", most)
		}
	})
}

func TestNewLimitDoesNotResetSensor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(AcceptedMessages)
		m.SetLimit(Entity{Tenant: "a"}, 1000)
		m.Record("a", "r", 200)
		m.SetLimits(map[Entity]float64{{Tenant: "a"}: 10})
		if x := m.Record("a", "r", 0); !approximately(x.Seconds(), 1) {
			t.Errorf("after the limit fell: X=%v, not 1 s for 20 a second against 10", x)
		}
		m.SetLimit(Entity{Tenant: "a"}, 1000)
		if r := m.Rate("a", "r"); !approximately(r, 20) {
			t.Errorf("the use was reset: %v", r)
		}
	})
}

func TestMostSpecificLimitApplies(t *testing.T) {
	m := NewManager(RequestBytes)
	m.SetLimits(map[Entity]float64{{"a", "r"}: 1, {"a", Default}: 2, {"a", ""}: 3, {Default, ""}: 4})
	for _, c := range []struct {
		tenant, route string
		bound         float64
		sensor        Entity
	}{{"a", "r", 1, Entity{"a", "r"}}, {"a", "s", 2, Entity{"a", "s"}}, {"b", "r", 4, Entity{"b", ""}}} {
		if e, b, ok := m.resolve(c.tenant, c.route); !ok || b != c.bound || e != c.sensor {
			t.Errorf("%s %s: %v %v", c.tenant, c.route, e, b)
		}
	}
	m.RemoveLimit(Entity{"a", Default})
	if e, b, _ := m.resolve("a", "s"); b != 3 || e != (Entity{"a", ""}) {
		t.Errorf("without the default of its routes: %v %v", e, b)
	}
}

func TestReaperReleasesEachHoldOnceWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(RequestTime)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Reap(ctx); close(done) }()
		began := time.Now()
		var released atomic.Int32
		for _, d := range []time.Duration{700, 200, 5000} {
			ch := m.Hold(d * time.Millisecond)
			want := min(d*time.Millisecond, Window)
			go func() {
				<-ch // closing it twice would panic
				released.Add(1)
				if got := time.Since(began); got < want || got > want+Window {
					t.Errorf("held %v, not %v", got, want)
				}
			}()
		}
		if m.Held() != 3 {
			t.Errorf("%d holds", m.Held())
		}
		time.Sleep(3 * time.Second)
		if released.Load() != 3 || m.Held() != 0 {
			t.Errorf("%d released, %d held", released.Load(), m.Held())
		}
		last := m.Hold(time.Minute)
		synctest.Wait()
		cancel()
		<-done
		<-last // the end of the reaper releases all
	})
}

func TestIdleSensorsAreRemoved(t *testing.T) {
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

package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/store"
)

func TestRateLimitedServiceStaysBelowItsRate(t *testing.T) {
	runCluster(t, func(w *world) {
		paced := &service{world: w, name: "paced", instances: map[string]*instance{}}
		in := &instance{id: "", address: "10.20.30.40:90", process: &process{network: w.network, ip: "10.20.30.40"}}
		l, err := in.process.listen(in.address)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		w.machines["endpoint"] = &machine{cancel: cancel}
		server := &httpwire.Server{Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response { return paced.serve(in, r) }}
		w.goroutines.Go(func() { _ = server.Serve(ctx, l) })
		w.applyConfiguration(options{pacedRate: 20})
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() { w.sendUntilAccepted(zones[i%3], "/paced/", fmt.Sprintf("p%d", i)) })
			if i == 60 {
				time.Sleep(time.Second)
				victim := ""
				s, _ := w.status()
				for _, p := range s.Placement.Partitions {
					victim = p.Primary
				}
				w.killMachine(victim)
			}
		}
		wg.Wait()
		w.waitFor(30*time.Second, "all paced messages", func() bool { return len(paced.received()) >= 200 })
		runs := paced.received()
		for i, d := range runs {
			k := 0
			for _, e := range runs[i:] {
				if e.startedAt.Sub(d.startedAt) < 5*time.Second {
					k++
				}
			}
			if limit := 20*5*1.1 + 5; float64(k) > limit {
				t.Fatalf("%d arrivals in 5 s, %v allowed", k, limit)
			}
		}
	})
}

// mostWithin is how many of some moments lie in any span of a length.
func maxInWindow(moments []time.Time, span time.Duration) (most int) {
	for _, from := range moments {
		n := 0
		for _, at := range moments {
			if d := at.Sub(from); d >= 0 && d < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestTenantRateLimitHoldsAcrossEdges(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{rate: 20, burst: 20})
		var mu sync.Mutex
		var taken []time.Time
		refused, other := 0, 0
		var wg sync.WaitGroup
		for i := range 600 { // 100 a second against 20
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				a := w.sendMessage(zones[i%3], "/plain/", fmt.Sprintf("q%d", i))
				mu.Lock()
				defer mu.Unlock()
				switch a.Status {
				case 202:
					taken = append(taken, time.Now())
				case 429:
					refused++
					if a.Header.Get("Retry-After") == "" || a.Header.Get("Saltreel-Throttle-Ms") == "" {
						t.Errorf("a 429 does not tell when to come back: %v", a.Header)
					}
				default:
					other++
				}
			})
		}
		wg.Wait()
		most := maxInWindow(taken, 5*time.Second)
		if limit := (20.0*5+20)*1.1 + 20; float64(most) > limit {
			t.Errorf("%d taken in 5 s, %v allowed", most, limit)
		}
		if len(taken) < 100 || refused < 300 || other > 0 {
			t.Errorf("%d taken, %d refused, %d other", len(taken), refused, other)
		}
		if a := w.sendMessage("z1", "/plain/", "neighbour", "Saltreel-Key", "key-two"); a.Status != 202 {
			t.Errorf("a neighbour of the busy tenant got %d", a.Status)
		}
	})
}

// The store of a tenant's meter is rolled while the tenant sends far beyond its
// limit: neither the meter that comes nor the edges that wait for it give more.
func TestTenantRateLimitHoldsWhileLimiterMoves(t *testing.T) {
	const rate = 200.0
	for _, at := range []time.Duration{300 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond} {
		runCluster(t, func(w *world) {
			w.newService("plain", "z1", "z2", "z3")
			w.applyConfiguration(options{rate: rate, burst: rate})
			s, err := w.status()
			if err != nil {
				t.Fatal(err)
			}
			meter := s.Placement.Partitions[store.LimiterPartition("one", len(s.Placement.Partitions))].Primary
			var mu sync.Mutex
			var taken []time.Time
			var wg sync.WaitGroup
			n := 0
			press := func(perS int, d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perS)) {
					n++
					zone, id := zones[n%3], fmt.Sprintf("q%d", n)
					wg.Go(func() {
						sent := time.Now()
						if a := w.sendMessage(zone, "/plain/", id); a.Status == 202 {
							mu.Lock()
							defer mu.Unlock()
							taken = append(taken, sent)
						}
					})
				}
			}
			press(100, 2*time.Second)
			wg.Go(func() {
				time.Sleep(at)
				w.terminateMachine(meter)
				time.Sleep(500 * time.Millisecond)
				w.startMachine(meter, false)
			})
			press(800, 6*time.Second)
			wg.Wait()
			most := maxInWindow(taken, 5*time.Second)
			t.Logf("meter moves after %v: %d taken in 5 s", at, most)
			if limit := (rate*5+rate)*1.1 + 20; float64(most) > limit {
				t.Errorf("meter moves after %v: %d taken in 5 s, %v allowed", at, most, limit)
			}
			if most < int(rate*5) {
				t.Errorf("meter moves after %v: %d taken in 5 s of %v owed", at, most, rate*6)
			}
		})
	}
}

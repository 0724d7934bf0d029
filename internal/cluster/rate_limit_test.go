package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/ratelimit"
)

// A rate-limited service receives no more than its rate in any 5 s, plus the configured
// overshoot, even if a store that delivers to it crashes.
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
		w.waitFor(30*time.Second, "all rate-limited messages", func() bool { return len(paced.received()) >= 200 })
		deliveries := paced.received()
		for i, d := range deliveries {
			arrivals := 0
			for _, e := range deliveries[i:] {
				if e.startedAt.Sub(d.startedAt) < 5*time.Second {
					arrivals++
				}
			}
			if limit := 20*5*1.1 + 5; float64(arrivals) > limit {
				t.Fatalf("%d deliveries in 5 s, at most %v allowed", arrivals, limit)
			}
		}
	})
}

// maxInWindow returns the largest number of the given times that fall within a window
// of the given length.
func maxInWindow(times []time.Time, length time.Duration) (most int) {
	for _, from := range times {
		n := 0
		for _, at := range times {
			if d := at.Sub(from); d >= 0 && d < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A tenant that sends to all edges is limited to its rate and burst overall, without
// affecting other tenants.
func TestTenantRateLimitHoldsAcrossEdges(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{rate: 20, burst: 20})
		var mu sync.Mutex
		var accepted []time.Time
		rejected, other := 0, 0
		var wg sync.WaitGroup
		for i := range 600 { // 100 per second, with a rate of 20
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				a := w.sendMessage(zones[i%3], "/plain/", fmt.Sprintf("q%d", i))
				mu.Lock()
				defer mu.Unlock()
				switch a.Status {
				case 202:
					accepted = append(accepted, time.Now())
				case 429:
					rejected++
					if a.Header.Get("Retry-After") == "" || a.Header.Get("Saltreel-Throttle-Ms") == "" {
						t.Errorf("response 429 without Retry-After or Saltreel-Throttle-Ms: %v", a.Header)
					}
				default:
					other++
				}
			})
		}
		wg.Wait()
		most := maxInWindow(accepted, 5*time.Second)
		if limit := (20.0*5+20)*1.1 + 20; float64(most) > limit {
			t.Errorf("%d accepted in 5 s, at most %v allowed", most, limit)
		}
		if len(accepted) < 100 || rejected < 300 || other > 0 {
			t.Errorf("%d accepted, %d rejected, %d other", len(accepted), rejected, other)
		}
		if a := w.sendMessage("z1", "/plain/", "neighbour", "Saltreel-Key", "key-two"); a.Status != 202 {
			t.Errorf("request of another tenant: status %d, want 202", a.Status)
		}
	})
}

// The store that holds a tenant's rate limiter restarts while the tenant sends far more
// than its limit. Neither the successor nor the edges that wait for it may exceed the
// limit.
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
			limiter := s.Placement.Partitions[ratelimit.LimiterPartition("one", len(s.Placement.Partitions))].Primary
			var mu sync.Mutex
			var accepted []time.Time
			var wg sync.WaitGroup
			n := 0
			sendAt := func(perSecond int, d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
					n++
					zone, id := zones[n%3], fmt.Sprintf("q%d", n)
					wg.Go(func() {
						sent := time.Now()
						if a := w.sendMessage(zone, "/plain/", id); a.Status == 202 {
							mu.Lock()
							defer mu.Unlock()
							accepted = append(accepted, sent)
						}
					})
				}
			}
			sendAt(100, 2*time.Second)
			wg.Go(func() {
				time.Sleep(at)
				w.terminateMachine(limiter)
				time.Sleep(500 * time.Millisecond)
				w.startMachine(limiter, false)
			})
			sendAt(800, 6*time.Second)
			wg.Wait()
			most := maxInWindow(accepted, 5*time.Second)
			t.Logf("limiter moves after %v: %d accepted in 5 s", at, most)
			if limit := (rate*5+rate)*1.1 + 20; float64(most) > limit {
				t.Errorf("limiter moves after %v: %d accepted in 5 s, at most %v allowed", at, most, limit)
			}
			if most < int(rate*5) {
				t.Errorf("limiter moves after %v: %d accepted in 5 s, although the limit permits %v", at, most, rate*6)
			}
		})
	}
}

package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/node"
	"saltreel/internal/quota"
	"saltreel/internal/store"
)

// grants hold what this edge may accept of each tenant. The limits bind over
// all nodes together, so the meters on the stores give them out; the edge asks
// ahead by demand, and what it does not use runs out.
type grants struct {
	node *node.Node

	mu      sync.Mutex
	tenants map[string]*grant
	life    context.Context // of run: no question outlives it
}

type grant struct {
	left    float64
	until   time.Time
	demand  float64       // messages since the last round
	rate    float64       // smoothed demand a second
	given   float64       // granted since the last round
	granted float64       // smoothed grants a second
	asking  chan struct{} // closed when the answer to the question under way is there
	asked   time.Time     // when it was put
	waiting int           // messages that wait for a grant
	lost    bool          // the meter did not answer the last question
	refused time.Time     // no use asking again before
	meter   time.Time     // when the meter last answered
	spare   float64       // allowance while the meter is out of reach
	spareAt time.Time     // up to when it was reckoned
	spent   float64       // let through so, and not yet told to the meter
}

func (g *grants) round() time.Duration { return g.node.Settings.Contact() / 16 }

// excess is the X of a tenant that was refused: what this edge observed of it
// against what it was granted here, or its whole limit where nothing was.
func (g *grants) excess(t *configuration.Tenant, observed float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := t.RatePerS
	if x := g.tenants[t.Name]; x != nil && x.granted > 0 {
		bound = min(bound, x.granted)
	}
	return quota.Throttle(observed, bound)
}

// take uses one grant; if the tenant is over its limit, it tells how long to
// wait. While the meter is out of reach nobody knows whether it is, so the
// message waits for it, as it would for its store, until ctx ends.
func (g *grants) take(ctx context.Context, t *configuration.Tenant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.tenants[t.Name]
	if x == nil {
		x = &grant{}
		g.tenants[t.Name] = x
	}
	x.demand++
	x.waiting++
	defer func() { x.waiting-- }()
	wait := func(done <-chan struct{}, d time.Duration) {
		g.mu.Unlock()
		timer := time.NewTimer(d)
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		g.mu.Lock()
	}
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case x.left >= 1 && now.Before(x.until):
			x.left--
			return 0
		case now.Before(x.refused):
			return x.refused.Sub(now)
		case x.lost && g.alone(x, t, now):
			return 0
		case x.lost && x.asking == nil && now.Sub(x.asked) < g.node.Settings.Contact()/80:
			wait(nil, g.node.Settings.Contact()/80)
			continue
		}
		if x.asking == nil {
			x.asking, x.asked = make(chan struct{}), now
			go g.ask(context.WithoutCancel(ctx), []string{t.Name})
		}
		asking := x.asking
		wait(asking, g.node.Settings.Contact()/40)
		if x.asking == asking { // no answer so far
			x.lost = true
		}
	}
	return quota.Window / 2
}

// alone lets a little through while the meter of a tenant is out of reach, and
// for two windows at most: no more than the meter gave this edge before, for the
// time since it last answered. A meter that moves is out of reach again and
// again for a moment, so nothing may be saved up for that in between. The meter
// hears of it with the next question.
func (g *grants) alone(x *grant, t *configuration.Tenant, now time.Time) bool {
	if now.Sub(x.meter) > quota.Window*2 {
		return false
	}
	rate := min(x.rate, x.granted)
	if x.spareAt.Before(x.meter) {
		x.spare, x.spareAt = 0, x.meter
	}
	x.spare = min(max(1, rate/4), x.spare+rate*now.Sub(x.spareAt).Seconds())
	x.spareAt = now
	if x.spare < 1 {
		return false
	}
	x.spare--
	x.spent++
	return true
}

// run asks ahead, round by round.
func (g *grants) run(ctx context.Context) {
	g.mu.Lock()
	g.life = ctx
	g.mu.Unlock()
	tick := time.NewTicker(g.round())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var names []string
		now := time.Now()
		g.mu.Lock()
		for name, x := range g.tenants {
			x.rate = x.rate*3/4 + x.demand/g.round().Seconds()/4
			x.demand = 0
			if x.given > 0 || now.Sub(x.meter) < g.round()*2 {
				x.granted = x.granted*7/8 + x.given/g.round().Seconds()/8
				x.given = 0
			}
			if x.rate < 0.01 {
				x.rate = 0
				if x.asking == nil && now.Sub(x.meter) > time.Minute {
					delete(g.tenants, name)
				}
				continue
			}
			// Where messages are few, what is asked ahead would lie idle here while
			// other edges lack it: their grants are asked for one by one.
			if x.rate*g.round().Seconds() >= 1 && x.asking == nil && !now.Before(x.refused) && (x.left < g.ahead(x)/2 || now.After(x.until)) {
				x.asking, x.asked = make(chan struct{}), now
				names = append(names, name)
			}
		}
		g.mu.Unlock()
		if len(names) > 0 {
			go g.ask(ctx, names)
		}
	}
}

// ahead is what is wanted in hand: the demand of a few rounds.
func (g *grants) ahead(x *grant) float64 { return math.Floor(x.rate*3*g.round().Seconds()) + 1 }

// ask gets grants for tenants from their meters.
func (g *grants) ask(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, g.node.Settings.Contact()/16)
	defer cancel()
	byStore := map[string]store.QuotaLeaseRequest{}
	p := g.node.Placement()
	g.mu.Lock()
	if g.life != nil {
		defer context.AfterFunc(g.life, cancel)()
	}
	for _, name := range names {
		x := g.tenants[name]
		if x == nil {
			continue
		}
		if p == nil || len(p.Partitions) == 0 {
			continue
		}
		at := p.Partitions[store.LimiterPartition(name, len(p.Partitions))].Primary
		if byStore[at].Wanted == nil {
			byStore[at] = store.QuotaLeaseRequest{Partitions: len(p.Partitions), Wanted: map[string]float64{}, Returned: map[string]float64{}, Spent: map[string]float64{}}
		}
		if x.left > 0 && time.Now().After(x.until) { // what was not used goes back
			byStore[at].Returned[name] = x.left
			x.left = 0
		}
		if x.spent > 0 {
			byStore[at].Spent[name] = x.spent
		}
		byStore[at].Wanted[name] = max(1, float64(x.waiting), g.ahead(x)-x.left)
	}
	g.mu.Unlock()
	var tasks sync.WaitGroup
	for at, in := range byStore {
		tasks.Go(func() {
			began := time.Now()
			var out store.QuotaLeaseResponse
			err := g.node.Client.Call(ctx, p.Stores[at].Address, "/grant", in, nil, &out)
			g.mu.Lock()
			defer g.mu.Unlock()
			now := time.Now()
			if err != nil {
				for name := range in.Wanted {
					if x := g.tenants[name]; x != nil {
						x.lost = true
					}
				}
				return
			}
			for name, w := range in.Wanted {
				x := g.tenants[name]
				if x == nil {
					continue
				}
				if now.After(x.until) {
					x.left = 0
				}
				given := out.Granted[name]
				x.spent = max(0, x.spent-in.Spent[name])
				x.left += given
				x.given += given
				x.until, x.meter, x.lost = began.Add(quota.Window), now, false
				if given < w {
					x.refused = now.Add(min(g.round()/2, time.Duration(out.WaitMs[name])*time.Millisecond))
				}
			}
		})
	}
	tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		if x := g.tenants[name]; x != nil && x.asking != nil {
			close(x.asking)
			x.asking = nil
		}
	}
}

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
}

type grant struct {
	left    float64
	until   time.Time
	demand  float64       // messages since the last round
	rate    float64       // smoothed demand a second
	given   float64       // granted since the last round
	granted float64       // smoothed grants a second
	asking  chan struct{} // closed when the answer to the question under way is there
	refused time.Time     // no use asking again before
	meter   time.Time     // when the meter last answered
	spare   float64       // allowance while the meter is out of reach
	spareAt time.Time
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

// take uses one grant; if there is none, it tells how long to wait.
func (g *grants) take(ctx context.Context, t *configuration.Tenant) time.Duration {
	for try := 0; ; try++ {
		g.mu.Lock()
		x := g.tenants[t.Name]
		if x == nil {
			x = &grant{}
			g.tenants[t.Name] = x
		}
		if try == 0 {
			x.demand++
		}
		now := time.Now()
		if x.left >= 1 && now.Before(x.until) {
			x.left--
			g.mu.Unlock()
			return 0
		}
		if now.Before(x.refused) {
			wait := x.refused.Sub(now)
			g.mu.Unlock()
			return wait
		}
		if try >= 2 {
			ok := g.alone(x, t, now)
			g.mu.Unlock()
			if ok {
				return 0
			}
			return quota.Window / 2
		}
		asking := x.asking
		if asking == nil {
			asking = make(chan struct{})
			x.asking = asking
			go g.ask(context.WithoutCancel(ctx), []string{t.Name})
		}
		g.mu.Unlock()
		soon := time.NewTimer(g.node.Settings.Contact() / 40)
		select {
		case <-asking:
		case <-soon.C: // the meter is out of reach, it seems
			g.mu.Lock()
			ok := g.alone(x, t, time.Now())
			g.mu.Unlock()
			if ok {
				return 0
			}
			select {
			case <-asking:
			case <-ctx.Done():
				return quota.Window / 2
			}
		case <-ctx.Done():
			return quota.Window / 2
		}
		soon.Stop()
	}
}

// alone lets a little through while the meter of a tenant is out of reach, and
// for two windows at most: no more than the meter gave this edge before.
func (g *grants) alone(x *grant, t *configuration.Tenant, now time.Time) bool {
	if now.Sub(x.meter) > quota.Window*2 {
		return false
	}
	rate := min(x.rate, x.granted)
	x.spare = min(max(1, rate/4), x.spare+rate*now.Sub(x.spareAt).Seconds())
	x.spareAt = now
	if x.spare < 1 {
		return false
	}
	x.spare--
	return true
}

// run asks ahead, round by round.
func (g *grants) run(ctx context.Context) {
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
				x.asking = make(chan struct{})
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
	byStore := map[string]store.Grant{}
	p := g.node.Placement()
	g.mu.Lock()
	for _, name := range names {
		x := g.tenants[name]
		if x == nil {
			continue
		}
		if p == nil || len(p.Partitions) == 0 {
			continue
		}
		at := p.Partitions[store.MeterPartition(name, len(p.Partitions))].Primary
		if byStore[at].Want == nil {
			byStore[at] = store.Grant{Partitions: len(p.Partitions), Want: map[string]float64{}, Back: map[string]float64{}}
		}
		if x.left > 0 && time.Now().After(x.until) { // what was not used goes back
			byStore[at].Back[name] = x.left
			x.left = 0
		}
		byStore[at].Want[name] = max(1, g.ahead(x)-x.left)
	}
	g.mu.Unlock()
	var tasks sync.WaitGroup
	for at, in := range byStore {
		tasks.Go(func() {
			began := time.Now()
			var out store.Granted
			err := g.node.Pool.Post(ctx, p.Stores[at].Address, "/grant", in, nil, &out)
			if err != nil {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			now := time.Now()
			for name, w := range in.Want {
				x := g.tenants[name]
				if x == nil {
					continue
				}
				if now.After(x.until) {
					x.left = 0
				}
				given := out.Given[name]
				x.left += given
				x.given += given
				x.until, x.meter = began.Add(quota.Window), now
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

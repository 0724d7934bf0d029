package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"saltreel/internal/configstore"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

func (c *Server) handleSuspect(_ context.Context, in *placement.FailureReport, _ []byte) (*placement.FailureReportResponse, error) {
	_, held := c.lease.Held()
	if held {
		c.tasks.Go(func() { c.probe(c.life, in.Node) })
	}
	return &placement.FailureReportResponse{Controller: held}, nil
}

// crowded tells whether more nodes are silent at once than may be lost: then it
// is rather this core, or the network, that is slow. Those that were asked only
// just now are not silent.
func (c *Server) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := 0
	for _, since := range c.probing {
		if time.Since(since) > c.contact/48 {
			silent++
		}
	}
	return silent > int(c.set.FaultTolerance.HostFailures)
}

// probe asks a node itself whether it runs. No answer makes it dead for as
// long as it does not beat again. Where many are asked at once, one late answer
// is not a death.
func (c *Server) probe(ctx context.Context, name string) {
	n, ok := c.registry.Nodes()[name]
	if !ok {
		return
	}
	c.mu.Lock()
	_, known := c.dead[name]
	if _, asked := c.probing[name]; known || asked {
		c.mu.Unlock()
		return
	}
	c.probing[name] = time.Now()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.probing, name)
		c.mu.Unlock()
	}()
	ping := func(limit time.Duration) error {
		pctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return c.pool.Call(pctx, n.Address, "/ping", struct{}{}, nil, nil)
	}
	began := time.Now()
	err := ping(c.contact / 24)
	if err != nil && rpc.StatusCode(err) == 0 && !httpwire.ConnectionRefused(err) && c.crowded() {
		began = time.Now()
		err = ping(c.contact / 4)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	c.log.Printf("steward: %s is taken as dead: %v", name, err)
	c.mu.Lock()
	c.dead[name] = began
	c.mu.Unlock()
	c.nudge()
}

// handleInStep notes the reports for the next placement, all at once: a write
// down the chain for each would keep the cores busy.
func (c *Server) handleInStep(_ context.Context, in *placement.InSyncReport, _ []byte) (*struct{}, error) {
	if _, held := c.lease.Held(); !held {
		return nil, &rpc.StatusError{Code: 421, Text: "this core is not the steward"}
	}
	c.mu.Lock()
	for _, x := range in.Replicas {
		c.inStep[x] = true
	}
	c.mu.Unlock()
	c.nudge()
	return &struct{}{}, nil
}

// stepped marks the copies that were reported as in step.
func (c *Server) stepped(p *placement.Placement) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for x := range c.inStep {
		if x.Partition >= len(p.Partitions) || p.Partitions[x.Partition].Epoch > x.Epoch {
			delete(c.inStep, x)
			continue
		}
		at := p.Partitions[x.Partition].Backup(x.Store)
		if p.Partitions[x.Partition].Epoch < x.Epoch || at < 0 {
			continue
		}
		if p.Partitions[x.Partition].Backups[at].InSync {
			delete(c.inStep, x)
			continue
		}
		p.Partitions[x.Partition].Backups[at].InSync = true
		changed = true
	}
	return changed
}

// spread is how far the copies of a message must lie apart.
func (c *Server) spreadOf() placement.Redundancy {
	t := c.set.FaultTolerance
	return placement.Redundancy{Backups: int(t.HostFailures), Zones: int(t.Zones), Regions: int(t.RegionFailures)}
}

// steward places the partitions while this core holds the duty.
func (c *Server) steward(ctx context.Context) {
	tick := time.NewTicker(c.contact / 32)
	defer tick.Stop()
	var looked time.Time
	count, since := 0, time.Now()
	wasHeld := false
	for {
		nudged := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
			nudged = true
		}
		if !c.chain.InContact() {
			continue
		}
		c.missed(ctx)
		c.lease.Voters = c.chain.Voters()
		// Not all candidates ask at the same moment for a vacant duty: the head
		// of the chain goes first.
		// Who holds it renews it in any case: work that comes without a pause
		// must not cost the duty.
		if left, held := c.lease.Remaining(); held && left < c.lease.Duration*5/8 || !nudged && (!held && c.grantor.Expired(c.lease.Role) && (c.chain.Head() == c.self || rand.IntN(2*len(c.lease.Voters)+1) == 0)) {
			c.lease.Acquire(ctx, c.Placement().Term)
		}
		term, held := c.lease.Held()
		if held != wasHeld {
			wasHeld = held
			if held {
				c.log.Printf("steward: this core holds the duty, term %d", term)
			}
		}
		if !held || !nudged && time.Since(looked) < c.contact/20 {
			continue
		}
		looked = time.Now()
		stores := c.watch(ctx)
		cur := c.Placement()
		// A core that just came into touch first hears everyone out.
		if c.chain.InContactFor() < c.contact/8 && !heardAll(cur, stores) {
			continue
		}
		var next placement.Placement
		var handovers []int
		changed := false
		if cur.Version == 0 {
			ups := 0
			for _, s := range stores {
				if s.Alive {
					ups++
				}
			}
			if ups != count {
				count, since = ups, time.Now()
			}
			if count < int(c.set.FaultTolerance.HostFailures)+1 || time.Since(since) < c.contact/4 {
				continue
			}
			next, changed = placement.Initial(stores, c.spreadOf()), true
		} else {
			c.mu.Lock()
			ready := map[int]int64{}
			for i, x := range c.ready {
				if time.Since(x.at) < c.contact/8 { // soon after, the primary goes on
					ready[i] = x.epoch
				}
			}
			c.mu.Unlock()
			known := cur.Clone()
			stepped := c.stepped(&known)
			next, handovers, changed = placement.Plan(known, stores, ready, c.spreadOf())
			if stepped && !changed {
				next.Version++
				changed = true
			}
		}
		if changed {
			next.Term = term
			if err := c.Propose(ctx, configstore.Proposal{Placement: &next}); err != nil {
				c.log.Printf("steward: placement %d: %v", next.Version, err)
			} else {
				c.log.Printf("steward: placement %d is in force", next.Version)
			}
			continue
		}
		c.handover(ctx, cur, handovers)
	}
}

// heardAll tells whether every store that holds anything was heard of.
func heardAll(p placement.Placement, stores map[string]placement.StoreStatus) bool {
	for name := range p.Stores {
		if _, ok := stores[name]; !ok && placement.Holds(p, name) {
			return false
		}
	}
	return len(p.Stores) > 0
}

// missed reports the stores that this core watches and that fell silent to
// whichever core is the steward.
func (c *Server) missed(ctx context.Context) {
	for _, name := range c.registry.OverdueStores(c.contact/8, c.contact) {
		in := placement.FailureReport{Node: name}
		_, _ = c.handleSuspect(ctx, &in, nil)
		for _, peer := range c.registry.Peers() {
			c.tasks.Go(func() {
				ctx, cancel := context.WithTimeout(c.life, c.contact/8)
				defer cancel()
				_ = c.pool.Call(ctx, peer, "/suspect", in, nil, nil)
			})
		}
	}
}

// watch looks at all stores; those of which nothing was heard for long are probed.
func (c *Server) watch(ctx context.Context) map[string]placement.StoreStatus {
	out := map[string]placement.StoreStatus{}
	var probes sync.WaitGroup
	for name, n := range c.registry.Nodes() {
		if n.Role != "store" {
			continue
		}
		if n.Age > c.contact/2 {
			probes.Go(func() { c.probe(ctx, name) })
		}
	}
	probes.Wait()
	for name, n := range c.registry.Nodes() {
		if n.Role != "store" {
			continue
		}
		c.mu.Lock()
		deadAt, dead := c.dead[name]
		if dead && time.Now().Add(-n.Age).After(deadAt) {
			delete(c.dead, name) // it has beaten since
			dead = false
			c.log.Printf("steward: %s is back", name)
		}
		c.mu.Unlock()
		out[name] = placement.StoreStatus{Node: n.Node, Alive: !dead}
	}
	return out
}

// stopped is a partition whose primary has stopped for its successor.
type stopped struct {
	epoch int64
	at    time.Time
}

// handover asks the primaries, each in the background.
func (c *Server) handover(ctx context.Context, cur placement.Placement, partitions []int) {
	byStore := map[string]map[int]int64{}
	for _, i := range partitions {
		p := cur.Partitions[i]
		if byStore[p.Primary] == nil {
			byStore[p.Primary] = map[int]int64{}
		}
		byStore[p.Primary][i] = p.Epoch
	}
	for store, list := range byStore {
		c.mu.Lock()
		busy := c.handing[store]
		c.handing[store] = true
		c.mu.Unlock()
		if busy {
			continue
		}
		addr := cur.Stores[store].Address
		c.tasks.Go(func() {
			hctx, cancel := context.WithTimeout(ctx, c.contact)
			defer cancel()
			var out placement.HandoverRequest
			err := c.pool.Call(hctx, addr, "/handover", placement.HandoverRequest{Partitions: list}, nil, &out)
			c.mu.Lock()
			delete(c.handing, store)
			for i, epoch := range out.Partitions {
				c.ready[i] = stopped{epoch, time.Now()}
			}
			c.mu.Unlock()
			if err != nil {
				c.log.Printf("steward: handover of %s: %v", store, err)
				return
			}
			c.nudge()
		})
	}
}

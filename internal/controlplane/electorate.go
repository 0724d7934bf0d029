package controlplane

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"go.etcd.io/bbolt"

	"saltreel/internal/chain"
	"saltreel/internal/rpc"
	"saltreel/internal/timeutil"
)

// Leavings are not in the chain: a majority of the voters keeps each. When the
// voters change, a majority of the new ones need not meet that majority of the
// old. So a leaving is kept for an electorate, the voters between two changes:
//
//   - A voter keeps it only as long as it is in that electorate, and says so
//     after it has kept it.
//   - A core is complete for an electorate once a majority of it, all complete,
//     or a majority of the one before, all complete for that one and already
//     in the new one, has told what it knows. Whatever was acknowledged before
//     is on its disk then.
//   - The voters change again only when a majority of them is complete.

// isReady tells whether this core knows what a voter must know.
func (c *Server) isReady() bool {
	electorate := c.chain.View().QuorumEpoch
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && c.complete >= electorate
}

// inTouch tells whether what this core says of handlers and nodes is not old: a
// majority told it what they know since it was last out of touch.
func (c *Server) inTouch() bool {
	c.mu.Lock()
	known := c.loaded && !c.behind
	c.mu.Unlock()
	return known && c.chain.InContact()
}

// learn asks the other cores for what they know whenever this core may lack
// what a majority knows: after its start, when the voters have changed, and
// when it was out of touch. It says nothing about handlers meanwhile.
func (c *Server) learn(ctx context.Context) {
	served := false
	for ctx.Err() == nil {
		steady := c.chain.InContact()
		c.mu.Lock()
		c.behind = c.behind || served && !steady
		loaded, behind := c.loaded, c.behind
		c.mu.Unlock()
		served = served || steady
		if c.isReady() && !(behind && steady) {
			timeutil.Sleep(ctx, c.contact/40)
			continue
		}
		if c.learnOnce(ctx, !loaded || behind) != nil {
			timeutil.Sleep(ctx, c.contact/80)
			continue
		}
		if steady {
			c.mu.Lock()
			c.behind = false
			c.mu.Unlock()
		}
	}
}

// errAlone says that too few of the voters told what they know.
var errAlone = errors.New("no majority of the voters has told what it knows")

// learnOnce asks all cores at once, for all they know or for leavings only. It
// returns nil when this core is complete.
func (c *Server) learnOnce(ctx context.Context, all bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.contact/16)
	defer cancel()
	asked, ask := c.chain.View(), askLeavings
	if all {
		ask = askAll
	}
	peers := c.peers()
	for _, m := range asked.PreviousVoters {
		if m.Address != c.self {
			peers = append(peers, m.Address)
		}
	}
	type told struct {
		who chain.Member
		out *Exchanged
	}
	got := make(chan told, len(peers))
	for _, peer := range peers {
		c.tasks.Go(func() {
			var out Exchanged
			if c.pool.Call(ctx, peer, "/exchange", Exchange{From: c.self, Ask: ask, View: &asked}, nil, &out) != nil {
				got <- told{}
				return
			}
			got <- told{chain.Member{Address: peer, Disk: out.Disk}, &out}
		})
	}
	answers := map[chain.Member]*Exchanged{}
	if c.majority(answers) > 0 { // the only voter
		return nil
	}
	for range peers {
		t := <-got
		if t.out == nil || t.out.View == nil {
			continue
		}
		if err := c.chain.InstallView(ctx, *t.out.View); err != nil {
			return err
		}
		if err := c.take(t.out.Items); err != nil {
			return err
		}
		answers[t.who] = t.out
		if c.majority(answers) > 0 {
			return nil
		}
	}
	return errAlone
}

// majority notes that this core is complete if those that answered are enough,
// and tells how many they were.
func (c *Server) majority(answers map[chain.Member]*Exchanged) int {
	view := c.chain.View()
	c.mu.Lock()
	complete := c.complete
	c.mu.Unlock()
	enough := func(set []chain.Member, electorate int64) (int, bool) {
		return chain.CountMembers(set, func(m chain.Member) bool {
			if m == c.chain.Self {
				return complete >= electorate
			}
			a := answers[m]
			return a != nil && a.View.QuorumEpoch >= view.QuorumEpoch && a.Complete >= electorate
		})
	}
	n, ok := enough(view.Voters, view.QuorumEpoch)
	if !ok {
		if n, ok = enough(view.PreviousVoters, view.PreviousQuorumEpoch); !ok {
			return 0
		}
	}
	if err := c.setComplete(view.QuorumEpoch); err != nil {
		c.log.Printf("core: %v", err)
		return 0
	}
	c.mu.Lock()
	first := !c.loaded
	c.loaded = true
	c.mu.Unlock()
	if first {
		c.log.Printf("core: the registry is loaded from %d of %d voters", n, len(view.Voters))
	}
	return n
}

// setComplete puts on disk for which electorate this core is complete.
func (c *Server) setComplete(electorate int64) error {
	c.mu.Lock()
	known := c.complete >= electorate
	c.mu.Unlock()
	if known {
		return nil
	}
	err := c.state.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketComplete).Put(bucketComplete, strconv.AppendInt(nil, electorate, 10))
	})
	if err != nil {
		return fmt.Errorf("keep that the leavings are complete: %w", err)
	}
	c.mu.Lock()
	c.complete = max(c.complete, electorate)
	c.mu.Unlock()
	return nil
}

// keepFor keeps leavings as a voter of an electorate. That it still is one is
// looked at again once they are on disk: a core that asks in the name of the
// next one after this finds them, and one that asked before has sealed this.
func (c *Server) keepFor(electorate int64, items []Item) error {
	check := func() error {
		view := c.chain.View()
		c.mu.Lock()
		defer c.mu.Unlock()
		if view.QuorumEpoch != electorate || c.complete < electorate {
			return &rpc.StatusError{Code: 409, Text: fmt.Sprintf("electorate %d is in force, complete for %d, not %d", view.QuorumEpoch, c.complete, electorate)}
		}
		return nil
	}
	if err := check(); err != nil {
		return err
	}
	if err := c.take(items); err != nil {
		return err
	}
	return check()
}

// settle returns once a leaving is on the disks of a majority of the voters,
// and on as many as may be lost and one more.
func (c *Server) settle(ctx context.Context, it Item) error {
	ctx, cancel := context.WithTimeout(ctx, c.contact/5)
	defer cancel()
	for {
		err := c.settleFor(ctx, it, c.chain.View())
		if err == nil {
			return nil
		}
		timeutil.Sleep(ctx, c.contact/80) // the voters may be changing just now
		if ctx.Err() != nil {
			return &rpc.StatusError{Code: 503, Text: fmt.Sprintf("too few cores keep the news: %v", err)}
		}
	}
}

func (c *Server) settleFor(ctx context.Context, it Item, view chain.View) error {
	ctx, cancel := context.WithTimeout(ctx, c.contact/10)
	defer cancel()
	need := max(len(view.Voters)/2+1, int(c.set.FaultTolerance.HostFailures)+1)
	got := make(chan error, len(view.Voters))
	for _, v := range view.Voters {
		c.tasks.Go(func() {
			if v.Address == c.self {
				got <- c.keepFor(view.QuorumEpoch, []Item{it})
				return
			}
			var out Exchanged
			err := c.pool.Call(ctx, v.Address, "/exchange", Exchange{From: c.self, Items: []Item{it}, Keep: &view.QuorumEpoch}, nil, &out)
			if err == nil && out.Disk != v.Disk {
				err = fmt.Errorf("%s has another disk", v.Address)
			}
			got <- err
		})
	}
	var last error
	for left := len(view.Voters); left >= need; left-- {
		if err := <-got; err != nil {
			last = err
		} else if need--; need == 0 {
			return nil
		}
	}
	return fmt.Errorf("electorate %d: %w", view.QuorumEpoch, last)
}

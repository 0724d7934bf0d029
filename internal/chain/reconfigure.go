package chain

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"saltreel/internal/paxos"
	"saltreel/internal/timeutil"
)

// reconfigurer changes the view. It is used by one goroutine only.
type reconfigurer struct {
	chain *Chain
	// answeredAt is the time at which a core last answered a StatusRequest or, if it
	// never did, the time at which it was first considered for replacement.
	answeredAt map[Member]time.Time
	// replacedVoters are the voters already logged as having another disk.
	replacedVoters map[Member]bool
}

func newReconfigurer(c *Chain) *reconfigurer {
	return &reconfigurer{chain: c, answeredAt: map[Member]time.Time{}, replacedVoters: map[Member]bool{}}
}

// reconfigure requests the status of all cores. If one of them knows a newer view,
// it installs that view. Otherwise it restores the state of this core if no member is
// complete and a voter can provide it. If there is nothing to restore, it proposes the
// view that nextView decides on, provided that this differs from the current view or
// that the acceptor of this core has accepted a proposal for it.
func (r *reconfigurer) reconfigure(ctx context.Context, view View) {
	c := r.chain
	statuses := r.collectStatuses(ctx, view)
	if newest := newestView(view, statuses); newest.Number > view.Number {
		c.installAndLog(ctx, newest)
		return
	}
	if view.indexOf(c.Self) < 0 || c.restore(ctx, view, statuses) {
		return
	}
	next, safe := r.decideNextView(view, statuses)
	if !safe {
		return
	}
	accepted := c.acceptor.HasAccepted(next.Number)
	if next.sameMembership(view) && !accepted {
		return
	}
	// The first member of the next view proposes at once, the others with a delay.
	if i := next.indexOf(c.Self); i > 0 {
		timeutil.Sleep(ctx, c.timing.proposalStagger()*time.Duration(i))
		if ctx.Err() != nil {
			return
		}
	}
	c.chooseNextView(ctx, view, next)
}

// collectStatuses requests the status of the voters and candidates in parallel and
// records which of them answered.
func (r *reconfigurer) collectStatuses(ctx context.Context, view View) map[Member]*ReplicaStatus {
	c := r.chain
	ctx, cancel := context.WithTimeout(ctx, c.timing.statusTimeout())
	defer cancel()
	type answer struct {
		member Member
		status *ReplicaStatus
		err    error
	}
	asked := append(slices.Clone(view.Voters), c.candidates(view)...)
	answers := make(chan answer, len(asked))
	for _, member := range asked {
		go func() {
			status, err := c.requestStatus(ctx, member, view)
			answers <- answer{member.identity(), status, err}
		}()
	}
	statuses := map[Member]*ReplicaStatus{}
	now := time.Now()
	for range asked {
		a := <-answers
		if a.err != nil {
			r.logReplacedVoter(a.member, a.err)
			continue
		}
		statuses[a.member] = a.status
		r.answeredAt[a.member] = now
	}
	return statuses
}

// logReplacedVoter logs, once for each voter, that the disk at its address is another
// one than in the view.
func (r *reconfigurer) logReplacedVoter(m Member, err error) {
	if !isWrongDisk(err) || r.replacedVoters[m] {
		return
	}
	r.replacedVoters[m] = true
	r.chain.config.Log.Printf("chain: voter %s was replaced: %v", m.Address, err)
}

// newestView returns the newest of view and the views in statuses.
func newestView(view View, statuses map[Member]*ReplicaStatus) View {
	for _, s := range statuses {
		if s.View.Number > view.Number {
			view = s.View
		}
	}
	return view
}

// decideNextView applies nextView to the current state.
func (r *reconfigurer) decideNextView(view View, statuses map[Member]*ReplicaStatus) (next View, safe bool) {
	c := r.chain
	c.mu.Lock()
	active := c.replica.active && time.Since(c.replica.lastUpdate) <= c.timing.neighborTimeout()
	c.mu.Unlock()
	now := time.Now()
	d := nextView(viewInput{
		view:         view,
		self:         c.Self,
		active:       active,
		statuses:     statuses,
		candidates:   c.candidates(view),
		answeredAt:   r.answeredAt,
		now:          now,
		hostFailures: c.config.HostFailures,
		lostAfter:    c.timing.voterLostAfter(),
	})
	for _, m := range d.neverAnswered {
		r.answeredAt[m] = now
	}
	return d.next, d.safe
}

// chooseNextView has the voters choose the next view, installs the chosen view and
// announces it.
func (c *Chain) chooseNextView(ctx context.Context, view, next View) {
	chosen, err := c.proposeView(ctx, view, next)
	if c.View().Number >= next.Number {
		return // a peer has announced it in the meantime
	}
	if err != nil {
		c.config.Log.Printf("chain: propose view %d: %v", next.Number, err)
		return
	}
	if c.installAndLog(ctx, chosen) {
		c.announce(ctx, chosen)
	}
}

// proposeView runs Paxos among the voters of view and returns the chosen next view.
// It is canceled when this core learns the chosen view from a peer.
func (c *Chain) proposeView(ctx context.Context, view, next View) (chosen View, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.proposalTimeout())
	defer cancel()
	go func() {
		c.awaitView(ctx, next.Number)
		cancel()
	}()
	value, err := json.Marshal(next)
	if err != nil {
		return View{}, fmt.Errorf("encode view: %w", err)
	}
	proposer := c.Self.Address + "/" + crand.Text()
	raw, err := paxos.Propose(ctx, next.Number, proposer, 1, value, addresses(view.Voters), c.voteCaller(view))
	if err != nil {
		return View{}, err
	}
	if err := json.Unmarshal(raw, &chosen); err != nil {
		return View{}, fmt.Errorf("decode view: %w", err)
	}
	return chosen, nil
}

// awaitView waits until the view with the given number or a newer one is installed
// on this core, or ctx ends. A proposal can end then, because peers that have installed
// the view reject votes on it.
func (c *Chain) awaitView(ctx context.Context, number int64) {
	for ctx.Err() == nil {
		newest, changed := c.viewAndChange()
		if newest >= number {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// voteCaller returns a paxos.Caller for the voters of a view. Requests to the acceptor
// of this core are handled locally.
func (c *Chain) voteCaller(view View) paxos.Caller {
	disks := map[string]string{}
	for _, v := range view.Voters {
		disks[v.Address] = v.Disk
	}
	return func(ctx context.Context, voter string, request paxos.Request) (response paxos.Response, err error) {
		vote := VoteRequest{Disk: disks[voter], Call: request}
		if voter != c.Self.Address {
			err = c.config.Client.Call(ctx, voter, "/ballot", vote, nil, &response)
			return response, err
		}
		own, err := c.HandleVote(ctx, &vote, nil)
		if err != nil {
			return response, err
		}
		return *own, nil
	}
}

// installAndLog installs a view and logs the error if that fails.
func (c *Chain) installAndLog(ctx context.Context, v View) (installed bool) {
	err := c.InstallView(ctx, v)
	if err != nil {
		c.config.Log.Printf("chain: install view %d: %v", v.Number, err)
	}
	return err == nil
}

// announce sends a chosen view to the other voters. Members that do not receive it
// learn the view from its first update.
func (c *Chain) announce(ctx context.Context, v View) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.statusTimeout())
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range v.Voters {
		if !m.sameIdentity(c.Self) {
			calls.Go(func() { _ = c.config.Client.Call(ctx, m.Address, "/chain/adopt", v, nil, nil) })
		}
	}
	calls.Wait()
}

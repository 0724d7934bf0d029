package chain

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

// Member is one disk in one machine. A machine that lost its disk, or that came
// empty at another address, is another member.
type Member struct {
	Address string `json:"address"` // internal
	Disk    string `json:"disk"`
	// Since is the view from which on it has been a member without a gap.
	Since int64 `json:"since,omitempty"`
}

func (m Member) is(o Member) bool { return m.Address == o.Address && m.Disk == o.Disk }

// founder is the disk of those that found the first view: all know it then
// without having spoken.
const founder = "founder"

// View is the numbered order of the members, and who votes on the next view.
type View struct {
	Number  int64    `json:"number"`
	Members []Member `json:"members"` // the head first; all of them are voters
	Voters  []Member `json:"voters"`
	// Electorate is the number of the view with which these voters came in;
	// Former are those before them, and FormerElectorate is their number.
	QuorumEpoch         int64    `json:"electorate,omitempty"`
	PreviousVoters      []Member `json:"former,omitempty"`
	PreviousQuorumEpoch int64    `json:"former-electorate,omitempty"`
}

// Of counts those of a set of members for which a condition holds, and tells
// whether they are a majority of it.
func CountMembers(set []Member, f func(Member) bool) (n int, majority bool) {
	for _, m := range set {
		m.Since = 0
		if f(m) {
			n++
		}
	}
	return n, n*2 > len(set)
}

func (v View) at(who Member) int { return slices.IndexFunc(v.Members, who.is) }

func (v View) votes(who Member) bool { return slices.ContainsFunc(v.Voters, who.is) }

// next is the successor of a member; false for the tail.
func (v View) next(who Member) (Member, bool) {
	if i := v.at(who); i >= 0 && i+1 < len(v.Members) {
		return v.Members[i+1], true
	}
	return Member{}, false
}

func (v View) String() string {
	names := func(list []Member) (out []string) {
		for _, m := range list {
			out = append(out, m.Address)
		}
		return out
	}
	return fmt.Sprintf("%d: %v, voters %v", v.Number, names(v.Members), names(v.Voters))
}

// Standing tells what a core knows of the view.
type ReplicaStatus struct {
	View         View `json:"view"`
	NextAccepted bool `json:"next"`  // a value for the view after this one was accepted here
	Complete     bool `json:"whole"` // holds everything that was ever acknowledged
	Ready        bool `json:"ready"` // knows what a voter must know
}

// Query asks a core where it stands. It carries the newest view that the
// asker knows, so that views spread with the questions.
type StatusRequest struct {
	Disk string `json:"disk"` // of the one asked; the answer of another disk does not count
	View View   `json:"view"`
}

// HandleStanding tells what is known here.
func (c *Chain) HandleStatus(ctx context.Context, q *StatusRequest, _ []byte) (*ReplicaStatus, error) {
	if err := c.mine(q.Disk); err != nil {
		return nil, err
	}
	if err := c.installView(ctx, q.View); err != nil {
		return nil, err
	}
	c.mu.Lock()
	view, whole := c.view, c.whole == c.view.Number
	c.mu.Unlock()
	if err := c.works(); err != nil {
		return nil, err
	}
	return &ReplicaStatus{view, c.Acceptor.HasAccepted(view.Number + 1), whole && view.at(c.Self) >= 0, c.VoterReady()}, nil
}

// mine refuses what is meant for another disk at this address.
func (c *Chain) mine(disk string) error {
	if disk != c.Self.Disk {
		return &rpc.StatusError{Code: 409, Text: fmt.Sprintf("the disk here is %s, not %s", c.Self.Disk, disk)}
	}
	return nil
}

// standing asks one core.
func (c *Chain) standing(ctx context.Context, who Member, view View) (*ReplicaStatus, error) {
	q := StatusRequest{who.Disk, view}
	if who.is(c.Self) {
		return c.HandleStatus(ctx, &q, nil)
	}
	s := &ReplicaStatus{}
	return s, c.Client.Call(ctx, who.Address, "/chain/standing", q, nil, s)
}

// Ballot is a step of a ballot for one voter.
type VoteRequest struct {
	Disk string        `json:"disk"`
	Call paxos.Request `json:"call"`
}

// HandleBallot votes on a view.
func (c *Chain) HandleVote(_ context.Context, b *VoteRequest, _ []byte) (*paxos.Response, error) {
	if err := c.mine(b.Disk); err != nil {
		return nil, err
	}
	if n := c.View().Number; b.Call.Instance <= n {
		return nil, &rpc.StatusError{Code: 409, Text: fmt.Sprintf("view %d is settled", n)}
	}
	r, err := c.Acceptor.Handle(b.Call)
	return &r, err
}

// adopt takes a chosen view over and puts it on disk.
func (c *Chain) installView(ctx context.Context, v View) error {
	if v.Number <= c.View().Number {
		return nil
	}
	// A pass of the view before may be under way, and hang at a member that is
	// gone. It is given a while to come back; then it is given up.
	soon, cancel := context.WithTimeout(ctx, c.ContactTimeout/16)
	err := c.lock(soon)
	cancel()
	if err != nil {
		c.mu.Lock()
		stop := c.stop
		c.mu.Unlock()
		if stop != nil {
			stop()
		}
		err = c.lock(ctx)
	}
	if err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Number <= c.view.Number {
		return nil
	}
	view, whole := c.view, c.whole
	c.enter(v)
	if err := c.db.Update(c.saveView); err != nil {
		c.view, c.whole = view, whole // what is not on disk is not sealed
		return fmt.Errorf("write the view: %w", err)
	}
	return nil
}

// Tend keeps the chain whole until ctx ends: the head sends signs of life down
// it, and whoever misses a neighbour calls for a new view. A pass may hang at a
// member that is gone, so neither waits for the other.
func (c *Chain) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	started := time.Now()
	tasks.Go(func() { c.signs(ctx, started) })
	tasks.Go(func() { c.look(ctx, started) })
	tasks.Wait()
}

// every runs f again and again, sooner while no pass has come through: those
// that follow may start at any moment.
func (c *Chain) every(ctx context.Context, f func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		c.mu.Lock()
		next := c.ContactTimeout / 16
		if !c.active {
			next = c.ContactTimeout / 80
		}
		c.mu.Unlock()
		timer.Reset(next)
		f()
	}
}

// signs sends signs of life while this core is the head.
func (c *Chain) signs(ctx context.Context, started time.Time) {
	c.every(ctx, func() {
		if c.View().at(c.Self) != 0 || c.works() != nil { // the disk's line is logged once
			return
		}
		err := c.Propose(ctx, nil)
		if err != nil && ctx.Err() == nil && rpc.StatusCode(err) != 421 && time.Since(started) > c.ContactTimeout/4 {
			c.Log.Printf("chain: sign of life: %v", err)
		}
	})
}

// look calls for a new view where one is needed.
func (c *Chain) look(ctx context.Context, started time.Time) {
	var mended time.Time
	c.every(ctx, func() {
		if time.Since(started) < c.ContactTimeout/8 || time.Since(mended) < c.ContactTimeout/16 {
			return
		}
		view := c.View()
		// A ballot that somebody began must come to an end: until then no
		// majority can say that this view is the newest.
		if c.misses(ctx, view) || c.Acceptor.HasAccepted(view.Number+1) ||
			view.at(c.Self) == 0 && c.works() == nil && (len(view.Members) < len(view.Voters) || len(c.outside(view)) > 0) {
			mended = time.Now()
			c.mend(ctx, view)
		}
	})
}

// misses tells whether a neighbour in the chain is missed: it is silent for long,
// or its machine says that no core runs there.
func (c *Chain) misses(ctx context.Context, view View) bool {
	c.mu.Lock()
	silent, gone := time.Since(c.heard), c.gone
	c.mu.Unlock()
	at := view.at(c.Self)
	if silent > c.ContactTimeout/4 || gone {
		return true
	}
	if at < 1 || silent < c.ContactTimeout/8 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.ContactTimeout/16)
	defer cancel()
	_, err := c.standing(ctx, view.Members[at-1], view)
	return httpwire.ConnectionRefused(err)
}

// outside are the cores heard of that have no vote.
func (c *Chain) outside(view View) []Member {
	return slices.DeleteFunc(c.KnownCores(), view.votes)
}

// mend asks all cores where they stand and calls a ballot for the view that
// follows from the answers.
func (c *Chain) mend(ctx context.Context, view View) {
	sctx, cancel := context.WithTimeout(ctx, c.ContactTimeout/16)
	defer cancel()
	type answer struct {
		who Member
		s   *ReplicaStatus
		err error
	}
	asked := append(slices.Clone(view.Voters), c.outside(view)...)
	got := make(chan answer, len(asked))
	for _, who := range asked {
		go func() {
			s, err := c.standing(sctx, who, view)
			if err != nil {
				s = nil
			}
			got <- answer{who, s, err}
		}()
	}
	answers := map[Member]*ReplicaStatus{}
	newest := view
	now := time.Now()
	for range asked {
		a := <-got
		who := Member{Address: a.who.Address, Disk: a.who.Disk}
		if rpc.StatusCode(a.err) == 409 && !c.strangers[who] {
			c.strangers[who] = true
			c.Log.Printf("chain: %s is not what it was: %v", who.Address, a.err)
		}
		if a.s != nil {
			answers[who] = a.s
			c.answered[who] = now
			if a.s.View.Number > newest.Number {
				newest = a.s.View
			}
		}
	}
	if newest.Number > view.Number {
		if err := c.installView(ctx, newest); err != nil {
			c.Log.Printf("chain: adopt view %d: %v", newest.Number, err)
		}
		return
	}
	if view.at(c.Self) < 0 {
		return
	}
	c.mu.Lock()
	works := c.active && time.Since(c.heard) <= c.ContactTimeout/4
	c.mu.Unlock()
	next, ok := c.successor(view, works, answers)
	begun := c.Acceptor.HasAccepted(next.Number)
	if !ok || slices.Equal(next.Members, view.Members) && slices.Equal(next.Voters, view.Voters) && !begun {
		return
	}
	if i := next.at(c.Self); i > 0 {
		// The first member alive goes first; the others follow after a while.
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.ContactTimeout / 16 * time.Duration(i)):
		}
	}
	c.choose(ctx, view, next)
}

// successor is the view that is to follow, from what the cores answered. It is
// not ok when too few answered for one that is safe.
func (c *Chain) successor(view View, works bool, answers map[Member]*ReplicaStatus) (next View, ok bool) {
	of := func(m Member) *ReplicaStatus { m.Since = 0; return answers[m] }
	next = view
	next.Number, next.Members, next.Voters = view.Number+1, nil, slices.Clone(view.Voters)
	// Those that hold everything go first; among them the order stays, so that
	// the new head holds all that any of them does.
	var behind []Member
	for _, m := range view.Members {
		if s := of(m); s != nil && s.Complete {
			next.Members = append(next.Members, m)
		} else if s != nil {
			behind = append(behind, m)
		}
	}
	if len(next.Members) == 0 {
		return next, false
	}
	next.Members = append(next.Members, behind...)
	if next.at(c.Self) < 0 {
		return next, false
	}
	join := func(m Member) {
		m.Since = next.Number
		next.Members = append(next.Members, m)
	}
	joined := false
	for _, v := range view.Voters {
		// One at a time joins a view that works; a broken one takes all it can get.
		if of(v) != nil && view.at(v) < 0 && (!joined && works || !works && len(next.Members)*2 <= len(next.Voters)) {
			join(v)
			joined = true
		}
	}
	if works && !joined && len(next.Members) == len(view.Members) {
		c.changeVoters(view, &next, of, join)
		if !slices.Equal(next.Voters, view.Voters) {
			next.QuorumEpoch, next.PreviousVoters, next.PreviousQuorumEpoch = next.Number, view.Voters, view.QuorumEpoch
		}
	}
	return next, len(next.Members)*2 > len(next.Voters)
}

// changeVoters lets one more core vote, in place of one that is lost where
// there is one, or takes the vote of a lost one that is not needed.
func (c *Chain) changeVoters(view View, next *View, of func(Member) *ReplicaStatus, join func(Member)) {
	// What the voters keep by majority, beside the chain, must have come over to
	// the present ones before the next change: those that change then learn it
	// from a majority of these.
	if _, most := CountMembers(view.Voters, func(v Member) bool { s := of(v); return s != nil && s.Ready }); !most {
		return
	}
	lost := func(v Member) bool {
		v.Since = 0
		at, heard := c.answered[v]
		if !heard { // nobody was asked before
			c.answered[v] = time.Now()
		}
		return of(v) == nil && heard && time.Since(at) > c.ContactTimeout/2
	}
	for _, m := range c.outside(view) {
		s := of(m)
		if s == nil || !s.Ready {
			continue
		}
		m.Since = 0
		at := slices.IndexFunc(next.Voters, func(v Member) bool { return v.Address == m.Address })
		if at < 0 {
			at = slices.IndexFunc(next.Voters, lost)
		}
		if at >= 0 && next.at(next.Voters[at]) < 0 {
			next.Voters[at] = m
		} else {
			next.Voters = append(next.Voters, m)
		}
		join(m)
		return
	}
	if len(next.Voters) > 2*c.MaxFailures+1 {
		if at := slices.IndexFunc(next.Voters, lost); at >= 0 && next.at(next.Voters[at]) < 0 {
			next.Voters = slices.Delete(next.Voters, at, at+1)
		}
	}
}

// choose settles the view after this one by a ballot of its voters.
func (c *Chain) choose(ctx context.Context, view, next View) {
	value, _ := json.Marshal(next)
	bctx, cancel := context.WithTimeout(ctx, c.ContactTimeout/4)
	defer cancel()
	go func() { // others may have settled it: their answers do not come any more
		for n, moved := c.moves(); n < next.Number && bctx.Err() == nil; n, moved = c.moves() {
			select {
			case <-moved:
			case <-bctx.Done():
			}
		}
		cancel()
	}()
	disks := map[string]string{}
	var voters []string
	for _, v := range view.Voters {
		disks[v.Address] = v.Disk
		voters = append(voters, v.Address)
	}
	chosen, err := paxos.Propose(bctx, next.Number, c.Self.Address+"/"+crand.Text(), 1, value, voters, func(ctx context.Context, voter string, b paxos.Request) (r paxos.Response, err error) {
		call := VoteRequest{disks[voter], b}
		if voter == c.Self.Address {
			mine, err := c.HandleVote(ctx, &call, nil)
			if err != nil {
				return r, err
			}
			return *mine, nil
		}
		err = c.Client.Call(ctx, voter, "/ballot", call, nil, &r)
		return r, err
	})
	if c.View().Number >= next.Number {
		return
	}
	if err != nil {
		c.Log.Printf("chain: ballot for view %d: %v", next.Number, err)
		return
	}
	var v View
	if err := json.Unmarshal(chosen, &v); err != nil {
		c.Log.Printf("chain: ballot for view %d: %v", next.Number, err)
		return
	}
	if err := c.installView(ctx, v); err != nil {
		c.Log.Printf("chain: adopt view %d: %v", v.Number, err)
		return
	}
	// Tell the others; those that miss it learn it from the first pass.
	tctx, cancel2 := context.WithTimeout(ctx, c.ContactTimeout/16)
	defer cancel2()
	var told sync.WaitGroup
	for _, m := range v.Voters {
		if !m.is(c.Self) {
			told.Go(func() { _ = c.Client.Call(tctx, m.Address, "/chain/adopt", v, nil, nil) })
		}
	}
	told.Wait()
}

// HandleAdopt takes news of a chosen view.
func (c *Chain) HandleInstallView(ctx context.Context, v *View, _ []byte) (*struct{}, error) {
	return &struct{}{}, c.installView(ctx, *v)
}

// Adopt takes over a view that a peer knows.
func (c *Chain) InstallView(ctx context.Context, v View) error { return c.installView(ctx, v) }

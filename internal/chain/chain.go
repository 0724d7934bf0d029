// Package chain owns the control state: the core machines of a view form a
// chain, writes enter at its head and are done once the tail has them, and
// reads are answered by the tail. A ballot for each new view mends the chain.
package chain

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/ballot"
	"saltreel/internal/wire"
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

// Documents is the state: whole values by key.
type Documents map[string][]byte

// Pass is what a member sends to its successor: one write, which may set
// several documents, or with All everything that it holds; with neither, a sign
// of life.
type Pass struct {
	View     View      `json:"view"`
	Sequence int64     `json:"sequence"`
	All      bool      `json:"all,omitempty"`
	Set      Documents `json:"set,omitempty"`
}

// Passed answers a pass. Gap asks for the whole state.
type Passed struct {
	Gap bool `json:"gap,omitempty"`
}

// Standing tells what a core knows of the view.
type Standing struct {
	View  View `json:"view"`
	Next  bool `json:"next"`  // a value for the view after this one was accepted here
	Whole bool `json:"whole"` // holds everything that was ever acknowledged
	Ready bool `json:"ready"` // knows what a voter must know
}

// Chain is this machine's part.
type Chain struct {
	Self    Member // the disk is read by Open
	Losses  int    // how many machines may be lost at once
	Pool    *wire.Pool
	Contact time.Duration
	Log     *log.Logger
	Voter   *ballot.Voter
	// Prepare is called with what a write sets, before it is known to last.
	Prepare func(Documents)
	// Committed is called with each state that the tail is known to hold.
	Committed func(Documents)
	// Others are the cores heard of lately, whether in the view or not.
	Others func() []Member
	// Ready tells whether this core knows what a voter must know.
	Ready func() bool

	db *bbolt.DB

	write chan struct{} // one pass or change of view at a time

	mu        sync.Mutex
	view      View
	whole     int64 // the view for which this disk holds everything acknowledged
	sequence  int64
	docs      Documents
	active    bool // a pass of this view went through here
	touched   time.Time
	steady    time.Time            // since when passes have come without a gap
	refused   error                // of the last write, if the disk did not take it
	answered  map[Member]time.Time // when a voter last answered
	strangers map[Member]bool      // voters whose disk was found to be another, and told of
}

var (
	bucketState = []byte("state")
	bucketDocs  = []byte("documents")
	bucketVotes = []byte("votes")
)

// Open reads the state on disk. With no state there, founders (if any) become
// the first view.
func (c *Chain) Open(db *bbolt.DB, founders []string) error {
	c.db, c.docs, c.write, c.answered = db, Documents{}, make(chan struct{}, 1), map[Member]time.Time{}
	c.strangers = map[Member]bool{}
	err := db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketState, bucketDocs, bucketVotes} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		s := tx.Bucket(bucketState)
		if raw := s.Get([]byte("disk")); raw != nil {
			c.Self.Disk = string(raw)
			if err := json.Unmarshal(s.Get([]byte("view")), &c.view); err != nil {
				return err
			}
			c.sequence, _ = strconv.ParseInt(string(s.Get([]byte("sequence"))), 10, 64)
			c.whole, _ = strconv.ParseInt(string(s.Get([]byte("whole"))), 10, 64)
			return tx.Bucket(bucketDocs).ForEach(func(k, v []byte) error {
				c.docs[string(k)] = bytes.Clone(v)
				return nil
			})
		}
		c.Self.Disk = crand.Text()
		if slices.Contains(founders, c.Self.Address) {
			c.Self.Disk = founder
			for _, a := range slices.Sorted(slices.Values(founders)) {
				c.view.Members = append(c.view.Members, Member{a, founder, 1})
			}
			c.view.Number, c.view.Voters, c.whole = 1, c.view.Members, 1
		}
		return errors.Join(s.Put([]byte("disk"), []byte(c.Self.Disk)), c.saveView(tx))
	})
	if err != nil {
		return fmt.Errorf("open control state: %w", err)
	}
	c.Voter.Disk = (*votes)(c)
	return nil
}

func (c *Chain) saveView(tx *bbolt.Tx) error {
	s := tx.Bucket(bucketState)
	view, _ := json.Marshal(c.view)
	// Decrees that are settled need no votes any more: HandleBallot refuses them.
	votes := tx.Bucket(bucketVotes)
	var old [][]byte
	err := votes.ForEach(func(k, _ []byte) error {
		if n, err := strconv.ParseInt(string(k), 10, 64); err != nil || n <= c.view.Number {
			old = append(old, bytes.Clone(k))
		}
		return nil
	})
	for _, k := range old {
		err = errors.Join(err, votes.Delete(k))
	}
	return errors.Join(err, s.Put([]byte("view"), view),
		s.Put([]byte("sequence"), strconv.AppendInt(nil, c.sequence, 10)),
		s.Put([]byte("whole"), strconv.AppendInt(nil, c.whole, 10)))
}

// votes keeps ballots in the same file.
type votes Chain

func (v *votes) LoadVote(decree int64) (vote ballot.Vote, err error) {
	err = v.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketVotes).Get(strconv.AppendInt(nil, decree, 10)); raw != nil {
			return json.Unmarshal(raw, &vote)
		}
		return nil
	})
	return vote, err
}

func (v *votes) SaveVote(decree int64, vote ballot.Vote) error {
	raw, err := json.Marshal(vote)
	if err != nil {
		return err
	}
	return v.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketVotes).Put(strconv.AppendInt(nil, decree, 10), raw)
	})
}

// lock takes the right to pass or to change the view.
func (c *Chain) lock(ctx context.Context) error {
	select {
	case c.write <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &wire.Status{Code: 503, Text: "the chain is busy: " + ctx.Err().Error()}
	}
}

func (c *Chain) unlock() { <-c.write }

// Voters are the addresses of those that vote on views and duties.
func (c *Chain) Voters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, v := range c.view.Voters {
		out = append(out, v.Address)
	}
	return out
}

// Votes tells whether this core is a voter.
func (c *Chain) Votes() bool { return c.View().votes(c.Self) }

// View is the newest view known here.
func (c *Chain) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Steady tells whether this machine is in the view and heard from its chain
// lately, so that what it tells is not old.
func (c *Chain) Steady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSteady()
}

func (c *Chain) isSteady() bool {
	return c.view.at(c.Self) >= 0 && time.Since(c.touched) < c.Contact/2
}

// SteadyFor is how long this machine has been steady without a gap.
func (c *Chain) SteadyFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSteady() {
		return 0
	}
	return time.Since(c.steady)
}

// touch notes that all members hold what this one holds. The lock is held.
func (c *Chain) touch() {
	now := time.Now()
	if now.Sub(c.touched) > c.Contact/2 {
		c.steady = now
	}
	c.active, c.touched = true, now
}

// Propose makes one write. At the head, decide sees the newest state and gives
// the documents to set, or an error. Without documents nothing is written.
// Either answer is given only once all that decide saw is held by the tail: a
// refusal must not rest on what may yet be lost.
func (c *Chain) Propose(ctx context.Context, decide func(Documents) (Documents, error)) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	view, docs, whole := c.view, c.docs, c.whole == c.view.Number
	c.mu.Unlock()
	if view.at(c.Self) != 0 || !whole {
		return &wire.Status{Code: 421, Text: "this machine is not the head"}
	}
	set, refused := decide(docs)
	p := Pass{View: view, Sequence: c.sequence}
	if refused == nil && len(set) > 0 {
		if len(view.Members) <= c.Losses {
			return &wire.Status{Code: 503, Text: fmt.Sprintf("%d cores are in the view, %d are needed", len(view.Members), c.Losses+1)}
		}
		p.Sequence, p.Set = c.sequence+1, set
		if err := c.apply(p); err != nil {
			return err
		}
	}
	if err := c.forward(ctx, p); err != nil {
		return err
	}
	return refused
}

// enter takes a chosen view over; the one before is sealed from here on. The
// locks are held.
func (c *Chain) enter(v View) {
	if v.Number <= c.view.Number {
		return
	}
	i := v.at(c.Self)
	// A member without a gap that held everything still does: nothing can have
	// been acknowledged since without it.
	if i >= 0 && c.whole == c.view.Number && v.Members[i].Since <= c.view.Number {
		c.whole = v.Number
	}
	c.view, c.active = v, false
	c.Log.Printf("chain: view %v is in force", v)
}

// apply puts a pass on disk and into memory. The right to write is held.
func (c *Chain) apply(p Pass) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	view, before, whole := c.view, c.sequence, c.whole
	c.enter(p.View)
	docs := Documents{}
	if !p.All {
		maps.Copy(docs, c.docs)
	}
	maps.Copy(docs, p.Set)
	c.sequence = p.Sequence
	if p.All {
		c.whole = p.View.Number
	}
	err := c.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketDocs)
		if p.All {
			for k := range c.docs {
				if err := b.Delete([]byte(k)); err != nil {
					return err
				}
			}
		}
		for k, v := range p.Set {
			if err := b.Put([]byte(k), v); err != nil {
				return err
			}
		}
		return c.saveView(tx)
	})
	if c.refused = err; err != nil {
		c.view, c.sequence, c.whole, c.active = view, before, whole, false
		return fmt.Errorf("write control state: %w", err)
	}
	c.docs = docs
	return nil
}

// forward hands a pass to the successor; when it returns nil, the tail holds
// all that this machine holds. The right to write is held.
func (c *Chain) forward(ctx context.Context, p Pass) error {
	if next, ok := p.View.next(c.Self); ok {
		if len(p.Set) > 0 {
			go c.Prepare(p.Set)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Contact/5)
		defer cancel()
		for {
			var out Passed
			if err := c.Pool.Post(ctx, next.Address, "/chain/pass", p, nil, &out); err != nil {
				return fmt.Errorf("pass down the chain: %w", err)
			}
			if !out.Gap {
				break
			}
			if p.All {
				return fmt.Errorf("pass down the chain: %s does not take the whole state", next.Address)
			}
			p.All, p.Set = true, c.docs
		}
	}
	c.mu.Lock()
	c.touch()
	docs := c.docs
	c.mu.Unlock()
	c.Committed(docs)
	return nil
}

// HandlePass takes what the predecessor sends.
func (c *Chain) HandlePass(ctx context.Context, p *Pass, _ []byte) (*Passed, error) {
	if err := c.lock(ctx); err != nil {
		return nil, err
	}
	defer c.unlock()
	c.mu.Lock()
	view, sequence, active := c.view, c.sequence, c.active
	c.mu.Unlock()
	if p.View.Number < view.Number {
		return nil, &wire.Status{Code: 409, Text: fmt.Sprintf("view %d is sealed, %d is in force", p.View.Number, view.Number)}
	}
	i := p.View.at(c.Self)
	if i < 1 {
		return nil, &wire.Status{Code: 409, Text: "no place behind the head in this view"}
	}
	fresh := p.View.Number == view.Number && active
	switch {
	case p.All:
		if err := c.apply(*p); err != nil {
			return nil, err
		}
	case !fresh:
		return &Passed{Gap: true}, nil
	case len(p.Set) > 0 && p.Sequence == sequence+1:
		if err := c.apply(*p); err != nil {
			return nil, err
		}
	case p.Sequence != sequence:
		return &Passed{Gap: true}, nil
	}
	if err := c.forward(ctx, *p); err != nil {
		return nil, err
	}
	return &Passed{}, nil
}

// Query asks a core where it stands. It carries the newest view that the
// asker knows, so that views spread with the questions.
type Query struct {
	Disk string `json:"disk"` // of the one asked; the answer of another disk does not count
	View View   `json:"view"`
}

// HandleStanding tells what is known here.
func (c *Chain) HandleStanding(ctx context.Context, q *Query, _ []byte) (*Standing, error) {
	if err := c.mine(q.Disk); err != nil {
		return nil, err
	}
	if err := c.adopt(ctx, q.View); err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.refused != nil { // whether the disk works again
		c.refused = c.db.Update(c.saveView)
	}
	view, whole, refused := c.view, c.whole == c.view.Number, c.refused
	c.mu.Unlock()
	if refused != nil {
		return nil, &wire.Status{Code: 503, Text: "the disk refuses writes: " + refused.Error()}
	}
	return &Standing{view, c.Voter.Accepted(view.Number + 1), whole && view.at(c.Self) >= 0, c.Ready()}, nil
}

// mine refuses what is meant for another disk at this address.
func (c *Chain) mine(disk string) error {
	if disk != c.Self.Disk {
		return &wire.Status{Code: 409, Text: fmt.Sprintf("the disk here is %s, not %s", c.Self.Disk, disk)}
	}
	return nil
}

// standing asks one core.
func (c *Chain) standing(ctx context.Context, who Member, view View) (*Standing, error) {
	q := Query{who.Disk, view}
	if who.is(c.Self) {
		return c.HandleStanding(ctx, &q, nil)
	}
	s := &Standing{}
	return s, c.Pool.Post(ctx, who.Address, "/chain/standing", q, nil, s)
}

// Ballot is a step of a ballot for one voter.
type Ballot struct {
	Disk string      `json:"disk"`
	Call ballot.Call `json:"call"`
}

// HandleBallot votes on a view.
func (c *Chain) HandleBallot(_ context.Context, b *Ballot, _ []byte) (*ballot.Reply, error) {
	if err := c.mine(b.Disk); err != nil {
		return nil, err
	}
	if n := c.View().Number; b.Call.Decree <= n {
		return nil, &wire.Status{Code: 409, Text: fmt.Sprintf("view %d is settled", n)}
	}
	r, err := c.Voter.Handle(b.Call)
	return &r, err
}

// Read gives the state if this machine is the tail and a majority of the
// voters knows of no newer view.
func (c *Chain) Read(ctx context.Context) (Documents, error) {
	c.mu.Lock()
	view, active, docs := c.view, c.active, c.docs
	c.mu.Unlock()
	if _, more := view.next(c.Self); more || view.at(c.Self) < 0 {
		return nil, &wire.Status{Code: 421, Text: "this machine is not the tail"}
	}
	if !active {
		return nil, &wire.Status{Code: 503, Text: "the view is not yet in force"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Contact/8)
	defer cancel()
	agree := make(chan bool, len(view.Voters))
	for _, v := range view.Voters {
		go func() {
			s, err := c.standing(ctx, v, view)
			agree <- err == nil && s.View.Number <= view.Number && !s.Next
		}()
	}
	n := 0
	for range view.Voters {
		if <-agree {
			if n++; n*2 > len(view.Voters) {
				return docs, nil
			}
		}
	}
	return nil, &wire.Status{Code: 503, Text: "no majority confirms the view"}
}

// adopt takes a chosen view over and puts it on disk.
func (c *Chain) adopt(ctx context.Context, v View) error {
	if v.Number <= c.View().Number {
		return nil
	}
	if err := c.lock(ctx); err != nil {
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
		c.view, c.whole, c.refused = view, whole, err // what is not on disk is not sealed
		return fmt.Errorf("write the view: %w", err)
	}
	return nil
}

// Tend keeps the chain whole until ctx ends: the head sends signs of life down
// it, and whoever misses a neighbour calls for a new view.
func (c *Chain) Tend(ctx context.Context) {
	started, mended := time.Now(), time.Time{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		c.mu.Lock()
		next := c.Contact / 16
		if !c.active { // those that follow may start at any moment
			next = c.Contact / 80
		}
		c.mu.Unlock()
		timer.Reset(next)
		view := c.View()
		head := view.at(c.Self) == 0
		if head {
			err := c.Propose(ctx, func(Documents) (Documents, error) { return nil, nil })
			if err != nil && ctx.Err() == nil && wire.StatusOf(err) != 421 && time.Since(started) > c.Contact/4 {
				c.Log.Printf("chain: sign of life: %v", err)
			}
		}
		c.mu.Lock()
		quiet := time.Since(c.touched) > c.Contact/4
		c.mu.Unlock()
		if time.Since(started) < c.Contact/8 || time.Since(mended) < c.Contact/16 {
			continue
		}
		// A ballot that somebody began must come to an end: until then no
		// majority can say that this view is the newest.
		begun := c.Voter.Accepted(view.Number + 1)
		if quiet || begun || head && (len(view.Members) < len(view.Voters) || len(c.outside(view)) > 0) {
			mended = time.Now()
			c.mend(ctx, view)
		}
	}
}

// outside are the cores heard of that have no vote.
func (c *Chain) outside(view View) []Member {
	return slices.DeleteFunc(c.Others(), view.votes)
}

// mend asks all cores where they stand and calls a ballot for the view that
// follows from the answers.
func (c *Chain) mend(ctx context.Context, view View) {
	sctx, cancel := context.WithTimeout(ctx, c.Contact/16)
	defer cancel()
	type answer struct {
		who Member
		s   *Standing
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
	answers := map[Member]*Standing{}
	newest := view
	now := time.Now()
	for range asked {
		a := <-got
		who := Member{Address: a.who.Address, Disk: a.who.Disk}
		if wire.StatusOf(a.err) == 409 && !c.strangers[who] {
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
		if err := c.adopt(ctx, newest); err != nil {
			c.Log.Printf("chain: adopt view %d: %v", newest.Number, err)
		}
		return
	}
	if view.at(c.Self) < 0 {
		return
	}
	c.mu.Lock()
	works := c.active && time.Since(c.touched) <= c.Contact/4
	c.mu.Unlock()
	next, ok := c.successor(view, works, answers)
	begun := c.Voter.Accepted(next.Number)
	if !ok || slices.Equal(next.Members, view.Members) && slices.Equal(next.Voters, view.Voters) && !begun {
		return
	}
	if i := next.at(c.Self); i > 0 {
		// The first member alive goes first; the others follow after a while.
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.Contact / 16 * time.Duration(i)):
		}
	}
	c.choose(ctx, view, next)
}

// successor is the view that is to follow, from what the cores answered. It is
// not ok when too few answered for one that is safe.
func (c *Chain) successor(view View, works bool, answers map[Member]*Standing) (next View, ok bool) {
	of := func(m Member) *Standing { m.Since = 0; return answers[m] }
	next = View{Number: view.Number + 1, Voters: slices.Clone(view.Voters)}
	// Those that hold everything go first; among them the order stays, so that
	// the new head holds all that any of them does.
	var behind []Member
	for _, m := range view.Members {
		if s := of(m); s != nil && s.Whole {
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
	}
	return next, len(next.Members)*2 > len(next.Voters)
}

// changeVoters lets one more core vote, in place of one that is lost where
// there is one, or takes the vote of a lost one that is not needed.
func (c *Chain) changeVoters(view View, next *View, of func(Member) *Standing, join func(Member)) {
	lost := func(v Member) bool {
		v.Since = 0
		at, heard := c.answered[v]
		if !heard { // nobody was asked before
			c.answered[v] = time.Now()
		}
		return of(v) == nil && heard && time.Since(at) > c.Contact/2
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
	if len(next.Voters) > 2*c.Losses+1 {
		if at := slices.IndexFunc(next.Voters, lost); at >= 0 && next.at(next.Voters[at]) < 0 {
			next.Voters = slices.Delete(next.Voters, at, at+1)
		}
	}
}

// choose settles the view after this one by a ballot of its voters.
func (c *Chain) choose(ctx context.Context, view, next View) {
	value, _ := json.Marshal(next)
	bctx, cancel := context.WithTimeout(ctx, c.Contact/4)
	defer cancel()
	disks := map[string]string{}
	var voters []string
	for _, v := range view.Voters {
		disks[v.Address] = v.Disk
		voters = append(voters, v.Address)
	}
	chosen, err := ballot.Choose(bctx, next.Number, c.Self.Address+"/"+crand.Text(), 1, value, voters, func(ctx context.Context, voter string, b ballot.Call) (r ballot.Reply, err error) {
		call := Ballot{disks[voter], b}
		if voter == c.Self.Address {
			mine, err := c.HandleBallot(ctx, &call, nil)
			if err != nil {
				return r, err
			}
			return *mine, nil
		}
		err = c.Pool.Post(ctx, voter, "/ballot", call, nil, &r)
		return r, err
	})
	if err != nil {
		c.Log.Printf("chain: ballot for view %d: %v", next.Number, err)
		return
	}
	var v View
	if err := json.Unmarshal(chosen, &v); err != nil {
		c.Log.Printf("chain: ballot for view %d: %v", next.Number, err)
		return
	}
	if err := c.adopt(ctx, v); err != nil {
		c.Log.Printf("chain: adopt view %d: %v", v.Number, err)
		return
	}
	// Tell the others; those that miss it learn it from the first pass.
	tctx, cancel2 := context.WithTimeout(ctx, c.Contact/16)
	defer cancel2()
	var told sync.WaitGroup
	for _, m := range v.Voters {
		if !m.is(c.Self) {
			told.Go(func() { _ = c.Pool.Post(tctx, m.Address, "/chain/adopt", v, nil, nil) })
		}
	}
	told.Wait()
}

// HandleAdopt takes news of a chosen view.
func (c *Chain) HandleAdopt(ctx context.Context, v *View, _ []byte) (*struct{}, error) {
	return &struct{}{}, c.adopt(ctx, *v)
}

// Adopt takes over a view that a peer knows.
func (c *Chain) Adopt(ctx context.Context, v View) error { return c.adopt(ctx, v) }

// Head is the address at which writes enter; "" if no view is known.
func (c *Chain) Head() string {
	if v := c.View(); len(v.Members) > 0 {
		return v.Members[0].Address
	}
	return ""
}

// Tail is the address of the member that answers reads.
func (c *Chain) Tail() string {
	if v := c.View(); len(v.Members) > 0 {
		return v.Members[len(v.Members)-1].Address
	}
	return ""
}

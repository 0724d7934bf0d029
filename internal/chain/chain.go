// Package chain owns the control state: the core machines of a view form a
// chain, writes enter at its head and are done once the tail has them, and
// reads are answered by the tail. A ballot for each new view mends the chain.
package chain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/ballot"
	"saltreel/internal/wire"
)

// View is the numbered order of the members.
type View struct {
	Number  int64    `json:"number"`
	Members []string `json:"members"` // internal addresses
}

func (v View) at(who string) int { return slices.Index(v.Members, who) }

// next is the successor of a member, or "" for the tail.
func (v View) next(who string) string {
	if i := v.at(who); i >= 0 && i+1 < len(v.Members) {
		return v.Members[i+1]
	}
	return ""
}

// Documents is the state: whole values by key.
type Documents map[string][]byte

// Pass is what a member sends to its successor: one write, or with Whole all
// that it holds; with neither, a sign of life.
type Pass struct {
	View     View      `json:"view"`
	Sequence int64     `json:"sequence"`
	Key      string    `json:"key,omitempty"`
	Value    []byte    `json:"value,omitempty"`
	All      bool      `json:"all,omitempty"` // Whole is there, even if it is empty
	Whole    Documents `json:"whole,omitempty"`
}

// Passed answers a pass. Gap asks for the whole state.
type Passed struct {
	Gap bool `json:"gap,omitempty"`
}

// Standing tells what a member knows of the view.
type Standing struct {
	View     View  `json:"view"`
	Next     bool  `json:"next"` // a value for the view after the one asked about was accepted here
	Sequence int64 `json:"sequence"`
}

// Chain is this machine's part.
type Chain struct {
	Self    string
	Pool    *wire.Pool
	Contact time.Duration
	Log     *log.Logger
	Voter   *ballot.Voter
	// Committed is called with each state that the tail is known to hold.
	Committed func(Documents)

	db     *bbolt.DB
	voters []string

	write chan struct{} // one pass or change of view at a time

	mu        sync.Mutex
	view      View
	sequence  int64
	docs      Documents
	active    bool // a pass of this view went through here
	touched   time.Time
	adoptions int64
}

var (
	bucketState = []byte("state")
	bucketDocs  = []byte("documents")
	bucketVotes = []byte("votes")
)

// Open reads the state on disk. With no state there, founders (if any) become
// the voters and the first view.
func (c *Chain) Open(db *bbolt.DB, founders []string) error {
	c.db, c.docs, c.write = db, Documents{}, make(chan struct{}, 1)
	err := db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketState, bucketDocs, bucketVotes} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		s := tx.Bucket(bucketState)
		if raw := s.Get([]byte("voters")); raw != nil {
			if err := json.Unmarshal(raw, &c.voters); err != nil {
				return err
			}
			if err := json.Unmarshal(s.Get([]byte("view")), &c.view); err != nil {
				return err
			}
			c.sequence, _ = strconv.ParseInt(string(s.Get([]byte("sequence"))), 10, 64)
			c.Voter.From, _ = strconv.ParseInt(string(s.Get([]byte("votes-from"))), 10, 64)
			return tx.Bucket(bucketDocs).ForEach(func(k, v []byte) error {
				c.docs[string(k)] = bytes.Clone(v)
				return nil
			})
		}
		if len(founders) == 0 {
			return nil
		}
		c.voters = slices.Sorted(slices.Values(founders))
		c.view = View{1, c.voters}
		return c.saveView(tx)
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
	voters, _ := json.Marshal(c.voters)
	return errors.Join(s.Put([]byte("view"), view), s.Put([]byte("voters"), voters),
		s.Put([]byte("sequence"), strconv.AppendInt(nil, c.sequence, 10)),
		s.Put([]byte("votes-from"), strconv.AppendInt(nil, c.Voter.From, 10)))
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

// Voters are the machines that vote on views and duties.
func (c *Chain) Voters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.voters)
}

// View is the newest view known here.
func (c *Chain) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Join gives a machine with an empty disk the voters and the view. It abstains
// from every ballot in which its lost disk may have voted.
func (c *Chain) Join(voters []string, view View) error {
	if err := c.lock(context.Background()); err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.voters) > 0 {
		return nil
	}
	c.voters, c.view = voters, view
	c.Voter.From = view.Number + 2
	return c.db.Update(c.saveView)
}

// Steady tells whether this machine is in the view and heard from its chain
// lately, so that what it tells is not old.
func (c *Chain) Steady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active && c.view.at(c.Self) >= 0 && time.Since(c.touched) < c.Contact/2
}

// Propose makes one write. At the head, decide sees the newest state and gives
// the key and the value, or an error. An empty key writes nothing but still
// returns only once all that decide saw is held by the tail.
func (c *Chain) Propose(ctx context.Context, decide func(Documents) (string, []byte, error)) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	view, docs := c.view, c.docs
	c.mu.Unlock()
	if view.at(c.Self) != 0 {
		return &wire.Status{Code: 421, Text: "this machine is not the head"}
	}
	key, value, err := decide(docs)
	if err != nil {
		return err
	}
	p := Pass{View: view, Sequence: c.sequence}
	if key != "" {
		p.Sequence, p.Key, p.Value = c.sequence+1, key, value
		if err := c.apply(p); err != nil {
			return err
		}
	}
	return c.forward(ctx, p)
}

// apply puts a pass on disk and into memory. The right to write is held.
func (c *Chain) apply(p Pass) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.View.Number > c.view.Number {
		c.view, c.active = p.View, false
	}
	docs := Documents{}
	if !p.All {
		for k, v := range c.docs {
			docs[k] = v
		}
		if p.Key != "" {
			docs[p.Key] = p.Value
		}
	} else {
		for k, v := range p.Whole {
			docs[k] = v
		}
	}
	c.sequence = p.Sequence
	err := c.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketDocs)
		if p.All {
			for k := range c.docs {
				if err := b.Delete([]byte(k)); err != nil {
					return err
				}
			}
			for k, v := range p.Whole {
				if err := b.Put([]byte(k), v); err != nil {
					return err
				}
			}
		} else if p.Key != "" {
			if err := b.Put([]byte(p.Key), p.Value); err != nil {
				return err
			}
		}
		return c.saveView(tx)
	})
	if err != nil {
		return fmt.Errorf("write control state: %w", err)
	}
	c.docs = docs
	return nil
}

// forward hands a pass to the successor; when it returns nil, the tail holds
// all that this machine holds. The right to write is held.
func (c *Chain) forward(ctx context.Context, p Pass) error {
	if next := p.View.next(c.Self); next != "" {
		ctx, cancel := context.WithTimeout(ctx, c.Contact/5)
		defer cancel()
		for {
			var out Passed
			if err := c.Pool.Post(ctx, next, "/chain/pass", p, nil, &out); err != nil {
				return fmt.Errorf("pass down the chain: %w", err)
			}
			if !out.Gap {
				break
			}
			if p.All {
				return fmt.Errorf("pass down the chain: %s does not take the whole state", next)
			}
			p.All, p.Whole = true, c.docs
		}
	}
	c.mu.Lock()
	c.active, c.touched = true, time.Now()
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
	case p.Key != "" && p.Sequence == sequence+1:
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

// Query asks where a voter stands, seen from a view.
type Query struct {
	Number int64 `json:"number"`
}

// HandleStanding tells what is known here.
func (c *Chain) HandleStanding(_ context.Context, q *Query, _ []byte) (*Standing, error) {
	c.mu.Lock()
	view, seq := c.view, c.sequence
	c.mu.Unlock()
	return &Standing{view, c.Voter.Accepted(q.Number + 1), seq}, nil
}

// standing asks one voter.
func (c *Chain) standing(ctx context.Context, voter string, q Query) (*Standing, error) {
	if voter == c.Self {
		return c.HandleStanding(ctx, &q, nil)
	}
	s := &Standing{}
	return s, c.Pool.Post(ctx, voter, "/chain/standing", q, nil, s)
}

// Read gives the state if this machine is the tail and a majority of the
// voters knows of no newer view.
func (c *Chain) Read(ctx context.Context) (Documents, error) {
	c.mu.Lock()
	view, active, voters := c.view, c.active, c.voters
	c.mu.Unlock()
	if view.next(c.Self) != "" || view.at(c.Self) < 0 {
		return nil, &wire.Status{Code: 421, Text: "this machine is not the tail"}
	}
	if !active {
		return nil, &wire.Status{Code: 503, Text: "the view is not yet in force"}
	}
	c.mu.Lock()
	docs := c.docs
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.Contact/8)
	defer cancel()
	agree := make(chan bool, len(voters))
	for _, v := range voters {
		go func() {
			s, err := c.standing(ctx, v, Query{view.Number})
			agree <- err == nil && s.View.Number <= view.Number && !s.Next
		}()
	}
	n := 0
	for range voters {
		if <-agree {
			if n++; n*2 > len(voters) {
				return docs, nil
			}
		}
	}
	return nil, &wire.Status{Code: 503, Text: "no majority confirms the view"}
}

// adopt takes a chosen view over; the view before it is sealed from here on.
func (c *Chain) adopt(v View) error {
	if err := c.lock(context.Background()); err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Number <= c.view.Number {
		return nil
	}
	c.view, c.active = v, false
	c.Log.Printf("chain: view %d is in force: %v", v.Number, v.Members)
	return c.db.Update(c.saveView)
}

// Tend keeps the chain whole until ctx ends: the head sends signs of life down
// it, and whoever misses a neighbour calls for a new view.
func (c *Chain) Tend(ctx context.Context) {
	tick := c.Contact / 16
	started := time.Now()
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		view := c.View()
		if len(c.Voters()) == 0 {
			continue
		}
		if view.at(c.Self) == 0 {
			err := c.Propose(ctx, func(Documents) (string, []byte, error) { return "", nil, nil })
			if err != nil && ctx.Err() == nil && wire.StatusOf(err) != 421 {
				c.Log.Printf("chain: sign of life: %v", err)
			}
		}
		c.mu.Lock()
		quiet := time.Since(c.touched) > c.Contact/4
		c.mu.Unlock()
		if time.Since(started) < c.Contact/2 {
			continue
		}
		// A ballot that somebody began must come to an end: until then no
		// majority can say that this view is the newest.
		begun := c.Voter.Accepted(view.Number + 1)
		if quiet || begun || view.at(c.Self) == 0 && len(view.Members) < len(c.Voters()) {
			c.mend(ctx, view)
		}
	}
}

// mend asks all voters where they stand and calls a ballot for a view of those
// that answer.
func (c *Chain) mend(ctx context.Context, view View) {
	voters := c.Voters()
	sctx, cancel := context.WithTimeout(ctx, c.Contact/16)
	defer cancel()
	type answer struct {
		who string
		s   *Standing
	}
	got := make(chan answer, len(voters))
	for _, v := range voters {
		go func() {
			s, err := c.standing(sctx, v, Query{view.Number})
			if err != nil {
				s = nil
			}
			got <- answer{v, s}
		}()
	}
	alive := map[string]bool{}
	newest := view
	for range voters {
		if a := <-got; a.s != nil {
			alive[a.who] = true
			if a.s.View.Number > newest.Number {
				newest = a.s.View
			}
		}
	}
	if newest.Number > view.Number {
		if err := c.adopt(newest); err != nil {
			c.Log.Printf("chain: adopt view %d: %v", newest.Number, err)
		}
		return
	}
	c.mu.Lock()
	// Only a member that went through a pass of this view, or that was in the
	// view before, holds all of it; a member that just joined is at the end.
	active, quiet := c.active, time.Since(c.touched) > c.Contact/4
	c.mu.Unlock()
	next := View{Number: view.Number + 1}
	for _, m := range view.Members {
		if alive[m] {
			next.Members = append(next.Members, m)
		}
	}
	if !quiet && active { // the view works: one more may join at the tail
		for _, v := range voters {
			if alive[v] && view.at(v) < 0 {
				next.Members = append(next.Members, v)
				break
			}
		}
	} else if len(next.Members)*2 <= len(voters) {
		for _, v := range voters {
			if alive[v] && view.at(v) < 0 {
				next.Members = append(next.Members, v)
			}
		}
	}
	same := slices.Equal(next.Members, view.Members) && !c.Voter.Accepted(next.Number)
	if view.at(c.Self) < 0 || len(next.Members)*2 <= len(voters) || same || next.at(c.Self) < 0 {
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
	value, _ := json.Marshal(next)
	bctx, cancel2 := context.WithTimeout(ctx, c.Contact/4)
	defer cancel2()
	c.mu.Lock()
	c.adoptions++
	round := c.adoptions<<8 | int64(rand.IntN(256))
	c.mu.Unlock()
	round += time.Now().UnixMilli() << 8
	chosen, err := ballot.Choose(bctx, next.Number, c.Self, round, value, voters, func(ctx context.Context, voter string, b ballot.Call) (r ballot.Reply, err error) {
		if voter == c.Self {
			return c.Voter.Handle(b)
		}
		err = c.Pool.Post(ctx, voter, "/ballot", b, nil, &r)
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
	if err := c.adopt(v); err != nil {
		c.Log.Printf("chain: adopt view %d: %v", v.Number, err)
		return
	}
	// Tell the others; those that miss it learn it from the first pass.
	for _, m := range v.Members {
		if m != c.Self {
			tctx, cancel := context.WithTimeout(ctx, c.Contact/16)
			_ = c.Pool.Post(tctx, m, "/chain/adopt", v, nil, nil)
			cancel()
		}
	}
}

// HandleAdopt takes news of a chosen view.
func (c *Chain) HandleAdopt(_ context.Context, v *View, _ []byte) (*struct{}, error) {
	return &struct{}{}, c.adopt(*v)
}

// Head is the address at which writes enter, and Tail the one that answers.
func (c *Chain) Head() string { v := c.View(); return first(v.Members) }

// Tail is the address of the member that answers reads.
func (c *Chain) Tail() string {
	v := c.View()
	if len(v.Members) == 0 {
		return ""
	}
	return v.Members[len(v.Members)-1]
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

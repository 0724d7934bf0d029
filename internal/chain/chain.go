// Package chain owns the control state: the core machines of a view form a
// chain, writes enter at its head and are done once the tail has them, and
// reads are answered by the tail. A ballot for each new view mends the chain.
package chain

import (
	"context"
	"fmt"
	"log"
	"maps"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/httpwire"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

// Documents is the state: whole values by key.
type Documents map[string][]byte

// Pass is what a member sends to its successor: one write, which may set
// several documents, or with All everything that it holds, as a snapshot; with
// neither, a sign of life.
type UpdateRequest struct {
	View     View           `json:"view"`
	Sequence int64          `json:"sequence"` // of the last write that the sender holds; it only rises within a view
	Snapshot bool           `json:"all,omitempty"`
	Set      Documents      `json:"set,omitempty"`
	Position StreamPosition `json:"stamp"`
	// Back is the last pass of this head that came back whole: all members had
	// answered it.
	CommittedThrough int64 `json:"back,omitempty"`
}

// Stamp orders the passes that one life of a head sends down the chain.
type StreamPosition struct {
	Head   int64 `json:"head"` // differs for each life of a head
	Number int64 `json:"number"`
}

// Passed answers a pass. Gap asks for the whole state.
type UpdateResponse struct {
	Gap bool `json:"gap,omitempty"`
	// Ahead says that the successor holds everything, and more than was passed.
	Ahead bool `json:"ahead,omitempty"`
}

// Chain is this machine's part.
type Chain struct {
	Self           Member // the disk is read by Open
	MaxFailures    int    // how many machines may be lost at once
	Client         *rpc.Client
	ContactTimeout time.Duration
	Log            *log.Logger
	Acceptor       *paxos.Acceptor
	// Prepare is called with what a write sets, before it is known to last.
	OnUpdate func(Documents)
	// Committed is called with each state that the tail is known to hold.
	OnCommit func(Documents)
	// Others are the cores heard of lately, whether in the view or not.
	KnownCores func() []Member
	// Ready tells whether this core knows what a voter must know.
	VoterReady func() bool

	db *boltstore.File

	write chan struct{} // one pass or change of view at a time

	mu        sync.Mutex
	view      View
	whole     int64 // the view for which this disk holds everything acknowledged
	sequence  int64
	docs      Documents
	active    bool                 // a pass of this view went through here
	touched   time.Time            // at that moment all members held what this one held, and no other view was in force
	steady    time.Time            // since when there was no gap in that
	stamp     StreamPosition       // of the last pass, sent or taken
	back      int64                // the last pass that came back whole, at the head
	answers   [4]through           // the last passes that this member answered, newest first
	heard     time.Time            // when a pass last went through here
	gone      bool                 // the successor's machine said that no core runs there
	stop      func()               // gives the pass up that is under way
	moved     chan struct{}        // closed when the next view is entered
	answered  map[Member]time.Time // when a voter last answered
	strangers map[Member]bool      // voters whose disk was found to be another, and told of
	life      int64                // of this process, at random
}

// through is a pass that this member answered, and when it took it.
type through struct {
	stamp StreamPosition
	at    time.Time
}

// lock takes the right to pass or to change the view.
func (c *Chain) lock(ctx context.Context) error {
	select {
	case c.write <- struct{}{}:
		if err := c.works(); err != nil {
			c.unlock()
			return err
		}
		return nil
	case <-ctx.Done():
		return &rpc.StatusError{Code: 503, Text: "the chain is busy: " + ctx.Err().Error()}
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

// moves is the number of the view, and what is closed when the next is entered.
func (c *Chain) moves() (int64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Number, c.moved
}

// Steady tells whether this machine is in the view and heard from its chain
// lately, so that what it tells is not old.
func (c *Chain) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inContactLocked()
}

func (c *Chain) inContactLocked() bool {
	return c.view.at(c.Self) >= 0 && time.Since(c.touched) < c.ContactTimeout/2
}

// SteadyFor is how long this machine has been steady without a gap.
func (c *Chain) InContactFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inContactLocked() {
		return 0
	}
	return time.Since(c.steady)
}

// touch notes that at a moment all members held what this one held, so that no
// other view was in force. The lock is held.
func (c *Chain) touch(at time.Time) {
	if !at.After(c.touched) {
		return
	}
	if at.Sub(c.touched) > c.ContactTimeout/2 {
		c.steady = at
	}
	c.touched = at
}

// passed notes that a pass went through here. That it was sent proves nothing
// about now: it may have lain in a buffer while this process was frozen or a
// link was cut. But the head sends it only after it has heard what became of
// those before, so the last one that came back shows that this member was in
// touch when it took that one: from then until its answer was on the way, all
// before it held their place in this view, and all behind it had not left it.
// The lock is held.
func (c *Chain) passed(p UpdateRequest, began time.Time) {
	c.active, c.gone, c.heard, c.stamp = true, false, time.Now(), p.Position
	if p.View.at(c.Self) == 0 {
		c.back = p.Position.Number
		c.touch(began)
		return
	}
	for _, a := range c.answers {
		if a.stamp == (StreamPosition{p.Position.Head, p.CommittedThrough}) {
			c.touch(a.at)
		}
	}
	copy(c.answers[1:], c.answers[:])
	c.answers[0] = through{p.Position, began}
}

// pass is the next pass of this head, a sign of life as it stands. The right to
// write is held.
func (c *Chain) pass(view View) UpdateRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stamp.Head != c.life {
		c.stamp, c.back = StreamPosition{Head: c.life}, 0
	}
	c.stamp.Number++
	return UpdateRequest{View: view, Sequence: c.sequence, Position: c.stamp, CommittedThrough: c.back}
}

// Propose makes one write. At the head, decide sees the newest state and gives
// the documents to set, or an error. Without documents nothing is written;
// without decide it is a sign of life.
// Either answer is given only once all that decide saw is held by the tail: a
// refusal must not rest on what may yet be lost.
func (c *Chain) Propose(ctx context.Context, decide func(Documents) (Documents, error)) error {
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	c.mu.Lock()
	view, docs, whole, active := c.view, c.docs, c.whole == c.view.Number, c.active
	c.mu.Unlock()
	if view.at(c.Self) != 0 || !whole {
		return &rpc.StatusError{Code: 421, Text: "this machine is not the head"}
	}
	if !active { // nothing is built on a disk before the others have taken what it holds
		if err := c.forward(ctx, c.pass(view)); err != nil {
			return err
		}
	}
	var set Documents
	var refused error
	if decide != nil {
		// What was decided must outlast as many losses as are borne, and so must
		// what it rests on: also where nothing is written.
		if len(view.Members) <= c.MaxFailures {
			return &rpc.StatusError{Code: 503, Text: fmt.Sprintf("%d cores are in the view, %d are needed", len(view.Members), c.MaxFailures+1)}
		}
		set, refused = decide(docs)
	}
	p := c.pass(view)
	if refused == nil && len(set) > 0 {
		p.Sequence, p.Set = p.Sequence+1, set
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
	c.view, c.active, c.gone = v, false, false
	close(c.moved)
	c.moved = make(chan struct{})
	c.answers = [len(c.answers)]through{}
	c.Log.Printf("chain: view %v is in force", v)
}

// apply puts a pass on disk and into memory. The right to write is held.
func (c *Chain) apply(p UpdateRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	view, before, whole := c.view, c.sequence, c.whole
	c.enter(p.View)
	docs := Documents{}
	if !p.Snapshot {
		maps.Copy(docs, c.docs)
	}
	maps.Copy(docs, p.Set)
	c.sequence = p.Sequence
	if p.Snapshot {
		c.whole = p.View.Number
	}
	err := c.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketDocs)
		if p.Snapshot {
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
	if err != nil {
		c.view, c.sequence, c.whole, c.active = view, before, whole, false
		return fmt.Errorf("write control state: %w", err)
	}
	c.docs = docs
	return nil
}

// forward hands a pass to the successor; when it returns nil, the tail holds
// all that this machine holds. The right to write is held.
func (c *Chain) forward(ctx context.Context, p UpdateRequest) error {
	began := time.Now()
	if next, ok := p.View.next(c.Self); ok {
		if len(p.Set) > 0 {
			go c.OnUpdate(p.Set)
		}
		ctx, cancel := context.WithTimeout(ctx, c.ContactTimeout/5)
		defer cancel()
		c.mu.Lock()
		c.stop = cancel
		c.mu.Unlock()
		for {
			var out UpdateResponse
			if err := c.Client.Call(ctx, next.Address, "/chain/pass", p, nil, &out); err != nil {
				c.mu.Lock()
				c.gone = httpwire.ConnectionRefused(err)
				c.mu.Unlock()
				return fmt.Errorf("pass down the chain: %w", err)
			}
			if out.Ahead {
				return c.behind(next)
			}
			if !out.Gap {
				break
			}
			if p.Snapshot {
				return fmt.Errorf("pass down the chain: %s does not take the whole state", next.Address)
			}
			p.Snapshot, p.Set = true, c.docs
		}
	}
	c.mu.Lock()
	c.passed(p, began)
	docs := c.docs
	c.mu.Unlock()
	c.OnCommit(docs)
	return nil
}

// HandlePass takes what the predecessor sends.
func (c *Chain) HandleUpdate(ctx context.Context, p *UpdateRequest, _ []byte) (*UpdateResponse, error) {
	if err := c.lock(ctx); err != nil {
		return nil, err
	}
	defer c.unlock()
	c.mu.Lock()
	view, sequence, active := c.view, c.sequence, c.active
	c.mu.Unlock()
	if p.View.Number < view.Number {
		return nil, &rpc.StatusError{Code: 409, Text: fmt.Sprintf("view %d is sealed, %d is in force", p.View.Number, view.Number)}
	}
	i := p.View.at(c.Self)
	if i < 1 {
		return nil, &rpc.StatusError{Code: 409, Text: "no place behind the head in this view"}
	}
	if err := c.late(p); err != nil {
		return nil, err
	}
	if c.ahead(p) {
		return &UpdateResponse{Ahead: true}, nil
	}
	fresh := p.View.Number == view.Number && active
	switch {
	case p.Snapshot:
		if err := c.apply(*p); err != nil {
			return nil, err
		}
	case !fresh:
		return &UpdateResponse{Gap: true}, nil
	case len(p.Set) > 0 && p.Sequence == sequence+1:
		if err := c.apply(*p); err != nil {
			return nil, err
		}
	case p.Sequence != sequence:
		return &UpdateResponse{Gap: true}, nil
	}
	if err := c.forward(ctx, *p); err != nil {
		return nil, err
	}
	return &UpdateResponse{}, nil
}

// late refuses a pass that others of the same life of the head have overtaken:
// it lay in a buffer, or on a link that was cut. Over a restart ahead tells it,
// by the sequence, which is on disk.
func (c *Chain) late(p *UpdateRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.View.Number != c.view.Number {
		return nil // the first one of its view
	}
	if p.Position.Head == c.stamp.Head && p.Position.Number < c.stamp.Number {
		return &rpc.StatusError{Code: 409, Text: fmt.Sprintf("pass %d is late, %d was here", p.Position.Number, c.stamp.Number)}
	}
	c.stamp = p.Position
	return nil
}

// Read gives the state if this machine is the tail and a majority of the
// voters knows of no newer view.
func (c *Chain) Read(ctx context.Context) (Documents, error) {
	c.mu.Lock()
	view, active, docs := c.view, c.active, c.docs
	c.mu.Unlock()
	if _, more := view.next(c.Self); more || view.at(c.Self) < 0 {
		return nil, &rpc.StatusError{Code: 421, Text: "this machine is not the tail"}
	}
	if err := c.works(); err != nil {
		return nil, err
	}
	if !active {
		return nil, &rpc.StatusError{Code: 503, Text: "the view is not yet in force"}
	}
	ctx, cancel := context.WithTimeout(ctx, c.ContactTimeout/8)
	defer cancel()
	agree := make(chan bool, len(view.Voters))
	for _, v := range view.Voters {
		go func() {
			s, err := c.standing(ctx, v, view)
			agree <- err == nil && s.View.Number <= view.Number && !s.NextAccepted
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
	return nil, &rpc.StatusError{Code: 503, Text: "no majority confirms the view"}
}

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

package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

// Proposal is a write that any core may bring to the head. Exactly one of its
// parts is there.
type Proposal struct {
	Configuration []byte               `json:"configuration,omitempty"`
	Match         int64                `json:"match,omitempty"` // the revision it builds on
	Placement     *placement.Placement `json:"placement,omitempty"`
	Retire        string               `json:"retire,omitempty"`
}

// Proposed answers a proposal. A refusal travels as a field: the status of an
// answer may be that of any call on the way.
type Proposed struct {
	Refusal *RejectedError `json:"refusal,omitempty"`
}

// Refusal is what the state itself says against an order, given only once the
// tail holds that state. Nothing else may refuse an order: one that failed on
// the way may be in force all the same.
type RejectedError struct {
	Code int    `json:"code"` // as HTTP has it
	Text string `json:"text"`
}

func (r *RejectedError) Error() string { return fmt.Sprintf("refused %d: %s", r.Code, r.Text) }

// Unreached is the error of a call that certainly did nothing: it did not come
// as far as the state.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return e.Err.Error() }
func (e *UnavailableError) Unwrap() error { return e.Err }

var errNoView = &UnavailableError{errors.New("no view is known")}

// Propose brings a write to the head, wherever it is. The error is a Refusal,
// an Unreached, or something else: then the write may take effect or not.
func (c *Server) Propose(ctx context.Context, p Proposal) error {
	wait := c.Wait()
	if p.Placement != nil { // nobody waits for it but the steward
		wait = c.contact / 4
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	head := c.chain.Head()
	if head == "" {
		return errNoView
	}
	if head == c.self {
		return c.decide(ctx, &p)
	}
	var out Proposed
	if err := c.ask(ctx, head, "/propose", p, &out); err != nil {
		return err
	}
	if out.Refusal != nil {
		return out.Refusal
	}
	return nil
}

// ask calls another core for the operator, and remembers whether its machine
// said that no core runs there.
func (c *Server) ask(ctx context.Context, addr, path string, in, out any) error {
	err := c.pool.Call(ctx, addr, path, in, nil, out)
	c.mu.Lock()
	if c.refusing == nil {
		c.refusing = map[string]time.Time{}
	}
	if httpwire.ConnectionRefused(err) {
		c.refusing[addr] = time.Now()
	} else {
		delete(c.refusing, addr)
	}
	c.mu.Unlock()
	if httpwire.NotSent(err) {
		return &UnavailableError{err}
	}
	return err
}

// Steady tells whether this core heard from its chain lately.
func (c *Server) Steady() bool { return c.chain.InContact() }

// Elsewhere is the control-plane address of the core that answers writes, or
// reads, in the view known here. It is "" if that is this core, if none is
// known, or if its machine said just now that no core runs there.
func (c *Server) Elsewhere(write bool) string {
	addr := c.chain.Tail()
	if write {
		addr = c.chain.Head()
	}
	c.mu.Lock()
	at, refused := c.refusing[addr]
	c.mu.Unlock()
	if addr == "" || addr == c.self || refused && time.Since(at) < c.contact/4 {
		return ""
	}
	return c.controlOf(addr)
}

// decide makes a write at the head.
func (c *Server) decide(ctx context.Context, p *Proposal) error {
	reached := false
	err := c.chain.Propose(ctx, func(docs chain.Documents) (chain.Documents, error) {
		reached = true
		switch {
		case p.Configuration != nil:
			return decideConfiguration(docs, p)
		case p.Placement != nil:
			return c.decidePlacement(docs, p.Placement)
		case p.Retire != "":
			return c.decideRetire(docs, p.Retire, int(c.set.FaultTolerance.HostFailures))
		}
		return nil, &RejectedError{400, "the proposal is empty"}
	})
	if err != nil && !reached {
		return &UnavailableError{err}
	}
	var no *RejectedError
	if p.Configuration != nil && errors.As(err, &no) && no.Code == 400 {
		c.log.Printf("core: a configuration of %d bytes is refused: %v", len(p.Configuration), err)
	}
	return err
}

func (c *Server) handlePropose(ctx context.Context, p *Proposal, _ []byte) (*Proposed, error) {
	ctx, cancel := context.WithTimeout(ctx, c.contact/4) // whoever sent it has left by then
	defer cancel()
	err := c.decide(ctx, p)
	var no *RejectedError
	if errors.As(err, &no) {
		return &Proposed{no}, nil
	}
	if err != nil {
		return nil, errors.New(err.Error()) // the status of a call further on says nothing of this one
	}
	return &Proposed{}, nil
}

func decideConfiguration(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	current, hash := docs[docConfiguration], hashOf(p.Configuration)
	if isTaken(docs, hash) || bytes.Equal(current, p.Configuration) {
		return nil, nil // taken before; the answer waits until the tail has it
	}
	next, err := configuration.Parse(p.Configuration)
	if err != nil {
		return nil, &RejectedError{400, err.Error()}
	}
	var revision int64
	if current != nil {
		// What another version of this program took may not pass the check of
		// this one; the next change mends that, so it must not fail here.
		old, err := configuration.Parse(current)
		if old == nil {
			return nil, fmt.Errorf("the configuration in force: %w", err)
		}
		revision = old.Revision
	}
	if p.Match != revision {
		return nil, &RejectedError{412, fmt.Sprintf("revision %d is in force, not %d", revision, p.Match)}
	}
	if next.Revision <= revision {
		return nil, &RejectedError{400, fmt.Sprintf("revision %d is not higher than %d", next.Revision, revision)}
	}
	key, block := take(docs, hash)
	return chain.Documents{docConfiguration: p.Configuration, key: block}, nil
}

// placementOf decodes the placement in the state, once for all who ask for the
// same one: it is the largest thing that a core reads. It is not to be changed.
func (c *Server) placementOf(docs chain.Documents) (p placement.Placement, err error) {
	raw := docs[docPlacement]
	if raw == nil {
		return p, nil
	}
	c.mu.Lock()
	p = c.decodedAs
	known := bytes.Equal(raw, c.decoded)
	c.mu.Unlock()
	if known {
		return p, nil
	}
	p = placement.Placement{}
	if err = json.Unmarshal(raw, &p); err == nil {
		c.mu.Lock()
		c.decoded, c.decodedAs = raw, p
		c.mu.Unlock()
	}
	return p, err
}

// prepare decodes what a pass sets while the rest of the chain takes it.
func (c *Server) prepare(docs chain.Documents) { _, _ = c.placementOf(docs) }

func (c *Server) decidePlacement(docs chain.Documents, next *placement.Placement) (chain.Documents, error) {
	cur, err := c.placementOf(docs)
	if err != nil {
		return nil, err
	}
	if next.Version != cur.Version+1 || next.Term < cur.Term {
		return nil, &RejectedError{409, fmt.Sprintf("placement %d of term %d is in force", cur.Version, cur.Term)}
	}
	raw, err := json.Marshal(next)
	return chain.Documents{docPlacement: raw}, err
}

func (c *Server) decideRetire(docs chain.Documents, name string, failures int) (chain.Documents, error) {
	cur, err := c.placementOf(docs)
	if err != nil {
		return nil, err
	}
	store, ok := cur.Stores[name]
	if !ok {
		return nil, &RejectedError{404, "no store is called " + name}
	}
	if store.Retire != "" {
		return nil, nil // ordered before, or done: a store stays listed, and retired
	}
	left := 0
	for other, s := range cur.Stores {
		if other != name && s.Retire == "" {
			left++
		}
	}
	if left < failures+1 {
		return nil, &RejectedError{409, fmt.Sprintf("%d stores would remain, %d are needed", left, failures+1)}
	}
	next := cur.Clone()
	store.Retire = placement.RetireActive
	next.Stores[name] = store
	next.Version++
	raw, err := json.Marshal(next)
	return chain.Documents{docPlacement: raw}, err
}

// State is the state as the tail tells it.
type State struct {
	Documents chain.Documents `json:"documents"`
}

// Read gets the state from the tail.
func (c *Server) Read(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait())
	defer cancel()
	tail := c.chain.Tail()
	if tail == "" {
		return State{}, errNoView
	}
	if tail == c.self {
		s, err := c.handleRead(ctx, nil, nil)
		if err != nil {
			return State{}, err
		}
		return *s, nil
	}
	var s State
	err := c.ask(ctx, tail, "/read", struct{}{}, &s)
	return s, err
}

func (c *Server) handleRead(ctx context.Context, _ *struct{}, _ []byte) (*State, error) {
	docs, err := c.chain.Read(ctx)
	return &State{withoutTaken(docs)}, err
}

// Configuration reads the newest configuration, its bytes as they came; nil
// before the first.
func (c *Server) Configuration(ctx context.Context) ([]byte, error) {
	s, err := c.Read(ctx)
	return s.Documents[docConfiguration], err
}

// RetireState tells how far the emptying of a store is.
func (c *Server) RetireState(ctx context.Context, name string) (string, error) {
	s, err := c.Read(ctx)
	if err != nil {
		return "", err
	}
	p, err := c.placementOf(s.Documents)
	if err != nil {
		return "", err
	}
	store, ok := p.Stores[name]
	if !ok {
		return "", &RejectedError{404, "no store is called " + name}
	}
	if store.Retire == "" {
		return "", &RejectedError{404, name + " is not being emptied"}
	}
	return store.Retire, nil
}

// Wait is how long the operator's calls may take here: callers go on after a
// second of silence, and contact-ms is about six.
func (c *Server) Wait() time.Duration { return c.contact * 3 / 20 }

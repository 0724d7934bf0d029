package core

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/wire"
)

// Proposal is a write that any core may bring to the head. Exactly one of its
// parts is there.
type Proposal struct {
	Configuration []byte     `json:"configuration,omitempty"`
	Match         int64      `json:"match,omitempty"` // the revision it builds on
	Placement     *Placement `json:"placement,omitempty"`
	Retire        string     `json:"retire,omitempty"`
}

// Proposed answers a proposal.
type Proposed struct{}

// Propose brings a write to the head, wherever it is.
func (c *Core) Propose(ctx context.Context, p Proposal) error {
	ctx, cancel := context.WithTimeout(ctx, c.contact/4)
	defer cancel()
	head := c.chain.Head()
	if head == "" {
		return &wire.Status{Code: 503, Text: "no view is known"}
	}
	if head == c.self {
		_, err := c.handlePropose(ctx, &p, nil)
		return err
	}
	return c.pool.Post(ctx, head, "/propose", p, nil, nil)
}

func (c *Core) handlePropose(ctx context.Context, p *Proposal, _ []byte) (*Proposed, error) {
	err := c.chain.Propose(ctx, func(docs chain.Documents) (chain.Documents, error) {
		switch {
		case p.Configuration != nil:
			return decideConfiguration(docs, p)
		case p.Placement != nil:
			return c.decidePlacement(docs, p.Placement)
		case p.Retire != "":
			return c.decideRetire(docs, p.Retire, int(c.set.FaultTolerance.HostFailures))
		}
		return nil, &wire.Status{Code: 400, Text: "the proposal is empty"}
	})
	if p.Configuration != nil && wire.StatusOf(err) == 400 {
		c.log.Printf("core: a configuration of %d bytes is refused: %v", len(p.Configuration), err)
	}
	return &Proposed{}, err
}

// remembered is how many configurations that were taken are known as such.
const remembered = 64

// taken lists the configurations that were in force, by hash, newest last.
func taken(docs chain.Documents) (list []string) {
	if raw := docs[docTaken]; raw != nil {
		_ = json.Unmarshal(raw, &list)
	}
	return list
}

func decideConfiguration(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	current := docs[docConfiguration]
	sum := sha256.Sum256(p.Configuration)
	hash, list := hex.EncodeToString(sum[:]), taken(docs)
	if slices.Contains(list, hash) {
		return nil, nil // taken before; the answer waits until the tail has it
	}
	next, err := configuration.Parse(p.Configuration)
	if err != nil {
		return nil, &wire.Status{Code: 400, Text: err.Error()}
	}
	var revision int64
	if current != nil {
		old, err := configuration.Parse(current)
		if err != nil {
			return nil, fmt.Errorf("the configuration in force: %w", err)
		}
		revision = old.Revision
	}
	if p.Match != revision {
		return nil, &wire.Status{Code: 412, Text: fmt.Sprintf("revision %d is in force, not %d", revision, p.Match)}
	}
	if next.Revision <= revision {
		return nil, &wire.Status{Code: 400, Text: fmt.Sprintf("revision %d is not higher than %d", next.Revision, revision)}
	}
	list = append(list, hash)
	raw, err := json.Marshal(list[max(0, len(list)-remembered):])
	return chain.Documents{docConfiguration: p.Configuration, docTaken: raw}, err
}

// placementOf decodes the placement in the state, once for all who ask for the
// same one: it is the largest thing that a core reads. It is not to be changed.
func (c *Core) placementOf(docs chain.Documents) (p Placement, err error) {
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
	p = Placement{}
	if err = json.Unmarshal(raw, &p); err == nil {
		c.mu.Lock()
		c.decoded, c.decodedAs = raw, p
		c.mu.Unlock()
	}
	return p, err
}

// prepare decodes what a pass sets while the rest of the chain takes it.
func (c *Core) prepare(docs chain.Documents) { _, _ = c.placementOf(docs) }

func (c *Core) decidePlacement(docs chain.Documents, next *Placement) (chain.Documents, error) {
	cur, err := c.placementOf(docs)
	if err != nil {
		return nil, err
	}
	if next.Version != cur.Version+1 || next.Term < cur.Term {
		return nil, &wire.Status{Code: 409, Text: fmt.Sprintf("placement %d of term %d is in force", cur.Version, cur.Term)}
	}
	raw, err := json.Marshal(next)
	return chain.Documents{docPlacement: raw}, err
}

func (c *Core) decideRetire(docs chain.Documents, name string, failures int) (chain.Documents, error) {
	cur, err := c.placementOf(docs)
	if err != nil {
		return nil, err
	}
	store, ok := cur.Stores[name]
	if !ok {
		return nil, &wire.Status{Code: 404, Text: "no store is called " + name}
	}
	if store.Retire != "" {
		return nil, nil
	}
	left := 0
	for other, s := range cur.Stores {
		if other != name && s.Retire == "" {
			left++
		}
	}
	if left < failures+1 {
		return nil, &wire.Status{Code: 409, Text: fmt.Sprintf("%d stores would remain, %d are needed", left, failures+1)}
	}
	next := cur.Clone()
	store.Retire = RetireActive
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
func (c *Core) Read(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.contact/5)
	defer cancel()
	tail := c.chain.Tail()
	if tail == "" {
		return State{}, &wire.Status{Code: 503, Text: "no view is known"}
	}
	if tail == c.self {
		s, err := c.handleRead(ctx, nil, nil)
		if err != nil {
			return State{}, err
		}
		return *s, nil
	}
	var s State
	err := c.pool.Post(ctx, tail, "/read", struct{}{}, nil, &s)
	return s, err
}

func (c *Core) handleRead(ctx context.Context, _ *struct{}, _ []byte) (*State, error) {
	docs, err := c.chain.Read(ctx)
	return &State{docs}, err
}

// Configuration reads the newest configuration, its bytes as they came; nil
// before the first.
func (c *Core) Configuration(ctx context.Context) ([]byte, error) {
	s, err := c.Read(ctx)
	return s.Documents[docConfiguration], err
}

// RetireState tells how far the emptying of a store is.
func (c *Core) RetireState(ctx context.Context, name string) (string, error) {
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
		return "", &wire.Status{Code: 404, Text: "no store is called " + name}
	}
	if store.Retire == "" {
		return "", &wire.Status{Code: 404, Text: name + " is not being emptied"}
	}
	return store.Retire, nil
}

// Wait is how long the operator's calls may take here.
func (c *Core) Wait() time.Duration { return c.contact / 5 }

// Package configstore changes and reads the documents in the chain of control
// state: the configuration, by compare-and-set on its revision, and the
// placement, by compare-and-set on its version and fenced by the controller's
// term. Changes are decided at the head, reads are answered by the tail, and any
// core passes calls on to them. A change may be sent again: idempotency records
// have the same one acknowledged again.
package configstore

import (
	"context"
	"errors"
	"log"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

// Keys of the documents in the chain.
const (
	KeyConfiguration = "configuration"
	KeyPlacement     = "placement"
)

// Paths of the calls that HandlePropose and HandleRead answer.
const (
	pathPropose = "/propose"
	pathRead    = "/read"
)

// Proposal is a change that any core may bring to the head. Exactly one of
// Configuration, Patch, Placement and Retire is set.
type Proposal struct {
	Configuration []byte               `json:"configuration,omitempty"`
	Patch         []byte               `json:"patch,omitempty"` // of named items of the configuration
	Match         int64                `json:"match,omitempty"` // the revision that Configuration or Patch builds on
	Placement     *placement.Placement `json:"placement,omitempty"`
	Retire        string               `json:"retire,omitempty"` // name of a store to empty
}

// ProposeResponse answers a proposal. A rejection travels as a field: the status
// of an answer may be that of any call on the way.
type ProposeResponse struct {
	Rejection *RejectedError `json:"refusal,omitempty"`
}

// State is the state that the tail holds.
type State struct {
	Documents chain.Documents `json:"documents"`
}

// Chain is what the store needs of the chain of control state.
type Chain interface {
	Head() string
	Tail() string
	Propose(ctx context.Context, decide func(chain.Documents) (chain.Documents, error)) error
	Read(ctx context.Context) (chain.Documents, error)
}

// Caller calls the other cores; *rpc.Client is one.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Config is what a Store is made of. All fields but HostFailures are required.
type Config struct {
	Address        string // internal, of this core
	Chain          Chain
	Client         Caller
	HostFailures   int // how many machines may be lost at once
	ContactTimeout time.Duration
	Log            *log.Logger
}

// Store is one core's access to the documents.
type Store struct {
	config     Config
	timing     timing
	placements placementCache
	refusals   connectionRefusals
}

// New makes a store.
func New(config Config) (*Store, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("configstore: no address")
	case config.ContactTimeout <= 0:
		return nil, errors.New("configstore: the contact timeout is not positive")
	case config.Chain == nil || config.Client == nil || config.Log == nil:
		return nil, errors.New("configstore: a part is missing")
	}
	return &Store{config: config, timing: timing{config.ContactTimeout}}, nil
}

// OperationTimeout is how long the operator's calls may take here.
func (s *Store) OperationTimeout() time.Duration { return s.timing.operationTimeout() }

// Propose brings a change to the head, wherever it is. The error is a
// *RejectedError, an *UnavailableError, or something else: then the change may
// take effect or not.
func (s *Store) Propose(ctx context.Context, p Proposal) error {
	timeout := s.timing.operationTimeout()
	if p.Placement != nil {
		timeout = s.timing.placementTimeout()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	head := s.config.Chain.Head()
	if head == "" {
		return ErrNoView
	}
	if head == s.config.Address {
		return s.proposeAtHead(ctx, &p)
	}
	var out ProposeResponse
	if err := s.call(ctx, head, pathPropose, p, &out); err != nil {
		return err
	}
	if out.Rejection != nil {
		return out.Rejection
	}
	return nil
}

// proposeAtHead makes a change at this core, the head.
func (s *Store) proposeAtHead(ctx context.Context, p *Proposal) error {
	decided := false
	err := s.config.Chain.Propose(ctx, func(docs chain.Documents) (chain.Documents, error) {
		decided = true
		return s.decide(docs, p)
	})
	if err != nil && !decided {
		return &UnavailableError{err}
	}
	var rejected *RejectedError
	if sent := len(p.Configuration) + len(p.Patch); sent > 0 && errors.As(err, &rejected) && rejected.Code == 400 {
		s.config.Log.Printf("core: a configuration of %d bytes is refused: %v", sent, err)
	}
	return err
}

func (s *Store) decide(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	if p.Configuration != nil {
		return decideConfiguration(docs, p)
	}
	if p.Patch != nil {
		return decidePatch(docs, p)
	}
	if p.Placement == nil && p.Retire == "" {
		return nil, &RejectedError{400, "the proposal is empty"}
	}
	current, err := s.PlacementOf(docs)
	if err != nil {
		return nil, err
	}
	if p.Placement != nil {
		return decidePlacement(current, p.Placement)
	}
	return decideRetire(current, p.Retire, s.config.HostFailures)
}

// HandlePropose answers the proposal of another core, at the head.
func (s *Store) HandlePropose(ctx context.Context, p *Proposal, _ []byte) (*ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.headTimeout())
	defer cancel()
	err := s.proposeAtHead(ctx, p)
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return &ProposeResponse{rejected}, nil
	}
	if err != nil {
		return nil, errors.New(err.Error()) // the status of a call further on says nothing of this one
	}
	return &ProposeResponse{}, nil
}

// Read gets the state from the tail. The error is an *UnavailableError where
// another core may answer.
func (s *Store) Read(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.operationTimeout())
	defer cancel()
	tail := s.config.Chain.Tail()
	if tail == "" {
		return State{}, ErrNoView
	}
	var state State
	if tail != s.config.Address {
		err := s.call(ctx, tail, pathRead, struct{}{}, &state)
		return state, err
	}
	own, err := s.HandleRead(ctx, nil, nil)
	if err != nil {
		return State{}, err
	}
	return *own, nil
}

// HandleRead answers another core's read, at the tail.
func (s *Store) HandleRead(ctx context.Context, _ *struct{}, _ []byte) (*State, error) {
	docs, err := s.config.Chain.Read(ctx)
	return &State{withoutRecords(docs)}, err
}

// Configuration reads the configuration in force, byte for byte as it was sent;
// nil before the first.
func (s *Store) Configuration(ctx context.Context) ([]byte, error) {
	state, err := s.Read(ctx)
	return state.Documents[KeyConfiguration], err
}

// RetireState reads how far the emptying of a store is. The error is a
// *RejectedError if the store is not known, or not being emptied.
func (s *Store) RetireState(ctx context.Context, name string) (string, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return "", err
	}
	current, err := s.PlacementOf(state.Documents)
	if err != nil {
		return "", err
	}
	return retireStateOf(current, name)
}

// PlacementOf decodes the placement in a state, the zero one before the first.
// The result must not be changed.
func (s *Store) PlacementOf(docs chain.Documents) (placement.Placement, error) {
	return s.placements.decode(docs[KeyPlacement])
}

// Prepare decodes what an update sets while the rest of the chain receives it.
func (s *Store) Prepare(docs chain.Documents) { _, _ = s.PlacementOf(docs) }

// RedirectTarget is the internal address of the core that answers changes, or
// reads, in the view known here. It is "" if that is this core, if none is known,
// or if its machine refused a connection a moment ago.
func (s *Store) RedirectTarget(write bool) string {
	address := s.config.Chain.Tail()
	if write {
		address = s.config.Chain.Head()
	}
	if address == s.config.Address || s.refusals.isRecent(address, s.timing.refusalRecency()) {
		return ""
	}
	return address
}

// call calls another core on behalf of the operator, and remembers whether its
// machine refused the connection.
func (s *Store) call(ctx context.Context, address, path string, in, out any) error {
	err := s.config.Client.Call(ctx, address, path, in, nil, out)
	s.refusals.record(address, httpwire.ConnectionRefused(err))
	if httpwire.NotSent(err) {
		return &UnavailableError{err}
	}
	return err
}

// Package configstore changes and reads the documents in the chain of control
// state: the configuration, by compare-and-set on its revision, and the placement,
// by compare-and-set on its version and fenced by the controller's term. Changes are
// decided at the head and reads are served by the tail; any core forwards calls to
// them. A change may be sent again: idempotency records let the store recognize and
// acknowledge it.
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

// Paths of the calls served by HandlePropose and HandleRead.
const (
	pathPropose = "/propose"
	pathRead    = "/read"
)

// Proposal is a change submitted to the head by any core. Exactly one of
// Configuration, Patch, Placement and Retire is set.
type Proposal struct {
	Configuration []byte               `json:"configuration,omitempty"`
	Patch         []byte               `json:"patch,omitempty"` // changes named items of the configuration
	BaseRevision  int64                `json:"match,omitempty"` // the revision that Configuration or Patch is based on
	Placement     *placement.Placement `json:"placement,omitempty"`
	Retire        string               `json:"retire,omitempty"` // name of a store to empty
}

// ProposeResponse is the response to a proposal. A rejection is a field of it, since
// the HTTP status of a failure may stem from another call along the way.
type ProposeResponse struct {
	Rejection *RejectedError `json:"refusal,omitempty"`
}

// State is the state held by the tail.
type State struct {
	Documents chain.Documents `json:"documents"`
}

// Chain is the part of the control-state chain that the store uses.
type Chain interface {
	Head() string
	Tail() string
	Propose(ctx context.Context, decide func(chain.Documents) (chain.Documents, error)) error
	Read(ctx context.Context) (chain.Documents, error)
}

// Caller makes calls to the other cores. *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Config configures a Store. All fields but HostFailures are required.
type Config struct {
	Address        string // internal address of this core
	Chain          Chain
	Client         Caller
	HostFailures   int // number of simultaneous host failures to tolerate
	ContactTimeout time.Duration
	Log            *log.Logger
}

// Store gives one core access to the documents.
type Store struct {
	config     Config
	timing     timing
	placements placementCache
	refusals   connectionRefusals
}

// New makes a Store. It returns an error if a required field of config is not set.
func New(config Config) (*Store, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("configstore: the address is not set")
	case config.ContactTimeout <= 0:
		return nil, errors.New("configstore: the contact timeout must be positive")
	case config.Chain == nil || config.Client == nil || config.Log == nil:
		return nil, errors.New("configstore: a required component is not set")
	}
	return &Store{config: config, timing: timing{config.ContactTimeout}}, nil
}

// OperationTimeout returns the time limit of an operator request at this core.
func (s *Store) OperationTimeout() time.Duration { return s.timing.operationTimeout() }

// Propose submits a change to the head, which may be this core or another one. If the
// error is neither a *RejectedError nor an *UnavailableError, the change may or may
// not take effect.
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

// proposeAtHead applies a change at this core, which is the head.
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
	if size := len(p.Configuration) + len(p.Patch); size > 0 && errors.As(err, &rejected) && rejected.Code == 400 {
		s.config.Log.Printf("core: rejected a configuration of %d bytes: %v", size, err)
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

// HandlePropose serves a proposal of another core at the head.
func (s *Store) HandlePropose(ctx context.Context, p *Proposal, _ []byte) (*ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.headTimeout())
	defer cancel()
	err := s.proposeAtHead(ctx, p)
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return &ProposeResponse{rejected}, nil
	}
	if err != nil {
		return nil, errors.New(err.Error()) // drop the HTTP status, which may be that of a nested call
	}
	return &ProposeResponse{}, nil
}

// Read returns the state from the tail. The error is an *UnavailableError if another
// core may be able to serve the read.
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

// HandleRead serves a read of another core at the tail.
func (s *Store) HandleRead(ctx context.Context, _ *struct{}, _ []byte) (*State, error) {
	docs, err := s.config.Chain.Read(ctx)
	return &State{withoutRecords(docs)}, err
}

// Configuration returns the configuration in force byte for byte as it was sent, or
// nil if there is none yet.
func (s *Store) Configuration(ctx context.Context) ([]byte, error) {
	state, err := s.Read(ctx)
	return state.Documents[KeyConfiguration], err
}

// RetireState returns the progress of the retirement of a store. The error is a
// *RejectedError if the store is unknown or not being retired.
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

// PlacementOf decodes the placement in a state, the zero placement if there is none.
// The caller must not modify the result.
func (s *Store) PlacementOf(docs chain.Documents) (placement.Placement, error) {
	return s.placements.decode(docs[KeyPlacement])
}

// Prepare decodes the documents of an update into the cache, in parallel with the
// replication of the update along the rest of the chain.
func (s *Store) Prepare(docs chain.Documents) { _, _ = s.PlacementOf(docs) }

// RedirectTarget returns the internal address of the core that serves changes or
// reads according to the view known here. It returns "" if that is this core, if no
// view is known, or if that core's host has recently refused a connection.
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

// call makes a call to another core for an operator request and records whether that
// core's host refused the connection.
func (s *Store) call(ctx context.Context, address, path string, in, out any) error {
	err := s.config.Client.Call(ctx, address, path, in, nil, out)
	s.refusals.record(address, httpwire.ConnectionRefused(err))
	if httpwire.NotSent(err) {
		return &UnavailableError{err}
	}
	return err
}

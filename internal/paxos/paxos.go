// Package paxos chooses one immutable value for each of a sequence of instances by
// single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2): a proposer
// prepares a proposal number with a majority of the acceptors, adopts the value of
// the highest-numbered proposal that any of them has accepted, and has a majority
// accept it.
package paxos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"saltreel/internal/quorum"
)

// ProposalNumber orders the proposals of one instance. No two proposals may
// have the same number.
type ProposalNumber struct {
	Round    int64  `json:"round"`
	Proposer string `json:"who"`
}

// Less reports whether n is lower than m, by round and then by proposer.
func (n ProposalNumber) Less(m ProposalNumber) bool {
	return n.Round < m.Round || n.Round == m.Round && n.Proposer < m.Proposer
}

// AcceptorState is the durable state of an acceptor for one instance.
type AcceptorState struct {
	Promised ProposalNumber  `json:"promised"` // lower-numbered proposals are rejected
	Accepted ProposalNumber  `json:"accepted"` // the proposal whose value is Value
	Value    json.RawMessage `json:"value,omitempty"`
}

// Storage persists the states of an acceptor. SaveState returns nil only after the
// state is durable, so that it survives a power failure.
type Storage interface {
	LoadState(instance int64) (AcceptorState, error)
	SaveState(instance int64, state AcceptorState) error
}

// Request is a prepare request or, if Value is set, an accept request.
type Request struct {
	Instance int64           `json:"decree"`
	Number   ProposalNumber  `json:"number"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Response answers a Request. State is the state of the acceptor before a prepare
// request or a rejected request, and after an accept request that was granted.
type Response struct {
	Granted bool          `json:"granted"`
	State   AcceptorState `json:"vote"`
}

// Acceptor is the acceptor of one process for all instances. It is safe for concurrent
// use.
type Acceptor struct {
	Storage Storage

	mu sync.Mutex // makes each read-modify-write of a state atomic
}

// Handle answers a prepare or accept request. An error means that Storage failed;
// the request may or may not have taken effect.
func (a *Acceptor) Handle(request Request) (Response, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, err := a.Storage.LoadState(request.Instance)
	if err != nil {
		return Response{}, err
	}
	if request.Number.Less(state.Promised) {
		return Response{Granted: false, State: state}, nil
	}
	before := state
	state.Promised = request.Number
	if request.Value != nil {
		state.Accepted, state.Value = request.Number, request.Value
	}
	if err := a.Storage.SaveState(request.Instance, state); err != nil {
		return Response{}, err
	}
	if request.Value == nil {
		return Response{Granted: true, State: before}, nil
	}
	return Response{Granted: true, State: state}, nil
}

// HasAccepted reports whether this acceptor may have accepted a value for an
// instance. It returns true if the state cannot be read.
func (a *Acceptor) HasAccepted(instance int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, err := a.Storage.LoadState(instance)
	return err != nil || state.Value != nil
}

// ErrNoQuorum means that no majority of the acceptors granted a request.
var ErrNoQuorum = errors.New("no majority of the acceptors")

// maxPrepares limits the prepare requests of one proposal. The responses carry the
// round to exceed, so a second one is enough unless several proposers compete.
const maxPrepares = 3

// Caller sends a request to one acceptor.
type Caller func(ctx context.Context, acceptor string, request Request) (Response, error)

// Propose tries to have a value chosen for an instance and returns the chosen value,
// which is that of another proposer if one may have been chosen before. The proposer
// must be unique for each call, also across restarts of the process, because a
// proposal number must not be used twice. The error wraps ErrNoQuorum; the value may
// still be chosen afterwards by a later proposal.
func Propose(ctx context.Context, instance int64, proposer string, round int64, value json.RawMessage, acceptors []string, call Caller) (json.RawMessage, error) {
	number, value, prepared := prepare(ctx, instance, ProposalNumber{Round: round, Proposer: proposer}, value, acceptors, call)
	if !prepared {
		return nil, fmt.Errorf("prepare instance %d: %w", instance, ErrNoQuorum)
	}
	responses := quorum.Collect(ctx, acceptors, Request{Instance: instance, Number: number, Value: value}, isGranted, call)
	if !quorum.Majority(countGranted(responses), len(acceptors)) {
		return nil, fmt.Errorf("accept instance %d: %w", instance, ErrNoQuorum)
	}
	return value, nil
}

// prepare sends prepare requests until a majority promises, each time with a round
// above the highest promised one. It returns the promised number and the value that
// must be proposed with it.
func prepare(ctx context.Context, instance int64, number ProposalNumber, value json.RawMessage, acceptors []string, call Caller) (ProposalNumber, json.RawMessage, bool) {
	nextRound := number.Round
	highest := ProposalNumber{}
	for range maxPrepares {
		if ctx.Err() != nil {
			break
		}
		number.Round = nextRound
		responses := quorum.Collect(ctx, acceptors, Request{Instance: instance, Number: number}, isGranted, call)
		for _, r := range responses {
			nextRound = max(nextRound, r.State.Promised.Round+1)
			if r.Granted && r.State.Value != nil && (highest == ProposalNumber{} || highest.Less(r.State.Accepted)) {
				highest, value = r.State.Accepted, r.State.Value
			}
		}
		if quorum.Majority(countGranted(responses), len(acceptors)) {
			return number, value, true
		}
	}
	return number, value, false
}

func isGranted(r Response) bool { return r.Granted }

func countGranted(responses []Response) int {
	granted := 0
	for _, r := range responses {
		if r.Granted {
			granted++
		}
	}
	return granted
}

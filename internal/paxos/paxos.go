// Package paxos chooses one value for each of a sequence of instances, once and
// for good, by single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section
// 2.2): a proposer prepares a proposal number with a majority of the acceptors,
// adopts the value of the highest-numbered proposal that any of them accepted,
// and has a majority accept it.
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

// Less orders by round, then by proposer.
func (n ProposalNumber) Less(m ProposalNumber) bool {
	return n.Round < m.Round || n.Round == m.Round && n.Proposer < m.Proposer
}

// AcceptorState is what an acceptor keeps on disk of one instance.
type AcceptorState struct {
	Promised ProposalNumber  `json:"promised"` // no lower-numbered proposal is accepted
	Accepted ProposalNumber  `json:"accepted"` // of Value
	Value    json.RawMessage `json:"value,omitempty"`
}

// Storage keeps the states of an acceptor. SaveState returns nil only once the
// state survives a loss of power.
type Storage interface {
	LoadState(instance int64) (AcceptorState, error)
	SaveState(instance int64, state AcceptorState) error
}

// Request is a prepare request; with a value it is an accept request.
type Request struct {
	Instance int64           `json:"decree"`
	Number   ProposalNumber  `json:"number"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Response answers a request. State is that of the acceptor: before the request
// if it was a prepare request or was rejected, after it otherwise.
type Response struct {
	Granted bool          `json:"granted"`
	State   AcceptorState `json:"vote"`
}

// Acceptor votes for one process.
type Acceptor struct {
	Storage Storage

	mu sync.Mutex // makes each read and write of a state one step
}

// Handle answers a prepare or accept request. An error means that Storage
// failed, and that nothing may be concluded from the request.
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

// HasAccepted tells whether this acceptor may have accepted a value for an
// instance: also when its state cannot be read.
func (a *Acceptor) HasAccepted(instance int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, err := a.Storage.LoadState(instance)
	return err != nil || state.Value != nil
}

// ErrNoQuorum says that no majority of the acceptors granted a request.
var ErrNoQuorum = errors.New("no majority of the acceptors")

// maxPrepares bounds how often a proposer prepares again with a higher round:
// the responses carry the round to exceed, so one more is enough unless several
// proposers compete.
const maxPrepares = 3

// Caller sends a request to one acceptor.
type Caller func(ctx context.Context, acceptor string, request Request) (Response, error)

// Propose tries to have a value chosen for an instance and returns the value
// that was chosen, which is another proposer's where one may have been chosen
// before. The proposer must differ for each call, also over restarts of the
// process: a number must not be used twice. The error wraps ErrNoQuorum; then
// the value may still be chosen by a later proposal.
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

// prepare sends prepare requests, with a higher round where acceptors have
// promised one, until a majority promises. It returns the number promised and
// the value that must be proposed with it.
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

package paxos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A proposer that failed after prepare leaves promises with a very high round. The
// next proposer has to learn that round from the responses and exceed it in one step.
func TestProposeExceedsHigherPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(5)
		for _, name := range c.names {
			if _, err := c.acceptors[name].Handle(Request{Instance: 3, Number: ProposalNumber{Round: 1 << 50, Proposer: "ahead"}}); err != nil {
				t.Fatal(err)
			}
		}
		v, err := Propose(t.Context(), 3, "p", 1, json.RawMessage(`"x"`), c.names, c.call)
		if err != nil || string(v) != `"x"` {
			t.Fatalf("%s, %v", v, err)
		}
	})
}

type memoryStorage struct {
	mu     sync.Mutex
	states map[int64]AcceptorState
}

func (m *memoryStorage) LoadState(instance int64) (AcceptorState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[instance], nil
}

func (m *memoryStorage) SaveState(instance int64, state AcceptorState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[instance] = state
	return nil
}

type cluster struct {
	names     []string
	acceptors map[string]*Acceptor
	mu        sync.Mutex
	down      map[string]bool
}

func (c *cluster) setDown(acceptor string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[acceptor] = down
}

func (c *cluster) isDown(acceptor string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[acceptor]
}

func newCluster(n int) *cluster {
	c := &cluster{acceptors: map[string]*Acceptor{}, down: map[string]bool{}}
	for i := range n {
		name := fmt.Sprint("v", i)
		c.names = append(c.names, name)
		c.acceptors[name] = &Acceptor{Storage: &memoryStorage{states: map[int64]AcceptorState{}}}
	}
	return c
}

func (c *cluster) call(ctx context.Context, acceptor string, request Request) (Response, error) {
	if c.isDown(acceptor) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return c.acceptors[acceptor].Handle(request)
}

func TestConcurrentProposersAgreeOnOneValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(5)
		var mu sync.Mutex
		chosen := map[string]bool{}
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 700 * time.Microsecond)
				for round := int64(1); round < 50; round++ {
					v, err := Propose(t.Context(), 7, fmt.Sprint("p", i), round, json.RawMessage(fmt.Sprint(i)), c.names, c.call)
					if err == nil {
						mu.Lock()
						chosen[string(v)] = true
						mu.Unlock()
						return
					}
					time.Sleep(time.Duration(1+i) * 3 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		if len(chosen) != 1 {
			t.Errorf("chosen values: %v", chosen)
		}
	})
}

func TestProposeNeedsMajorityAndToleratesFailedAcceptor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.setDown("v0", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if _, err := Propose(ctx, 1, "p", 1, json.RawMessage("1"), c.names, c.call); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		c.setDown("v1", true)
		if _, err := Propose(ctx, 2, "p", 1, json.RawMessage("1"), c.names, c.call); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("proposal with one of three acceptors: %v", err)
		}
	})
}

func TestAcceptorHandle(t *testing.T) {
	number := func(round int64, proposer string) ProposalNumber {
		return ProposalNumber{Round: round, Proposer: proposer}
	}
	prepare := func(n ProposalNumber) Request { return Request{Instance: 1, Number: n} }
	accept := func(n ProposalNumber, value string) Request {
		return Request{Instance: 1, Number: n, Value: json.RawMessage(value)}
	}
	promised := AcceptorState{Promised: number(5, "p")}
	accepted := AcceptorState{Promised: number(5, "p"), Accepted: number(5, "p"), Value: json.RawMessage(`"x"`)}
	for _, test := range []struct {
		name    string
		before  AcceptorState
		request Request
		granted bool
		answer  AcceptorState // in the response
		after   AcceptorState
	}{
		{"first prepare", AcceptorState{}, prepare(number(5, "p")), true, AcceptorState{}, promised},
		{"prepare below the promise", promised, prepare(number(4, "q")), false, promised, promised},
		{"prepare of a lower proposer in the same round", promised, prepare(number(5, "a")), false, promised, promised},
		{"the same prepare again", promised, prepare(number(5, "p")), true, promised, promised},
		{"higher prepare", promised, prepare(number(5, "q")), true, promised, AcceptorState{Promised: number(5, "q")}},
		{"higher prepare learns the accepted value", accepted, prepare(number(6, "a")), true, accepted,
			AcceptorState{Promised: number(6, "a"), Accepted: accepted.Accepted, Value: accepted.Value}},
		{"accept as promised", promised, accept(number(5, "p"), `"x"`), true, accepted, accepted},
		{"accept below the promise", promised, accept(number(4, "q"), `"y"`), false, promised, promised},
		{"accept without a prepare", AcceptorState{}, accept(number(5, "p"), `"x"`), true, accepted, accepted},
		{"the same accept again", accepted, accept(number(5, "p"), `"x"`), true, accepted, accepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			storage := &memoryStorage{states: map[int64]AcceptorState{1: test.before}}
			a := &Acceptor{Storage: storage}
			response, err := a.Handle(test.request)
			if err != nil || response.Granted != test.granted || !reflect.DeepEqual(response.State, test.answer) {
				t.Errorf("response %+v, %v", response, err)
			}
			if !reflect.DeepEqual(storage.states[1], test.after) {
				t.Errorf("state %+v", storage.states[1])
			}
			if got := a.HasAccepted(1); got != (test.after.Value != nil) {
				t.Errorf("has accepted: %v", got)
			}
			if a.HasAccepted(2) {
				t.Error("has accepted a value for another instance")
			}
		})
	}
}

// failingStorage returns the given errors on reads and on writes.
type failingStorage struct {
	memoryStorage
	load, save error
}

func (f *failingStorage) LoadState(instance int64) (AcceptorState, error) {
	state, _ := f.memoryStorage.LoadState(instance)
	return state, f.load
}

func (f *failingStorage) SaveState(int64, AcceptorState) error { return f.save }

func TestAcceptorGrantsNothingWhenStorageFails(t *testing.T) {
	diskError := errors.New("disk")
	for name, storage := range map[string]*failingStorage{"load": {load: diskError}, "save": {save: diskError}} {
		a := &Acceptor{Storage: storage}
		response, err := a.Handle(Request{Instance: 1, Number: ProposalNumber{Round: 1}})
		if !errors.Is(err, diskError) || response.Granted {
			t.Errorf("%s: %+v, %v", name, response, err)
		}
		// An acceptor whose state cannot be read may have accepted a value.
		if got, want := a.HasAccepted(1), storage.load != nil; got != want {
			t.Errorf("%s: has accepted %v", name, got)
		}
	}
}

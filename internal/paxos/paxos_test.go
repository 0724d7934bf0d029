package paxos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A proposer with a very high round leaves promises behind. The next proposer
// learns the round from the responses and exceeds it at once.
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

type memory struct {
	mu     sync.Mutex
	states map[int64]AcceptorState
}

func (m *memory) LoadState(instance int64) (AcceptorState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[instance], nil
}

func (m *memory) SaveState(instance int64, state AcceptorState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[instance] = state
	return nil
}

type cluster struct {
	names     []string
	acceptors map[string]*Acceptor
	mu        sync.Mutex
	gone      map[string]bool
}

func (c *cluster) kill(acceptor string, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[acceptor] = gone
}

func (c *cluster) dead(acceptor string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone[acceptor]
}

func newCluster(n int) *cluster {
	c := &cluster{acceptors: map[string]*Acceptor{}, gone: map[string]bool{}}
	for i := range n {
		name := fmt.Sprint("v", i)
		c.names = append(c.names, name)
		c.acceptors[name] = &Acceptor{Storage: &memory{states: map[int64]AcceptorState{}}}
	}
	return c
}

func (c *cluster) call(ctx context.Context, acceptor string, request Request) (Response, error) {
	if c.dead(acceptor) {
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
			t.Errorf("chosen: %v", chosen)
		}
	})
}

func TestProposeNeedsMajorityAndSkipsDeadAcceptor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.kill("v0", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if _, err := Propose(ctx, 1, "p", 1, json.RawMessage("1"), c.names, c.call); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		c.kill("v1", true)
		if _, err := Propose(ctx, 2, "p", 1, json.RawMessage("1"), c.names, c.call); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("a minority chose: %v", err)
		}
	})
}

package ballot

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

// A proposer whose numbers were high, or whose clock was ahead, leaves promises
// behind that the next one has to top at once: all voters tell them.
func TestAHighPromiseDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouncil(5)
		for _, name := range c.names {
			if _, err := c.voters[name].Handle(Call{Decree: 3, Number: Number{1 << 50, "ahead"}}); err != nil {
				t.Fatal(err)
			}
		}
		v, err := Choose(t.Context(), 3, "p", 1, json.RawMessage(`"x"`), c.names, c.call)
		if err != nil || string(v) != `"x"` {
			t.Fatalf("%s, %v", v, err)
		}
	})
}

type memory struct {
	mu    sync.Mutex
	votes map[int64]Vote
}

func (m *memory) LoadVote(d int64) (Vote, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.votes[d], nil
}

func (m *memory) SaveVote(d int64, v Vote) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.votes[d] = v
	return nil
}

type council struct {
	names  []string
	voters map[string]*Voter
	mu     sync.Mutex
	gone   map[string]bool
}

func (c *council) kill(voter string, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[voter] = gone
}

func (c *council) dead(voter string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone[voter]
}

func newCouncil(n int) *council {
	c := &council{voters: map[string]*Voter{}, gone: map[string]bool{}}
	for i := range n {
		name := fmt.Sprint("v", i)
		c.names = append(c.names, name)
		c.voters[name] = &Voter{Disk: &memory{votes: map[int64]Vote{}}}
	}
	return c
}

func (c *council) call(ctx context.Context, voter string, call Call) (Reply, error) {
	if c.dead(voter) {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return c.voters[voter].Handle(call)
}

func TestOneValueIsChosenWhoeverAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouncil(5)
		var mu sync.Mutex
		chosen := map[string]bool{}
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 700 * time.Microsecond)
				for round := int64(1); round < 50; round++ {
					v, err := Choose(t.Context(), 7, fmt.Sprint("p", i), round, json.RawMessage(fmt.Sprint(i)), c.names, c.call)
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

func TestADeadVoterDoesNotHoldABallotUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouncil(3)
		c.kill("v0", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if _, err := Choose(ctx, 1, "p", 1, json.RawMessage("1"), c.names, c.call); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		c.kill("v1", true)
		if _, err := Choose(ctx, 2, "p", 1, json.RawMessage("1"), c.names, c.call); !errors.Is(err, ErrLost) {
			t.Errorf("a minority chose: %v", err)
		}
	})
}

func TestADutyHasOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouncil(3)
		var duties []*Duty
		for i := range 3 {
			duties = append(duties, &Duty{Name: "d", Self: fmt.Sprint("c", i), Voters: c.names, Lease: time.Second,
				Call: func(ctx context.Context, voter string, call DutyCall) (DutyReply, error) {
					if c.dead(voter) {
						<-ctx.Done()
						return DutyReply{}, ctx.Err()
					}
					return c.voters[voter].HandleDuty(call), nil
				}})
		}
		terms, vacant := map[int64]int{}, 0
		for step := range 200 {
			holders := 0
			for i, d := range duties {
				silent := i == 0 && step > 40 && step < 100 // it stops asking, and comes back
				if !silent && (step+i)%3 == 0 || i > 0 && step%2 == 0 {
					d.Round(t.Context(), 0)
				}
				if term, held := d.Held(); held {
					holders++
					if old, ok := terms[term]; ok && old != i {
						t.Fatalf("term %d has two holders", term)
					}
					terms[term] = i
				}
			}
			if holders > 1 {
				t.Fatalf("step %d: %d holders", step, holders)
			}
			if holders == 0 {
				vacant++
			}
			c.kill("v2", step > 120)
			time.Sleep(100 * time.Millisecond)
		}
		if vacant > 40 {
			t.Errorf("vacant in %d of 200 steps", vacant)
		}
	})
}

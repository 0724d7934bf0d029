package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// cluster is a set of voters, each of which may be dead.
type cluster struct {
	names    []string
	grantors map[string]*Grantor
	mu       sync.Mutex
	down     map[string]bool
}

func newCluster(n int) *cluster {
	c := &cluster{grantors: map[string]*Grantor{}, down: map[string]bool{}}
	for i := range n {
		name := fmt.Sprint("v", i)
		c.names = append(c.names, name)
		c.grantors[name] = &Grantor{}
	}
	return c
}

func (c *cluster) kill(voter string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[voter] = down
}

func (c *cluster) dead(voter string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[voter]
}

func (c *cluster) call(ctx context.Context, voter string, request Request) (Response, error) {
	if c.dead(voter) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	return c.grantors[voter].Handle(request), nil
}

func TestLeaseHasOneHolderPerTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		var candidates []*Lease
		for i := range 3 {
			candidates = append(candidates, &Lease{Role: "d", Self: fmt.Sprint("c", i), Voters: c.names, Duration: time.Second, Call: c.call})
		}
		terms, vacant := map[int64]int{}, 0
		for step := range 200 {
			holders := 0
			for i, l := range candidates {
				silent := i == 0 && step > 40 && step < 100 // it stops asking, and comes back
				if !silent && (step+i)%3 == 0 || i > 0 && step%2 == 0 {
					l.Acquire(t.Context(), 0)
				}
				if term, held := l.Held(); held {
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

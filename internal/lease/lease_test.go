package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// cluster is a set of voters. A voter that is down does not answer.
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

func (c *cluster) setDown(voter string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[voter] = down
}

func (c *cluster) isDown(voter string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[voter]
}

func (c *cluster) call(ctx context.Context, voter string, request Request) (Response, error) {
	if c.isDown(voter) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	return c.grantors[voter].Handle(request), nil
}

// holdersByTerm maps each term to the index of the candidate that held it.
type holdersByTerm map[int64]int

// record records the candidates that hold the lease now and returns their number.
// The test fails if a term has two holders or if there are two holders at once.
func (h holdersByTerm) record(t *testing.T, step int, candidates []*Lease) (held int) {
	t.Helper()
	for i, l := range candidates {
		term, ok := l.Held()
		if !ok {
			continue
		}
		held++
		if before, known := h[term]; known && before != i {
			t.Fatalf("step %d: term %d has two holders", step, term)
		}
		h[term] = i
	}
	if held > 1 {
		t.Fatalf("step %d: %d holders", step, held)
	}
	return held
}

func TestLeaseHasOneHolderPerTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		var candidates []*Lease
		for i := range 3 {
			candidates = append(candidates, &Lease{Role: "d", Self: fmt.Sprint("c", i), Voters: c.names, Duration: time.Second, Call: c.call})
		}
		seen := holdersByTerm{}
		vacant := 0
		for step := range 200 {
			for i, l := range candidates {
				stopped := i == 0 && step > 40 && step < 100 // stops requesting the lease, and resumes
				if !stopped && (step+i)%3 == 0 || i > 0 && step%2 == 0 {
					l.Acquire(t.Context(), 0)
				}
				seen.record(t, step, candidates)
			}
			if seen.record(t, step, candidates) == 0 {
				vacant++
			}
			c.setDown("v2", step > 120)
			time.Sleep(100 * time.Millisecond)
		}
		if vacant > 40 {
			t.Errorf("no holder in %d of 200 steps", vacant)
		}
	})
}

func TestGrantorHandle(t *testing.T) {
	const second = 1000 // ms
	request := func(holder string, term int64) Request {
		return Request{Role: "r", Holder: holder, Term: term, DurationMs: second}
	}
	release := Request{Role: "r", Holder: "a", Term: 5}
	held := Response{Granted: false, Holder: "a", Term: 5} // the refusal while a holds term 5
	for _, test := range []struct {
		name      string
		suspended time.Duration // duration passed to SuspendGrants at the start
		initial   []Request     // sent at the start; all must be granted
		wait      time.Duration
		request   Request
		want      Response
	}{
		{name: "no holder", wait: time.Millisecond, request: request("a", 1), want: Response{true, "a", 1}},
		{name: "grants are suspended", suspended: time.Second, wait: time.Second / 2, request: request("a", 1), want: Response{false, "", 0}},
		{name: "grants are no longer suspended", suspended: time.Second, wait: time.Second + 1, request: request("a", 1), want: Response{true, "a", 1}},
		{name: "renewed by its holder", initial: []Request{request("a", 5)}, wait: time.Second / 2, request: request("a", 5), want: Response{true, "a", 5}},
		{name: "another candidate before it expires", initial: []Request{request("a", 5)}, wait: time.Second / 2, request: request("b", 6), want: held},
		{name: "its holder under a higher term before it expires", initial: []Request{request("a", 5)}, wait: time.Second / 2, request: request("a", 6), want: held},
		{name: "another candidate under the same term", initial: []Request{request("a", 5)}, wait: time.Second / 2, request: request("b", 5), want: held},
		{name: "another candidate at the moment of expiry", initial: []Request{request("a", 5)}, wait: time.Second, request: request("b", 6), want: held},
		{name: "another candidate after expiry", initial: []Request{request("a", 5)}, wait: time.Second + 1, request: request("b", 6), want: Response{true, "b", 6}},
		{name: "a used term after expiry", initial: []Request{request("a", 5)}, wait: time.Second + 1, request: request("b", 5), want: held},
		{name: "renewal after expiry", initial: []Request{request("a", 5)}, wait: time.Second + 1, request: request("a", 5), want: held},
		{name: "released early", initial: []Request{request("a", 5), release}, wait: 1, request: request("b", 6), want: Response{true, "b", 6}},
		{name: "another role", initial: []Request{{Role: "s", Holder: "a", Term: 5, DurationMs: second}}, wait: 1, request: request("b", 1), want: Response{true, "b", 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Grantor{}
				if test.suspended > 0 {
					g.SuspendGrants(test.suspended)
				}
				for _, r := range test.initial {
					if !g.Handle(r).Granted {
						t.Fatalf("request %+v was refused", r)
					}
				}
				time.Sleep(test.wait)
				if got := g.Handle(test.request); got != test.want {
					t.Errorf("response %+v", got)
				}
				if test.want.Granted && g.Expired("r") {
					t.Error("the lease is granted and reported as expired")
				}
			})
		})
	}
}

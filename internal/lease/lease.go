// Package lease gives a singleton role to one holder at a time, for as long as
// a lease from a majority of the voters runs (Gray and Cheriton, "Leases", SOSP
// 1989). Each lease has a term that only rises, which fences what an earlier
// holder still sends (as the sequencer in Burrows, "The Chubby lock service",
// OSDI 2006). Leases are held in memory only.
package lease

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/quorum"
)

// Request asks a voter for a lease, or to renew one. A duration of 0 releases it.
type Request struct {
	Role       string `json:"duty"`
	Holder     string `json:"holder"`
	Term       int64  `json:"term"`
	DurationMs int64  `json:"lease-ms"`
}

// Response tells whether the lease was granted, and otherwise who holds it as
// far as the voter knows.
type Response struct {
	Granted bool   `json:"granted"`
	Holder  string `json:"holder"`
	Term    int64  `json:"term"`
}

// Grantor grants leases as one of the voters. The zero value is ready for use.
type Grantor struct {
	mu             sync.Mutex
	grants         map[string]grant // by role
	suspendedUntil time.Time
}

// grant is the newest lease that was granted for a role.
type grant struct {
	holder  string
	term    int64
	expires time.Time
}

// SuspendGrants refuses new leases for d. It is called after a restart, because the
// previous process may have granted a lease, which is not on disk. The writes of a
// holder are fenced by its term and version, so d may be shorter than a lease.
func (g *Grantor) SuspendGrants(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspendedUntil = time.Now().Add(d)
}

// Handle votes on a lease. An expired one goes to the first that asks with a
// higher term; the holder may renew its own while it runs.
func (g *Grantor) Handle(request Request) Response {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	current := g.grants[request.Role]
	available := now.After(current.expires) && now.After(g.suspendedUntil)
	granted := available && request.Term > current.term
	renewed := current.holder == request.Holder && current.term == request.Term && now.Before(current.expires)
	if !granted && !renewed {
		return Response{Granted: false, Holder: current.holder, Term: current.term}
	}
	if g.grants == nil {
		g.grants = map[string]grant{}
	}
	duration := time.Duration(request.DurationMs) * time.Millisecond
	g.grants[request.Role] = grant{holder: request.Holder, term: request.Term, expires: now.Add(duration)}
	return Response{Granted: true, Holder: request.Holder, Term: request.Term}
}

// Expired tells whether nobody holds a role, as far as this voter knows.
func (g *Grantor) Expired(role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().After(g.grants[role].expires)
}

// Lease is one process's candidacy for a role.
type Lease struct {
	Role     string
	Self     string        // name of this process as a holder
	Voters   []string      // set by the owner between calls of Acquire
	Duration time.Duration // of a lease
	Call     func(ctx context.Context, voter string, request Request) (Response, error)
	// Go starts a background task; nil: in a goroutine that nobody waits for.
	Go func(task func())

	mu          sync.Mutex
	term        int64 // of the newest lease held
	expires     time.Time
	highestTerm int64 // term known from any voter or holder
}

// Held tells whether this process holds the lease, and under which term.
func (l *Lease) Held() (term int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, time.Now().Before(l.expires)
}

// Remaining is how long this process still holds the lease, and whether it does.
func (l *Lease) Remaining() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := time.Until(l.expires)
	return remaining, remaining > 0
}

// Acquire asks the voters once: to renew the lease if it is held, else to win
// it under a new term. MinTerm is the highest term known from elsewhere. Whether
// it succeeded, Held tells.
func (l *Lease) Acquire(ctx context.Context, minTerm int64) {
	began := time.Now()
	term, held := l.Held()
	if !held {
		term = l.nextTerm(minTerm)
	}
	callCtx, cancel := context.WithTimeout(ctx, l.Duration/2)
	defer cancel()
	request := Request{Role: l.Role, Holder: l.Self, Term: term, DurationMs: l.Duration.Milliseconds()}
	responses := quorum.Collect(callCtx, l.Voters, request, func(r Response) bool { return r.Granted }, l.Call)
	granted := l.recordResponses(responses)
	switch {
	case quorum.Majority(granted, len(l.Voters)):
		l.mu.Lock()
		defer l.mu.Unlock()
		// The holder counts from before its request and a little less than was
		// granted, for clocks that run at different rates.
		l.term, l.expires = term, began.Add(l.Duration*9/10)
	case !held && granted > 0:
		l.releaseGrants(ctx, request)
	}
}

// nextTerm is one above every term known.
func (l *Lease) nextTerm(minTerm int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestTerm = max(l.highestTerm, minTerm, l.term)
	return l.highestTerm + 1
}

// recordResponses updates the highest known term and counts the grants.
func (l *Lease) recordResponses(responses []Response) (granted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range responses {
		if r.Granted {
			granted++
		}
		l.highestTerm = max(l.highestTerm, r.Term)
	}
	return granted
}

// releaseGrants releases the grants of a minority, so that those voters can grant
// the lease to another candidate at once.
func (l *Lease) releaseGrants(ctx context.Context, request Request) {
	start := l.Go
	if start == nil {
		start = func(task func()) { go task() }
	}
	request.DurationMs = 0
	for _, voter := range l.Voters {
		start(func() {
			ctx, cancel := context.WithTimeout(ctx, l.Duration/2)
			defer cancel()
			_, _ = l.Call(ctx, voter, request)
		})
	}
}

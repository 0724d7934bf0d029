// Package lease assigns a singleton role to at most one holder at a time by a
// time-limited lease from a majority of the voters (Gray and Cheriton, "Leases",
// SOSP 1989). Each lease has a monotonically increasing term, which serves as the
// fencing token against requests of earlier holders (the sequencer in Burrows,
// "The Chubby lock service", OSDI 2006). Leases are held in memory only.
package lease

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/quorum"
)

// Request asks a voter to grant or renew a lease. A DurationMs of 0 releases it.
type Request struct {
	Role       string `json:"duty"`
	Holder     string `json:"holder"`
	Term       int64  `json:"term"`
	DurationMs int64  `json:"lease-ms"`
}

// Response reports whether the lease was granted. Holder and Term are those of the
// newest lease that the voter has granted for the role, including this one.
type Response struct {
	Granted bool   `json:"granted"`
	Holder  string `json:"holder"`
	Term    int64  `json:"term"`
}

// Grantor grants leases on behalf of one voter. The zero value is ready for use. It is
// safe for concurrent use.
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

// Handle answers a lease request. An expired lease is granted to the first candidate
// that requests it under a higher term; the holder may renew its lease until it
// expires.
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

// Expired reports whether the newest lease that this voter granted for a role has
// expired.
func (g *Grantor) Expired(role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().After(g.grants[role].expires)
}

// Lease acquires and renews the lease for a role on behalf of one process. Held and
// Remaining may be called concurrently with Acquire.
type Lease struct {
	Role     string
	Self     string        // identifies this process as a holder
	Voters   []string      // set by the owner between calls of Acquire
	Duration time.Duration // requested from the voters
	Call     func(ctx context.Context, voter string, request Request) (Response, error)
	// Go starts a background task. If nil, the task runs in a goroutine that is not
	// waited for.
	Go func(task func())

	mu          sync.Mutex
	term        int64 // of the newest lease held
	expires     time.Time
	highestTerm int64 // highest term seen in any response or passed to Acquire
}

// Held returns the term of the newest lease of this process and reports whether it is
// still valid.
func (l *Lease) Held() (term int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, time.Now().Before(l.expires)
}

// Remaining returns the time until the lease of this process expires and reports
// whether it is still valid.
func (l *Lease) Remaining() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := time.Until(l.expires)
	return remaining, remaining > 0
}

// Acquire sends one request to the voters: to renew the lease if it is held, or else
// to acquire it under a new term above minTerm, the highest term that the caller knows.
// Held reports the outcome.
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
		// The holder counts from before the request was sent, and only 9/10 of the
		// duration, to allow for clocks that run at different rates.
		l.term, l.expires = term, began.Add(l.Duration*9/10)
	case !held && granted > 0:
		l.releaseGrants(ctx, request)
	}
}

// nextTerm returns a term above every known term.
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

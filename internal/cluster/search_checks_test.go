package cluster

// Invariant checks that run throughout a schedule on observations of all cores
// that bypass network partitions, and the recording of violations and totals.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
)

// violation is a checked property that did not hold in a schedule. Its class
// identifies the kind of check, by which shrinking compares failures.
type violation struct {
	class, text string
}

func (v *violation) String() string { return v.class + ": " + v.text }

// totals counts events over all schedules of a search. They are logged so that a
// search that no longer exercises the cluster is noticed.
var totals struct {
	sync.Mutex
	n map[string]int
}

func (s *simulation) addTotals() {
	totals.Lock()
	defer totals.Unlock()
	if totals.n == nil {
		totals.n = map[string]int{}
	}
	for _, w := range s.history.writes {
		totals.n["orders"]++
		switch {
		case w.acknowledged > 0:
			totals.n["acknowledged"]++
		case len(w.rejections) > 0:
			totals.n["rejected"]++
		}
	}
	totals.n["reads"] += len(s.history.reads)
	totals.n["leavings"] += len(s.deregistered)
	totals.n["views"] += len(s.viewsByNumber)
	totals.n["kills"] += s.world.kills
	totals.n["wipes"] += s.diskLosses
	totals.n["replacements"] += s.nextMachine - s.schedule.Cores
	totals.n["seconds simulated"] += int(time.Since(s.startedAt).Seconds())
}

// fail records the first violation, which ends the schedule. Later ones are
// ignored.
func (s *simulation) fail(class, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLocked(class, format, args...)
}

func (s *simulation) failLocked(class, format string, args ...any) {
	if s.violation == nil {
		s.violation = &violation{class, fmt.Sprintf(format, args...)}
		s.logLocked("%s", s.violation)
	}
}

// logLocked appends an entry to the event log that is printed with a violation.
func (s *simulation) logLocked(format string, args ...any) {
	fmt.Fprintf(&s.eventLog, "  %8.3f %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (s *simulation) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *simulation) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violation != nil
}

func (s *simulation) viewOf(m *machine) (v chain.View, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return v, s.observer.Call(ctx, internalAddress(m), "/view", struct{}{}, nil, &v)
}

// coreObservation is the state that a node would hold after applying all events
// that one core has published so far.
type coreObservation struct {
	page     journal.Page
	states   map[string]string // handler states, by handler ID
	revision int64             // configuration revision; 0 if none was published
}

// observeCores polls the view and the events of all cores until ctx ends. It
// bypasses network partitions, so each core is seen as by a node on its own side
// of a partition.
func (s *simulation) observeCores(ctx context.Context) {
	observations := map[string]*coreObservation{}
	var mu sync.Mutex
	observationOf := func(name string) *coreObservation {
		mu.Lock()
		defer mu.Unlock()
		o := observations[name]
		if o == nil {
			o = &coreObservation{states: map[string]string{}}
			observations[name] = o
		}
		return o
	}
	for ctx.Err() == nil {
		s.mu.Lock()
		cores := slices.Clone(s.cores)
		s.mu.Unlock()
		var requests sync.WaitGroup
		for _, m := range cores {
			requests.Go(func() { s.observeCore(ctx, m, observationOf) })
		}
		requests.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// observeCore polls one core once and checks what it returns.
func (s *simulation) observeCore(ctx context.Context, m *machine, observationOf func(name string) *coreObservation) {
	if v, err := s.viewOf(m); err == nil {
		s.checkView(m, v)
	}
	o := observationOf(m.name)
	requestedAt := time.Now()
	pageCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	var page journal.Page
	if s.observer.Call(pageCtx, internalAddress(m), "/news", distribution.WatchRequest{Source: o.page.Source, Number: o.page.Number}, nil, &page) != nil {
		return
	}
	s.applyPage(m, o, page)
	s.checkPublishedState(m, requestedAt, o.revision, o.states)
}

// applyPage applies a page of events to the observation of a core. A page from a
// different source discards the state observed before.
func (s *simulation) applyPage(m *machine, o *coreObservation, page journal.Page) {
	if page.Source != o.page.Source {
		o.states = map[string]string{}
		o.revision = 0
	}
	o.page = page
	for _, e := range page.Events {
		if id, ok := strings.CutPrefix(e.Key, distribution.PrefixInstance); ok {
			o.states[id] = journal.Decode[handler.Instance](e).State
		}
		if e.Key == distribution.KeyConfiguration {
			o.revision = e.Version.Major
			s.checkPublishedConfiguration(m, journal.Decode[[]byte](e))
		}
	}
}

// checkPublishedConfiguration checks that a configuration published by a core was
// sent by an operator and not rejected.
func (s *simulation) checkPublishedConfiguration(m *machine, raw []byte) {
	w := s.findWrite(raw)
	if w == nil {
		s.fail("events", "%s publishes a configuration that no operator sent: %s", m.name, raw)
		return
	}
	s.history.mu.Lock()
	rejected := len(w.rejections) > 0
	s.history.mu.Unlock()
	if rejected {
		s.fail("events", "%s publishes %s, which was rejected", m.name, w.name)
	}
}

// checkPublishedState checks the state published by a core: its configuration may
// be stale for at most the contact timeout, and a handler that is draining or
// deregistered must not become ready again.
func (s *simulation) checkPublishedState(m *machine, requestedAt time.Time, revision int64, states map[string]string) {
	s.history.mu.Lock()
	for _, w := range s.history.writes {
		if revision > 0 && w.acknowledged > 0 && w.revision > revision && requestedAt.Sub(w.acknowledgedAt) > contactTimeout {
			defer s.fail("events", "%s publishes revision %d, %v after %s was acknowledged", m.name, revision, requestedAt.Sub(w.acknowledgedAt), w.name)
			break
		}
	}
	s.history.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.deregistered {
		published, key := states[id], m.name+" "+id
		switch {
		case !requestedAt.After(d.acknowledgedAt):
		case published != handler.Ready:
			if published != "" {
				s.seenNotReady[key] = true
			}
		case s.seenNotReady[key]:
			s.failLocked("instance", "%s publishes %s as ready again %v after its deregistration was acknowledged", m.name, id, requestedAt.Sub(d.acknowledgedAt))
		case s.activeFaults == 0 && requestedAt.Sub(d.acknowledgedAt) > drainTimeout && requestedAt.Sub(s.lastFaultEnd) > drainTimeout:
			s.failLocked("instance", "%s still publishes %s as ready %v after its deregistration was acknowledged", m.name, id, requestedAt.Sub(d.acknowledgedAt))
		}
	}
}

// checkView checks a view reported by a core: a core never reverts to an older
// view, a view number identifies exactly one view, and at most one voter changes
// between successive views.
func (s *simulation) checkView(m *machine, v chain.View) {
	if v.Number == 0 {
		return
	}
	text := func(v chain.View) string { raw, _ := json.Marshal(v); return string(raw) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latestViewNumber[m.name] > v.Number {
		s.failLocked("view", "%s reverted from view %d to view %d", m.name, s.latestViewNumber[m.name], v.Number)
	}
	s.latestViewNumber[m.name] = v.Number
	old, known := s.viewsByNumber[v.Number]
	if known {
		if text(old) != text(v) {
			s.failLocked("view", "two different views have number %d:\n    %s\n    %s (reported by %s)", v.Number, text(old), text(v), m.name)
		}
		return
	}
	s.viewsByNumber[v.Number] = v
	s.logLocked("%s: view %v", m.name, v)
	for _, pair := range [][2]int64{{v.Number - 1, v.Number}, {v.Number, v.Number + 1}} {
		older, ok1 := s.viewsByNumber[pair[0]]
		newer, ok2 := s.viewsByNumber[pair[1]]
		if !ok1 || !ok2 {
			continue
		}
		if countMissing(older.Voters, newer.Voters) > 1 || countMissing(newer.Voters, older.Voters) > 1 {
			s.failLocked("voters", "more than one voter changes from view %v to %v", older, newer)
		}
	}
}

// countMissing returns the number of members of a that are not in b.
func countMissing(a, b []chain.Member) (n int) {
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o chain.Member) bool { return o.Address == m.Address && o.Disk == m.Disk }) {
			n++
		}
	}
	return n
}

package cluster

// What must hold at any moment: those who watch all cores past all cuts, what
// they judge, and how a finding and the counts of a search are noted.

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

// finding is what a schedule showed to be wrong.
type violation struct {
	class, text string
}

func (f *violation) String() string { return f.class + ": " + f.text }

// counted is what happened in all schedules played, so that a search that asks
// nothing shows.
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
	for _, o := range s.history.writes {
		totals.n["orders"]++
		switch {
		case o.acknowledged > 0:
			totals.n["acknowledged"]++
		case len(o.rejections) > 0:
			totals.n["refused"]++
		}
	}
	totals.n["reads"] += len(s.history.reads)
	totals.n["leavings"] += len(s.deregistered)
	totals.n["views"] += len(s.knownViews)
	totals.n["kills"] += s.world.kills
	totals.n["wipes"] += s.diskLosses
	totals.n["replacements"] += s.nextMachine - s.schedule.Cores
	totals.n["seconds simulated"] += int(time.Since(s.startedAt).Seconds())
}

// fail notes the first thing that is wrong; the schedule ends there.
func (s *simulation) fail(class, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLocked(class, format, args...)
}

// wrong is fail where the lock is held.
func (s *simulation) failLocked(class, format string, args ...any) {
	if s.violation == nil {
		s.violation = &violation{class, fmt.Sprintf(format, args...)}
		s.logLocked("%s", s.violation)
	}
}

// note adds a line to what is printed with a finding. The lock is held.
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

// watch asks all cores for their view and their news, past all cuts: as a node
// on their side of a cut would see them.
func (s *simulation) observeCores(ctx context.Context) {
	type told struct {
		page  journal.Page
		state map[string]string
		conf  int64
	}
	known := map[string]*told{}
	var mu sync.Mutex
	for ctx.Err() == nil {
		s.mu.Lock()
		list := slices.Clone(s.cores)
		s.mu.Unlock()
		var all sync.WaitGroup
		for _, m := range list {
			all.Go(func() {
				if v, err := s.viewOf(m); err == nil {
					s.checkView(m, v)
				}
				mu.Lock()
				k := known[m.name]
				if k == nil {
					k = &told{state: map[string]string{}}
					known[m.name] = k
				}
				mu.Unlock()
				asked := time.Now()
				pctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				defer cancel()
				var page journal.Page
				if s.observer.Call(pctx, internalAddress(m), "/news", distribution.WatchRequest{Source: k.page.Source, Number: k.page.Number}, nil, &page) != nil {
					return
				}
				if page.Source != k.page.Source {
					k.state, k.conf = map[string]string{}, 0
				}
				k.page = page
				for _, e := range page.Events {
					if id, ok := strings.CutPrefix(e.Key, distribution.PrefixInstance); ok {
						k.state[id] = journal.Decode[handler.Instance](e).State
					}
					if e.Key == distribution.KeyConfiguration {
						k.conf = e.Version.Major
						s.checkPublishedConfiguration(m, journal.Decode[[]byte](e))
					}
				}
				s.checkPublishedState(m, asked, k.conf, k.state)
			})
		}
		all.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// published looks at a configuration that a core tells the nodes.
func (s *simulation) checkPublishedConfiguration(m *machine, raw []byte) {
	o := s.findWrite(raw)
	if o == nil {
		s.fail("news", "%s tells a configuration that nobody sent: %s", m.name, raw)
		return
	}
	s.history.mu.Lock()
	refused := len(o.rejections) > 0
	s.history.mu.Unlock()
	if refused {
		s.fail("news", "%s tells %s, which was refused", m.name, o.name)
	}
}

// judge looks at what a core told the nodes.
func (s *simulation) checkPublishedState(m *machine, asked time.Time, conf int64, state map[string]string) {
	s.history.mu.Lock()
	for _, o := range s.history.writes {
		if conf > 0 && o.acknowledged > 0 && o.revision > conf && asked.Sub(o.acknowledgedAt) > contactTimeout {
			defer s.fail("news", "%s tells revision %d, %v after %s was acknowledged", m.name, conf, asked.Sub(o.acknowledgedAt), o.name)
			break
		}
	}
	s.history.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.deregistered {
		shown, key := state[id], m.name+" "+id
		switch {
		case !asked.After(l.acknowledgedAt):
		case shown != handler.Ready:
			if shown != "" {
				s.seenNotReady[key] = true
			}
		case s.seenNotReady[key]:
			s.failLocked("instance", "%s tells that %s is ready again, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.acknowledgedAt))
		case s.activeFaults == 0 && asked.Sub(l.acknowledgedAt) > drainTimeout && asked.Sub(s.lastFaultEnd) > drainTimeout:
			s.failLocked("instance", "%s tells that %s is ready, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.acknowledgedAt))
		}
	}
}

// saw looks at a view that a core told.
func (s *simulation) checkView(m *machine, v chain.View) {
	if v.Number == 0 {
		return
	}
	text := func(v chain.View) string { raw, _ := json.Marshal(v); return string(raw) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestViewOf[m.name] > v.Number {
		s.failLocked("view", "%s went back from view %d to %d", m.name, s.newestViewOf[m.name], v.Number)
	}
	s.newestViewOf[m.name] = v.Number
	old, known := s.knownViews[v.Number]
	if known {
		if text(old) != text(v) {
			s.failLocked("view", "two views have the number %d:\n    %s\n    %s at %s", v.Number, text(old), text(v), m.name)
		}
		return
	}
	s.knownViews[v.Number] = v
	s.logLocked("%s: view %v", m.name, v)
	for _, pair := range [][2]int64{{v.Number - 1, v.Number}, {v.Number, v.Number + 1}} {
		one, ok1 := s.knownViews[pair[0]]
		two, ok2 := s.knownViews[pair[1]]
		if !ok1 || !ok2 {
			continue
		}
		if countMissing(one.Voters, two.Voters) > 1 || countMissing(two.Voters, one.Voters) > 1 {
			s.failLocked("voters", "more than one voter changes from view %v to %v", one, two)
		}
	}
}

// without counts the members of one list that are not in another.
func countMissing(a, b []chain.Member) (n int) {
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o chain.Member) bool { return o.Address == m.Address && o.Disk == m.Disk }) {
			n++
		}
	}
	return n
}

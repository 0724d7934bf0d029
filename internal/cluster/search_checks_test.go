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
type finding struct {
	class, text string
}

func (f *finding) String() string { return f.class + ": " + f.text }

// counted is what happened in all schedules played, so that a search that asks
// nothing shows.
var counted struct {
	sync.Mutex
	n map[string]int
}

func (s *search) count() {
	counted.Lock()
	defer counted.Unlock()
	if counted.n == nil {
		counted.n = map[string]int{}
	}
	for _, o := range s.hist.orders {
		counted.n["orders"]++
		switch {
		case o.acked > 0:
			counted.n["acknowledged"]++
		case len(o.refused) > 0:
			counted.n["refused"]++
		}
	}
	counted.n["reads"] += len(s.hist.readings)
	counted.n["leavings"] += len(s.left)
	counted.n["views"] += len(s.views)
	counted.n["kills"] += s.w.lives
	counted.n["wipes"] += s.wipes
	counted.n["replacements"] += s.index - s.plan.Cores
	counted.n["seconds simulated"] += int(time.Since(s.began).Seconds())
}

// fail notes the first thing that is wrong; the schedule ends there.
func (s *search) fail(class, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong(class, format, args...)
}

// wrong is fail where the lock is held.
func (s *search) wrong(class, format string, args ...any) {
	if s.found == nil {
		s.found = &finding{class, fmt.Sprintf(format, args...)}
		s.note("%s", s.found)
	}
}

// note adds a line to what is printed with a finding. The lock is held.
func (s *search) note(format string, args ...any) {
	fmt.Fprintf(&s.log, "  %8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *search) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(format, args...)
}

func (s *search) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found != nil
}

func (s *search) view(m *machine) (v chain.View, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return v, s.eyes.Call(ctx, internal(m), "/view", struct{}{}, nil, &v)
}

// watch asks all cores for their view and their news, past all cuts: as a node
// on their side of a cut would see them.
func (s *search) watch(ctx context.Context) {
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
				if v, err := s.view(m); err == nil {
					s.saw(m, v)
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
				if s.eyes.Call(pctx, internal(m), "/news", distribution.WatchRequest{Source: k.page.Source, Number: k.page.Number}, nil, &page) != nil {
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
						s.published(m, journal.Decode[[]byte](e))
					}
				}
				s.judge(m, asked, k.conf, k.state)
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
func (s *search) published(m *machine, raw []byte) {
	o := s.order(raw)
	if o == nil {
		s.fail("news", "%s tells a configuration that nobody sent: %s", m.name, raw)
		return
	}
	s.hist.mu.Lock()
	refused := len(o.refused) > 0
	s.hist.mu.Unlock()
	if refused {
		s.fail("news", "%s tells %s, which was refused", m.name, o.name)
	}
}

// judge looks at what a core told the nodes.
func (s *search) judge(m *machine, asked time.Time, conf int64, state map[string]string) {
	s.hist.mu.Lock()
	for _, o := range s.hist.orders {
		if conf > 0 && o.acked > 0 && o.revision > conf && asked.Sub(o.ackedAt) > contact {
			defer s.fail("news", "%s tells revision %d, %v after %s was acknowledged", m.name, conf, asked.Sub(o.ackedAt), o.name)
			break
		}
	}
	s.hist.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.left {
		shown, key := state[id], m.name+" "+id
		switch {
		case !asked.After(l.at):
		case shown != handler.Ready:
			if shown != "" {
				s.shown[key] = true
			}
		case s.shown[key]:
			s.wrong("instance", "%s tells that %s is ready again, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.at))
		case s.faults == 0 && asked.Sub(l.at) > drain && asked.Sub(s.calm) > drain:
			s.wrong("instance", "%s tells that %s is ready, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.at))
		}
	}
}

// saw looks at a view that a core told.
func (s *search) saw(m *machine, v chain.View) {
	if v.Number == 0 {
		return
	}
	text := func(v chain.View) string { raw, _ := json.Marshal(v); return string(raw) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest[m.name] > v.Number {
		s.wrong("view", "%s went back from view %d to %d", m.name, s.newest[m.name], v.Number)
	}
	s.newest[m.name] = v.Number
	old, known := s.views[v.Number]
	if known {
		if text(old) != text(v) {
			s.wrong("view", "two views have the number %d:\n    %s\n    %s at %s", v.Number, text(old), text(v), m.name)
		}
		return
	}
	s.views[v.Number] = v
	s.note("%s: view %v", m.name, v)
	for _, pair := range [][2]int64{{v.Number - 1, v.Number}, {v.Number, v.Number + 1}} {
		one, ok1 := s.views[pair[0]]
		two, ok2 := s.views[pair[1]]
		if !ok1 || !ok2 {
			continue
		}
		if without(one.Voters, two.Voters) > 1 || without(two.Voters, one.Voters) > 1 {
			s.wrong("voters", "more than one voter changes from view %v to %v", one, two)
		}
	}
}

// without counts the members of one list that are not in another.
func without(a, b []chain.Member) (n int) {
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o chain.Member) bool { return o.Address == m.Address && o.Disk == m.Disk }) {
			n++
		}
	}
	return n
}

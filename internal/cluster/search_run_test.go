package cluster

// The course of a schedule: its steps one after the other, time that passes and
// what strikes or ends meanwhile, and the calm at the end in which all must be
// whole.

import (
	"fmt"
	"slices"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/handler"
)

// event is something that happens later.
type delayedAction struct {
	dueAt   time.Time
	perform func()
}

// run plays the schedule, and what each one ends with.
func (s *simulation) run() {
	for range s.schedule.Cores {
		s.addCore(true)
	}
	first := s.newWrite(0, 0)
	if !s.requireWithin(15*time.Second, "the first configuration is not taken", func() bool { return s.sendWrite(first, 0, 1, time.Second) == 200 }) {
		return
	}
	s.advance(syncTime / 2)
	if s.schedule.BackgroundLoad {
		s.startBackgroundLoad()
	}
	for _, x := range s.schedule.Steps {
		s.advance(time.Duration(x.WaitMs) * time.Millisecond)
		if s.hasFailed() {
			return
		}
		s.perform(x)
	}
	s.verifyFinalState()
}

// bustle has an operator change something all the time, and each core be read.
func (s *simulation) startBackgroundLoad() {
	all := func(f func(n int)) {
		s.clientOps.Go(func() {
			for n := 0; !s.hasFailed() && !s.isFinishing(); n++ {
				f(n)
				time.Sleep(contactTimeout / 8)
			}
		})
	}
	all(func(n int) { s.sendWrite(s.newWrite(0, 0), n, 3, time.Second) })
	for place := range s.schedule.Cores {
		all(func(int) {
			s.mu.Lock()
			m := s.cores[place%len(s.cores)]
			s.mu.Unlock()
			s.readConfiguration(m)
		})
	}
}

// quiet tells whether the schedule is over.
func (s *simulation) isFinishing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishing
}

// finish heals everything and looks whether all is as it must be.
func (s *simulation) verifyFinalState() {
	s.mu.Lock()
	s.finishing = true
	s.mu.Unlock()
	if !s.healAll() {
		return
	}
	s.clientOps.Wait()
	if !s.verifyConverged("after all is healed") {
		return
	}
	last := s.cores[s.schedule.FinalLoss]
	s.kill(last)
	if !s.verifyWrite("after one more loss") {
		return
	}
	s.start(last)
	if !s.verifyConverged("after the last one is back") {
		return
	}
	for _, m := range s.cores {
		s.requireWithin(8*time.Second, m.name+" does not tell what it knows", func() bool {
			o, err := s.statusOf(m)
			if err != nil {
				return false
			}
			for _, h := range o.Handlers {
				if h.State == handler.Ready && s.deregistered[h.ID] != nil {
					s.fail("instance", "%s tells of %s, which left, in the end", m.name, h.ID)
				}
			}
			return true
		})
	}
}

// settle looks whether a write is taken, all cores are members and vote, and
// each tells the newest configuration.
func (s *simulation) verifyConverged(what string) bool {
	if !s.verifyWrite(what) || !s.verifyFullView(2*syncTime, what) {
		return false
	}
	for _, m := range s.cores {
		if !s.requireWithin(8*time.Second, m.name+" cannot be read "+what, func() bool { return s.readConfiguration(m) }) {
			return false
		}
	}
	return !s.hasFailed()
}

// write has a change acknowledged.
func (s *simulation) verifyWrite(what string) bool {
	return s.requireWithin(15*time.Second, "no change is taken "+what, func() bool {
		o := s.newWrite(0, 0)
		for range 8 { // its answer may be lost: then it is the same again
			if code := s.sendWrite(o, 0, s.schedule.Cores, time.Second); code != 0 {
				return code == 200
			}
		}
		return false
	})
}

// whole waits until all cores that run are members and voters of one view.
func (s *simulation) verifyFullView(limit time.Duration, what string) bool {
	var last string
	ok := s.pollUntil(limit, func() bool {
		var want []string
		views := map[string]bool{}
		for _, m := range s.cores {
			want = append(want, internalAddress(m))
		}
		slices.Sort(want)
		addresses := func(list []chain.Member) (out []string) {
			for _, m := range list {
				out = append(out, m.Address)
			}
			slices.Sort(out)
			return out
		}
		last = ""
		for _, m := range s.cores {
			v, err := s.viewOf(m)
			last += fmt.Sprintf("\n    %s: %v, %v", m.name, v, err)
			if err != nil || !slices.Equal(addresses(v.Members), want) || !slices.Equal(addresses(v.Voters), want) {
				return false
			}
			views[fmt.Sprint(v.Number)] = true
		}
		return len(views) == 1
	})
	if !ok && !s.hasFailed() {
		s.fail("whole", "not all cores are members and vote %s within %v:%s", what, limit, last)
	}
	return ok
}

// wait plays on until f holds or the time is over.
func (s *simulation) pollUntil(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !s.hasFailed(); s.advance(50 * time.Millisecond) {
		if f() {
			return !s.hasFailed()
		}
		if time.Now().After(end) {
			return false
		}
	}
	return false
}

func (s *simulation) requireWithin(limit time.Duration, what string, f func() bool) bool {
	ok := s.pollUntil(limit, f)
	if !ok && !s.hasFailed() {
		s.fail("stuck", "%s within %v", what, limit)
	}
	return ok
}

// sleep lets time pass; what was to happen meanwhile happens.
func (s *simulation) advance(d time.Duration) {
	end := time.Now().Add(d)
	for {
		now := time.Now()
		slices.SortStableFunc(s.pendingEvents, func(a, b delayedAction) int { return a.dueAt.Compare(b.dueAt) })
		if len(s.pendingEvents) > 0 && !s.pendingEvents[0].dueAt.After(now) {
			e := s.pendingEvents[0]
			s.pendingEvents = s.pendingEvents[1:]
			e.perform()
			continue
		}
		if !now.Before(end) {
			return
		}
		next := end
		if len(s.pendingEvents) > 0 && s.pendingEvents[0].dueAt.Before(next) {
			next = s.pendingEvents[0].dueAt
		}
		if s.fault.onTick != nil {
			s.fault.onTick(s)
			if tick := now.Add(100 * time.Millisecond); tick.Before(next) {
				next = tick
			}
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case e := <-s.delayed:
			s.pendingEvents = append(s.pendingEvents, e)
		}
		timer.Stop()
	}
}

// during strikes now and ends it later.
func (s *simulation) injectFor(ms int, strike, end func()) {
	strike()
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	s.pendingEvents = append(s.pendingEvents, delayedAction{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		end()
		s.mu.Lock()
		s.activeFaults--
		s.lastFaultEnd = time.Now()
		s.mu.Unlock()
	}})
}

// undo ends all that is under way.
func (s *simulation) endAllFaults() {
	for {
		select {
		case e := <-s.delayed:
			s.pendingEvents = append(s.pendingEvents, e)
			continue
		default:
		}
		if len(s.pendingEvents) == 0 {
			return
		}
		e := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		e.perform()
	}
}

// heal ends all that is under way and waits until all cores are back: only
// then another disk may be lost. A disk that was put back with less than what
// was acknowledged on it would be a lost one that still has its name: nothing is
// promised for that, and no schedule does it.
func (s *simulation) healAll() bool {
	s.mu.Lock()
	s.armedTriggers = nil
	s.mu.Unlock()
	s.endAllFaults()
	s.advance(syncTime)
	return s.verifyFullView(2*syncTime, "in calm")
}

// later has the schedule do something, from whichever goroutine.
func (s *simulation) endFaultAfter(ms int, do func()) {
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	s.delayed <- delayedAction{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		do()
		s.mu.Lock()
		s.activeFaults--
		s.lastFaultEnd = time.Now()
		s.mu.Unlock()
	}}
}

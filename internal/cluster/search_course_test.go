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
type event struct {
	at time.Time
	do func()
}

// run plays the schedule, and what each one ends with.
func (s *search) run() {
	for range s.plan.Cores {
		s.add(true)
	}
	first := s.next(0, 0)
	if !s.until(15*time.Second, "the first configuration is not taken", func() bool { return s.send(first, 0, 1, time.Second) == 200 }) {
		return
	}
	s.sleep(syncTime / 2)
	if s.plan.Busy {
		s.bustle()
	}
	for _, x := range s.plan.Steps {
		s.sleep(time.Duration(x.Wait) * time.Millisecond)
		if s.over() {
			return
		}
		s.do(x)
	}
	s.finish()
}

// bustle has an operator change something all the time, and each core be read.
func (s *search) bustle() {
	all := func(f func(n int)) {
		s.ops.Go(func() {
			for n := 0; !s.over() && !s.quiet(); n++ {
				f(n)
				time.Sleep(contact / 8)
			}
		})
	}
	all(func(n int) { s.send(s.next(0, 0), n, 3, time.Second) })
	for place := range s.plan.Cores {
		all(func(int) {
			s.mu.Lock()
			m := s.cores[place%len(s.cores)]
			s.mu.Unlock()
			s.read(m)
		})
	}
}

// quiet tells whether the schedule is over.
func (s *search) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// finish heals everything and looks whether all is as it must be.
func (s *search) finish() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if !s.heal() {
		return
	}
	s.ops.Wait()
	if !s.settle("after all is healed") {
		return
	}
	last := s.cores[s.plan.Last]
	s.kill(last)
	if !s.write("after one more loss") {
		return
	}
	s.start(last)
	if !s.settle("after the last one is back") {
		return
	}
	for _, m := range s.cores {
		s.until(8*time.Second, m.name+" does not tell what it knows", func() bool {
			o, err := s.status(m)
			if err != nil {
				return false
			}
			for _, h := range o.Handlers {
				if h.State == handler.Ready && s.left[h.ID] != nil {
					s.fail("instance", "%s tells of %s, which left, in the end", m.name, h.ID)
				}
			}
			return true
		})
	}
}

// settle looks whether a write is taken, all cores are members and vote, and
// each tells the newest configuration.
func (s *search) settle(what string) bool {
	if !s.write(what) || !s.whole(2*syncTime, what) {
		return false
	}
	for _, m := range s.cores {
		if !s.until(8*time.Second, m.name+" cannot be read "+what, func() bool { return s.read(m) }) {
			return false
		}
	}
	return !s.over()
}

// write has a change acknowledged.
func (s *search) write(what string) bool {
	return s.until(15*time.Second, "no change is taken "+what, func() bool {
		o := s.next(0, 0)
		for range 8 { // its answer may be lost: then it is the same again
			if code := s.send(o, 0, s.plan.Cores, time.Second); code != 0 {
				return code == 200
			}
		}
		return false
	})
}

// whole waits until all cores that run are members and voters of one view.
func (s *search) whole(limit time.Duration, what string) bool {
	var last string
	ok := s.wait(limit, func() bool {
		var want []string
		views := map[string]bool{}
		for _, m := range s.cores {
			want = append(want, internal(m))
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
			v, err := s.view(m)
			last += fmt.Sprintf("\n    %s: %v, %v", m.name, v, err)
			if err != nil || !slices.Equal(addresses(v.Members), want) || !slices.Equal(addresses(v.Voters), want) {
				return false
			}
			views[fmt.Sprint(v.Number)] = true
		}
		return len(views) == 1
	})
	if !ok && !s.over() {
		s.fail("whole", "not all cores are members and vote %s within %v:%s", what, limit, last)
	}
	return ok
}

// wait plays on until f holds or the time is over.
func (s *search) wait(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !s.over(); s.sleep(50 * time.Millisecond) {
		if f() {
			return !s.over()
		}
		if time.Now().After(end) {
			return false
		}
	}
	return false
}

func (s *search) until(limit time.Duration, what string, f func() bool) bool {
	ok := s.wait(limit, f)
	if !ok && !s.over() {
		s.fail("stuck", "%s within %v", what, limit)
	}
	return ok
}

// sleep lets time pass; what was to happen meanwhile happens.
func (s *search) sleep(d time.Duration) {
	end := time.Now().Add(d)
	for {
		now := time.Now()
		slices.SortStableFunc(s.queue, func(a, b event) int { return a.at.Compare(b.at) })
		if len(s.queue) > 0 && !s.queue[0].at.After(now) {
			e := s.queue[0]
			s.queue = s.queue[1:]
			e.do()
			continue
		}
		if !now.Before(end) {
			return
		}
		next := end
		if len(s.queue) > 0 && s.queue[0].at.Before(next) {
			next = s.queue[0].at
		}
		if s.plant.tick != nil {
			s.plant.tick(s)
			if tick := now.Add(100 * time.Millisecond); tick.Before(next) {
				next = tick
			}
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case e := <-s.fired:
			s.queue = append(s.queue, e)
		}
		timer.Stop()
	}
}

// during strikes now and ends it later.
func (s *search) during(ms int, strike, end func()) {
	strike()
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	s.queue = append(s.queue, event{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		end()
		s.mu.Lock()
		s.faults--
		s.calm = time.Now()
		s.mu.Unlock()
	}})
}

// undo ends all that is under way.
func (s *search) undo() {
	for {
		select {
		case e := <-s.fired:
			s.queue = append(s.queue, e)
			continue
		default:
		}
		if len(s.queue) == 0 {
			return
		}
		e := s.queue[0]
		s.queue = s.queue[1:]
		e.do()
	}
}

// heal ends all that is under way and waits until all cores are back: only
// then another disk may be lost. A disk that was put back with less than what
// was acknowledged on it would be a lost one that still has its name: nothing is
// promised for that, and no schedule does it.
func (s *search) heal() bool {
	s.mu.Lock()
	s.armed = nil
	s.mu.Unlock()
	s.undo()
	s.sleep(syncTime)
	return s.whole(2*syncTime, "in calm")
}

// later has the schedule do something, from whichever goroutine.
func (s *search) later(ms int, do func()) {
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	s.fired <- event{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		do()
		s.mu.Lock()
		s.faults--
		s.calm = time.Now()
		s.mu.Unlock()
	}}
}

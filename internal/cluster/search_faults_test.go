package cluster

// The steps of a schedule, and the faults that they bring: lost processes, disks
// and power, links that are cut or held.

import (
	"os"
	"slices"
	"time"
)

// down kills cores and starts them again later. Without power they lose what
// was not synced.
func (s *search) down(ms int, power bool, list ...*machine) {
	killed := s.kill(list...)
	for i, m := range killed {
		if power && s.plant.power != nil {
			s.plant.power(s, m)
		}
		// They come back together, or one after the other, in an order that the
		// time says.
		later := (i + ms/200) % len(killed) * (ms / 100 % 2) * 1500
		s.during(ms+later, func() {}, func() { s.start(m) })
	}
}

func (s *search) wipe(m *machine) {
	s.say("%s loses its disk", m.name)
	s.wipes++
	s.mu.Lock()
	delete(s.newest, m.name)
	s.mu.Unlock()
	if err := os.RemoveAll(m.data); err != nil {
		s.fail("start", "wipe %s: %v", m.name, err)
	}
}

// links cuts links or mends them; one that was cut twice is mended twice.
func (s *search) links(by int, from, to []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				s.cuts[[2]string{a, b}] += by
				s.w.net.sever([]string{a}, []string{b}, s.cuts[[2]string{a, b}] > 0)
			}
		}
	}
}

func (s *search) cut(ms int, from, to []string) {
	s.during(ms, func() { s.links(1, from, to) }, func() { s.links(-1, from, to) })
}

func (s *search) hold(ms int, from, to []string) {
	each := func(f func(a, b string)) {
		for _, a := range from {
			for _, b := range to {
				if a != b {
					f(a, b)
				}
			}
		}
	}
	s.during(ms, func() { each(s.w.net.hold) }, func() { each(s.w.net.release) })
}

// others are the addresses of all cores but some, and of those outside.
func (s *search) others(but ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cores {
		if !slices.Contains(but, m.ip) {
			out = append(out, m.ip)
		}
	}
	return append(out, outside)
}

// rest are those that a machine is cut off from: the other cores, and with n
// odd those outside.
func (s *search) rest(ip string, n int) []string {
	return slices.DeleteFunc(s.others(ip), func(o string) bool { return o == outside && n%2 == 0 })
}

func (s *search) isolate(ms int, ip string, n int) {
	rest := s.rest(ip, n)
	s.cut(ms, []string{ip}, rest)
	s.cut(ms, rest, []string{ip})
}

// freeze holds all that a machine sends and gets. Its process runs on, but what
// it does reaches nobody before the thaw, and what was sent to it meanwhile
// comes then, all at once and late.
func (s *search) freeze(ms int, ip string) {
	rest := s.others(ip)
	s.hold(ms, []string{ip}, rest)
	s.hold(ms, rest, []string{ip})
}

func (s *search) do(x step) {
	a, b := s.cores[x.A], s.cores[x.B]
	switch x.Kind {
	case stepOrder, stepRead, stepAgain, stepBurst, stepBeat, stepDrain, stepDelete, stepLate:
	case stepWhen, stepElect:
		s.say("when %v", x.On)
	default:
		s.say("%s %s %s for %d ms, %d", x.Kind, a.name, b.name, x.For, x.N)
	}
	switch x.Kind {
	case stepOrder:
		o := s.next(x.N%2, x.N/2)
		s.ops.Go(func() { s.send(o, x.A, 1+x.B*2, time.Second) })
	case stepRead:
		s.ops.Go(func() {
			for range 1 + x.N {
				s.read(a)
				if s.over() {
					return
				}
				time.Sleep(contact / 16)
			}
		})
	case stepAgain:
		s.hist.mu.Lock()
		o := s.hist.orders[x.N*(len(s.hist.orders)-1)/7]
		s.hist.mu.Unlock()
		s.ops.Go(func() { s.send(o, x.A, 1+x.B, time.Second) })
	case stepBurst:
		s.ops.Go(func() {
			for range x.N {
				if s.over() || s.send(s.next(0, 0), x.A, 2, time.Second) == 0 {
					return
				}
			}
		})
	case stepBeat, stepDrain, stepDelete, stepLate:
		s.beat(x)
	case stepKill:
		s.down(x.For, false, a)
	case stepKillAll:
		s.down(x.For, false, s.cores...)
	case stepPower:
		s.down(x.For, true, s.cores...)
	case stepReset:
		s.w.net.reset(a.ip, b.ip)
		s.w.net.reset(a.ip, outside)
	case stepCut:
		s.isolate(x.For, a.ip, x.N)
	case stepCutOut:
		s.cut(x.For, []string{a.ip}, s.rest(a.ip, x.N))
	case stepCutIn:
		s.cut(x.For, s.rest(a.ip, x.N), []string{a.ip})
	case stepSplit:
		var here []string
		for i, m := range s.cores {
			if x.N>>(i%3)&1 == 1 {
				here = append(here, m.ip)
			}
		}
		there := slices.DeleteFunc(s.others(here...), func(ip string) bool { return ip == outside })
		s.cut(x.For, here, there)
		s.cut(x.For, there, here)
	case stepDeaf:
		s.cut(x.For, []string{a.ip}, []string{outside})
	case stepHold:
		s.hold(x.For, []string{a.ip}, []string{b.ip})
	case stepFreeze:
		s.freeze(x.For, a.ip)
	case stepSlow:
		s.during(x.For, func() { s.slows[0]++; s.w.net.slow(time.Duration(1+x.N*10) * time.Millisecond) }, func() {
			if s.slows[0]--; s.slows[0] == 0 {
				s.w.net.slow(time.Millisecond)
			}
		})
	case stepVary:
		s.during(x.For, func() { s.slows[1]++; s.w.net.vary(time.Duration(1+x.N*20) * time.Millisecond) }, func() {
			if s.slows[1]--; s.slows[1] == 0 {
				s.w.net.vary(0)
			}
		})
	case stepWhen, stepElect:
		if x.Kind == stepElect && x.N > 1 && !s.heal() {
			return
		}
		s.mu.Lock()
		s.armed = append(s.armed, &trap{x, x.On.Number})
		s.mu.Unlock()
		switch {
		case x.Kind == stepWhen:
			return
		case x.N%2 == 0:
			s.down(x.For, false, a)
		default:
			s.isolate(x.For, a.ip, x.N/2)
		}
		s.sleep(contact / 2) // until the view has changed
	case stepWipe:
		if s.heal() {
			s.last(x)
			s.kill(a)
			s.wipe(a)
			s.during(x.For, func() {}, func() { s.start(a) })
		}
	case stepReplace:
		if s.heal() {
			s.last(x)
			s.kill(a)
			s.mu.Lock()
			s.cores = slices.Delete(slices.Clone(s.cores), x.A, x.A+1)
			s.mu.Unlock()
			s.during(x.For, func() {}, func() {
				s.say("an empty core comes in place of %s", a.name)
				s.add(false)
			})
			s.sleep(time.Duration(x.For) * time.Millisecond) // the places are whole again from here on
		}
	case stepPowerWipe:
		if s.heal() {
			s.last(x)
			s.down(x.For, true, s.cores...)
			s.wipe(a)
		}
	}
}

// last has something acknowledged, or only sent, right before a disk is lost.
func (s *search) last(x step) {
	say := x
	say.B = 0
	for _, w := range []struct {
		bit  int
		kind kind
	}{{1, stepBeat}, {1, stepDrain}, {2, stepOrder}} {
		if x.N&w.bit == 0 {
			continue
		}
		say.Kind = w.kind
		var done <-chan struct{}
		if w.kind == stepOrder {
			o, sent := s.next(0, 0), make(chan struct{})
			s.ops.Go(func() { s.send(o, x.A, 1, time.Second); close(sent) })
			done = sent
		} else {
			done = s.beat(say)
		}
		for end := time.Now().Add(contact / 16); time.Now().Before(end); {
			s.sleep(time.Millisecond)
			if x.N&4 != 0 && w.kind != stepBeat {
				break // it is not waited for
			}
			select {
			case <-done:
				end = time.Time{}
			default:
			}
		}
	}
}

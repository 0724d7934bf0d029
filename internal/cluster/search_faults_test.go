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
func (s *simulation) crash(ms int, power bool, list ...*machine) {
	killed := s.kill(list...)
	for i, m := range killed {
		if power && s.fault.afterPowerLoss != nil {
			s.fault.afterPowerLoss(s, m)
		}
		// They come back together, or one after the other, in an order that the
		// time says.
		later := (i + ms/200) % len(killed) * (ms / 100 % 2) * 1500
		s.injectFor(ms+later, func() {}, func() { s.start(m) })
	}
}

func (s *simulation) wipeDisk(m *machine) {
	s.logf("%s loses its disk", m.name)
	s.diskLosses++
	s.mu.Lock()
	delete(s.newestViewOf, m.name)
	s.mu.Unlock()
	if err := os.RemoveAll(m.dataPath); err != nil {
		s.fail("start", "wipe %s: %v", m.name, err)
	}
}

// links cuts links or mends them; one that was cut twice is mended twice.
func (s *simulation) adjustBlocks(by int, from, to []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				s.blockedLinks[[2]string{a, b}] += by
				s.world.network.setBlocked([]string{a}, []string{b}, s.blockedLinks[[2]string{a, b}] > 0)
			}
		}
	}
}

func (s *simulation) block(ms int, from, to []string) {
	s.injectFor(ms, func() { s.adjustBlocks(1, from, to) }, func() { s.adjustBlocks(-1, from, to) })
}

func (s *simulation) holdLinks(ms int, from, to []string) {
	each := func(f func(a, b string)) {
		for _, a := range from {
			for _, b := range to {
				if a != b {
					f(a, b)
				}
			}
		}
	}
	s.injectFor(ms, func() { each(s.world.network.hold) }, func() { each(s.world.network.release) })
}

// others are the addresses of all cores but some, and of those outside.
func (s *simulation) othersThan(but ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cores {
		if !slices.Contains(but, m.ip) {
			out = append(out, m.ip)
		}
	}
	return append(out, outsideIP)
}

// rest are those that a machine is cut off from: the other cores, and with n
// odd those outside.
func (s *simulation) peersOf(ip string, n int) []string {
	return slices.DeleteFunc(s.othersThan(ip), func(o string) bool { return o == outsideIP && n%2 == 0 })
}

func (s *simulation) isolate(ms int, ip string, n int) {
	rest := s.peersOf(ip, n)
	s.block(ms, []string{ip}, rest)
	s.block(ms, rest, []string{ip})
}

// freeze holds all that a machine sends and gets. Its process runs on, but what
// it does reaches nobody before the thaw, and what was sent to it meanwhile
// comes then, all at once and late.
func (s *simulation) freeze(ms int, ip string) {
	rest := s.othersThan(ip)
	s.holdLinks(ms, []string{ip}, rest)
	s.holdLinks(ms, rest, []string{ip})
}

func (s *simulation) perform(x step) {
	a, b := s.cores[x.A], s.cores[x.B]
	switch x.Kind {
	case stepWrite, stepRead, stepResend, stepBurst, stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
	case stepTrigger, stepViewChange:
		s.logf("when %v", x.Trigger)
	default:
		s.logf("%s %s %s for %d ms, %d", x.Kind, a.name, b.name, x.DurationMs, x.N)
	}
	switch x.Kind {
	case stepWrite:
		o := s.newWrite(x.N%2, x.N/2)
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1+x.B*2, time.Second) })
	case stepRead:
		s.clientOps.Go(func() {
			for range 1 + x.N {
				s.readConfiguration(a)
				if s.hasFailed() {
					return
				}
				time.Sleep(contactTimeout / 16)
			}
		})
	case stepResend:
		s.history.mu.Lock()
		o := s.history.writes[x.N*(len(s.history.writes)-1)/7]
		s.history.mu.Unlock()
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1+x.B, time.Second) })
	case stepBurst:
		s.clientOps.Go(func() {
			for range x.N {
				if s.hasFailed() || s.sendWrite(s.newWrite(0, 0), x.A, 2, time.Second) == 0 {
					return
				}
			}
		})
	case stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
		s.handlerStep(x)
	case stepKill:
		s.crash(x.DurationMs, false, a)
	case stepKillAll:
		s.crash(x.DurationMs, false, s.cores...)
	case stepPowerLoss:
		s.crash(x.DurationMs, true, s.cores...)
	case stepReset:
		s.world.network.reset(a.ip, b.ip)
		s.world.network.reset(a.ip, outsideIP)
	case stepIsolate:
		s.isolate(x.DurationMs, a.ip, x.N)
	case stepDropOutgoing:
		s.block(x.DurationMs, []string{a.ip}, s.peersOf(a.ip, x.N))
	case stepDropIncoming:
		s.block(x.DurationMs, s.peersOf(a.ip, x.N), []string{a.ip})
	case stepPartition:
		var here []string
		for i, m := range s.cores {
			if x.N>>(i%3)&1 == 1 {
				here = append(here, m.ip)
			}
		}
		there := slices.DeleteFunc(s.othersThan(here...), func(ip string) bool { return ip == outsideIP })
		s.block(x.DurationMs, here, there)
		s.block(x.DurationMs, there, here)
	case stepDropAnswers:
		s.block(x.DurationMs, []string{a.ip}, []string{outsideIP})
	case stepHoldLink:
		s.holdLinks(x.DurationMs, []string{a.ip}, []string{b.ip})
	case stepFreeze:
		s.freeze(x.DurationMs, a.ip)
	case stepSlow:
		s.injectFor(x.DurationMs, func() { s.overlappingDelays[0]++; s.world.network.setDelay(time.Duration(1+x.N*10) * time.Millisecond) }, func() {
			if s.overlappingDelays[0]--; s.overlappingDelays[0] == 0 {
				s.world.network.setDelay(time.Millisecond)
			}
		})
	case stepReorder:
		s.injectFor(x.DurationMs, func() {
			s.overlappingDelays[1]++
			s.world.network.setJitter(time.Duration(1+x.N*20) * time.Millisecond)
		}, func() {
			if s.overlappingDelays[1]--; s.overlappingDelays[1] == 0 {
				s.world.network.setJitter(0)
			}
		})
	case stepTrigger, stepViewChange:
		if x.Kind == stepViewChange && x.N > 1 && !s.healAll() {
			return
		}
		s.mu.Lock()
		s.armedTriggers = append(s.armedTriggers, &trigger{x, x.Trigger.Occurrence})
		s.mu.Unlock()
		switch {
		case x.Kind == stepTrigger:
			return
		case x.N%2 == 0:
			s.crash(x.DurationMs, false, a)
		default:
			s.isolate(x.DurationMs, a.ip, x.N/2)
		}
		s.advance(contactTimeout / 2) // until the view has changed
	case stepWipe:
		if s.healAll() {
			s.writeBeforeDiskLoss(x)
			s.kill(a)
			s.wipeDisk(a)
			s.injectFor(x.DurationMs, func() {}, func() { s.start(a) })
		}
	case stepReplace:
		if s.healAll() {
			s.writeBeforeDiskLoss(x)
			s.kill(a)
			s.mu.Lock()
			s.cores = slices.Delete(slices.Clone(s.cores), x.A, x.A+1)
			s.mu.Unlock()
			s.injectFor(x.DurationMs, func() {}, func() {
				s.logf("an empty core comes in place of %s", a.name)
				s.addCore(false)
			})
			s.advance(time.Duration(x.DurationMs) * time.Millisecond) // the places are whole again from here on
		}
	case stepPowerWipe:
		if s.healAll() {
			s.writeBeforeDiskLoss(x)
			s.crash(x.DurationMs, true, s.cores...)
			s.wipeDisk(a)
		}
	}
}

// last has something acknowledged, or only sent, right before a disk is lost.
func (s *simulation) writeBeforeDiskLoss(x step) {
	say := x
	say.B = 0
	for _, w := range []struct {
		bit  int
		kind stepKind
	}{{1, stepHeartbeat}, {1, stepDrain}, {2, stepWrite}} {
		if x.N&w.bit == 0 {
			continue
		}
		say.Kind = w.kind
		var done <-chan struct{}
		if w.kind == stepWrite {
			o, sent := s.newWrite(0, 0), make(chan struct{})
			s.clientOps.Go(func() { s.sendWrite(o, x.A, 1, time.Second); close(sent) })
			done = sent
		} else {
			done = s.handlerStep(say)
		}
		for end := time.Now().Add(contactTimeout / 16); time.Now().Before(end); {
			s.advance(time.Millisecond)
			if x.N&4 != 0 && w.kind != stepHeartbeat {
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

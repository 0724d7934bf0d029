package cluster

// The steps of a schedule, and their faults: crashes, losses of disks and of
// power, links that are blocked or held.

import (
	"os"
	"slices"
	"time"
)

// crash kills cores and starts them again later. With a loss of power they also
// lose what a planted fault says.
func (s *simulation) crash(ms int, powerLoss bool, list ...*machine) {
	killed := s.kill(list...)
	for i, m := range killed {
		if powerLoss && s.fault.afterPowerLoss != nil {
			s.fault.afterPowerLoss(s, m)
		}
		// They come back together, or one after the other, in an order that the
		// duration decides.
		delay := (i + ms/200) % len(killed) * (ms / 100 % 2) * 1500
		s.injectFor(ms+delay, func() {}, func() { s.start(m) })
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

// adjustBlocks adds to the number of faults that block each link; a link works
// when none is left.
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

// block loses what goes from some machines to others.
func (s *simulation) block(ms int, from, to []string) {
	s.injectFor(ms, func() { s.adjustBlocks(1, from, to) }, func() { s.adjustBlocks(-1, from, to) })
}

// holdLinks delays what goes from some machines to others until the fault ends.
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

// othersThan returns the addresses of all cores but some, and of the clients.
func (s *simulation) othersThan(but ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cores {
		if !slices.Contains(but, m.ip) {
			out = append(out, m.ip)
		}
	}
	return append(out, clientIP)
}

// peersOf returns those that a machine is isolated from: the other cores, and
// with n odd the clients.
func (s *simulation) peersOf(ip string, n int) []string {
	return slices.DeleteFunc(s.othersThan(ip), func(o string) bool { return o == clientIP && n%2 == 0 })
}

func (s *simulation) isolate(ms int, ip string, n int) {
	rest := s.peersOf(ip, n)
	s.block(ms, []string{ip}, rest)
	s.block(ms, rest, []string{ip})
}

// freeze holds all that a machine sends and receives. Its process runs on, but
// what it does reaches nobody before the end of the fault, and what was sent to
// it meanwhile arrives then, all at once and late.
func (s *simulation) freeze(ms int, ip string) {
	others := s.othersThan(ip)
	s.holdLinks(ms, []string{ip}, others)
	s.holdLinks(ms, others, []string{ip})
}

// perform does one step: a call of a client, a fault of the network or of
// machines, a trigger, or the loss of a disk.
func (s *simulation) perform(x step) {
	s.logStep(x)
	switch x.Kind {
	case stepWrite, stepRead, stepResend, stepBurst, stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
		s.performCall(x)
	case stepKill, stepKillAll, stepPowerLoss, stepReset, stepSlow, stepReorder:
		s.performFault(x)
	case stepIsolate, stepDropOutgoing, stepDropIncoming, stepPartition, stepDropAnswers, stepHoldLink, stepFreeze:
		s.performLinkFault(x)
	case stepTrigger:
		s.arm(x)
	case stepViewChange:
		s.performViewChange(x)
	case stepWipe, stepReplace, stepPowerWipe:
		a := s.cores[x.A]
		if s.healAll() {
			s.performDiskLoss(x, a)
		}
	}
}

// logStep logs a step; calls log themselves, with their answers.
func (s *simulation) logStep(x step) {
	switch x.Kind {
	case stepWrite, stepRead, stepResend, stepBurst, stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
	case stepTrigger, stepViewChange:
		s.logf("when %v", x.Trigger)
	default:
		s.logf("%s %s %s for %d ms, %d", x.Kind, s.cores[x.A].name, s.cores[x.B].name, x.DurationMs, x.N)
	}
}

// performCall starts what a client does.
func (s *simulation) performCall(x step) {
	switch x.Kind {
	case stepWrite:
		o := s.newWrite(x.N%2, x.N/2)
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1+x.B*2) })
	case stepRead:
		core := s.cores[x.A]
		s.clientOps.Go(func() { s.readRepeatedly(core, 1+x.N) })
	case stepResend:
		s.history.mu.Lock()
		o := s.history.writes[x.N*(len(s.history.writes)-1)/7]
		s.history.mu.Unlock()
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1+x.B) })
	case stepBurst:
		s.clientOps.Go(func() { s.writeRepeatedly(x.A, x.N) })
	case stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
		s.handlerStep(x)
	}
}

func (s *simulation) readRepeatedly(m *machine, times int) {
	for range times {
		s.readConfiguration(m)
		if s.hasFailed() {
			return
		}
		time.Sleep(contactTimeout / 16)
	}
}

func (s *simulation) writeRepeatedly(first, times int) {
	for range times {
		if s.hasFailed() || s.sendWrite(s.newWrite(0, 0), first, 2) == 0 {
			return
		}
	}
}

// performFault injects a fault of machines or of the whole network.
func (s *simulation) performFault(x step) {
	a, b := s.cores[x.A], s.cores[x.B]
	switch x.Kind {
	case stepKill:
		s.crash(x.DurationMs, false, a)
	case stepKillAll:
		s.crash(x.DurationMs, false, s.cores...)
	case stepPowerLoss:
		s.crash(x.DurationMs, true, s.cores...)
	case stepReset:
		s.world.network.reset(a.ip, b.ip)
		s.world.network.reset(a.ip, clientIP)
	case stepSlow:
		s.injectFor(x.DurationMs, func() {
			s.activeSlows++
			s.world.network.setDelay(time.Duration(1+x.N*10) * time.Millisecond)
		}, func() {
			if s.activeSlows--; s.activeSlows == 0 {
				s.world.network.setDelay(time.Millisecond)
			}
		})
	case stepReorder:
		s.injectFor(x.DurationMs, func() {
			s.activeReorders++
			s.world.network.setJitter(time.Duration(1+x.N*20) * time.Millisecond)
		}, func() {
			if s.activeReorders--; s.activeReorders == 0 {
				s.world.network.setJitter(0)
			}
		})
	}
}

// performLinkFault blocks or holds links of a core.
func (s *simulation) performLinkFault(x step) {
	a, b := s.cores[x.A], s.cores[x.B]
	switch x.Kind {
	case stepIsolate:
		s.isolate(x.DurationMs, a.ip, x.N)
	case stepDropOutgoing:
		s.block(x.DurationMs, []string{a.ip}, s.peersOf(a.ip, x.N))
	case stepDropIncoming:
		s.block(x.DurationMs, s.peersOf(a.ip, x.N), []string{a.ip})
	case stepPartition:
		var group []string
		for i, m := range s.cores {
			if x.N>>(i%3)&1 == 1 {
				group = append(group, m.ip)
			}
		}
		peers := slices.DeleteFunc(s.othersThan(group...), func(ip string) bool { return ip == clientIP })
		s.block(x.DurationMs, group, peers)
		s.block(x.DurationMs, peers, group)
	case stepDropAnswers:
		s.block(x.DurationMs, []string{a.ip}, []string{clientIP})
	case stepHoldLink:
		s.holdLinks(x.DurationMs, []string{a.ip}, []string{b.ip})
	case stepFreeze:
		s.freeze(x.DurationMs, a.ip)
	}
}

// arm has a fault wait for its message.
func (s *simulation) arm(x step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armedTriggers = append(s.armedTriggers, &trigger{x, x.Trigger.Occurrence})
}

// performViewChange loses a core, so that the view changes, and has a fault wait
// for a message of that change.
func (s *simulation) performViewChange(x step) {
	a := s.cores[x.A]
	if x.N > 1 && !s.healAll() {
		return
	}
	s.arm(x)
	if x.N%2 == 0 {
		s.crash(x.DurationMs, false, a)
	} else {
		s.isolate(x.DurationMs, a.ip, x.N/2)
	}
	s.advance(contactTimeout / 2) // until the view has changed
}

// performDiskLoss loses the disk of a core, or the core itself, while no other
// fault is active.
func (s *simulation) performDiskLoss(x step, a *machine) {
	s.writeBeforeDiskLoss(x)
	switch x.Kind {
	case stepWipe:
		s.kill(a)
		s.wipeDisk(a)
		s.injectFor(x.DurationMs, func() {}, func() { s.start(a) })
	case stepReplace:
		s.kill(a)
		s.mu.Lock()
		s.cores = slices.Delete(slices.Clone(s.cores), x.A, x.A+1)
		s.mu.Unlock()
		s.injectFor(x.DurationMs, func() {}, func() {
			s.logf("an empty core replaces %s", a.name)
			s.addCore(false)
		})
		s.advance(time.Duration(x.DurationMs) * time.Millisecond) // from here on each index has its core again
	case stepPowerWipe:
		s.crash(x.DurationMs, true, s.cores...)
		s.wipeDisk(a)
	}
}

// writeBeforeDiskLoss has something acknowledged, or only sent, right before a
// disk is lost. The bits of N say what: 1 a heartbeat and a draining, 2 a write,
// and with 4 nothing but the heartbeat is waited for.
func (s *simulation) writeBeforeDiskLoss(x step) {
	for _, w := range []struct {
		bit  int
		kind stepKind
	}{{1, stepHeartbeat}, {1, stepDrain}, {2, stepWrite}} {
		if x.N&w.bit == 0 {
			continue
		}
		done := s.startCallBeforeDiskLoss(x, w.kind)
		s.advanceUntil(done, x.N&4 != 0 && w.kind != stepHeartbeat)
	}
}

// startCallBeforeDiskLoss starts one call; the channel is closed when it was answered.
func (s *simulation) startCallBeforeDiskLoss(x step, kind stepKind) <-chan struct{} {
	if kind == stepWrite {
		o, sent := s.newWrite(0, 0), make(chan struct{})
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1); close(sent) })
		return sent
	}
	call := x
	call.B = 0 // one attempt
	call.Kind = kind
	return s.handlerStep(call)
}

// advanceUntil advances by milliseconds until done is closed, for a sixteenth of
// the contact time-out at most; with sendOnly by one millisecond.
func (s *simulation) advanceUntil(done <-chan struct{}, sendOnly bool) {
	for end := time.Now().Add(contactTimeout / 16); time.Now().Before(end); {
		s.advance(time.Millisecond)
		if sendOnly {
			return
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

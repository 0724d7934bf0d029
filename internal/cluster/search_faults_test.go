package cluster

// Execution of the steps of a schedule and their faults: crashes, loss of disks
// and of power, and blocked or held links.

import (
	"os"
	"slices"
	"time"
)

// crash kills cores and restarts them later. With powerLoss a planted fault may
// change what is left on their disks.
func (s *simulation) crash(ms int, powerLoss bool, list ...*machine) {
	killed := s.kill(list...)
	for i, m := range killed {
		if powerLoss && s.fault.afterPowerLoss != nil {
			s.fault.afterPowerLoss(s, m)
		}
		// The duration determines whether the cores restart together or in
		// sequence, and in which order.
		delay := (i + ms/200) % len(killed) * (ms / 100 % 2) * 1500
		s.injectFor(ms+delay, func() {}, func() { s.start(m) })
	}
}

func (s *simulation) wipeDisk(m *machine) {
	s.logf("disk of %s wiped", m.name)
	s.diskLosses++
	s.mu.Lock()
	delete(s.latestViewNumber, m.name)
	s.mu.Unlock()
	if err := os.RemoveAll(m.dataPath); err != nil {
		s.fail("start", "wipe the disk of %s: %v", m.name, err)
	}
}

// adjustBlocks adds to the number of faults that block each link. A link is
// unblocked when its number returns to 0, so that faults may overlap.
func (s *simulation) adjustBlocks(delta int, from, to []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				s.blockedLinks[[2]string{a, b}] += delta
				s.world.network.setBlocked([]string{a}, []string{b}, s.blockedLinks[[2]string{a, b}] > 0)
			}
		}
	}
}

// block drops traffic from one set of machines to another until the fault ends.
func (s *simulation) block(ms int, from, to []string) {
	s.injectFor(ms, func() { s.adjustBlocks(1, from, to) }, func() { s.adjustBlocks(-1, from, to) })
}

// holdLinks delays traffic from one set of machines to another until the fault
// ends.
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

// addressesExcept returns the addresses of all cores except the given ones, and
// the address of the clients.
func (s *simulation) addressesExcept(excluded ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cores {
		if !slices.Contains(excluded, m.ip) {
			out = append(out, m.ip)
		}
	}
	return append(out, clientIP)
}

// peersOf returns the addresses from which a machine is isolated: the other
// cores, and the clients if n is odd.
func (s *simulation) peersOf(ip string, n int) []string {
	return slices.DeleteFunc(s.addressesExcept(ip), func(o string) bool { return o == clientIP && n%2 == 0 })
}

func (s *simulation) isolate(ms int, ip string, n int) {
	rest := s.peersOf(ip, n)
	s.block(ms, []string{ip}, rest)
	s.block(ms, rest, []string{ip})
}

// freeze holds all traffic from and to a machine. Its process keeps running; held
// traffic in both directions is delivered late and all at once when the fault
// ends.
func (s *simulation) freeze(ms int, ip string) {
	others := s.addressesExcept(ip)
	s.holdLinks(ms, []string{ip}, others)
	s.holdLinks(ms, others, []string{ip})
}

// perform executes one step: a client request, a fault of the network or of
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

// logStep logs a step. Client requests are logged with their responses instead.
func (s *simulation) logStep(x step) {
	switch x.Kind {
	case stepWrite, stepRead, stepResend, stepBurst, stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
	case stepTrigger, stepViewChange:
		s.logf("armed trigger: when %v", x.Trigger)
	default:
		s.logf("step %s: cores %s and %s, %d ms, N=%d", x.Kind, s.cores[x.A].name, s.cores[x.B].name, x.DurationMs, x.N)
	}
}

// performCall starts the client requests of a step without waiting for them.
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
		s.startHandlerCall(x)
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

// performFault injects a fault of machines, connections or the whole network.
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

// performLinkFault blocks or holds links between cores or to the clients.
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
		peers := slices.DeleteFunc(s.addressesExcept(group...), func(ip string) bool { return ip == clientIP })
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

// arm registers a fault to be injected on its message.
func (s *simulation) arm(x step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armedTriggers = append(s.armedTriggers, &trigger{x, x.Trigger.Occurrence})
}

// performViewChange crashes or isolates a core to cause a view change, and arms a
// fault on a message of that view change.
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

// performDiskLoss wipes the disk of a core or replaces the core. No other fault
// may be active.
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
		s.advance(time.Duration(x.DurationMs) * time.Millisecond) // later steps index the full number of cores
	case stepPowerWipe:
		s.crash(x.DurationMs, true, s.cores...)
		s.wipeDisk(a)
	}
}

// writeBeforeDiskLoss issues requests right before a disk is lost. N is a bit
// mask: 1 sends a heartbeat and a change to draining, 2 sends a write, and 4 waits
// for the response to the heartbeat only.
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

// startCallBeforeDiskLoss starts one request with a single attempt. The returned
// channel is closed when the attempt ends.
func (s *simulation) startCallBeforeDiskLoss(x step, kind stepKind) <-chan struct{} {
	if kind == stepWrite {
		o, sent := s.newWrite(0, 0), make(chan struct{})
		s.clientOps.Go(func() { s.sendWrite(o, x.A, 1); close(sent) })
		return sent
	}
	call := x
	call.B = 0 // no retries
	call.Kind = kind
	return s.startHandlerCall(call)
}

// advanceUntil advances the clock in steps of one millisecond until done is
// closed, up to a sixteenth of the contact timeout. With sendOnly it advances by
// one millisecond.
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

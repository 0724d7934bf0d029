package cluster

// Execution of a schedule: its steps in sequence, the simulated clock with the
// actions that become due as it advances, and the verification of the final state.

import (
	"fmt"
	"slices"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/handler"
)

// delayedAction is an action scheduled for a time on the simulated clock.
type delayedAction struct {
	dueAt   time.Time
	perform func()
}

// run bootstraps the cluster, performs the steps of the schedule and verifies the
// final state.
func (s *simulation) run() {
	for range s.schedule.Cores {
		s.addCore(true)
	}
	first := s.newWrite(0, 0)
	if !s.requireWithin(15*time.Second, "the first configuration is not accepted", func() bool { return s.sendWrite(first, 0, 1) == 200 }) {
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

// startBackgroundLoad starts an operator that writes continuously and a reader for
// each core. They stop when the final state is verified.
func (s *simulation) startBackgroundLoad() {
	repeat := func(f func(n int)) {
		s.clientOps.Go(func() {
			for n := 0; !s.hasFailed() && !s.isFinishing(); n++ {
				f(n)
				time.Sleep(contactTimeout / 8)
			}
		})
	}
	repeat(func(n int) { s.sendWrite(s.newWrite(0, 0), n, 3) })
	for i := range s.schedule.Cores {
		repeat(func(int) {
			s.mu.Lock()
			m := s.cores[i%len(s.cores)]
			s.mu.Unlock()
			s.readConfiguration(m)
		})
	}
}

// isFinishing reports whether all steps have been performed.
func (s *simulation) isFinishing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishing
}

// verifyFinalState ends all faults and verifies that the cores converge, and that
// they do so again after the crash of one more core.
func (s *simulation) verifyFinalState() {
	s.mu.Lock()
	s.finishing = true
	s.mu.Unlock()
	if !s.healAll() {
		return
	}
	s.clientOps.Wait()
	if !s.verifyConverged("after the end of all faults") {
		return
	}
	lost := s.cores[s.schedule.FinalLoss]
	s.kill(lost)
	if !s.verifyWrite("after the final crash") {
		return
	}
	s.start(lost)
	if !s.verifyConverged("after the final restart") {
		return
	}
	for _, m := range s.cores {
		s.requireWithin(8*time.Second, m.name+" does not report its status", func() bool { return s.verifyHandlers(m) })
	}
}

// verifyHandlers checks that the status of a core reports no deregistered handler
// as ready. It returns false if the status cannot be read.
func (s *simulation) verifyHandlers(m *machine) bool {
	o, err := s.statusOf(m)
	if err != nil {
		return false
	}
	for _, h := range o.Handlers {
		if h.State == handler.Ready && s.deregistered[h.ID] != nil {
			s.fail("instance", "%s reports %s as ready in the final state, although it is deregistered", m.name, h.ID)
		}
	}
	return true
}

// verifyConverged verifies that a write is acknowledged, that all cores are
// members and voters of one view, and that each serves reads.
func (s *simulation) verifyConverged(when string) bool {
	if !s.verifyWrite(when) || !s.verifyFullView(2*syncTime, when) {
		return false
	}
	for _, m := range s.cores {
		if !s.requireWithin(8*time.Second, m.name+" cannot be read "+when, func() bool { return s.readConfiguration(m) }) {
			return false
		}
	}
	return !s.hasFailed()
}

// verifyWrite verifies that a write is acknowledged.
func (s *simulation) verifyWrite(when string) bool {
	return s.requireWithin(15*time.Second, "no write is acknowledged "+when, func() bool {
		o := s.newWrite(0, 0)
		for range 8 { // retries the same write, since its response may be lost
			if code := s.sendWrite(o, 0, s.schedule.Cores); code != 0 {
				return code == 200
			}
		}
		return false
	})
}

// verifyFullView waits until all running cores are members and voters of one view.
func (s *simulation) verifyFullView(limit time.Duration, when string) bool {
	var report string
	ok := s.pollUntil(limit, func() (full bool) {
		full, report = s.hasFullView()
		return full
	})
	if !ok && !s.hasFailed() {
		s.fail("membership", "not all cores are members and voters %s within %v:%s", when, limit, report)
	}
	return ok
}

// hasFullView reports whether all cores are members and voters of the same view.
// The report lists the views queried, up to the first that is incomplete.
func (s *simulation) hasFullView() (full bool, report string) {
	var want []string
	for _, m := range s.cores {
		want = append(want, internalAddress(m))
	}
	slices.Sort(want)
	numbers := map[int64]bool{}
	for _, m := range s.cores {
		v, err := s.viewOf(m)
		report += fmt.Sprintf("\n    %s: %v, %v", m.name, v, err)
		if err != nil || !slices.Equal(sortedAddresses(v.Members), want) || !slices.Equal(sortedAddresses(v.Voters), want) {
			return false, report
		}
		numbers[v.Number] = true
	}
	return len(numbers) == 1, report
}

func sortedAddresses(list []chain.Member) (out []string) {
	for _, m := range list {
		out = append(out, m.Address)
	}
	slices.Sort(out)
	return out
}

// pollUntil advances the clock until f returns true, the limit has elapsed or a
// violation is recorded.
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

// requireWithin is like pollUntil but records a violation on timeout.
func (s *simulation) requireWithin(limit time.Duration, failure string, f func() bool) bool {
	ok := s.pollUntil(limit, f)
	if !ok && !s.hasFailed() {
		s.fail("stuck", "%s within %v", failure, limit)
	}
	return ok
}

// advance advances the clock by d and performs the actions that become due.
func (s *simulation) advance(d time.Duration) {
	end := time.Now().Add(d)
	for {
		now := time.Now()
		slices.SortStableFunc(s.pendingActions, func(a, b delayedAction) int { return a.dueAt.Compare(b.dueAt) })
		if len(s.pendingActions) > 0 && !s.pendingActions[0].dueAt.After(now) {
			e := s.pendingActions[0]
			s.pendingActions = s.pendingActions[1:]
			e.perform()
			continue
		}
		if !now.Before(end) {
			return
		}
		next := end
		if len(s.pendingActions) > 0 && s.pendingActions[0].dueAt.Before(next) {
			next = s.pendingActions[0].dueAt
		}
		if s.fault.onTick != nil {
			s.fault.onTick(s)
			if tick := now.Add(100 * time.Millisecond); tick.Before(next) {
				next = tick
			}
		}
		s.waitForAction(next.Sub(now))
	}
}

// waitForAction waits until the limit has elapsed or a trigger adds an action.
func (s *simulation) waitForAction(limit time.Duration) {
	timer := time.NewTimer(limit)
	select {
	case <-timer.C:
	case e := <-s.triggeredActions:
		s.pendingActions = append(s.pendingActions, e)
	}
	timer.Stop()
}

// injectFor starts a fault and schedules its end after ms milliseconds.
func (s *simulation) injectFor(ms int, start, end func()) {
	start()
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	s.pendingActions = append(s.pendingActions, delayedAction{time.Now().Add(time.Duration(ms) * time.Millisecond), func() { s.endFault(end) }})
}

func (s *simulation) endFault(end func()) {
	end()
	s.mu.Lock()
	s.activeFaults--
	s.lastFaultEnd = time.Now()
	s.mu.Unlock()
}

// endAllFaults performs all pending actions immediately.
func (s *simulation) endAllFaults() {
	for {
		select {
		case e := <-s.triggeredActions:
			s.pendingActions = append(s.pendingActions, e)
			continue
		default:
		}
		if len(s.pendingActions) == 0 {
			return
		}
		e := s.pendingActions[0]
		s.pendingActions = s.pendingActions[1:]
		e.perform()
	}
}

// healAll ends all faults and waits until all cores are members and voters again,
// which is required before another disk may be lost. No schedule restores a disk
// without some of the writes acknowledged on it: that is the loss of a disk that
// keeps its identity, for which the system guarantees nothing.
func (s *simulation) healAll() bool {
	s.mu.Lock()
	s.armedTriggers = nil
	s.mu.Unlock()
	s.endAllFaults()
	s.advance(syncTime)
	return s.verifyFullView(2*syncTime, "without faults")
}

// endFaultAfter counts a fault as active and schedules its end, which the goroutine
// that performs the steps executes. It may be called from any goroutine.
func (s *simulation) endFaultAfter(ms int, end func()) {
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	s.triggeredActions <- delayedAction{time.Now().Add(time.Duration(ms) * time.Millisecond), func() { s.endFault(end) }}
}

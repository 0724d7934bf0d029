package controller

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/rpc"
)

// answerAfter answers all calls after a delay, unless their context ends before.
func answerAfter(delay time.Duration) func(context.Context, string, string, any, any) error {
	return func(ctx context.Context, _, _ string, _, _ any) error {
		select {
		case <-time.After(delay):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func TestProbeDecidesWhetherASuspectedStoreFailed(t *testing.T) {
	timing := timing{testContactTimeout}
	for name, c := range map[string]struct {
		stores int // number of stores with overdue heartbeats
		answer func(context.Context, string, string, any, any) error
		failed int
	}{
		"answers in time":                   {1, answerAfter(timing.probeTimeout() / 2), 0},
		"answers late":                      {1, answerAfter(timing.probeTimeout() * 2), 1},
		"connection refused":                {1, func(context.Context, string, string, any, any) error { return syscall.ECONNREFUSED }, 1},
		"answers with an error":             {1, func(context.Context, string, string, any, any) error { return &rpc.StatusError{Code: 503} }, 1},
		"many late at once: longer timeout": {4, answerAfter(timing.probeTimeout() * 2), 0},
		"many never answer":                 {4, answerAfter(time.Hour), 4},
		"many refuse: no longer timeout":    {4, func(context.Context, string, string, any, any) error { return syscall.ECONNREFUSED }, 4},
		"as many late as may fail at once":  {1, answerAfter(time.Hour), 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			controller, cluster := newTestController(t)
			cluster.handleCall = c.answer
			for i := range c.stores {
				cluster.setStore(fmt.Sprintf("store-%d", i), testContactTimeout)
			}
			failed := 0
			statuses := controller.failures.storeStatuses(t.Context())
			for _, s := range statuses {
				if !s.Alive {
					failed++
				}
			}
			if failed != c.failed || len(statuses) != c.stores {
				t.Errorf("%s: %d of %d stores failed, want %d", name, failed, len(statuses), c.failed)
			}
		})
	}
}

// Over a slow network, opening a connection takes as long as the call that follows, so
// each must have the whole timeout.
func TestProbeHasTimeForItsConnection(t *testing.T) {
	timeout := timing{testContactTimeout}.probeTimeout()
	for name, c := range map[string]struct {
		connect, answer time.Duration
		failed          bool
	}{
		"both in time":                {timeout * 7 / 8, timeout * 7 / 8, false},
		"no connection":               {timeout * 2, 0, true},
		"a connection, and no answer": {0, timeout * 2, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			controller, cluster := newTestController(t)
			cluster.setStore("a", testContactTimeout)
			cluster.handleCall = answerAfter(c.answer)
			cluster.connect = func(ctx context.Context) error { return answerAfter(c.connect)(ctx, "", "", nil, nil) }
			if failed := !controller.failures.storeStatuses(t.Context())["a"].Alive; failed != c.failed {
				t.Errorf("%s: failed %v", name, failed)
			}
		})
	}
}

// A core that did not get the CPU when the timeout of a ping expired must ping again
// rather than mark the node as failed.
func TestPingIsRepeatedWhenItsTimeoutExpiresLate(t *testing.T) {
	timeout := timing{testContactTimeout}.probeTimeout()
	late, inTime := timeout+timing{testContactTimeout}.timeoutTolerance(timeout), timeout
	for name, c := range map[string]struct {
		expirations []time.Duration // time after which the timeout of each unanswered ping expires
		pings       int
		failed      bool
	}{
		"in time":                   {[]time.Duration{inTime}, 1, true},
		"late, then answered":       {[]time.Duration{late}, 2, false},
		"late, then in time":        {[]time.Duration{late, inTime}, 2, true},
		"late twice, then answered": {[]time.Duration{late, late}, 3, false},
		"always late":               {[]time.Duration{late, late, late, late}, maxPingAttempts, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			controller, cluster := newTestController(t)
			cluster.setStore("a", testContactTimeout)
			pings := 0
			cluster.handleCall = func(context.Context, string, string, any, any) error {
				if pings++; pings > len(c.expirations) {
					return nil
				}
				time.Sleep(c.expirations[pings-1])
				return context.DeadlineExceeded
			}
			failed := !controller.failures.storeStatuses(t.Context())["a"].Alive
			if failed != c.failed || pings != c.pings {
				t.Errorf("%s: failed %v after %d pings", name, failed, pings)
			}
		})
	}
}

func TestFailedStoreRecoversWithItsNextHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, cluster := newTestController(t)
		cluster.handleCall = answerAfter(time.Hour)
		alive := func() bool { return c.failures.storeStatuses(t.Context())["a"].Alive }
		cluster.setStore("a", testContactTimeout)
		if alive() {
			t.Error("a store that does not answer counts as alive")
		}
		probes := cluster.callsTo("a", "/ping")
		time.Sleep(time.Second)
		cluster.setStore("a", testContactTimeout+time.Second)
		if alive() || cluster.callsTo("a", "/ping") != probes {
			t.Error("a failed store is probed again or counts as alive without a new heartbeat")
		}
		cluster.setStore("a", 0)
		if !alive() {
			t.Error("a failed store that sent a new heartbeat does not count as alive")
		}
	})
}

func TestOnlyProbesOfSomeAgeCountAsUnanswered(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	probes := map[string]time.Time{"old": now.Add(-time.Minute), "at the bound": now.Add(-time.Second), "new": now}
	for after, want := range map[time.Duration]int{0: 2, time.Second: 1, time.Hour: 0} {
		if got := countUnanswered(probes, now, after); got != want {
			t.Errorf("after %v: %d, not %d", after, got, want)
		}
	}
}

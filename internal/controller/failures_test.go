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

// answerAfter has all probes answered after a while, or ended by their timeout.
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
		stores int // whose heartbeats are overdue
		answer func(context.Context, string, string, any, any) error
		failed int
	}{
		"answers in time":                     {1, answerAfter(timing.probeTimeout() / 2), 0},
		"answers late":                        {1, answerAfter(timing.probeTimeout() * 2), 1},
		"connection refused":                  {1, func(context.Context, string, string, any, any) error { return syscall.ECONNREFUSED }, 1},
		"answers with an error":               {1, func(context.Context, string, string, any, any) error { return &rpc.StatusError{Code: 503} }, 1},
		"many late at once have more time":    {4, answerAfter(timing.probeTimeout() * 2), 0},
		"many that do not answer at all":      {4, answerAfter(time.Hour), 4},
		"many refuse, which is no slowness":   {4, func(context.Context, string, string, any, any) error { return syscall.ECONNREFUSED }, 4},
		"as many late as may be lost at once": {1, answerAfter(time.Hour), 1},
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
				t.Errorf("%s: %d of %d have failed, not %d", name, failed, len(statuses), c.failed)
			}
		})
	}
}

// Over a slow network opening a connection takes as long as the call after it.
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

// A core that was without the processor when a probe timed out pings again.
func TestPingIsRepeatedWhenItsTimeoutExpiresLate(t *testing.T) {
	timeout := timing{testContactTimeout}.probeTimeout()
	late, inTime := timeout+timing{testContactTimeout}.timeoutTolerance(timeout), timeout
	for name, c := range map[string]struct {
		expirations []time.Duration // after which each ping is seen to be unanswered
		pings       int
		failed      bool
	}{
		"in time":                       {[]time.Duration{inTime}, 1, true},
		"late, then answered":           {[]time.Duration{late}, 2, false},
		"late, then in time":            {[]time.Duration{late, inTime}, 2, true},
		"late twice, then answered":     {[]time.Duration{late, late}, 3, false},
		"always late, as with no share": {[]time.Duration{late, late, late, late}, maxPingAttempts, true},
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
			t.Error("a store that does not answer is alive")
		}
		probes := cluster.callsTo("a", "/ping")
		time.Sleep(time.Second)
		cluster.setStore("a", testContactTimeout+time.Second)
		if alive() || cluster.callsTo("a", "/ping") != probes {
			t.Error("a failed store is probed again, or alive without a heartbeat")
		}
		cluster.setStore("a", 0)
		if !alive() {
			t.Error("a store that sent a heartbeat since is not alive")
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

package partition

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTimingIsDerivedFromTheContactTimeout(t *testing.T) {
	timing := timing{4 * time.Second}
	for name, c := range map[string]struct{ got, want time.Duration }{
		"lease":               {timing.lease(), 600 * time.Millisecond},
		"lease tick":          {timing.leaseTick(), 150 * time.Millisecond},
		"lease renewal":       {timing.leaseRenewal(), 450 * time.Millisecond},
		"replication backoff": {timing.replicationBackoff(), 37500 * time.Microsecond},
		"slow backup":         {timing.slowBackup(), 100 * time.Millisecond},
		"write retry":         {timing.writeRetry(), 100 * time.Millisecond},
		"disk check":          {timing.diskCheck(), 100 * time.Millisecond},
		"stalled write":       {timing.stalledWrite(), 250 * time.Millisecond},
		"slow write":          {timing.slowWrite(), 80 * time.Millisecond},
		"takeover margin":     {timing.takeoverMargin(), 100 * time.Millisecond},
		"verification poll":   {timing.verificationPoll(), 20 * time.Millisecond},
		"expiry sweep":        {timing.expirySweep(), time.Second},
		"reconcile timeout":   {timing.reconcileTimeout(), 2 * time.Second},
		"reconcile interval":  {timing.reconcileInterval(), 500 * time.Millisecond},
		"fetch timeout":       {timing.fetchTimeout(), 500 * time.Millisecond},
		"in-sync interval":    {timing.inSyncReportInterval(), 500 * time.Millisecond},
		"in-sync timeout":     {timing.inSyncReportTimeout(), time.Second},
		"handover poll":       {timing.handoverPoll(), 5 * time.Millisecond},
		"handover validity":   {timing.handoverValidity(), time.Second},
		"renewal and a tick":  {timing.leaseRenewal() + timing.leaseTick(), timing.lease()},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}

func TestClockFollowsTheMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		c := clock{started}
		time.Sleep(1500 * time.Millisecond)
		if got := c.now() - started.UnixMilli(); got != 1500 {
			t.Errorf("%d ms after 1500", got)
		}
	})
}

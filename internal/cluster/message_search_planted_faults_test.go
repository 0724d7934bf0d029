package cluster

import (
	"testing"
	"time"
)

// Guards against checks of the message search that detect nothing: each planted fault
// must be reported under its class within a few schedules.
func TestMessageSearchFindsPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault maintenanceFault
		class string
		seeds []int // tried in this order
	}{
		"SIGHUP ends a draining process":            {maintenanceFault{releasesSIGHUP: true}, "unanswered", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
		"a draining edge closes without a response": {maintenanceFault{closesWithoutResponse: true}, "unanswered", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
		"an accepted message is not stored":         {maintenanceFault{dropsRecords: true}, "lost", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for _, seed := range c.seeds {
				f := runMaintenance(t, drawMaintenance(seed), c.fault)
				if f != nil && f.class == c.class {
					t.Logf("found with seed %d after %v: %.300v", seed, time.Since(began).Round(time.Millisecond), f)
					return
				}
				t.Logf("seed %d: %v", seed, f)
			}
			t.Errorf("the schedules of seeds %v did not report the planted fault as %q", c.seeds, c.class)
		})
	}
}

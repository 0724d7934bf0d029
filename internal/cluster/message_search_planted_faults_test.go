package cluster

import (
	"testing"
	"time"
)

// Each check of the message search finds a fault that is planted from outside,
// within a few schedules.
func TestMessageSearchFindsPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault maintenanceFault
		class string
		seeds []int // that find it
	}{
		"SIGHUP ends a process that drains":   {maintenanceFault{releasesSIGHUP: true}, "unanswered", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
		"a shutdown closes without an answer": {maintenanceFault{closesWithoutResponse: true}, "unanswered", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
		"a record is on no store":             {maintenanceFault{dropsRecords: true}, "lost", []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23}},
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
			t.Errorf("the schedules %v did not find it as %q", c.seeds, c.class)
		})
	}
}

package processtest

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// A soak runs a fleet of real processes under traffic, while processes are stopped, killed,
// restarted, suspended and reconfigured and while clients that do not behave open connections.
// All of it is drawn from the seed; what the processes do with it also depends on the machine.
// At most one store is replaced by an empty one, and all other disks are kept, so no fault
// excuses a broken guarantee:
//   - a message, which its client sends once, is in one partition;
//   - a message that was refused with 429, 503, 408 or 421 never runs;
//   - an accepted message runs, and its state is reported with the seal of a run that succeeded;
//   - messages of an order key start in the order in which they were accepted;
//   - an acknowledged configuration stays in force;
//   - no process exits by itself, and one that is stopped exits with code 0;
//   - each process stays within its memory and its descriptors.
var (
	runSoaks  = flag.Bool("soak", false, "run the soak")
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seeds     = flag.Int("soak.seeds", 3, "number of seeds of the soak")
	parallel  = flag.Int("soak.parallel", 1, "number of seeds that run at once")
	soakTime  = flag.Duration("soak.time", 10*time.Second, "how long the faults of one seed last")
	soakLarge = flag.Int("soak.large", 0, "number of processes of each tenth seed; 0: as of the others")
)

func TestSoak(t *testing.T) {
	if !*runSoaks {
		t.Skip("needs the flag -soak")
	}
	slots := make(chan int, *parallel)
	for slot := range *parallel {
		slots <- slot
	}
	t.Run("seeds", func(t *testing.T) {
		for i := range *seeds {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				if *parallel > 1 {
					t.Parallel()
				}
				slot := <-slots
				t.Cleanup(func() { slots <- slot }) // after the cleanup of the run
				runSoak(t, seed, slot)
			})
		}
	})
}

// recoveryTimeout bounds how long the fleet may take to run all accepted messages once all its
// processes are up again. It is far above the settings, since it only detects what never ends.
const recoveryTimeout = 90 * time.Second

func runSoak(t *testing.T, seed uint64, slot int) {
	f := newFleet(t, seed, slot)
	f.startAll()
	traffic := startTraffic(f)
	f.waitUntil("messages run", func() bool { return traffic.completed() > 0 })
	s := &soak{fleet: f}
	s.run(*soakTime)
	f.restartAll()
	traffic.stopClients()
	f.waitUntil("all accepted messages have run", func() bool { return traffic.unfinished() == 0 })
	traffic.check(t)
	f.checkPartitions(traffic)
	f.waitUntil("the newest acknowledged configuration is in force", func() bool { return f.configurationIsKept() })
	f.stopAll()
	t.Logf("seed %d: %d processes, events %v, %s", seed, len(f.present()), s.counts, traffic)
}

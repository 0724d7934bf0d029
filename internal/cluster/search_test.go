package cluster

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The search runs random schedules on whole clusters of cores and checks what
// operators, readers, handlers and nodes were answered.
//
//	go test ./internal/cluster -run TestSearch                       the seeds of each build
//	go test ./internal/cluster -run TestSearch -search.seed 17       one of them again
//	go test ./internal/cluster -run TestSearch -search.count 5000    many
//	go test ./internal/cluster -run TestSearch -search.for 1h        as many as there is time for
//
// The simulated clock does not order what goroutines do at one moment, so a
// schedule is the same each time, and what happens in it nearly so: a single seed
// is run -search.again times before it counts as successful. In CI each is run
// once.
var (
	searchSeed  = flag.Int("search.seed", envInt("SALTREEL_SEARCH_SEED", 0), "run only the schedule of this seed")
	searchFirst = flag.Int("search.first", 1, "the first seed")
	searchCount = flag.Int("search.count", 100, "how many schedules are run")
	searchFor   = flag.Duration("search.for", 0, "run schedules for so long")
	searchAgain = flag.Int("search.again", 5, "how often a single seed is run")
	searchAll   = flag.Bool("search.all", false, "run all seeds with each planted fault, and list those that find it")
	shrinkFor   = flag.Duration("search.shrink", 20*time.Second, "how long a schedule that fails is shrunk")
)

func envInt(name string, other int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return other
}

func TestSearch(t *testing.T) {
	if *searchSeed != 0 {
		checkSeed(t, *searchSeed, *searchAgain)
		return
	}
	began := time.Now()
	executed, failed := runSeeds(t, *searchFirst, *searchCount, *searchFor, func(t *testing.T, seed int) bool { return checkSeed(t, seed, 1) })
	totals.Lock()
	defer totals.Unlock()
	t.Logf("%d schedules in %v, %d failed; in them %v", executed, time.Since(began).Round(time.Second), failed, totals.n)
}

// runSeeds checks seeds in parallel: so many, or, with a duration, as many as
// there is time for. It returns how many were checked and how many failed.
func runSeeds(t *testing.T, first, count int, duration time.Duration, check func(t *testing.T, seed int) bool) (executed, failed int64) {
	t.Helper()
	began := time.Now()
	var next, executions, failures atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for worker := range runtime.GOMAXPROCS(0) {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for {
					n := int(next.Add(1)) - 1
					if duration > 0 && time.Since(began) > duration || duration == 0 && n >= count {
						return
					}
					if !check(t, first+n) {
						failures.Add(1)
					}
					executions.Add(1)
				}
			})
		}
	})
	return executions.Load(), failures.Load()
}

// checkSeed runs the schedule of a seed; one that fails is shrunk and printed.
func checkSeed(t *testing.T, seed, times int) bool {
	t.Helper()
	plan := drawSchedule(seed)
	for range times {
		f := runSchedule(t, plan, plantedFault{})
		if f == nil {
			continue
		}
		small, g := shrinkSchedule(t, seed, plan, f, plantedFault{})
		t.Errorf("seed %d fails (-search.seed %[1]d): %s\n\nshrunk:\n%v\n\n%v\n\nas drawn:\n%v\n\n%v", seed, f.class, small, g, plan, f)
		return false
	}
	return true
}

// rapidFlags guards the flags of rapid, by which alone a seed can be given to it.
var rapidFlags sync.Mutex

// drawSchedule returns the schedule of a seed.
func drawSchedule(seed int) schedule {
	rapidFlags.Lock()
	defer rapidFlags.Unlock()
	return scheduleGenerator.Example(seed)
}

// shrink looks for a smaller schedule that fails in the same way.
func shrinkSchedule(t *testing.T, seed int, plan schedule, f *violation, p plantedFault) (schedule, *violation) {
	t.Helper()
	if *shrinkFor <= 0 {
		return plan, f
	}
	rapidFlags.Lock()
	defer rapidFlags.Unlock()
	for name, value := range map[string]string{"seed": fmt.Sprint(seed), "checks": "1", "nofailfile": "true", "shrinktime": shrinkFor.String()} {
		if err := flag.Set("rapid."+name, value); err != nil {
			t.Fatal(err)
		}
	}
	small := f
	best := plan
	known := map[string]bool{plan.String(): true} // rapid wants the same answer each time
	done := make(chan struct{})
	go func() { // rapid ends the goroutine of a check that failed
		defer close(done)
		rapid.Check(&discardTB{}, func(rt *rapid.T) {
			x := scheduleGenerator.Draw(rt, "schedule")
			key := x.String()
			fails, ok := known[key]
			for try := 0; !ok && !fails && try < 2; try++ {
				if g := runSchedule(t, x, p); g != nil && g.class == f.class {
					fails, best, small = true, x, g
				}
			}
			known[key] = fails
			if fails {
				rt.Fatal(f.class)
			}
		})
	}()
	<-done
	return best, small
}

// silentTB is a rapid.TB without output: the search reports what it found itself.
type discardTB struct{ failed atomic.Bool }

func (*discardTB) Helper() {}

func (*discardTB) Name() string { return "search" }

func (*discardTB) Logf(string, ...any) {}

func (*discardTB) Log(...any) {}

func (*discardTB) Skipf(string, ...any) {}

func (*discardTB) Skip(...any) {}

func (*discardTB) SkipNow() {}

func (q *discardTB) Errorf(string, ...any) { q.Fail() }

func (q *discardTB) Error(...any) { q.Fail() }

func (q *discardTB) Fatalf(string, ...any) { q.FailNow() }

func (q *discardTB) Fatal(...any) { q.FailNow() }

func (q *discardTB) FailNow() { q.Fail(); runtime.Goexit() }

func (q *discardTB) Fail() { q.failed.Store(true) }

func (q *discardTB) Failed() bool { return q.failed.Load() }

// The schedule that rapid shrinks must be the one that the seed stands for.
func TestShrinkingStartsFromTheExecutedSchedule(t *testing.T) {
	for seed := 1; seed < 50; seed++ {
		plan := drawSchedule(seed)
		rapidFlags.Lock()
		_ = flag.Set("rapid.seed", fmt.Sprint(seed))
		_ = flag.Set("rapid.checks", "1")
		same := false
		rapid.Check(&discardTB{}, func(rt *rapid.T) { same = scheduleGenerator.Draw(rt, "schedule").String() == plan.String() })
		rapidFlags.Unlock()
		if !same {
			t.Fatalf("seed %d: another schedule is shrunk than executed", seed)
		}
	}
}

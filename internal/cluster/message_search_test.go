package cluster

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// The message search runs random schedules of planned work, overlapping each
// other and nothing else, or with faults beside them, on whole clusters that take
// and deliver messages. It checks what clients, handlers and those who ask about
// messages see: message_search_checks_test.go.
//
//	go test ./internal/cluster -run TestMessageSearch                           the seeds of each build
//	go test ./internal/cluster -run TestMessageSearch -search.messages.seed 17  one of them again
//	go test ./internal/cluster -run TestMessageSearch -search.messages.for 10m  as many as there is time for
//
// An odd seed is planned work only.
var (
	messageSearchSeed  = flag.Int("search.messages.seed", 0, "run only the message schedule of this seed")
	messageSearchFirst = flag.Int("search.messages.first", 1, "the first seed of the message search")
	messageSearchCount = flag.Int("search.messages.count", defaultMessageSchedules, "how many message schedules are run")
	messageSearchFor   = flag.Duration("search.messages.for", 0, "run message schedules for so long")
)

func TestMessageSearch(t *testing.T) {
	if *messageSearchSeed != 0 {
		checkMaintenanceSeed(t, *messageSearchSeed)
		return
	}
	began := time.Now()
	executed, failed := runSeeds(t, *messageSearchFirst, *messageSearchCount, *messageSearchFor, checkMaintenanceSeed)
	t.Logf("%d schedules in %v, %d failed", executed, time.Since(began).Round(time.Second), failed)
}

// checkMaintenanceSeed runs the schedule of a seed, and prints it if it fails.
func checkMaintenanceSeed(t *testing.T, seed int) bool {
	t.Helper()
	plan := drawMaintenance(seed)
	f := runMaintenance(t, plan, maintenanceFault{})
	if f == nil {
		return true
	}
	t.Errorf("seed %d fails (-search.messages.seed %[1]d): %v\n\n%v", seed, f, plan)
	return false
}

// maintenanceKind is what a step of a schedule does.
type maintenanceKind int

const (
	rollEdge maintenanceKind = iota
	rollStore
	rollCore
	reload                 // SIGHUP without a change
	changeSettings         // of all machines, with SIGHUP
	replaceCore            // a new core first, then SIGTERM to an old one
	replaceCoreDuringRolls // the same while all edges are rolled
	changeConfiguration
	plannedKinds // how many kinds of planned work there are
)

const (
	killEdge maintenanceKind = plannedKinds + 1 + iota
	killStore
	killCore
	isolateStore
	wipeStore
	freezeStore     // it runs, and what it sends and receives arrives late
	cutFromCores    // a store, both ways
	cutFromStores   // a store, both ways
	resetOfStore    // its connections
	killAllAtOnce   // all stores and cores, which come back within a second
	wipeAfterAccept // the primary that has just accepted a message
	overlapLosses   // a store is killed, and another one wiped before it is back
	endOfKinds
)

func (k maintenanceKind) String() string {
	return map[maintenanceKind]string{
		rollEdge: "roll an edge", rollStore: "roll a store", rollCore: "roll a core", reload: "SIGHUP", changeSettings: "change the settings",
		replaceCore: "replace a core", replaceCoreDuringRolls: "replace a core while all edges are rolled", changeConfiguration: "change the configuration",
		killEdge: "kill an edge", killStore: "kill a store", killCore: "kill a core", isolateStore: "isolate a store", wipeStore: "wipe a store",
		freezeStore: "freeze a store", cutFromCores: "cut a store from the cores", cutFromStores: "cut a store from the stores",
		resetOfStore: "reset the connections of a store", killAllAtOnce: "kill all stores and cores", wipeAfterAccept: "wipe a store that accepts",
		overlapLosses: "kill a store and wipe the next one meanwhile",
	}[k]
}

// maintenanceStep begins a while after the one before, whether or not that has
// ended.
type maintenanceStep struct {
	kind    maintenanceKind
	wait    time.Duration
	machine int // its zone, by number
	lasts   time.Duration
}

func (s maintenanceStep) String() string {
	return fmt.Sprintf("after %v: %v, zone %d, for %v", s.wait, s.kind, s.machine, s.lasts)
}

// maintenancePlan is one schedule.
type maintenancePlan struct {
	seed       int
	withFaults bool
	slowLinks  bool
	steps      []maintenanceStep
}

func (p maintenancePlan) String() string {
	text := fmt.Sprintf("seed %d, with faults: %v, slow links: %v", p.seed, p.withFaults, p.slowLinks)
	for _, s := range p.steps {
		text += "\n  " + s.String()
	}
	return text
}

// drawMaintenance returns the schedule of a seed.
func drawMaintenance(seed int) maintenancePlan {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	plan := maintenancePlan{seed: seed, withFaults: seed%2 == 0, slowLinks: seed%3 == 0}
	for range 6 + r.IntN(10) {
		kind := maintenanceKind(r.IntN(int(plannedKinds)))
		if plan.withFaults && r.IntN(3) == 0 {
			kind = killEdge + maintenanceKind(r.IntN(int(endOfKinds-killEdge)))
		}
		plan.steps = append(plan.steps, maintenanceStep{
			kind:    kind,
			wait:    time.Duration(r.IntN(3000)) * time.Millisecond,
			machine: r.IntN(len(zones)),
			lasts:   time.Duration(500+r.IntN(3000)) * time.Millisecond,
		})
	}
	return plan
}

// maintenanceFault is a fault put in from outside, to see whether the search
// finds it.
type maintenanceFault struct {
	releasesSIGHUP   bool // SIGHUP gets its default action once SIGTERM has come
	closesUnanswered bool // an edge that drains closes connections without an answer
	dropsRecords     bool // some messages are accepted, and no store has them
}

// runMaintenance runs one schedule and returns its first violation, nil without
// one.
func runMaintenance(t *testing.T, plan maintenancePlan, fault maintenanceFault) *violation {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir(), "messages")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var found *violation
	synctest.Test(t, func(t *testing.T) {
		m := newMaintenance(t, dir, plan, fault)
		defer m.world.stopAll()
		m.run()
		found = m.violation()
	})
	return found
}

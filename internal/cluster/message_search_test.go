package cluster

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The message search runs random schedules of overlapping maintenance operations,
// with or without faults, on whole clusters that accept and deliver messages. It
// checks what clients, handlers and message status queries observe
// (message_search_checks_test.go).
//
//	go test ./internal/cluster -run TestMessageSearch                           the default seeds
//	go test ./internal/cluster -run TestMessageSearch -search.messages.seed 17  a single seed
//	go test ./internal/cluster -run TestMessageSearch -search.messages.for 10m  as many seeds as fit into the time
//
// Odd seeds give schedules without faults.
var (
	messageSearchSeed  = flag.Int("search.messages.seed", 0, "run only the message search schedule with this seed")
	messageSearchFirst = flag.Int("search.messages.first", 1, "first seed of the message search")
	messageSearchCount = flag.Int("search.messages.count", defaultMessageSchedules, "number of message search schedules")
	messageSearchFor   = flag.Duration("search.messages.for", 0, "run message search schedules for this long")
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

// checkMaintenanceSeed runs the schedule of a seed, prints it if it fails, and reports
// whether it passed.
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

// maintenanceKind is the kind of operation or fault of a step.
type maintenanceKind int

const (
	rollEdge maintenanceKind = iota
	rollStore
	rollCore
	reload                 // SIGHUP with unchanged settings
	changeSettings         // on all machines, followed by SIGHUP
	replaceCore            // starts a new core, then sends SIGTERM to an old one
	replaceCoreDuringRolls // replaceCore during a rolling restart of all edges
	changeConfiguration
	plannedKinds // number of kinds that are not faults
)

const (
	killEdge maintenanceKind = plannedKinds + 1 + iota
	killStore
	killCore
	isolateStore
	wipeStore
	holdStoreTraffic      // it runs, but its traffic is held in both directions
	partitionFromCores    // a store, in both directions
	partitionFromStores   // a store, in both directions
	resetStoreConnections // all its connections
	killAllAtOnce         // all stores and cores, which restart within a second
	wipeAfterAccept       // the primary that has just accepted a message
	overlapLosses         // a store is killed, and another one loses its disk before the first is back
	maintenanceKindEnd    // of the kinds that every step may have
	replaceStore          // the other stores are killed, and one is replaced before they are back
	restartStoreUnseen    // a store is killed and restarts while the edge of its zone stands still
)

func (k maintenanceKind) String() string {
	return map[maintenanceKind]string{
		rollEdge: "restart an edge gracefully", rollStore: "restart a store gracefully", rollCore: "restart a core gracefully", reload: "SIGHUP", changeSettings: "change the settings",
		replaceCore: "replace a core", replaceCoreDuringRolls: "replace a core during a rolling restart of all edges", changeConfiguration: "change the configuration",
		killEdge: "kill an edge", killStore: "kill a store", killCore: "kill a core", isolateStore: "isolate a store", wipeStore: "wipe a store",
		holdStoreTraffic: "hold the traffic of a store", partitionFromCores: "partition a store from the cores", partitionFromStores: "partition a store from the other stores",
		resetStoreConnections: "reset the connections of a store", killAllAtOnce: "kill all stores and cores", wipeAfterAccept: "wipe the primary that accepted last",
		overlapLosses:      "kill a store and wipe the next one before it is back",
		replaceStore:       "kill all stores but one and replace that one before they are back",
		restartStoreUnseen: "kill and restart a store while the edge of its zone stands still",
	}[k]
}

// maintenanceStep is one operation or fault. It starts a fixed time after the start
// of the step before it, whether or not that one has ended.
type maintenanceStep struct {
	kind     maintenanceKind
	delay    time.Duration
	machine  int // index of its zone
	duration time.Duration
}

func (s maintenanceStep) String() string {
	return fmt.Sprintf("after %v: %v, zone %d, for %v", s.delay, s.kind, s.machine, s.duration)
}

// maintenancePlan is the schedule of one seed.
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
			kind = killEdge + maintenanceKind(r.IntN(int(maintenanceKindEnd-killEdge)))
		}
		plan.steps = append(plan.steps, drawStep(r, kind))
	}
	if !plan.withFaults {
		return plan
	}
	if r.IntN(3) == 0 {
		plan.steps = insertStep(r, plan.steps, replaceStore)
	}
	if r.IntN(3) == 0 {
		for range 4 { // each hits only if messages are on their way
			plan.steps = insertStep(r, plan.steps, restartStoreUnseen)
		}
	}
	return plan
}

// insertStep inserts a step of a kind at a random position.
func insertStep(r *rand.Rand, steps []maintenanceStep, kind maintenanceKind) []maintenanceStep {
	at := r.IntN(len(steps) + 1)
	return slices.Insert(steps, at, drawStep(r, kind))
}

// drawStep returns a step of a kind.
func drawStep(r *rand.Rand, kind maintenanceKind) maintenanceStep {
	return maintenanceStep{
		kind:     kind,
		delay:    time.Duration(r.IntN(3000)) * time.Millisecond,
		machine:  r.IntN(len(zones)),
		duration: time.Duration(500+r.IntN(3000)) * time.Millisecond,
	}
}

// maintenanceFault selects the faults that are planted to test whether the search
// detects them.
type maintenanceFault struct {
	releasesSIGHUP        bool // SIGHUP has its default action after SIGTERM
	closesWithoutResponse bool // a draining edge closes connections without a response
	dropsRecords          bool // some messages are accepted without being stored
}

// runMaintenance runs one schedule and returns its first violation, or nil.
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

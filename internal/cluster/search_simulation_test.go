package cluster

// The simulation of one schedule: its state, its setup and teardown, and starting
// and killing of its cores.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

const (
	contactTimeout = 4 * time.Second // same as in the settings
	syncTime       = 6 * time.Second // how long a core still counts as lost after it has returned
	drainTimeout   = 3 * time.Second // same as in the settings; once it has elapsed, no core may publish a deregistered instance as ready
)

// plantedFault is a set of hooks that inject a fault into the system under test,
// to verify that the search detects it.
type plantedFault struct {
	dialsIgnorePartitions bool                                                                         // so that interceptRequest can answer for unreachable processes
	interceptRequest      func(s *simulation, from, to, path string, body []byte) (out, answer []byte) // nil, nil: the request is sent unchanged
	beforeRestart         func(s *simulation, m *machine)
	afterPowerLoss        func(s *simulation, m *machine)
	onTick                func(s *simulation) // every 100 ms
}

// simulation runs one schedule on a cluster of real cores with a simulated network
// and clock.
type simulation struct {
	world         *world
	schedule      schedule
	fault         plantedFault
	cores         []*machine // a replacement is appended
	nextMachine   int        // index of the next machine, which determines its name and address
	clientProcess *process   // operators, readers and handlers
	clientPool    *httpwire.Pool
	observer      *rpc.Client // polls all cores, bypassing network partitions
	history       history
	clientOps     sync.WaitGroup
	startedAt     time.Time

	// Owned by the goroutine that performs the steps.
	pendingActions []delayedAction // sorted by time in advance
	activeSlows    int             // active faults that increase the latency
	activeReorders int             // active faults that reorder packets
	diskLosses     int

	triggeredActions chan delayedAction // actions added by triggers, from any goroutine, for pendingActions

	mu                  sync.Mutex // guards what follows
	blockedLinks        map[[2]string]int
	violation           *violation
	finishing           bool
	running             map[string]bool // by name
	armedTriggers       []*trigger
	latestKnownRevision int64 // the newest revision in a response to a client
	viewsByNumber       map[int64]chain.View
	latestViewNumber    map[string]int64 // by core
	handlers            map[int]*simulatedHandler
	deregistered        map[string]*deregistration
	activeFaults        int
	lastFaultEnd        time.Time
	seenNotReady        map[string]bool // by core and handler
	eventLog            bytes.Buffer
}

// runSchedule runs one schedule and returns its first violation, or nil.
func runSchedule(t *testing.T, plan schedule, fault plantedFault) (f *violation) {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir(), "search")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, dir, plan, fault)
		observing, stop := context.WithCancel(context.Background())
		var observers sync.WaitGroup
		observers.Go(func() { s.observeCores(observing) })
		s.run()
		stop()
		observers.Wait()
		s.endAllFaults()
		s.clientOps.Wait()
		s.world.stopAll()
		s.addTotals()
		time.Sleep(2 * contactTimeout) // lets abandoned calls time out
		if s.violation == nil {
			if text := s.history.check(); text != "" {
				s.fail("history", "%s", text)
			}
		}
		f = s.violation
		if f != nil {
			f.text += "\n" + s.eventLog.String()
		}
	})
	return f
}

// memoryDir returns the parent directory for the disks of a search: a memory
// file system if there is one. Syncs take most of the time of a schedule, and
// files in memory survive every fault that is simulated here.
func memoryDir() string {
	const memory = "/dev/shm"
	if _, err := os.Stat(memory); err != nil {
		return ""
	}
	return memory
}

func newSimulation(t *testing.T, dir string, plan schedule, planted plantedFault) *simulation {
	s := &simulation{
		world: newWorld(t, dir, plan.HostFailures), schedule: plan, fault: planted,
		triggeredActions: make(chan delayedAction, 64), blockedLinks: map[[2]string]int{}, startedAt: time.Now(),
		running: map[string]bool{}, viewsByNumber: map[int64]chain.View{}, latestViewNumber: map[string]int64{}, handlers: map[int]*simulatedHandler{},
		deregistered: map[string]*deregistration{}, seenNotReady: map[string]bool{},
	}
	s.history.byBody = map[string]*configurationWrite{}
	n := s.world.network
	n.rng = rand.New(rand.NewPCG(uint64(plan.Cores), uint64(len(plan.Steps))))
	n.interceptRequest = s.interceptRequest
	n.dialsIgnorePartitions = planted.dialsIgnorePartitions
	s.clientProcess = &process{network: n, ip: clientIP}
	s.clientPool = &httpwire.Pool{Network: s.clientProcess.httpNetwork()}
	observerProcess := &process{network: n, ip: "10.9.0.2", exempt: true}
	s.observer = rpc.NewClient(&httpwire.Pool{Network: observerProcess.httpNetwork()})
	return s
}

func internalAddress(m *machine) string { return m.ip + ":7100" }

func controlAddress(m *machine) string { return m.ip + ":82" }

// addCore adds an empty core with a new address. With bootstrap, all cores are
// started together once the initial number of cores is reached.
func (s *simulation) addCore(bootstrap bool) {
	n := s.nextMachine
	s.nextMachine++
	m := &machine{name: fmt.Sprintf("core-%d", n), role: "core", zone: zones[n%3], ip: fmt.Sprintf("10.%d.0.%d", n%3+1, n/3+1)}
	m.dataPath = filepath.Join(s.world.dataPath, m.name)
	s.world.machines[m.name] = m
	s.mu.Lock()
	s.cores = append(s.cores, m)
	s.mu.Unlock()
	s.world.setCoreAddresses(s.cores)
	if bootstrap && len(s.cores) == s.schedule.Cores {
		for _, m := range s.cores {
			s.startProcess(m, true)
		}
	} else if !bootstrap {
		s.startProcess(m, false)
	}
}

// startProcess starts a core on its current disk.
func (s *simulation) startProcess(m *machine, bootstrap bool) {
	s.mu.Lock()
	s.running[m.name] = true
	s.mu.Unlock()
	s.world.start(m, bootstrap, func(err error) {
		if err != nil && !s.isDead(m.process) {
			s.fail("start", "%s exited: %v", m.name, err)
		}
	})
}

func (s *simulation) isDead(p *process) bool {
	s.world.network.mu.Lock()
	defer s.world.network.mu.Unlock()
	return p.dead
}

func (s *simulation) start(m *machine) {
	s.mu.Lock()
	running := s.running[m.name]
	s.mu.Unlock()
	if running || !slices.Contains(s.cores, m) {
		return
	}
	if s.fault.beforeRestart != nil {
		s.fault.beforeRestart(s, m)
	}
	s.logf("%s restarts", m.name)
	s.startProcess(m, false)
}

// kill stops cores at one point in time and preserves their disks. The copied disk
// contains all writes: a core syncs each write before it continues, and the copy
// is made while no goroutine runs, hence between two writes.
func (s *simulation) kill(list ...*machine) (killed []*machine) {
	for _, m := range list {
		s.mu.Lock()
		running := s.running[m.name]
		delete(s.running, m.name)
		s.mu.Unlock()
		if running {
			m.process.kill()
			killed = append(killed, m)
		}
	}
	synctest.Wait()
	for _, m := range killed {
		s.logf("%s is killed", m.name)
		s.world.kills++
		copied := filepath.Join(s.world.dataPath, fmt.Sprintf("%s-%d", m.name, s.world.kills))
		if err := os.CopyFS(copied, os.DirFS(m.dataPath)); err != nil && !errors.Is(err, fs.ErrNotExist) { // no directory yet
			s.fail("start", "copy the disk of %s: %v", m.name, err)
		}
		m.dataPath = copied
		m.cancel()
	}
	return killed
}

package cluster

// The simulation of one schedule: its state, how it is set up and torn down, and
// its cores, which start on their disks and are killed.

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
	contactTimeout = 4 * time.Second // as in the settings
	syncTime       = 6 * time.Second // how long a core counts as lost after it is back
	drainTimeout   = 3 * time.Second // as in the settings: from then on no core may publish a deregistered instance
)

// plantedFault is a fault put in from outside, to see whether the search finds it.
type plantedFault struct {
	dialsIgnorePartitions bool                                                                         // for interceptRequest to answer past them
	interceptRequest      func(s *simulation, from, to, path string, body []byte) (out, answer []byte) // nil, nil: as it is
	beforeRestart         func(s *simulation, m *machine)
	afterPowerLoss        func(s *simulation, m *machine)
	onTick                func(s *simulation) // every 100 ms
}

// simulation runs one schedule on one cluster of real cores.
type simulation struct {
	world         *world
	schedule      schedule
	fault         plantedFault
	cores         []*machine // a replacement comes last
	nextMachine   int        // of the next machine's address
	clientProcess *process   // operators, readers and handlers
	clientPool    *httpwire.Pool
	observer      *rpc.Client // observes all cores past all partitions
	history       history
	clientOps     sync.WaitGroup
	startedAt     time.Time

	// What belongs to the goroutine that performs the steps.
	pendingEvents  []delayedAction // sorted by time in advance
	activeSlows    int             // faults that slow the network now
	activeReorders int             // faults that let packets overtake now
	diskLosses     int

	delayed chan delayedAction // what triggers add to pendingEvents, from any goroutine

	mu                  sync.Mutex // guards what follows
	blockedLinks        map[[2]string]int
	violation           *violation
	finishing           bool
	running             map[string]bool // by name
	armedTriggers       []*trigger
	latestKnownRevision int64 // the newest that a client was answered
	knownViews          map[int64]chain.View
	newestViewOf        map[string]int64 // by core
	handlers            map[int]*simulatedHandler
	deregistered        map[string]*deregistration
	activeFaults        int
	lastFaultEnd        time.Time
	seenNotReady        map[string]bool // by core and handler
	eventLog            bytes.Buffer
}

// runSchedule runs one schedule and returns its first violation, nil without one.
func runSchedule(t *testing.T, plan schedule, p plantedFault) (f *violation) {
	t.Helper()
	dir, err := os.MkdirTemp(memoryFolder(), "search")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, dir, plan, p)
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
		time.Sleep(2 * contactTimeout) // calls that nobody waits for end by their time-outs
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

// memoryFolder is where the disks of a search are: syncs are most of what a
// schedule costs, and a file in memory outlives all that is simulated here.
func memoryFolder() string {
	const memory = "/dev/shm"
	if _, err := os.Stat(memory); err != nil {
		return ""
	}
	return memory
}

func newSimulation(t *testing.T, dir string, plan schedule, p plantedFault) *simulation {
	s := &simulation{
		world: newWorld(t, dir, plan.HostFailures), schedule: plan, fault: p,
		delayed: make(chan delayedAction, 64), blockedLinks: map[[2]string]int{}, startedAt: time.Now(),
		running: map[string]bool{}, knownViews: map[int64]chain.View{}, newestViewOf: map[string]int64{}, handlers: map[int]*simulatedHandler{},
		deregistered: map[string]*deregistration{}, seenNotReady: map[string]bool{},
	}
	s.history.byBytes = map[string]*configurationWrite{}
	n := s.world.network
	n.rng = rand.New(rand.NewPCG(uint64(plan.Cores), uint64(len(plan.Steps))))
	n.interceptRequest = s.interceptRequest
	n.dialsIgnorePartitions = p.dialsIgnorePartitions
	s.clientProcess = &process{network: n, ip: clientIP}
	s.clientPool = &httpwire.Pool{Network: s.clientProcess.httpNetwork()}
	observerProcess := &process{network: n, ip: "10.9.0.2", exempt: true}
	s.observer = rpc.NewClient(&httpwire.Pool{Network: observerProcess.httpNetwork()})
	return s
}

func internalAddress(m *machine) string { return m.ip + ":7100" }

func controlAddress(m *machine) string { return m.ip + ":82" }

// addCore adds an empty core at an address of its own. With bootstrap all cores
// are started once there are as many as the schedule says.
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

// startProcess starts a core on the disk that it has.
func (s *simulation) startProcess(m *machine, bootstrap bool) {
	s.mu.Lock()
	s.running[m.name] = true
	s.mu.Unlock()
	s.world.start(m, bootstrap, func(err error) {
		if err != nil && !s.isDead(m.process) {
			s.fail("start", "%s ended: %v", m.name, err)
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
	s.logf("%s starts", m.name)
	s.startProcess(m, false)
}

// kill ends cores at one moment; their disks stay as they are. What a core wrote
// is on its disk: it syncs each write before it goes on, and a moment at which no
// goroutine runs is one between two writes.
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
		if err := os.CopyFS(copied, os.DirFS(m.dataPath)); err != nil && !errors.Is(err, fs.ErrNotExist) { // it had none yet
			s.fail("start", "copy the disk of %s: %v", m.name, err)
		}
		m.dataPath = copied
		m.cancel()
	}
	return killed
}

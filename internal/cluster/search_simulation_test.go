package cluster

// The simulated world of one schedule: what it holds, how it is set up and taken
// down, and its machines, which start on their disks and are killed.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/chain"
	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
)

const (
	contactTimeout = 4 * time.Second // as in the settings
	syncTime       = 6 * time.Second // how long a core counts as lost after it is back
	drainTimeout   = 3 * time.Second // as in the settings: from then on nobody may tell of an instance that left
	outsideIP      = "10.9.0.1"      // operators, readers and handlers
)

// plant is a fault put in from outside, to see whether the search finds it.
type plantedFault struct {
	dialsIgnorePartitions bool                                                                         // connections open past cuts, for request to answer on them
	interceptRequest      func(s *simulation, from, to, path string, body []byte) (out, answer []byte) // nil, nil: as it is
	beforeRestart         func(s *simulation, m *machine)                                              // before a core starts again
	afterPowerLoss        func(s *simulation, m *machine)                                              // after a core lost power
	onTick                func(s *simulation)                                                          // every 100 ms
}

// search plays one schedule on one cluster of real cores.
type simulation struct {
	world             *world
	schedule          schedule
	fault             plantedFault
	cores             []*machine // by place; a replacement takes the place
	nextMachine       int        // of the next machine's address
	clientProcess     *process   // operators, readers and handlers
	observerProcess   *process   // sees all, and no cut strikes it
	clientPool        *httpwire.Pool
	observer          *rpc.Client
	history           history
	clientOps         sync.WaitGroup
	delayed           chan delayedAction
	pendingEvents     []delayedAction // what ends or strikes later, by time
	blockedLinks      map[[2]string]int
	overlappingDelays [2]int // how many slow the network now, and how many let packets overtake
	diskLosses        int
	startedAt         time.Time

	mu                  sync.Mutex
	violation           *violation
	finishing           bool
	running             map[string]bool // by name
	armedTriggers       []*trigger
	latestKnownRevision int64 // the newest revision that anybody was told of
	knownViews          map[int64]chain.View
	newestViewOf        map[string]int64 // view that a core told
	handlers            map[int]*simulatedHandler
	deregistered        map[string]*deregistration
	activeFaults        int       // under way
	lastFaultEnd        time.Time // since when there is none
	seenNotReady        map[string]bool
	eventLog            bytes.Buffer
}

// play runs one schedule and tells what was wrong; nil if nothing was.
func runSchedule(t *testing.T, plan schedule, p plantedFault) (f *violation) {
	t.Helper()
	// Syncs are most of what a schedule costs, and a file in memory outlives all
	// that is simulated here.
	memory := "/dev/shm"
	if _, err := os.Stat(memory); err != nil {
		memory = ""
	}
	dir, err := os.MkdirTemp(memory, "search")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{
			world:    &world{t: t, network: newNetwork(), machines: map[string]*machine{}, dataPath: dir, hostFailures: plan.HostFailures},
			schedule: plan, fault: p, delayed: make(chan delayedAction, 64), blockedLinks: map[[2]string]int{}, startedAt: time.Now(),
			running: map[string]bool{}, knownViews: map[int64]chain.View{}, newestViewOf: map[string]int64{}, handlers: map[int]*simulatedHandler{},
			deregistered: map[string]*deregistration{}, seenNotReady: map[string]bool{},
		}
		s.history.byBytes = map[string]*configurationWrite{}
		s.world.network.rng = rand.New(rand.NewPCG(uint64(plan.Cores), uint64(len(plan.Steps))))
		s.world.network.interceptRequest, s.world.network.dialsIgnorePartitions = s.interceptRequest, p.dialsIgnorePartitions
		s.clientProcess, s.observerProcess = &process{network: s.world.network, ip: outsideIP}, &process{network: s.world.network, ip: "10.9.0.2", exempt: true}
		s.clientPool, s.observer = &httpwire.Pool{Network: s.clientProcess.httpNetwork()}, rpc.NewClient(&httpwire.Pool{Network: s.observerProcess.httpNetwork()})
		watching, stop := context.WithCancel(context.Background())
		var watched sync.WaitGroup
		watched.Go(func() { s.observeCores(watching) })
		s.run()
		stop()
		watched.Wait()
		s.endAllFaults()
		s.clientOps.Wait()
		for _, m := range s.world.machines {
			m.cancel()
		}
		s.world.goroutines.Wait()
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

func internalAddress(m *machine) string { return m.ip + ":7100" }
func controlAddress(m *machine) string  { return m.ip + ":82" }

// add brings an empty machine at an address of its own.
func (s *simulation) addCore(bootstrap bool) {
	place := s.nextMachine
	s.nextMachine++
	m := &machine{name: fmt.Sprintf("core-%d", place), role: "core", zone: zones[place%3], ip: fmt.Sprintf("10.%d.0.%d", place%3+1, place/3+1)}
	m.dataPath = filepath.Join(s.world.dataPath, m.name)
	s.world.machines[m.name] = m
	s.mu.Lock()
	s.cores = append(s.cores, m)
	s.mu.Unlock()
	s.world.coreAddresses = nil
	for _, m := range s.cores {
		s.world.coreAddresses = append(s.world.coreAddresses, m.ip)
	}
	if bootstrap && len(s.cores) == s.schedule.Cores {
		for _, m := range s.cores {
			s.startProcess(m, true)
		}
	} else if !bootstrap {
		s.startProcess(m, false)
	}
}

// boot starts a core on the disk that it has.
func (s *simulation) startProcess(m *machine, bootstrap bool) {
	set := s.world.machineSettings(m, bootstrap)
	m.process = &process{network: s.world.network, ip: m.ip}
	logger := log.New(io.Discard, "", 0)
	if os.Getenv("SALTREEL_TEST_LOG") != "" {
		logger = log.New(os.Stderr, m.name+" ", log.Lmicroseconds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	c, err := controlplane.New(set, m.process.httpNetwork(), logger)
	if err != nil {
		s.fail("start", "%s does not start: %v", m.name, err)
		return
	}
	s.mu.Lock()
	s.running[m.name] = true
	s.mu.Unlock()
	life, done := m.process, m.done
	s.world.goroutines.Go(func() {
		defer close(done)
		if err := operator.Serve(ctx, c, set, life.httpNetwork(), logger); err != nil && !s.isDead(life) {
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
// is on its disk: each write it makes is synced before it goes on, and a moment
// at which all is quiet is one between two writes.
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

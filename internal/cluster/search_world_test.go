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
	contact  = 4 * time.Second // as in the settings
	syncTime = 6 * time.Second // how long a core counts as lost after it is back
	drain    = 3 * time.Second // as in the settings: from then on nobody may tell of an instance that left
	outside  = "10.9.0.1"      // operators, readers and handlers
)

// plant is a fault put in from outside, to see whether the search finds it.
type plant struct {
	opens   bool                                                                     // connections open past cuts, for request to answer on them
	request func(s *search, from, to, path string, body []byte) (out, answer []byte) // nil, nil: as it is
	restart func(s *search, m *machine)                                              // before a core starts again
	power   func(s *search, m *machine)                                              // after a core lost power
	tick    func(s *search)                                                          // every 100 ms
}

// search plays one schedule on one cluster of real cores.
type search struct {
	w     *world
	plan  schedule
	plant plant
	cores []*machine // by place; a replacement takes the place
	index int        // of the next machine's address
	lost  *process   // operators, readers and handlers
	eye   *process   // sees all, and no cut strikes it
	pool  *httpwire.Pool
	eyes  *rpc.Client
	hist  history
	ops   sync.WaitGroup
	fired chan event
	queue []event // what ends or strikes later, by time
	cuts  map[[2]string]int
	slows [2]int // how many slow the network now, and how many let packets overtake
	wipes int
	began time.Time

	mu        sync.Mutex
	found     *finding
	ended     bool
	running   map[string]bool // by name
	armed     []*trap
	believed  int64 // the newest revision that anybody was told of
	views     map[int64]chain.View
	newest    map[string]int64 // view that a core told
	instances map[int]*caller
	left      map[string]*leaving
	faults    int       // under way
	calm      time.Time // since when there is none
	shown     map[string]bool
	log       bytes.Buffer
}

// play runs one schedule and tells what was wrong; nil if nothing was.
func play(t *testing.T, plan schedule, p plant) (f *finding) {
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
		s := &search{
			w:    &world{t: t, net: newNetwork(), nodes: map[string]*machine{}, dir: dir, losses: plan.Losses},
			plan: plan, plant: p, fired: make(chan event, 64), cuts: map[[2]string]int{}, began: time.Now(),
			running: map[string]bool{}, views: map[int64]chain.View{}, newest: map[string]int64{}, instances: map[int]*caller{},
			left: map[string]*leaving{}, shown: map[string]bool{},
		}
		s.hist.byBytes = map[string]*order{}
		s.w.net.rng = rand.New(rand.NewPCG(uint64(plan.Cores), uint64(len(plan.Steps))))
		s.w.net.request, s.w.net.opens = s.request, p.opens
		s.lost, s.eye = &process{net: s.w.net, ip: outside}, &process{net: s.w.net, ip: "10.9.0.2", free: true}
		s.pool, s.eyes = &httpwire.Pool{Network: s.lost.network()}, rpc.NewClient(&httpwire.Pool{Network: s.eye.network()})
		watching, stop := context.WithCancel(context.Background())
		var watched sync.WaitGroup
		watched.Go(func() { s.watch(watching) })
		s.run()
		stop()
		watched.Wait()
		s.undo()
		s.ops.Wait()
		for _, m := range s.w.nodes {
			m.stop()
		}
		s.w.tasks.Wait()
		s.count()
		time.Sleep(2 * contact) // calls that nobody waits for end by their time-outs
		if s.found == nil {
			if text := s.hist.check(); text != "" {
				s.fail("history", "%s", text)
			}
		}
		f = s.found
		if f != nil {
			f.text += "\n" + s.log.String()
		}
	})
	return f
}

func internal(m *machine) string { return m.ip + ":7100" }
func control(m *machine) string  { return m.ip + ":82" }

// add brings an empty machine at an address of its own.
func (s *search) add(bootstrap bool) {
	place := s.index
	s.index++
	m := &machine{name: fmt.Sprintf("core-%d", place), role: "core", zone: zones[place%3], ip: fmt.Sprintf("10.%d.0.%d", place%3+1, place/3+1)}
	m.data = filepath.Join(s.w.dir, m.name)
	s.w.nodes[m.name] = m
	s.mu.Lock()
	s.cores = append(s.cores, m)
	s.mu.Unlock()
	s.w.seeds = nil
	for _, m := range s.cores {
		s.w.seeds = append(s.w.seeds, m.ip)
	}
	if bootstrap && len(s.cores) == s.plan.Cores {
		for _, m := range s.cores {
			s.boot(m, true)
		}
	} else if !bootstrap {
		s.boot(m, false)
	}
}

// boot starts a core on the disk that it has.
func (s *search) boot(m *machine, bootstrap bool) {
	set := s.w.settings(m, bootstrap)
	m.life = &process{net: s.w.net, ip: m.ip}
	logger := log.New(io.Discard, "", 0)
	if os.Getenv("SALTREEL_TEST_LOG") != "" {
		logger = log.New(os.Stderr, m.name+" ", log.Lmicroseconds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan struct{})
	c, err := controlplane.New(set, m.life.network(), logger)
	if err != nil {
		s.fail("start", "%s does not start: %v", m.name, err)
		return
	}
	s.mu.Lock()
	s.running[m.name] = true
	s.mu.Unlock()
	life, done := m.life, m.done
	s.w.tasks.Go(func() {
		defer close(done)
		if err := operator.Serve(ctx, c, set, life.network(), logger); err != nil && !s.killed(life) {
			s.fail("start", "%s ended: %v", m.name, err)
		}
	})
}

func (s *search) killed(p *process) bool {
	s.w.net.mu.Lock()
	defer s.w.net.mu.Unlock()
	return p.dead
}

func (s *search) start(m *machine) {
	s.mu.Lock()
	running := s.running[m.name]
	s.mu.Unlock()
	if running || !slices.Contains(s.cores, m) {
		return
	}
	if s.plant.restart != nil {
		s.plant.restart(s, m)
	}
	s.say("%s starts", m.name)
	s.boot(m, false)
}

// kill ends cores at one moment; their disks stay as they are. What a core wrote
// is on its disk: each write it makes is synced before it goes on, and a moment
// at which all is quiet is one between two writes.
func (s *search) kill(list ...*machine) (killed []*machine) {
	for _, m := range list {
		s.mu.Lock()
		running := s.running[m.name]
		delete(s.running, m.name)
		s.mu.Unlock()
		if running {
			m.life.kill()
			killed = append(killed, m)
		}
	}
	synctest.Wait()
	for _, m := range killed {
		s.say("%s is killed", m.name)
		s.w.lives++
		copied := filepath.Join(s.w.dir, fmt.Sprintf("%s-%d", m.name, s.w.lives))
		if err := os.CopyFS(copied, os.DirFS(m.data)); err != nil && !errors.Is(err, fs.ErrNotExist) { // it had none yet
			s.fail("start", "copy the disk of %s: %v", m.name, err)
		}
		m.data = copied
		m.stop()
	}
	return killed
}

package cluster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/controlplane"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/operator"
)

const (
	contact  = 4 * time.Second // as in the settings
	syncTime = 6 * time.Second // how long a core counts as lost after it is back
	drain    = 3 * time.Second // as in the settings: from then on nobody may tell of an instance that left
	outside  = "10.9.0.1"      // operators, readers and handlers
)

// finding is what a schedule showed to be wrong.
type finding struct {
	class, text string
}

func (f *finding) String() string { return f.class + ": " + f.text }

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
	eyes  *httpwire.Pool
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

// event is something that happens later.
type event struct {
	at time.Time
	do func()
}

// trap waits for a message.
type trap struct {
	step
	left int
}

// caller is one handler, from outside.
type caller struct {
	id    string
	seq   int64
	state string
}

// leaving is an instance whose leaving was acknowledged.
type leaving struct{ at time.Time }

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
		s.pool, s.eyes = &httpwire.Pool{Network: s.lost.network()}, &httpwire.Pool{Network: s.eye.network()}
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

// counted is what happened in all schedules played, so that a search that asks
// nothing shows.
var counted struct {
	sync.Mutex
	n map[string]int
}

func (s *search) count() {
	counted.Lock()
	defer counted.Unlock()
	if counted.n == nil {
		counted.n = map[string]int{}
	}
	for _, o := range s.hist.orders {
		counted.n["orders"]++
		switch {
		case o.acked > 0:
			counted.n["acknowledged"]++
		case len(o.refused) > 0:
			counted.n["refused"]++
		}
	}
	counted.n["reads"] += len(s.hist.readings)
	counted.n["leavings"] += len(s.left)
	counted.n["views"] += len(s.views)
	counted.n["kills"] += s.w.lives
	counted.n["wipes"] += s.wipes
	counted.n["replacements"] += s.index - s.plan.Cores
	counted.n["seconds simulated"] += int(time.Since(s.began).Seconds())
}

// fail notes the first thing that is wrong; the schedule ends there.
func (s *search) fail(class, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong(class, format, args...)
}

// wrong is fail where the lock is held.
func (s *search) wrong(class, format string, args ...any) {
	if s.found == nil {
		s.found = &finding{class, fmt.Sprintf(format, args...)}
		s.note("%s", s.found)
	}
}

// note adds a line to what is printed with a finding. The lock is held.
func (s *search) note(format string, args ...any) {
	fmt.Fprintf(&s.log, "  %8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *search) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(format, args...)
}

func (s *search) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found != nil
}

// run plays the schedule, and what each one ends with.
func (s *search) run() {
	for range s.plan.Cores {
		s.add(true)
	}
	first := s.next(0, 0)
	if !s.until(15*time.Second, "the first configuration is not taken", func() bool { return s.send(first, 0, 1, time.Second) == 200 }) {
		return
	}
	s.sleep(syncTime / 2)
	if s.plan.Busy {
		s.bustle()
	}
	for _, x := range s.plan.Steps {
		s.sleep(time.Duration(x.Wait) * time.Millisecond)
		if s.over() {
			return
		}
		s.do(x)
	}
	s.finish()
}

// bustle has an operator change something all the time, and each core be read.
func (s *search) bustle() {
	all := func(f func(n int)) {
		s.ops.Go(func() {
			for n := 0; !s.over() && !s.quiet(); n++ {
				f(n)
				time.Sleep(contact / 8)
			}
		})
	}
	all(func(n int) { s.send(s.next(0, 0), n, 3, time.Second) })
	for place := range s.plan.Cores {
		all(func(int) {
			s.mu.Lock()
			m := s.cores[place%len(s.cores)]
			s.mu.Unlock()
			s.read(m)
		})
	}
}

// quiet tells whether the schedule is over.
func (s *search) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// finish heals everything and looks whether all is as it must be.
func (s *search) finish() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if !s.heal() {
		return
	}
	s.ops.Wait()
	if !s.settle("after all is healed") {
		return
	}
	last := s.cores[s.plan.Last]
	s.kill(last)
	if !s.write("after one more loss") {
		return
	}
	s.start(last)
	if !s.settle("after the last one is back") {
		return
	}
	for _, m := range s.cores {
		s.until(8*time.Second, m.name+" does not tell what it knows", func() bool {
			o, err := s.status(m)
			if err != nil {
				return false
			}
			for _, h := range o.Handlers {
				if h.State == handler.Ready && s.left[h.ID] != nil {
					s.fail("instance", "%s tells of %s, which left, in the end", m.name, h.ID)
				}
			}
			return true
		})
	}
}

// settle looks whether a write is taken, all cores are members and vote, and
// each tells the newest configuration.
func (s *search) settle(what string) bool {
	if !s.write(what) || !s.whole(2*syncTime, what) {
		return false
	}
	for _, m := range s.cores {
		if !s.until(8*time.Second, m.name+" cannot be read "+what, func() bool { return s.read(m) }) {
			return false
		}
	}
	return !s.over()
}

// write has a change acknowledged.
func (s *search) write(what string) bool {
	return s.until(15*time.Second, "no change is taken "+what, func() bool {
		o := s.next(0, 0)
		for range 8 { // its answer may be lost: then it is the same again
			if code := s.send(o, 0, s.plan.Cores, time.Second); code != 0 {
				return code == 200
			}
		}
		return false
	})
}

// whole waits until all cores that run are members and voters of one view.
func (s *search) whole(limit time.Duration, what string) bool {
	var last string
	ok := s.wait(limit, func() bool {
		var want []string
		views := map[string]bool{}
		for _, m := range s.cores {
			want = append(want, internal(m))
		}
		slices.Sort(want)
		addresses := func(list []chain.Member) (out []string) {
			for _, m := range list {
				out = append(out, m.Address)
			}
			slices.Sort(out)
			return out
		}
		last = ""
		for _, m := range s.cores {
			v, err := s.view(m)
			last += fmt.Sprintf("\n    %s: %v, %v", m.name, v, err)
			if err != nil || !slices.Equal(addresses(v.Members), want) || !slices.Equal(addresses(v.Voters), want) {
				return false
			}
			views[fmt.Sprint(v.Number)] = true
		}
		return len(views) == 1
	})
	if !ok && !s.over() {
		s.fail("whole", "not all cores are members and vote %s within %v:%s", what, limit, last)
	}
	return ok
}

// wait plays on until f holds or the time is over.
func (s *search) wait(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !s.over(); s.sleep(50 * time.Millisecond) {
		if f() {
			return !s.over()
		}
		if time.Now().After(end) {
			return false
		}
	}
	return false
}

func (s *search) until(limit time.Duration, what string, f func() bool) bool {
	ok := s.wait(limit, f)
	if !ok && !s.over() {
		s.fail("stuck", "%s within %v", what, limit)
	}
	return ok
}

// sleep lets time pass; what was to happen meanwhile happens.
func (s *search) sleep(d time.Duration) {
	end := time.Now().Add(d)
	for {
		now := time.Now()
		slices.SortStableFunc(s.queue, func(a, b event) int { return a.at.Compare(b.at) })
		if len(s.queue) > 0 && !s.queue[0].at.After(now) {
			e := s.queue[0]
			s.queue = s.queue[1:]
			e.do()
			continue
		}
		if !now.Before(end) {
			return
		}
		next := end
		if len(s.queue) > 0 && s.queue[0].at.Before(next) {
			next = s.queue[0].at
		}
		if s.plant.tick != nil {
			s.plant.tick(s)
			if tick := now.Add(100 * time.Millisecond); tick.Before(next) {
				next = tick
			}
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case e := <-s.fired:
			s.queue = append(s.queue, e)
		}
		timer.Stop()
	}
}

// during strikes now and ends it later.
func (s *search) during(ms int, strike, end func()) {
	strike()
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	s.queue = append(s.queue, event{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		end()
		s.mu.Lock()
		s.faults--
		s.calm = time.Now()
		s.mu.Unlock()
	}})
}

// undo ends all that is under way.
func (s *search) undo() {
	for {
		select {
		case e := <-s.fired:
			s.queue = append(s.queue, e)
			continue
		default:
		}
		if len(s.queue) == 0 {
			return
		}
		e := s.queue[0]
		s.queue = s.queue[1:]
		e.do()
	}
}

// heal ends all that is under way and waits until all cores are back: only
// then another disk may be lost. A disk that was put back with less than what
// was acknowledged on it would be a lost one that still has its name: nothing is
// promised for that, and no schedule does it.
func (s *search) heal() bool {
	s.mu.Lock()
	s.armed = nil
	s.mu.Unlock()
	s.undo()
	s.sleep(syncTime)
	return s.whole(2*syncTime, "in calm")
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

// down kills cores and starts them again later. Without power they lose what
// was not synced.
func (s *search) down(ms int, power bool, list ...*machine) {
	killed := s.kill(list...)
	for i, m := range killed {
		if power && s.plant.power != nil {
			s.plant.power(s, m)
		}
		// They come back together, or one after the other, in an order that the
		// time says.
		later := (i + ms/200) % len(killed) * (ms / 100 % 2) * 1500
		s.during(ms+later, func() {}, func() { s.start(m) })
	}
}

func (s *search) wipe(m *machine) {
	s.say("%s loses its disk", m.name)
	s.wipes++
	s.mu.Lock()
	delete(s.newest, m.name)
	s.mu.Unlock()
	if err := os.RemoveAll(m.data); err != nil {
		s.fail("start", "wipe %s: %v", m.name, err)
	}
}

// links cuts links or mends them; one that was cut twice is mended twice.
func (s *search) links(by int, from, to []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				s.cuts[[2]string{a, b}] += by
				s.w.net.sever([]string{a}, []string{b}, s.cuts[[2]string{a, b}] > 0)
			}
		}
	}
}

func (s *search) cut(ms int, from, to []string) {
	s.during(ms, func() { s.links(1, from, to) }, func() { s.links(-1, from, to) })
}

func (s *search) hold(ms int, from, to []string) {
	each := func(f func(a, b string)) {
		for _, a := range from {
			for _, b := range to {
				if a != b {
					f(a, b)
				}
			}
		}
	}
	s.during(ms, func() { each(s.w.net.hold) }, func() { each(s.w.net.release) })
}

// others are the addresses of all cores but some, and of those outside.
func (s *search) others(but ...string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cores {
		if !slices.Contains(but, m.ip) {
			out = append(out, m.ip)
		}
	}
	return append(out, outside)
}

// rest are those that a machine is cut off from: the other cores, and with n
// odd those outside.
func (s *search) rest(ip string, n int) []string {
	return slices.DeleteFunc(s.others(ip), func(o string) bool { return o == outside && n%2 == 0 })
}

func (s *search) isolate(ms int, ip string, n int) {
	rest := s.rest(ip, n)
	s.cut(ms, []string{ip}, rest)
	s.cut(ms, rest, []string{ip})
}

// freeze holds all that a machine sends and gets. Its process runs on, but what
// it does reaches nobody before the thaw, and what was sent to it meanwhile
// comes then, all at once and late.
func (s *search) freeze(ms int, ip string) {
	rest := s.others(ip)
	s.hold(ms, []string{ip}, rest)
	s.hold(ms, rest, []string{ip})
}

func (s *search) do(x step) {
	a, b := s.cores[x.A], s.cores[x.B]
	switch x.Kind {
	case stepOrder, stepRead, stepAgain, stepBurst, stepBeat, stepDrain, stepDelete, stepLate:
	case stepWhen, stepElect:
		s.say("when %v", x.On)
	default:
		s.say("%s %s %s for %d ms, %d", x.Kind, a.name, b.name, x.For, x.N)
	}
	switch x.Kind {
	case stepOrder:
		o := s.next(x.N%2, x.N/2)
		s.ops.Go(func() { s.send(o, x.A, 1+x.B*2, time.Second) })
	case stepRead:
		s.ops.Go(func() {
			for range 1 + x.N {
				s.read(a)
				if s.over() {
					return
				}
				time.Sleep(contact / 16)
			}
		})
	case stepAgain:
		s.hist.mu.Lock()
		o := s.hist.orders[x.N*(len(s.hist.orders)-1)/7]
		s.hist.mu.Unlock()
		s.ops.Go(func() { s.send(o, x.A, 1+x.B, time.Second) })
	case stepBurst:
		s.ops.Go(func() {
			for range x.N {
				if s.over() || s.send(s.next(0, 0), x.A, 2, time.Second) == 0 {
					return
				}
			}
		})
	case stepBeat, stepDrain, stepDelete, stepLate:
		s.beat(x)
	case stepKill:
		s.down(x.For, false, a)
	case stepKillAll:
		s.down(x.For, false, s.cores...)
	case stepPower:
		s.down(x.For, true, s.cores...)
	case stepReset:
		s.w.net.reset(a.ip, b.ip)
		s.w.net.reset(a.ip, outside)
	case stepCut:
		s.isolate(x.For, a.ip, x.N)
	case stepCutOut:
		s.cut(x.For, []string{a.ip}, s.rest(a.ip, x.N))
	case stepCutIn:
		s.cut(x.For, s.rest(a.ip, x.N), []string{a.ip})
	case stepSplit:
		var here []string
		for i, m := range s.cores {
			if x.N>>(i%3)&1 == 1 {
				here = append(here, m.ip)
			}
		}
		there := slices.DeleteFunc(s.others(here...), func(ip string) bool { return ip == outside })
		s.cut(x.For, here, there)
		s.cut(x.For, there, here)
	case stepDeaf:
		s.cut(x.For, []string{a.ip}, []string{outside})
	case stepHold:
		s.hold(x.For, []string{a.ip}, []string{b.ip})
	case stepFreeze:
		s.freeze(x.For, a.ip)
	case stepSlow:
		s.during(x.For, func() { s.slows[0]++; s.w.net.slow(time.Duration(1+x.N*10) * time.Millisecond) }, func() {
			if s.slows[0]--; s.slows[0] == 0 {
				s.w.net.slow(time.Millisecond)
			}
		})
	case stepVary:
		s.during(x.For, func() { s.slows[1]++; s.w.net.vary(time.Duration(1+x.N*20) * time.Millisecond) }, func() {
			if s.slows[1]--; s.slows[1] == 0 {
				s.w.net.vary(0)
			}
		})
	case stepWhen, stepElect:
		if x.Kind == stepElect && x.N > 1 && !s.heal() {
			return
		}
		s.mu.Lock()
		s.armed = append(s.armed, &trap{x, x.On.Number})
		s.mu.Unlock()
		switch {
		case x.Kind == stepWhen:
			return
		case x.N%2 == 0:
			s.down(x.For, false, a)
		default:
			s.isolate(x.For, a.ip, x.N/2)
		}
		s.sleep(contact / 2) // until the view has changed
	case stepWipe:
		if s.heal() {
			s.last(x)
			s.kill(a)
			s.wipe(a)
			s.during(x.For, func() {}, func() { s.start(a) })
		}
	case stepReplace:
		if s.heal() {
			s.last(x)
			s.kill(a)
			s.mu.Lock()
			s.cores = slices.Delete(slices.Clone(s.cores), x.A, x.A+1)
			s.mu.Unlock()
			s.during(x.For, func() {}, func() {
				s.say("an empty core comes in place of %s", a.name)
				s.add(false)
			})
			s.sleep(time.Duration(x.For) * time.Millisecond) // the places are whole again from here on
		}
	case stepPowerWipe:
		if s.heal() {
			s.last(x)
			s.down(x.For, true, s.cores...)
			s.wipe(a)
		}
	}
}

// last has something acknowledged, or only sent, right before a disk is lost.
func (s *search) last(x step) {
	say := x
	say.B = 0
	for _, w := range []struct {
		bit  int
		kind kind
	}{{1, stepBeat}, {1, stepDrain}, {2, stepOrder}} {
		if x.N&w.bit == 0 {
			continue
		}
		say.Kind = w.kind
		var done <-chan struct{}
		if w.kind == stepOrder {
			o, sent := s.next(0, 0), make(chan struct{})
			s.ops.Go(func() { s.send(o, x.A, 1, time.Second); close(sent) })
			done = sent
		} else {
			done = s.beat(say)
		}
		for end := time.Now().Add(contact / 16); time.Now().Before(end); {
			s.sleep(time.Millisecond)
			if x.N&4 != 0 && w.kind != stepBeat {
				break // it is not waited for
			}
			select {
			case <-done:
				end = time.Time{}
			default:
			}
		}
	}
}

// request sees each request between processes before it is sent.
func (s *search) request(from *process, to string, raw []byte) (out, answer []byte) {
	head, body, ok := bytes.Cut(raw, []byte("\r\n\r\n"))
	words := strings.SplitN(string(head[:min(len(head), 64)]), " ", 3)
	if !ok || from.free || len(words) < 3 || from.ip == outside {
		return raw, nil
	}
	ip, _, _ := strings.Cut(to, ":")
	s.spring(words[1], body, from.ip, ip)
	if s.plant.request == nil {
		return raw, nil
	}
	changed, answer := s.plant.request(s, from.ip, ip, words[1], body)
	lines := strings.Split(string(head), "\r\n")
	if answer != nil {
		call := "" // an answer repeats the name of its call
		for _, l := range lines {
			if strings.HasPrefix(l, "Call:") {
				call = l + "\r\n"
			}
		}
		return nil, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", call, len(answer), answer)
	}
	if changed == nil {
		return raw, nil
	}
	for i, l := range lines {
		if strings.HasPrefix(l, "Content-Length:") {
			lines[i] = "Content-Length: " + strconv.Itoa(len(changed))
		}
	}
	return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), changed...), nil
}

// spring lets the traps strike that wait for a message.
func (s *search) spring(path string, body []byte, from, to string) {
	s.mu.Lock()
	var due []step
	s.armed = slices.DeleteFunc(s.armed, func(t *trap) bool {
		if m := messages[t.On.Message]; m.path != path || !bytes.Contains(body, []byte(m.words)) {
			return false
		}
		t.left--
		if t.left == 0 {
			due = append(due, t.step)
		}
		return t.left == 0
	})
	s.mu.Unlock()
	for _, x := range due {
		what := strikes[x.On.Strike].name
		for _, l := range s.struck(what, from, to, x.A) {
			// These strike before the message is sent.
			if l.hold {
				s.w.net.hold(l.from, l.to)
			} else {
				s.links(1, []string{l.from}, []string{l.to})
			}
			s.later(x.For, func() {
				if l.hold {
					s.w.net.release(l.from, l.to)
				} else {
					s.links(-1, []string{l.from}, []string{l.to})
				}
			})
		}
		s.later(x.On.Lag, func() { s.strike(what, x.For, from, to) })
	}
}

// link is a way from one machine to another that is cut or held.
type link struct {
	from, to string
	hold     bool
}

// struck are the links that a strike cuts or holds.
func (s *search) struck(what, from, to string, n int) (out []link) {
	around := func(ip string, hold bool) {
		for _, o := range s.rest(ip, n) {
			out = append(out, link{ip, o, hold}, link{o, ip, hold})
		}
	}
	switch what {
	case "hold the link":
		out = append(out, link{from, to, true})
	case "hold the answers":
		out = append(out, link{to, from, true})
	case "lose the link":
		out = append(out, link{from, to, false})
	case "cut off the sender", "cut off the sender and kill the receiver":
		around(from, false)
	case "cut off the receiver", "cut off the receiver and kill the sender":
		around(to, false)
	case "freeze the sender":
		around(from, true)
	case "freeze the receiver":
		around(to, true)
	}
	return out
}

// later has the schedule do something, from whichever goroutine.
func (s *search) later(ms int, do func()) {
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	s.fired <- event{time.Now().Add(time.Duration(ms) * time.Millisecond), func() {
		do()
		s.mu.Lock()
		s.faults--
		s.calm = time.Now()
		s.mu.Unlock()
	}}
}

func (s *search) strike(what string, ms int, from, to string) {
	at := func(ip string) (out []*machine) {
		for _, m := range s.cores {
			if m.ip == ip {
				out = append(out, m)
			}
		}
		return out
	}
	s.mu.Lock()
	// A disk may be lost only where all has been calm for long enough.
	mayWipe := s.faults <= 1 && time.Since(s.calm) > syncTime && time.Since(s.began) > syncTime
	s.note("strikes: %s, from %s to %s, for %d ms", what, from, to, ms)
	s.mu.Unlock()
	switch what {
	case "reset":
		s.w.net.reset(from, to)
	case "kill the sender":
		s.down(ms, false, at(from)...)
	case "kill the receiver":
		s.down(ms, false, at(to)...)
	case "cut off the sender and kill the receiver":
		s.down(100, false, at(to)...)
	case "cut off the receiver and kill the sender":
		s.down(100, false, at(from)...)
	case "kill all":
		s.down(ms, false, s.cores...)
	case "power":
		s.down(ms, true, s.cores...)
	case "wipe the sender", "power, wipe the sender":
		m := at(from)
		if !mayWipe || len(m) == 0 {
			return
		}
		if what == "wipe the sender" {
			s.down(ms, false, m...)
		} else {
			s.down(ms, true, s.cores...)
		}
		s.wipe(m[0])
	}
}

// next makes a change on top of the newest revision that is known, or of an
// older one.
func (s *search) next(more, older int) *order {
	s.mu.Lock()
	match := s.believed
	if older == 3 && match > 1 {
		match--
	}
	s.mu.Unlock()
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	o := &order{name: fmt.Sprintf("order-%d", len(s.hist.orders)), match: match, revision: match + 1 + int64(more)}
	o.raw = fmt.Appendf(nil, `{"revision":%d,"route-table":[],"service-table":[],"order":%q}`, o.revision, o.name)
	s.hist.orders = append(s.hist.orders, o)
	s.hist.byBytes[string(o.raw)] = o
	return o
}

func (s *search) believe(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.believed = max(s.believed, revision)
}

// call sends one request to a core and follows 307 twice; 0 is no clear answer.
func (s *search) call(m *machine, limit time.Duration, c httpwire.Call) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	addr := control(m)
	for range 3 {
		c.Host = addr
		a, err := s.pool.Do(ctx, addr, &c)
		if err != nil {
			return 0, nil
		}
		if a.Status == 307 {
			rest, _ := strings.CutPrefix(a.Header.Get("Location"), "http://")
			host, path, _ := strings.Cut(rest, "/")
			addr, c.Target = host, "/"+path
			continue
		}
		if a.Status >= 500 || a.Status == 408 || a.Status == 429 {
			return 0, a.Body
		}
		return a.Status, a.Body
	}
	return 0, nil
}

// send brings an order to one core after another, until there is a clear
// answer, but no more than some times.
func (s *search) send(o *order, first, tries int, limit time.Duration) int {
	pause := 50 * time.Millisecond
	for try := range tries {
		s.mu.Lock()
		m := s.cores[(first+try)%len(s.cores)]
		s.mu.Unlock()
		from := s.hist.now()
		s.hist.mu.Lock()
		o.sent = cmp.Or(o.sent, from)
		s.hist.mu.Unlock()
		code, body := s.call(m, limit, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(o.match)}, Body: o.raw})
		to := s.hist.now()
		s.say("%s: %d on %d, to %s from %d to %d: %d %.120s", o.name, o.revision, o.match, m.name, from, to, code, body)
		s.hist.mu.Lock()
		switch {
		case code == 200:
			if o.acked == 0 {
				o.acked, o.ackedAt = to, time.Now()
			}
		case code != 0:
			o.refused = append(o.refused, sending{from, to, code})
		}
		both := o.acked > 0 && len(o.refused) > 0
		s.hist.mu.Unlock()
		switch {
		case both:
			s.fail("refused", "%s is both acknowledged and refused: %d from %s: %s", o.name, code, m.name, body)
		case code == 200:
			s.believe(o.revision)
			s.spring("acked", nil, m.ip, m.ip)
			return code
		case code == 412:
			if n, err := strconv.ParseInt(strings.Fields(strings.TrimPrefix(string(body), `{"error-text":"revision `) + " 0")[0], 10, 64); err == nil {
				s.believe(n)
			}
			return code
		case code != 0:
			s.fail("refused", "%s is refused with %d by %s: %s", o.name, code, m.name, body)
			return code
		}
		if s.over() {
			return 0
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// read gets the configuration from one core.
func (s *search) read(m *machine) bool {
	from := s.hist.now()
	code, body := s.call(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/configuration"})
	r := reading{sending{from, s.hist.now(), code}, "", m.name}
	switch code {
	case 0:
		return false
	case 404:
	case 200:
		o := s.order(body)
		if o == nil {
			s.fail("history", "%s tells a configuration that nobody sent: %s", m.name, body)
			return false
		}
		r.name = o.name
		s.believe(o.revision)
	default:
		s.fail("refused", "a read at %s is refused with %d: %s", m.name, code, body)
		return false
	}
	s.say("%s is read at %s from %d to %d", r.name, m.name, r.from, r.to)
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	s.hist.readings = append(s.hist.readings, r)
	return true
}

func (s *search) order(raw []byte) *order {
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	return s.hist.byBytes[string(raw)]
}

func (s *search) status(m *machine) (o controlplane.Overview, err error) {
	code, body := s.call(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/status"})
	if code != 200 {
		return o, fmt.Errorf("answered %d %s", code, body)
	}
	return o, json.Unmarshal(body, &o)
}

func (s *search) view(m *machine) (v chain.View, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return v, s.eyes.Post(ctx, internal(m), "/view", struct{}{}, nil, &v)
}

// beat has a handler say something; the channel is closed when it was answered.
func (s *search) beat(x step) <-chan struct{} {
	done := make(chan struct{})
	n := x.N % 3
	s.mu.Lock()
	h := s.instances[n]
	if h == nil || h.state == "gone" && x.Kind == stepBeat {
		h = &caller{id: fmt.Sprintf("handler-%d-%d", n, s.index+int(time.Since(s.began).Milliseconds())), state: handler.Ready}
		s.instances[n] = h
	}
	state, method := h.state, "PUT"
	switch x.Kind {
	case stepDrain:
		if h.state == handler.Ready {
			h.state = handler.Draining
		}
		state = h.state
	case stepDelete:
		h.state, state, method = "gone", "gone", "DELETE"
	case stepLate:
		state = handler.Ready
	}
	if state == "gone" {
		method = "DELETE"
	}
	late := x.Kind == stepLate
	s.mu.Unlock()
	s.ops.Go(func() {
		defer close(done)
		for try := range 1 + x.B {
			s.mu.Lock()
			m := s.cores[(x.A+try)%len(s.cores)]
			seq := int64(1)
			if !late {
				h.seq++
				seq = h.seq
			}
			s.mu.Unlock()
			c := httpwire.Call{Method: method, Target: "/v1/instances/" + h.id}
			if method == "PUT" {
				c.Body = fmt.Appendf(nil, `{"service":"plain","address":"10.20.0.%d:90","zone":"z1","revision":"v1","slots":2,"oper-state":%q,"call-seq":%d}`, n, state, seq)
			}
			code, body := s.call(m, time.Second, c)
			s.say("%s says %s (%d) to %s: %d %.80s", h.id, state, seq, m.name, code, body)
			if code/100 == 2 {
				if state != handler.Ready {
					s.mu.Lock()
					if s.left[h.id] == nil {
						s.left[h.id] = &leaving{time.Now()}
					}
					s.mu.Unlock()
					s.spring("left", nil, m.ip, m.ip)
				}
				return
			}
			if code != 0 {
				s.fail("refused", "a beat is refused with %d: %s", code, body)
			}
			if s.over() {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return done
}

// watch asks all cores for their view and their news, past all cuts: as a node
// on their side of a cut would see them.
func (s *search) watch(ctx context.Context) {
	type told struct {
		page  journal.Page
		state map[string]string
		conf  int64
	}
	known := map[string]*told{}
	var mu sync.Mutex
	for ctx.Err() == nil {
		s.mu.Lock()
		list := slices.Clone(s.cores)
		s.mu.Unlock()
		var all sync.WaitGroup
		for _, m := range list {
			all.Go(func() {
				if v, err := s.view(m); err == nil {
					s.saw(m, v)
				}
				mu.Lock()
				k := known[m.name]
				if k == nil {
					k = &told{state: map[string]string{}}
					known[m.name] = k
				}
				mu.Unlock()
				asked := time.Now()
				pctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				defer cancel()
				var page journal.Page
				if s.eyes.Post(pctx, internal(m), "/news", distribution.Poll{Source: k.page.Source, Number: k.page.Number}, nil, &page) != nil {
					return
				}
				if page.Source != k.page.Source {
					k.state, k.conf = map[string]string{}, 0
				}
				k.page = page
				for _, e := range page.Events {
					if id, ok := strings.CutPrefix(e.Key, distribution.PrefixInstance); ok {
						k.state[id] = journal.Decode[handler.Instance](e).State
					}
					if e.Key == distribution.KeyConfiguration {
						k.conf = e.Version.Major
						s.published(m, journal.Decode[[]byte](e))
					}
				}
				s.judge(m, asked, k.conf, k.state)
			})
		}
		all.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// published looks at a configuration that a core tells the nodes.
func (s *search) published(m *machine, raw []byte) {
	o := s.order(raw)
	if o == nil {
		s.fail("news", "%s tells a configuration that nobody sent: %s", m.name, raw)
		return
	}
	s.hist.mu.Lock()
	refused := len(o.refused) > 0
	s.hist.mu.Unlock()
	if refused {
		s.fail("news", "%s tells %s, which was refused", m.name, o.name)
	}
}

// judge looks at what a core told the nodes.
func (s *search) judge(m *machine, asked time.Time, conf int64, state map[string]string) {
	s.hist.mu.Lock()
	for _, o := range s.hist.orders {
		if conf > 0 && o.acked > 0 && o.revision > conf && asked.Sub(o.ackedAt) > contact {
			defer s.fail("news", "%s tells revision %d, %v after %s was acknowledged", m.name, conf, asked.Sub(o.ackedAt), o.name)
			break
		}
	}
	s.hist.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.left {
		shown, key := state[id], m.name+" "+id
		switch {
		case !asked.After(l.at):
		case shown != handler.Ready:
			if shown != "" {
				s.shown[key] = true
			}
		case s.shown[key]:
			s.wrong("instance", "%s tells that %s is ready again, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.at))
		case s.faults == 0 && asked.Sub(l.at) > drain && asked.Sub(s.calm) > drain:
			s.wrong("instance", "%s tells that %s is ready, %v after its leaving was acknowledged", m.name, id, asked.Sub(l.at))
		}
	}
}

// saw looks at a view that a core told.
func (s *search) saw(m *machine, v chain.View) {
	if v.Number == 0 {
		return
	}
	text := func(v chain.View) string { raw, _ := json.Marshal(v); return string(raw) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest[m.name] > v.Number {
		s.wrong("view", "%s went back from view %d to %d", m.name, s.newest[m.name], v.Number)
	}
	s.newest[m.name] = v.Number
	old, known := s.views[v.Number]
	if known {
		if text(old) != text(v) {
			s.wrong("view", "two views have the number %d:\n    %s\n    %s at %s", v.Number, text(old), text(v), m.name)
		}
		return
	}
	s.views[v.Number] = v
	s.note("%s: view %v", m.name, v)
	for _, pair := range [][2]int64{{v.Number - 1, v.Number}, {v.Number, v.Number + 1}} {
		one, ok1 := s.views[pair[0]]
		two, ok2 := s.views[pair[1]]
		if !ok1 || !ok2 {
			continue
		}
		if without(one.Voters, two.Voters) > 1 || without(two.Voters, one.Voters) > 1 {
			s.wrong("voters", "more than one voter changes from view %v to %v", one, two)
		}
	}
}

// without counts the members of one list that are not in another.
func without(a, b []chain.Member) (n int) {
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o chain.Member) bool { return o.Address == m.Address && o.Disk == m.Disk }) {
			n++
		}
	}
	return n
}

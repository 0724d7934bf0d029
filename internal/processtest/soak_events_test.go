package processtest

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// soak draws the faults of one seed.
type soak struct {
	fleet  *fleet
	counts map[string]int
	ends   []func() // close the connections of the crowds
	// replaced reports that a store was replaced. It loses a disk, so it happens once in a run.
	replaced bool
}

// event is a kind of fault or of planned work. A series of it may strike several nodes, and
// overlap with others.
type event struct {
	name  string
	share int // of all events, in percent
	apply func(s *soak, n *node)
}

var events = []event{
	{"stop", 22, func(_ *soak, n *node) {
		n.stopping = true
		n.signal(syscall.SIGTERM)
	}},
	{"kill", 12, func(_ *soak, n *node) {
		n.killed = true
		n.signal(syscall.SIGKILL)
	}},
	{"reload", 16, func(_ *soak, n *node) { n.signal(syscall.SIGHUP) }},
	{"restart of a store unseen by an edge", 6, (*soak).restartUnseen},
	{"replacement of a store while the others are down", 3, (*soak).replaceStore},
	{"change of the settings file", 7, func(s *soak, n *node) { s.fleet.touchSettings(n) }},
	{"suspension", 10, func(_ *soak, n *node) {
		n.suspended = true
		n.signal(syscall.SIGSTOP)
	}},
	{"configuration", 12, func(s *soak, _ *node) { s.fleet.changeConfiguration() }},
	{"crowd", 12, (*soak).startCrowd},
}

// Shape of the schedule.
const (
	maxEventPause = 400 * time.Millisecond
	maxSeries     = 4
	// maxDown bounds the nodes of a role that are not up at once, in percent, so that there is
	// some service.
	maxDown = 50
	// maxUnseenDown is how long a store may be down while an edge stands still. A call to the
	// store must not time out meanwhile.
	maxUnseenDown = 150 * time.Millisecond
	// replacementDelay is how long the other stores are down before one is removed: the
	// controller has noticed it by then.
	replacementDelay = 1500 * time.Millisecond
)

// run applies events for some time. A process that has exited is started again, as the platform
// does.
func (s *soak) run(duration time.Duration) {
	s.counts = map[string]int{}
	rng := s.fleet.rng
	for end := time.Now().Add(duration); time.Now().Before(end); {
		kind := s.drawEvent()
		for range 1 + rng.IntN(maxSeries) {
			nodes := s.fleet.present()
			n := nodes[rng.IntN(len(nodes))]
			if !s.mayStrike(kind.name, n) {
				continue
			}
			s.counts[kind.name]++
			kind.apply(s, n)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxEventPause))))
		s.recoverNodes()
	}
	for _, end := range s.ends {
		end()
	}
}

func (s *soak) drawEvent() event {
	at := s.fleet.rng.IntN(100)
	for _, e := range events {
		if at -= e.share; at < 0 {
			return e
		}
	}
	return events[0]
}

// mayStrike reports whether an event may strike a node. Signals may reach a process that is
// stopping already.
func (s *soak) mayStrike(kind string, n *node) bool {
	if n.killed || n.suspended {
		return false
	}
	if kind != "stop" && kind != "kill" && kind != "suspension" || n.stopping && kind != "suspension" {
		return true
	}
	down, all := 1, 0
	for _, other := range s.fleet.ofRole(n.role) {
		all++
		if other.stopping || other.killed || other.suspended {
			down++
		}
	}
	return down*100 <= all*maxDown
}

// recoverNodes resumes some suspended processes and starts those that have exited.
func (s *soak) recoverNodes() {
	for _, n := range s.fleet.present() {
		if n.suspended && s.fleet.rng.IntN(2) == 0 {
			s.fleet.resume(n)
		}
		if s.fleet.checkExit(n) {
			s.fleet.start(n)
		}
		s.fleet.checkResources(n)
	}
}

func (f *fleet) resume(n *node) {
	if n.suspended {
		n.suspended = false
		n.signal(syscall.SIGCONT)
	}
}

// restartUnseen kills a store and starts it again while an edge of its zone stands still. The
// edge then finds its connections broken and the store listening.
func (s *soak) restartUnseen(struck *node) {
	f := s.fleet
	store, edge := f.anyIn(struck.zone, "store"), f.anyIn(struck.zone, "edge")
	if store == nil || edge == nil {
		return
	}
	s.counts["restart of a store unseen by an edge: carried out"]++
	edge.signal(syscall.SIGSTOP)
	f.kill(store)
	time.Sleep(time.Duration(f.rng.Int64N(int64(maxUnseenDown))))
	f.start(store)
	f.waitUntilListening(store)
	edge.signal(syscall.SIGCONT)
}

// replaceStore kills all stores but one, and while they are down replaces that one by an empty
// machine at another address. The others keep their disks, so one disk is lost.
func (s *soak) replaceStore(*node) {
	f := s.fleet
	removed := f.anyIn(f.replacement.zone, "store")
	if s.replaced || removed == nil {
		return
	}
	s.replaced = true
	s.counts["replacement of a store while the others are down: carried out"]++
	var others []*node
	for _, n := range f.ofRole("store") {
		f.resume(n)
		if n != removed {
			others = append(others, n)
			n.killed = true
			n.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(replacementDelay)
	f.kill(removed)
	removed.absent = true
	f.removeData(removed)
	time.Sleep(time.Duration(f.rng.Int64N(int64(replacementDelay))))
	f.replacement.absent = false
	f.start(f.replacement)
	for _, n := range others {
		<-n.process.exited
		f.start(n)
	}
}

// startCrowd opens connections to a listener of a node, with requests that are never complete.
func (s *soak) startCrowd(n *node) {
	port := map[string]int{"core": portControl, "store": portInternal, "edge": portClients}[n.role]
	if s.fleet.rng.IntN(3) == 0 {
		port = portInternal
	}
	const clients, bodyBytes = 40, 200 << 10
	start := "POST /any/x HTTP/1.1\r\nHost: app.example\r\nSaltreel-Key: example-key\r\nSaltreel-Attempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n"
	body := chunksOf(largeChunkBytes, bodyBytes)
	c := crowd{name: "soak", clients: clients, send: func(conn net.Conn, client int) error {
		if client%2 == 0 {
			return sendOpenBody(start, body, "")(conn, client)
		}
		return sendOpenBody(strings.Repeat("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n", pipelinedRequests), nil, "")(conn, client)
	}}
	ended := make(chan func(), 1)
	address := net.JoinHostPort(n.ip, strconv.Itoa(port))
	go func() { ended <- c.run(address) }()
	s.ends = append(s.ends, func() { (<-ended)() })
}

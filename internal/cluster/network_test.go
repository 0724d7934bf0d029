package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"saltreel/internal/httpwire"
)

// network is a simulated network with delays, partitions and machine crashes. It
// runs on the clock of the test's synctest bubble. A link is directed and leads from
// one IP to another.
type network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*conn]bool
	isolated   map[string]bool    // IPs without any connectivity
	blocked    map[[2]string]bool // links that drop all packets
	delay      time.Duration
	heldLinks  map[[2]string]int            // number of holds by link; delivery resumes at zero
	paused     map[string]pause             // by IP
	heldPipes  map[[2]string]map[*pipe]bool // pipes with held bytes, by link
	jitter     time.Duration                // upper bound of the random extra delay of a packet
	rng        *rand.Rand                   // source of the jitter
	processors map[string]*processor        // by IP; machines without one process received bytes instantly
	// dialsIgnorePartitions lets connections open across partitions and holds, which
	// still apply to the data sent on them.
	dialsIgnorePartitions bool
	// interceptRequest, if set, is called with each request before it is sent. It
	// returns the bytes to send instead or, if the request is not to be sent, a
	// response to it.
	interceptRequest func(from *process, to string, b []byte) (out, answer []byte)
	// dropsConnection, if set, is called before each response is sent and reports
	// whether to close the connection instead.
	dropsConnection func(c *conn) bool
	rewrite         func(b []byte) []byte   // replaces the written bytes, if set
	observe         func(c *conn, b []byte) // called with all written bytes that are not dropped, if set
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, isolated: map[string]bool{}, blocked: map[[2]string]bool{}, delay: time.Millisecond,
		heldLinks: map[[2]string]int{}, paused: map[string]pause{}, processors: map[string]*processor{}, heldPipes: map[[2]string]map[*pipe]bool{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// process is one incarnation of a process on the network.
type process struct {
	network *network
	ip      string
	dead    bool
	exempt  bool // partitions, holds and jitter do not apply to its traffic
}

func (address) Network() string { return "tcp" }

func (p *process) httpNetwork() httpwire.Network {
	return httpwire.Network{Dial: p.dial, Listen: p.listen}
}

func (p *process) listen(addr string) (net.Listener, error) {
	l := &listener{owner: p, addr: addr, queue: make(chan net.Conn, 256), done: make(chan struct{})}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.dead || p.network.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	p.network.listeners[addr] = l
	return l, nil
}

func (p *process) dial(ctx context.Context, addr string) (net.Conn, error) {
	n := p.network
	ip, _, _ := net.SplitHostPort(addr)
	select {
	case <-time.After(2 * n.latency()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for !p.exempt && !n.dialsIgnorePartitions && n.handshakeHeld(p.ip, ip) { // holds delay the handshake too
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[addr]
	dropped := !p.exempt && !n.dialsIgnorePartitions && (n.dropsLocked(p.ip, ip) || n.dropsLocked(ip, p.ip))
	if dead := p.dead; dead || l == nil || dropped {
		n.mu.Unlock()
		if dead || dropped {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	a, b := newPipe(), newPipe()
	near := &conn{in: a, out: b, owner: p, peer: l.owner, dialled: addr}
	far := &conn{in: b, out: a, owner: l.owner, peer: p}
	n.conns[near], n.conns[far] = true, true
	n.mu.Unlock()
	select {
	case l.queue <- far:
	case <-l.done:
	}
	return near, nil
}

// kill crashes a process: its connections are reset, and it can open no new ones.
func (p *process) kill() {
	n := p.network
	n.mu.Lock()
	p.dead = true
	var listeners []*listener
	for _, l := range n.listeners {
		if l.owner == p {
			listeners = append(listeners, l)
		}
	}
	var conns []*conn
	for c := range n.conns {
		if c.owner == p || c.peer == p {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// reset resets all connections between two machines.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.owner.ip == a && c.peer.ip == b || c.owner.ip == b && c.peer.ip == a {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// hold delays all bytes sent on a link until release, including those of a sender
// that has timed out and closed the connection, as TCP does when it retransmits until
// a partition heals. Each hold needs one release.
func (n *network) hold(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldLinks[[2]string{from, to}]++
}

// release ends one hold, and delivers the held bytes after the last one.
func (n *network) release(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{from, to}
	n.heldLinks[link]--
	n.releaseLinkLocked(link, n.delay)
}

// releaseLinkLocked delivers the held bytes of a link unless a hold or a pause still
// applies to it.
func (n *network) releaseLinkLocked(link [2]string, delay time.Duration) {
	if n.holdsLocked(link) {
		return
	}
	for p := range n.heldPipes[link] {
		p.release(delay)
	}
	delete(n.heldPipes, link)
}

// processor models the processing capacity of a machine: it processes the received
// chunks one after another at a fixed rate.
type processor struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

// setProcessor limits the rate at which a machine processes received bytes.
func (n *network) setProcessor(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processors[ip] = &processor{bytesPerSecond: bytesPerSecond}
}

// processingDelayLocked returns the time until a machine has processed bytes that
// arrive after the given delay.
func (n *network) processingDelayLocked(ip string, size int, delay time.Duration) time.Duration {
	p := n.processors[ip]
	if p == nil {
		return delay
	}
	began := time.Now().Add(delay)
	if began.Before(p.busyUntil) {
		began = p.busyUntil
	}
	p.busyUntil = began.Add(time.Duration(float64(size) / p.bytesPerSecond * float64(time.Second)))
	return time.Until(p.busyUntil)
}

// holdsLocked reports whether bytes sent on a link are held.
func (n *network) holdsLocked(link [2]string) bool {
	return n.heldLinks[link] > 0 || n.paused[link[0]].holdsWrites
}

// pause simulates a process that is not scheduled, as seen by its peers. The process
// reads nothing until it resumes, and then finds both the bytes that have arrived and
// deadlines that have passed. Connections still open, because the kernel accepts them.
// Timers cannot be stopped: unless writes are held as well, what they send goes out
// at once, as if they had fired before the pause.
type pause struct {
	resumed     chan struct{}
	holdsWrites bool
}

// pauseProcess pauses the process of a machine.
func (n *network) pauseProcess(ip string, holdsWrites bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[ip] = pause{make(chan struct{}), holdsWrites}
}

// resumeProcess ends the pause and delivers the writes held by it.
func (n *network) resumeProcess(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused[ip].resumed)
	delete(n.paused, ip)
	for link := range n.heldPipes {
		if link[0] == ip {
			n.releaseLinkLocked(link, n.delay)
		}
	}
}

// waitWhilePaused blocks while the process of a machine is paused.
func (n *network) waitWhilePaused(ip string) {
	for {
		n.mu.Lock()
		p, paused := n.paused[ip]
		n.mu.Unlock()
		if !paused {
			return
		}
		<-p.resumed
	}
}

// handshakeHeld reports whether a handshake between two machines is held.
func (n *network) handshakeHeld(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heldLinks[[2]string{a, b}] > 0 || n.heldLinks[[2]string{b, a}] > 0
}

// reachable reports whether neither a partition nor a hold affects the links between
// two machines.
func (n *network) reachable(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dropsLocked(a, b) && !n.dropsLocked(b, a) && n.heldLinks[[2]string{a, b}] <= 0 && n.heldLinks[[2]string{b, a}] <= 0
}

// setJitter adds a random delay below the limit to each packet, so that packets on
// one connection can overtake those on another.
func (n *network) setJitter(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = limit
}

// slowLinks sets a delay at which a batch of records is still in flight when the next
// one is sent, and a jitter that reorders them.
func (w *world) slowLinks() {
	w.network.setDelay(20 * time.Millisecond)
	w.network.setJitter(20 * time.Millisecond)
}

// restoreLinks resets the delay and jitter that slowLinks sets to their defaults.
func (w *world) restoreLinks() {
	w.network.setDelay(time.Millisecond)
	w.network.setJitter(0)
}

// isolate disconnects a machine from all others, or reconnects it.
func (n *network) isolate(ip string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = isolated
}

// setDelay sets the delay of the packets sent from now on.
func (n *network) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *network) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// setBlocked blocks or unblocks the links from each address in from to each in to.
func (n *network) setBlocked(from, to []string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.blocked[[2]string{a, b}] = blocked
		}
	}
}

// dropsLocked reports whether packets from one machine to another are dropped.
func (n *network) dropsLocked(from, to string) bool {
	return n.isolated[from] || n.isolated[to] || n.blocked[[2]string{from, to}]
}

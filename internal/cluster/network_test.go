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

// network is a simulated network: delays, partitions and machines that crash. It
// runs on the clock of the test's bubble. Its links lead from one IP to another.
type network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*conn]bool
	isolated   map[string]bool    // IPs that reach nobody and that nobody reaches
	blocked    map[[2]string]bool // links on which all is lost
	delay      time.Duration
	heldLinks  map[[2]string]int            // holds by link: delivered once there is none
	paused     map[string]pause             // by IP
	heldPipes  map[[2]string]map[*pipe]bool // what has held bytes
	jitter     time.Duration                // what a packet may take longer than others
	rng        *rand.Rand                   // draws the jitter
	processors map[string]*processor        // by IP; others take no time for what they receive
	// dialsIgnorePartitions lets connections open past all partitions; what is
	// sent on them is lost all the same.
	dialsIgnorePartitions bool
	// interceptRequest, where it is set, sees each request before it is sent. It
	// gives the bytes to send in its place, and an answer if it is not to be sent.
	interceptRequest func(from *process, to string, b []byte) (out, answer []byte)
	// dropsConnection, where it is set, sees each answer before it is sent, and says
	// whether the connection is closed instead.
	dropsConnection func(c *conn) bool
	rewrite         func(b []byte) []byte   // changes what is written, if set
	observe         func(c *conn, b []byte) // called with all that is written and not lost, if set
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
	exempt  bool // no partition and no hold applies to what it sends and receives
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
	for !p.exempt && !n.dialsIgnorePartitions && n.handshakeHeld(p.ip, ip) { // the handshake is held as well
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

// kill crashes a process: its connections are reset, and it reaches nobody any more.
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

// reset ends the connections between two machines.
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

// hold delays what goes from one machine to another until it is released, also
// what a sender that gave up and closed has written: as TCP does that
// retransmits until a partition heals. Each hold needs its release.
func (n *network) hold(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldLinks[[2]string{from, to}]++
}

// release delivers what was held, unless another hold is left.
func (n *network) release(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{from, to}
	n.heldLinks[link]--
	n.releaseLinkLocked(link, n.delay)
}

// releaseLinkLocked delivers what was held on a link, unless something holds it
// still.
func (n *network) releaseLinkLocked(link [2]string, delay time.Duration) {
	if n.holdsLocked(link) {
		return
	}
	for p := range n.heldPipes[link] {
		p.release(delay)
	}
	delete(n.heldPipes, link)
}

// processor is what a machine has for the bytes that it receives: it takes one chunk
// after the other.
type processor struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

// setProcessor lets a machine take its time for what it receives.
func (n *network) setProcessor(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processors[ip] = &processor{bytesPerSecond: bytesPerSecond}
}

// processingDelayLocked is after how long a machine has processed bytes that reach it
// after a delay.
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

// holdsLocked reports whether what is sent on a link is held.
func (n *network) holdsLocked(link [2]string) bool {
	return n.heldLinks[link] > 0 || n.paused[link[0]].holdsWrites
}

// pause is the time in which a process has no processor, as far as others can see.
// It reads nothing until it resumes, and finds then what has arrived beside
// deadlines that have passed; connections open, as the kernel's do. Timers cannot
// be stopped: what they send goes out at once, as if they had fired ahead of the
// pause, unless writes are held as well.
type pause struct {
	resumed     chan struct{}
	holdsWrites bool
}

// pauseProcess begins a pause of the process of a machine.
func (n *network) pauseProcess(ip string, holdsWrites bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[ip] = pause{make(chan struct{}), holdsWrites}
}

// resumeProcess ends it.
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

// waitWhilePaused returns when the process of a machine has the processor.
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

// reachable reports whether two machines reach each other, as far as partitions
// and holds decide.
func (n *network) reachable(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dropsLocked(a, b) && !n.dropsLocked(b, a) && n.heldLinks[[2]string{a, b}] <= 0 && n.heldLinks[[2]string{b, a}] <= 0
}

// setJitter lets each packet take up to so much longer, so that what is sent on
// one connection overtakes what is sent on another.
func (n *network) setJitter(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = limit
}

// slowLinks makes the links so slow that batches of records take longer than the time
// after which others follow them, and lets those overtake each other.
func (w *world) slowLinks() {
	w.network.setDelay(20 * time.Millisecond)
	w.network.setJitter(20 * time.Millisecond)
}

// restoreLinks undoes slowLinks.
func (w *world) restoreLinks() {
	w.network.setDelay(time.Millisecond)
	w.network.setJitter(0)
}

// isolate cuts a machine off from all others, or connects it again.
func (n *network) isolate(ip string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = isolated
}

// setDelay sets how long packets take from now on.
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

// setBlocked blocks the links from any of some machines to any of others, or
// unblocks them.
func (n *network) setBlocked(from, to []string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.blocked[[2]string{a, b}] = blocked
		}
	}
}

// dropsLocked reports whether packets from one machine to another are lost.
func (n *network) dropsLocked(from, to string) bool {
	return n.isolated[from] || n.isolated[to] || n.blocked[[2]string{from, to}]
}

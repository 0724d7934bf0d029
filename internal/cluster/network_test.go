package cluster

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"saltreel/internal/httpwire"
)

// network is a simulated network: delays, cuts and machines that die. It runs
// on the clock of the test's bubble.
type network struct {
	mu                    sync.Mutex
	listeners             map[string]*listener
	conns                 map[*conn]bool
	isolated              map[string]bool    // by IP: packets to and from it are lost
	blocked               map[[2]string]bool // from one IP to another: lost too
	delay                 time.Duration
	heldLinks             map[[2]string]int            // from one IP to another: delivered once nobody holds it any more
	heldPipes             map[[2]string]map[*pipe]bool // what has held bytes
	jitter                time.Duration                // what a packet may take longer than others
	rng                   *rand.Rand                   // draws the jitter
	dialsIgnorePartitions bool                         // connections open past all cuts; what is sent on them does not
	// request, where it is set, sees each request before it is sent. It gives
	// the bytes to send in its place, and an answer if it is not to be sent.
	interceptRequest func(from *process, to string, b []byte) (out, answer []byte)
	rewrite          func(b []byte) []byte   // makes something else of what is written
	observe          func(c *conn, b []byte) // called with all that is written and not lost, if set
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, isolated: map[string]bool{}, blocked: map[[2]string]bool{}, delay: time.Millisecond,
		heldLinks: map[[2]string]int{}, heldPipes: map[[2]string]map[*pipe]bool{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// process is one life of a process on the network.
type process struct {
	network *network
	ip      string
	dead    bool
	exempt  bool // no cut and no hold strikes what it sends and gets
}

type listener struct {
	owner *process
	addr  string
	queue chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.owner.network.mu.Lock()
		if l.owner.network.listeners[l.addr] == l {
			delete(l.owner.network.listeners, l.addr)
		}
		l.owner.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

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
	for !p.exempt && !n.dialsIgnorePartitions && n.handshakeHeld(p.ip, ip) { // the handshake is held up as well
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[addr]
	silent := !p.exempt && !n.dialsIgnorePartitions && (n.dropsLocked(p.ip, ip) || n.dropsLocked(ip, p.ip))
	if dead := p.dead; dead || l == nil || silent {
		n.mu.Unlock()
		if dead || silent {
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

// kill ends a life: its sockets close with a reset, and it reaches nobody any more.
func (p *process) kill() {
	n := p.network
	n.mu.Lock()
	p.dead = true
	var ls []*listener
	for _, l := range n.listeners {
		if l.owner == p {
			ls = append(ls, l)
		}
	}
	var cs []*conn
	for c := range n.conns {
		if c.owner == p || c.peer == p {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		l.Close()
	}
	for _, c := range cs {
		c.reset()
	}
}

// reset ends the connections between two machines.
func (n *network) reset(a, b string) {
	n.mu.Lock()
	var cs []*conn
	for c := range n.conns {
		if c.owner.ip == a && c.peer.ip == b || c.owner.ip == b && c.peer.ip == a {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		c.reset()
	}
}

// hold keeps back what goes from one machine to another, also what a sender
// that gave up and closed has written, as a network stack does that sends
// again until a cut heals. Each hold needs its release.
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
	if n.heldLinks[link]--; n.heldLinks[link] > 0 {
		return
	}
	for p := range n.heldPipes[link] {
		p.release(n.delay)
	}
	delete(n.heldPipes, link)
}

// holds tells whether a handshake between two machines is held up.
func (n *network) handshakeHeld(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heldLinks[[2]string{a, b}] > 0 || n.heldLinks[[2]string{b, a}] > 0
}

// clear tells whether two machines reach each other, as far as cuts and holds say.
func (n *network) reachable(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dropsLocked(a, b) && !n.dropsLocked(b, a) && n.heldLinks[[2]string{a, b}] <= 0 && n.heldLinks[[2]string{b, a}] <= 0
}

// vary lets each packet take up to so much longer, so that what is sent on one
// connection overtakes what is sent on another.
func (n *network) setJitter(most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = most
}

// cut makes a machine dark, or lights it again.
func (n *network) isolate(ip string, dark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = dark
}

// slow sets how long packets take from now on.
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

// sever loses what goes from any of some machines to any of others, or mends it.
func (n *network) setBlocked(from, to []string, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.blocked[[2]string{a, b}] = yes
		}
	}
}

// loses tells whether packets from one machine to another are lost. The lock is held.
func (n *network) dropsLocked(from, to string) bool {
	return n.isolated[from] || n.isolated[to] || n.blocked[[2]string{from, to}]
}

type conn struct {
	in, out     *pipe
	owner, peer *process
	dialled     string // the address that was dialled; empty for the side that accepted
}

func (c *conn) reset() {
	c.in.close(syscall.ECONNRESET)
	c.out.close(syscall.ECONNRESET)
}

func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

func (c *conn) Write(b []byte) (int, error) {
	n := c.owner.network
	sent := b
	if n.interceptRequest != nil && c.dialled != "" {
		var answer []byte
		if sent, answer = n.interceptRequest(c.owner, c.dialled, b); answer != nil {
			_, err := c.in.write(answer, n.latency(), false)
			return len(b), err
		}
	}
	free := c.owner.exempt || c.peer.exempt
	link := [2]string{c.owner.ip, c.peer.ip}
	n.mu.Lock()
	lost, held, delay := !free && n.dropsLocked(link[0], link[1]), !free && n.heldLinks[link] > 0, n.delay
	if n.jitter > 0 && !free {
		delay += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	if held && !lost {
		if n.heldPipes[link] == nil {
			n.heldPipes[link] = map[*pipe]bool{}
		}
		n.heldPipes[link][c.out] = true
	}
	meddle, seen := n.rewrite, n.observe
	n.mu.Unlock()
	if lost {
		return len(b), nil
	}
	if seen != nil {
		seen(c, b)
	}
	if meddle != nil {
		sent = meddle(sent)
	}
	_, err := c.out.write(sent, delay, held)
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *conn) Close() error {
	c.in.close(net.ErrClosed)
	c.out.close(io.EOF)
	n := c.owner.network
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr                { return address(c.owner.ip + ":1") }
func (c *conn) RemoteAddr() net.Addr               { return address(c.peer.ip + ":1") }
func (c *conn) SetDeadline(t time.Time) error      { return c.in.setDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error  { return c.in.setDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return nil }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	chunks   []chunk
	closeErr error
	deadline time.Time
	changed  chan struct{}
}

type chunk struct {
	arrivesAt time.Time
	held      bool
	data      []byte
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) setDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.notifyLocked()
	return nil
}

func (p *pipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeErr == nil {
		p.closeErr = err
		p.notifyLocked()
	}
}

func (p *pipe) write(b []byte, delay time.Duration, held bool) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeErr != nil {
		return 0, syscall.EPIPE
	}
	p.chunks = append(p.chunks, chunk{time.Now().Add(delay), held, append([]byte(nil), b...)})
	p.notifyLocked()
	return len(b), nil
}

// release lets the bytes that were held arrive after a delay.
func (p *pipe) release(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.chunks {
		if c := &p.chunks[i]; c.held {
			c.arrivesAt, c.held = time.Now().Add(delay), false
		}
	}
	p.notifyLocked()
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		now := time.Now()
		wait := time.Hour
		if !p.deadline.IsZero() {
			if wait = p.deadline.Sub(now); wait <= 0 {
				p.mu.Unlock()
				return 0, os.ErrDeadlineExceeded
			}
		}
		if p.closeErr != nil && (p.closeErr != io.EOF || len(p.chunks) == 0) {
			defer p.mu.Unlock()
			return 0, p.closeErr
		}
		if len(p.chunks) > 0 {
			c := &p.chunks[0]
			if !c.held && !c.arrivesAt.After(now) {
				n := copy(b, c.data)
				if c.data = c.data[n:]; len(c.data) == 0 {
					p.chunks = p.chunks[1:]
				}
				p.mu.Unlock()
				return n, nil
			}
			if !c.held {
				wait = min(wait, c.arrivesAt.Sub(now))
			}
		}
		wake := p.changed
		p.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-wake:
		}
		t.Stop()
	}
}

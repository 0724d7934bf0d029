package cluster

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

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

func (a address) String() string { return string(a) }

// conn is one side of a connection.
type conn struct {
	in, out     *pipe
	owner, peer *process
	dialled     string // dialled address; empty on the accepting side
}

func (c *conn) reset() {
	c.in.close(syscall.ECONNRESET)
	c.out.close(syscall.ECONNRESET)
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		c.owner.network.waitWhilePaused(c.owner.ip)
		n, wait, changed, err := c.in.tryRead(b)
		if changed == nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

func (c *conn) Write(b []byte) (int, error) {
	n := c.owner.network
	sent := b
	if n.interceptRequest != nil && c.dialled != "" {
		var answer []byte
		if sent, answer = n.interceptRequest(c.owner, c.dialled, b); answer != nil {
			return len(b), c.in.write(answer, n.latency(), false)
		}
	}
	if n.dropsConnection != nil && c.dialled == "" && n.dropsConnection(c) {
		_ = c.Close()
		return 0, syscall.EPIPE
	}
	exempt := c.owner.exempt || c.peer.exempt
	link := [2]string{c.owner.ip, c.peer.ip}
	n.mu.Lock()
	lost := !exempt && n.dropsLocked(link[0], link[1])
	held := !exempt && n.holdsLocked(link)
	delay := n.delay
	if n.jitter > 0 && !exempt {
		delay += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	delay = n.processingDelayLocked(link[1], len(b), delay)
	if held && !lost {
		if n.heldPipes[link] == nil {
			n.heldPipes[link] = map[*pipe]bool{}
		}
		n.heldPipes[link][c.out] = true
	}
	rewrite, observe := n.rewrite, n.observe
	n.mu.Unlock()
	if lost {
		return len(b), nil
	}
	if observe != nil {
		observe(c, b)
	}
	if rewrite != nil {
		sent = rewrite(sent)
	}
	if err := c.out.write(sent, delay, held); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite half-closes the connection: the peer reads io.EOF after the data sent.
func (c *conn) CloseWrite() error {
	c.out.close(io.EOF)
	return nil
}

// Close resets the connection if received data is unread, as TCP does: the peer may
// then lose data that it has not read yet.
func (c *conn) Close() error {
	if c.in.hasArrived() {
		c.out.reset()
	}
	c.in.close(net.ErrClosed)
	c.out.close(io.EOF)
	n := c.owner.network
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr { return address(c.owner.ip + ":1") }

func (c *conn) RemoteAddr() net.Addr { return address(c.peer.ip + ":1") }

func (c *conn) SetDeadline(t time.Time) error { return c.in.setDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error { return c.in.setDeadline(t) }

func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	chunks   []chunk
	closeErr error // returned to readers; io.EOF only after all chunks
	deadline time.Time
	changed  chan struct{} // closed and replaced at each change
}

// chunk is the data of one write. It can be read from arrivesAt on, unless it is held.
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

func (p *pipe) write(b []byte, delay time.Duration, held bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeErr != nil {
		return syscall.EPIPE
	}
	p.chunks = append(p.chunks, chunk{time.Now().Add(delay), held, append([]byte(nil), b...)})
	p.notifyLocked()
	return nil
}

// reset discards unread data, even after a close.
func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeErr = syscall.ECONNRESET
	p.notifyLocked()
}

// hasUnread reports whether the pipe contains data that was not read, arrived or not.
func (p *pipe) hasUnread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.chunks) > 0
}

// hasArrived reports whether data has arrived and was not read.
func (p *pipe) hasArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.chunks) > 0 && !p.chunks[0].held && !p.chunks[0].arrivesAt.After(time.Now())
}

// release makes held data arrive after a delay.
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

// tryRead reads data that has arrived, or returns the error of the pipe. If there is
// neither, changed is not nil, and the caller tries again after wait or when changed
// is closed.
func (p *pipe) tryRead(b []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wait = time.Hour
	if !p.deadline.IsZero() {
		if wait = p.deadline.Sub(now); wait <= 0 {
			return 0, 0, nil, os.ErrDeadlineExceeded
		}
	}
	if p.closeErr != nil && (!errors.Is(p.closeErr, io.EOF) || len(p.chunks) == 0) {
		return 0, 0, nil, p.closeErr
	}
	if len(p.chunks) > 0 {
		c := &p.chunks[0]
		if !c.held && !c.arrivesAt.After(now) {
			n = copy(b, c.data)
			if c.data = c.data[n:]; len(c.data) == 0 {
				p.chunks = p.chunks[1:]
			}
			return n, 0, nil, nil
		}
		if !c.held {
			wait = min(wait, c.arrivesAt.Sub(now))
		}
	}
	return 0, wait, p.changed, nil
}

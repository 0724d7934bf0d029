package httpwire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Pool keeps connections to peers open between calls. Only Network must be set
// before use, and no field may change after that. Its methods are safe for concurrent
// use.
type Pool struct {
	Network     Network
	MaxIdle     int           // maximum idle connections per peer; 0: defaultMaxIdle
	IdleTimeout time.Duration // maximum idle time unless the peer's Keep-Alive announces one; 0: no limit
	DialTimeout time.Duration // 0: until the deadline of the call

	mu   sync.Mutex
	idle map[string][]*clientConn // by address
	open map[string]int           // idle and in use, by address
}

const defaultMaxIdle = 8

// Do sends a call and reads the complete response. The context must have a deadline
// or be canceled eventually. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, addr string, call *Call) (*ClientResponse, error) {
	sent := false
	for {
		c, err := p.connect(ctx, addr)
		if err != nil {
			return nil, &Error{Step: stepDial, Peer: addr, Sent: sent, Err: err}
		}
		response, began, err := c.exchange(ctx, call)
		if err == nil {
			p.release(addr, c, response)
			response.Resent = sent
			return response, nil
		}
		p.discard(addr, c)
		brokeIdle := c.reused && !began
		var e *Error
		if errors.As(err, &e) {
			e.Peer = addr
			e.Sent = e.Sent || sent
			e.Reused = brokeIdle
		}
		if !brokeIdle || !call.Idempotent || ctx.Err() != nil {
			return nil, err
		}
		sent = true
	}
}

// Connect opens a connection to a peer for a later call, unless there is an idle one.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return &Error{Step: stepDial, Peer: addr, Err: err}
	}
	p.addIdle(addr, c)
	return nil
}

// connect returns an idle connection, or opens one if there is none.
func (p *Pool) connect(ctx context.Context, addr string) (*clientConn, error) {
	if c := p.acquireIdle(addr); c != nil {
		return c, nil
	}
	if p.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.DialTimeout)
		defer cancel()
	}
	conn, err := p.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.countOpen(addr, 1)
	head := &headLimitedReader{conn: conn}
	return &clientConn{Conn: conn, head: head, reader: bufio.NewReaderSize(head, bufferSize)}, nil
}

// acquireIdle returns the most recently used idle connection, since the others are
// more likely to have expired, or nil if none is usable.
func (p *Pool) acquireIdle(addr string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[addr]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if !c.isExpired() && isReusable(c.Conn) {
			return c
		}
		p.open[addr]--
		closeConnection(c)
	}
}

// release returns a connection to the pool after a call, or closes it if it cannot
// be reused.
func (p *Pool) release(addr string, c *clientConn, response *ClientResponse) {
	if c.detached && c.prepareReuse(response, p.IdleTimeout) {
		p.addIdle(addr, c)
		return
	}
	p.discard(addr, c)
}

func (p *Pool) discard(addr string, c *clientConn) {
	p.countOpen(addr, -1)
	closeConnection(c)
}

func (p *Pool) addIdle(addr string, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle := p.MaxIdle
	if maxIdle == 0 {
		maxIdle = defaultMaxIdle
	}
	if p.idle == nil {
		p.idle = map[string][]*clientConn{}
	}
	if len(p.idle[addr]) >= maxIdle {
		p.open[addr]--
		closeConnection(c)
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *Pool) countOpen(addr string, difference int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]int{}
	}
	p.open[addr] += difference
	if p.open[addr] == 0 {
		delete(p.open, addr)
	}
}

// ConnectionsTo returns the number of connections to a peer, idle or in use.
func (p *Pool) ConnectionsTo(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// Connections returns the number of connections to all peers, idle or in use.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, n := range p.open {
		total += n
	}
	return total
}

// CloseIdle closes the idle connections to a peer.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		closeConnection(c)
		p.open[addr]--
	}
	delete(p.idle, addr)
}

// clientConn is a connection of a pool.
type clientConn struct {
	net.Conn
	head     *headLimitedReader // below reader
	reader   *bufio.Reader
	expires  time.Time // while idle; zero: never
	reused   bool      // has carried a call
	detached bool      // the context of the last call can no longer affect it
}

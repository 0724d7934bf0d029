// Package httpwire implements HTTP/1.1 on connections: a server that parses requests
// strictly, to rule out request smuggling (RFC 9112, section 6.3), and a pool of
// client connections that matches responses to calls. Both use bufio and the message
// parsers of net/http.
package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"saltreel/internal/budget"
)

const (
	// bufferSize is the size in bytes of a connection's read and write buffers.
	bufferSize = 4096
	// connectionBytes is what a connection without a request holds: its buffers, and the
	// stack of its goroutine.
	connectionBytes = 16 << 10
	// acceptRetryDelay is the delay after a failed Accept, for instance because of
	// too many open files.
	acceptRetryDelay = 50 * time.Millisecond
	// defaultShutdownGracePeriod is Server.ShutdownGracePeriod if that is zero.
	defaultShutdownGracePeriod = 200 * time.Millisecond
)

// Handler handles one request. A nil response closes the connection without a
// response. When ctx ends, for instance because the server shuts down, the handler
// must return immediately, with a response based on what is known by then.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bounds each request and each connection; Server.Budget bounds all of them
// together. Zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes                  int
	HeaderTimeout, IdleTimeout, BodyTimeout time.Duration
}

// Server handles requests on the connections of a listener, in order on each
// connection. Its methods are safe for concurrent use, except that Serve must be called
// only once. Its fields must not change once it serves.
type Server struct {
	Handle Handler
	Limits func() Limits // called for each request; nil: no bounds
	// OnPanic returns the response to a request whose handler panicked. Nil: the
	// panic terminates the process, which is needed where the handler may have left
	// shared state inconsistent.
	OnPanic func(r *Request, reason any) *Response
	// Budget bounds the memory and the connections of the server; nil: no bounds.
	Budget *budget.Budget
	// HandlingCopies is how many further copies of the body of a request exist while it is
	// handled, for instance encoded for a call to another process.
	HandlingCopies int
	// ReceiveBuffer is the size in bytes of the receive buffer of a connection, in which the
	// system holds what has arrived but is not read yet; 0: as the system chooses.
	ReceiveBuffer int
	// Pipelining tells that peers may send more while a request is in progress, so that the
	// receive buffer counts as memory.
	Pipelining bool
	// ShutdownGracePeriod is how long handlers may take to respond after the context
	// of Shutdown has ended; 0: defaultShutdownGracePeriod.
	ShutdownGracePeriod time.Duration

	mu         sync.Mutex
	conns      map[*Conn]bool // value: whether the connection is idle
	closing    bool           // responses carry Connection: close
	stopped    bool           // no connection is accepted, none becomes idle
	readCutoff time.Time      // read deadline of all requests; zero: none
	listener   net.Listener
	active     sync.WaitGroup // one per connection being served
}

// Serve accepts connections until the listener is closed. When ctx ends, it closes
// the listener and all connections immediately; for a graceful end, use Shutdown.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	stopped := s.stopped
	s.mu.Unlock()
	if s.ReceiveBuffer > 0 {
		LimitUnacceptedBytes(l)
	}
	if stopped {
		closeConnection(l)
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		closeConnection(l)
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err == nil {
			if c := s.track(conn); c != nil {
				go s.serveTracked(ctx, c)
			}
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(acceptRetryDelay):
		}
	}
}

// ServeConn handles requests on one connection until it ends, and closes it.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	if c := s.track(conn); c != nil {
		s.serveTracked(ctx, c)
	}
}

// track registers a new connection. If the server has stopped or its budget is
// exhausted, it closes the connection and returns nil.
func (s *Server) track(conn net.Conn) *Conn {
	account := s.Budget.Open(connectionBytes, func() { closeConnection(conn) })
	if account == nil {
		closeConnection(conn)
		return nil
	}
	if s.ReceiveBuffer > 0 {
		SetReceiveBuffer(conn, s.ReceiveBuffer)
	}
	c := newConn(s, conn, account)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		account.Close()
		closeConnection(conn)
		return nil
	}
	if s.conns == nil {
		s.conns = map[*Conn]bool{}
	}
	s.conns[c] = true
	s.active.Add(1)
	return c
}

func (s *Server) serveTracked(ctx context.Context, c *Conn) {
	defer s.active.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancelHandlers(c, cancel)
	c.serve(ctx)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	closeConnection(c)
	c.account.Close()
}

// setCancelHandlers registers the cancel function of a connection's handlers, which
// Shutdown may call before the context of Serve ends.
func (s *Server) setCancelHandlers(c *Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.cancelHandlers = cancel
	if !s.readCutoff.IsZero() {
		cancel()
	}
}

// StopKeepAlives makes the server close each connection after its next response.
func (s *Server) StopKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// Shutdown stops accepting connections, closes the idle ones, resumes the paused
// ones, and waits until the others have finished their request. When ctx ends, the
// contexts of the handlers are canceled, so that they respond immediately, and
// incomplete requests are rejected; connections that take longer than
// ShutdownGracePeriod after that are closed without a response. Shutdown may be
// called repeatedly; each call waits.
func (s *Server) Shutdown(ctx context.Context) {
	s.stop()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.cancelRequests()
		return
	case <-ctx.Done():
	}
	s.cancelRequests()
	timer := time.NewTimer(s.shutdownGracePeriod())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.closeAll()
	}
}

func (s *Server) shutdownGracePeriod() time.Duration {
	if s.ShutdownGracePeriod > 0 {
		return s.ShutdownGracePeriod
	}
	return defaultShutdownGracePeriod
}

// stop starts a shutdown. Only the first call has an effect.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.closing = true
	s.stopped = true
	if s.listener != nil {
		closeConnection(s.listener)
	}
	for c, idle := range s.conns {
		close(c.draining)
		if idle {
			c.interruptRead()
		}
	}
}

// cancelRequests cancels the contexts of the handlers and stops reading requests.
func (s *Server) cancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCutoff = time.Now()
	for c := range s.conns {
		if c.cancelHandlers != nil {
			c.cancelHandlers()
		}
		c.interruptRead()
	}
}

// closeAll closes every connection, idle or not.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.stopped = true
	for c := range s.conns {
		closeConnection(c)
	}
}

// setIdle marks a connection as idle or in use. It returns false if the server has
// stopped, in which case the connection must not become idle.
func (s *Server) setIdle(c *Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle && s.stopped {
		return false
	}
	s.conns[c] = idle
	return true
}

// readDeadline returns the earlier of the wanted deadline and readCutoff; zero means
// no deadline.
func (s *Server) readDeadline(wanted time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readCutoff.IsZero() || !wanted.IsZero() && wanted.Before(s.readCutoff) {
		return wanted
	}
	return s.readCutoff
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}
	}
	return s.Limits()
}

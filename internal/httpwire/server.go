// Package httpwire speaks HTTP/1.1 on connections: a server that reads requests
// strictly, so that no two readers understand one in two ways (RFC 9112, section
// 6.3), and a pool of client connections that matches responses to calls. Both
// use bufio and net/http's readers of single messages.
package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// bufferSize is that of a connection's buffers, one each way, in bytes.
	bufferSize = 4096
	// acceptRetryDelay is the wait after a failed Accept, for instance when there
	// are too many open files.
	acceptRetryDelay = 50 * time.Millisecond
	// defaultShutdownGracePeriod is Server.ShutdownGracePeriod where it is not set.
	defaultShutdownGracePeriod = 200 * time.Millisecond
)

// Handler answers one request. A nil response closes the connection without one.
// When ctx ends, for instance since the server shuts down, it answers at once by
// what it knows.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bound what the server reads. Zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes                  int
	HeaderTimeout, IdleTimeout, BodyTimeout time.Duration
}

// Server answers requests on the connections of a listener, on each in order.
type Server struct {
	Handle Handler
	Limits func() Limits // asked for each request; nil: no bounds
	// OnPanic answers a request whose handler panicked. Nil: the panic ends the
	// process, as is right where the handler may have left shared state half
	// changed.
	OnPanic func(r *Request, reason any) *Response
	// ShutdownGracePeriod is how long the answers may take that Shutdown asks for when its
	// context ends; 0: defaultAnswerTime.
	ShutdownGracePeriod time.Duration

	mu         sync.Mutex
	conns      map[*Conn]bool // true while idle
	closing    bool           // responses carry Connection: close
	stopped    bool           // no connection is accepted, none becomes idle
	readCutoff time.Time      // no request is read for longer; zero: no bound
	listener   net.Listener
	active     sync.WaitGroup // counts conns
}

// Serve accepts connections until the listener is closed. When ctx ends, it
// closes the listener and all connections at once; Shutdown lets the requests
// that were read finish first.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	stopped := s.stopped
	s.mu.Unlock()
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

// ServeConn answers requests on one connection until it ends, and closes it.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	if c := s.track(conn); c != nil {
		s.serveTracked(ctx, c)
	}
}

// track registers a new connection. If the server has stopped, it closes the
// connection and returns nil.
func (s *Server) track(conn net.Conn) *Conn {
	c := newConn(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
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
}

// setCancelHandlers registers the cancel function of the context of a connection's handlers, which
// Shutdown may do before that of Serve ends.
func (s *Server) setCancelHandlers(c *Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.cancelHandlers = cancel
	if !s.readCutoff.IsZero() {
		cancel()
	}
}

// StopKeepAlives lets every response from now on close its connection.
func (s *Server) StopKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// Shutdown accepts no more connections, closes the idle ones, resumes the paused
// ones, and waits until the others have finished their request. When ctx ends,
// the contexts of the handlers end too, so that they answer at once by what they
// know, and requests that have not come whole are rejected; connections are
// closed without an answer only if that takes longer than AnswerTime. It may be
// called again, and then waits as well.
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

// stop begins a shutdown. Only the first call has an effect.
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

// cancelRequests ends the contexts of the handlers and the reading of requests.
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

// closeAll closes every connection, whatever it does.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.stopped = true
	for c := range s.conns {
		closeConnection(c)
	}
}

// setIdle marks a connection as idle or in use. It reports false if the server
// has stopped, so that the connection must not become idle.
func (s *Server) setIdle(c *Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle && s.stopped {
		return false
	}
	s.conns[c] = idle
	return true
}

// readDeadline is the deadline of a read: the given one, zero for none, or the
// end of all reading.
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

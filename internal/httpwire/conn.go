package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// How much is read, and for how long, behind the last response of a connection
// before it is closed.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20 // twice the largest body that any listener takes
)

// Conn is a client's connection. Its methods are for the handler of its current
// request, except that the server may limit its reads.
type Conn struct {
	net.Conn
	server   *Server
	reader   *bufio.Reader
	resume   <-chan struct{} // nil: reads are not paused
	draining chan struct{}   // closed when the server shuts down
	users    map[string]bool // two at most

	cancelHandlers context.CancelFunc // ends the context of its handlers; guarded by the server's lock
}

func newConn(s *Server, conn net.Conn) *Conn {
	return &Conn{
		Conn:     conn,
		server:   s,
		reader:   bufio.NewReaderSize(conn, bufferSize),
		draining: make(chan struct{}),
	}
}

// AddUser notes that a user sends on the connection, and reports whether more
// than one has.
func (c *Conn) AddUser(user string) bool {
	if c.users == nil {
		c.users = map[string]bool{}
	}
	if len(c.users) < 2 {
		c.users[user] = true
	}
	return len(c.users) > 1
}

// PauseReads stops reads from the connection after the current response until resume
// is closed or the server shuts down.
func (c *Conn) PauseReads(resume <-chan struct{}) { c.resume = resume }

// ClientClosed reports whether the client has closed the connection behind its
// request, as far as its machine has said so. A process that was frozen, or
// reached only after a network partition, finds such requests; the system's own
// processes never close one direction only.
func (c *Conn) ClientClosed() bool {
	return c.reader.Buffered() == 0 && isClosedByPeer(c.Conn)
}

// serve answers requests until the connection ends.
func (c *Conn) serve(ctx context.Context) {
	w := bufio.NewWriterSize(c.Conn, bufferSize)
	for c.serveRequest(ctx, w) {
	}
}

// serveRequest answers one request, and reports whether another may follow.
func (c *Conn) serveRequest(ctx context.Context, w *bufio.Writer) (more bool) {
	if !c.waitWhilePaused(ctx) {
		return false
	}
	limits := c.server.limits()
	if !c.awaitRequest(limits.IdleTimeout) {
		return false
	}
	request, err := c.readRequest(limits)
	if err != nil {
		c.reject(w, err, limits)
		return false
	}
	response := c.handle(ctx, request)
	if response == nil {
		return false
	}
	last := response.Close || request.Close || c.server.isClosing()
	c.limitWrite(limits)
	if response.writeTo(w, last, request.Method != http.MethodHead) != nil {
		return false
	}
	if last {
		c.closeAfterResponse()
	}
	return !last
}

// handle has the handler answer a request.
func (c *Conn) handle(ctx context.Context, request *Request) (response *Response) {
	if c.server.OnPanic != nil {
		defer func() {
			if reason := recover(); reason != nil {
				response = c.server.OnPanic(request, reason)
			}
		}()
	}
	return c.server.Handle(ctx, request)
}

// waitWhilePaused reports false if ctx ends while reads from the connection are paused.
func (c *Conn) waitWhilePaused(ctx context.Context) bool {
	if c.resume == nil {
		return true
	}
	select {
	case <-c.resume:
	case <-c.draining:
	case <-ctx.Done():
		return false
	}
	c.resume = nil
	return true
}

// awaitRequest waits for the first byte of a request. It reports false when the
// connection ends, is idle for too long, or the server has stopped, and nothing has
// arrived by then.
func (c *Conn) awaitRequest(idleTimeout time.Duration) bool {
	if c.reader.Buffered() == 0 && !c.awaitWhileIdle(idleTimeout) && !c.hasArrived() {
		return false
	}
	c.server.setIdle(c, false)
	return true
}

// awaitWhileIdle waits for the first byte of a request as an idle connection.
func (c *Conn) awaitWhileIdle(idleTimeout time.Duration) bool {
	if idleTimeout > 0 {
		c.limitRead(time.Now().Add(idleTimeout))
	}
	// Only then idle: a shutdown interrupts the reads of idle connections.
	if !c.server.setIdle(c, true) {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// hasArrived reports whether the client has sent something that was not read when
// the wait for it ended.
func (c *Conn) hasArrived() bool {
	_ = c.SetReadDeadline(time.Now().Add(deadlineSlack)) // fails on a closed connection, as the read does
	_, err := c.reader.Peek(1)
	return err == nil
}

// reject answers a request that cannot be served, if it is known why, and lets
// the client read that before the connection is closed.
func (c *Conn) reject(w *bufio.Writer, err error, limits Limits) {
	var rejected *rejectedError
	if !errors.As(err, &rejected) {
		return
	}
	c.limitWrite(limits)
	if Problem(rejected.status, rejected.reason).writeTo(w, true, true) != nil {
		return
	}
	c.lingeringClose()
}

// closeAfterResponse ends a connection with its last response: it tells the
// client so, and reads what the client sent meanwhile.
func (c *Conn) closeAfterResponse() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return // the client would not learn before the close that the connection ends
	}
	c.lingeringClose()
}

// lingeringClose reads some of what the client still sends: closing with unread
// bytes resets the connection, and the client could lose the response.
func (c *Conn) lingeringClose() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))  // not bounded by a shutdown, whose answers these are
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes) // the connection ends in any case
}

// limitRead sets the deadline of reads; the zero time removes it. A shutdown
// bounds all of them. An error means that the connection is closed, which the
// next read reports.
func (c *Conn) limitRead(deadline time.Time) {
	_ = c.SetReadDeadline(c.server.readDeadline(deadline))
}

// interruptRead ends the read under way.
func (c *Conn) interruptRead() { _ = c.SetReadDeadline(time.Now()) }

// limitWrite bounds the writing of a response: a client that does not read is
// waited for no longer than one that does not send. As for limitRead, an error
// shows in the next write.
func (c *Conn) limitWrite(limits Limits) {
	if limits.IdleTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(limits.IdleTimeout))
	}
}

package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"saltreel/internal/budget"
)

// Bounds on what is read after the last response of a connection before it is
// closed.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20 // twice the largest body that any listener accepts
)

// Conn is a client connection. Its methods may be called only by the handler of its
// current request, except that the server may set its read deadline.
type Conn struct {
	net.Conn
	server   *Server
	reader   *bufio.Reader
	resume   <-chan struct{} // nil: reads are not paused
	draining chan struct{}   // closed when the server shuts down
	users    map[string]bool // at most two
	account  *budget.Account
	// responseBytes is what the current request has reserved for its response.
	responseBytes int

	cancelHandlers context.CancelFunc // cancels the context of its handlers; guarded by server.mu
}

func newConn(s *Server, conn net.Conn, account *budget.Account) *Conn {
	return &Conn{
		Conn:     conn,
		server:   s,
		reader:   bufio.NewReaderSize(&activityReader{conn, account}, bufferSize),
		account:  account,
		draining: make(chan struct{}),
	}
}

// AddUser records that a user sends on the connection, and reports whether more than
// one user does.
func (c *Conn) AddUser(user string) bool {
	if c.users == nil {
		c.users = map[string]bool{}
	}
	if len(c.users) < 2 {
		c.users[user] = true
	}
	return len(c.users) > 1
}

// PauseReads stops reading from the connection after the current response until
// resume is closed or the server shuts down.
func (c *Conn) PauseReads(resume <-chan struct{}) { c.resume = resume }

// ClientClosed reports whether the client is known to have closed the connection
// after its request. Such requests are found after the server process was suspended
// or a network partition healed. Saltreel processes never half-close a connection.
func (c *Conn) ClientClosed() bool {
	return c.reader.Buffered() == 0 && isClosedByPeer(c.Conn)
}

// serve handles requests until the connection ends.
func (c *Conn) serve(ctx context.Context) {
	w := bufio.NewWriterSize(&activityWriter{c.Conn, c.account}, bufferSize)
	c.account.SetEvictable()
	for c.serveRequest(ctx, w) {
		c.account.Reset()
	}
}

// serveRequest handles one request and reports whether another may follow.
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
	response := c.handlePinned(ctx, request)
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

// handlePinned handles a request and reserves the memory for doing so and for the
// response. Meanwhile the connection is not closed in favor of others. It returns nil if
// the connection is to be closed without a response.
func (c *Conn) handlePinned(ctx context.Context, request *Request) *Response {
	if !c.account.Pin() {
		return nil
	}
	defer c.account.SetEvictable()
	c.responseBytes = 0
	if !c.account.Reserve(requestBytes + c.server.HandlingCopies*len(request.Body)) {
		return Unavailable()
	}
	response := c.handle(ctx, request)
	if response == nil || request.ReserveResponse(len(response.Body)) {
		return response
	}
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return Unavailable()
	}
	return nil // the request may have had an effect, so no response may say that it had none
}

// ReserveResponse reserves the memory of the response to the request, if more is needed
// than was reserved before. A handler calls it before it makes a large response. It
// returns false if the memory is not available.
func (r *Request) ReserveResponse(size int) bool {
	if r.Conn == nil || r.Conn.account == nil || size <= bufferSize {
		return true
	}
	missing := size - r.Conn.responseBytes
	if missing <= 0 {
		return true
	}
	r.Conn.responseBytes = size
	return r.Conn.account.Reserve(missing)
}

// handle calls the handler, and OnPanic if the handler panics.
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

// waitWhilePaused waits until reads are resumed. It returns false if ctx ends first.
func (c *Conn) waitWhilePaused(ctx context.Context) bool {
	if c.resume == nil {
		return true
	}
	if !c.reserveReceiveBuffer() {
		return false
	}
	defer c.account.Reset()
	select {
	case <-c.resume:
	case <-c.draining:
	case <-ctx.Done():
		return false
	}
	c.resume = nil
	return true
}

// reserveReceiveBuffer reserves the memory of what may arrive while nothing is read.
func (c *Conn) reserveReceiveBuffer() bool {
	return !c.server.Pipelining || c.account.Reserve(c.server.ReceiveBuffer)
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection ends, the idle timeout expires or the server stops before a byte has
// arrived.
func (c *Conn) awaitRequest(idleTimeout time.Duration) bool {
	if c.reader.Buffered() == 0 && !c.awaitWhileIdle(idleTimeout) && !c.hasArrived() {
		return false
	}
	c.server.setIdle(c, false)
	return true
}

// awaitWhileIdle marks the connection idle and waits for the first byte of a request.
func (c *Conn) awaitWhileIdle(idleTimeout time.Duration) bool {
	if idleTimeout > 0 {
		c.limitRead(time.Now().Add(idleTimeout))
	}
	// Mark idle only after setting the deadline: a shutdown interrupts the reads of
	// idle connections by setting theirs.
	if !c.server.setIdle(c, true) {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// hasArrived reports whether data from the client arrived by the time the wait for
// it ended.
func (c *Conn) hasArrived() bool {
	_ = c.SetReadDeadline(time.Now().Add(deadlineSlack)) // fails on a closed connection, as the read does
	_, err := c.reader.Peek(1)
	return err == nil
}

// reject sends the error response for a request that was rejected, and lets the
// client read it before the connection is closed. Other errors get no response.
func (c *Conn) reject(w *bufio.Writer, err error, limits Limits) {
	var rejected *rejectedError
	if !errors.As(err, &rejected) {
		return
	}
	c.limitWrite(limits)
	if rejected.response().writeTo(w, true, true) != nil {
		return
	}
	c.lingeringClose()
}

// closeAfterResponse half-closes the connection after its last response and reads
// what the client has sent in the meantime.
func (c *Conn) closeAfterResponse() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return // without a half-close, the client cannot learn that the connection ends
	}
	c.lingeringClose()
}

// lingeringClose discards a bounded amount of what the client still sends: closing a
// connection with unread bytes resets it, and the client could lose the response.
func (c *Conn) lingeringClose() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))  // not bounded by a shutdown, so that its last responses arrive
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes) // the connection is closed in any case
}

// limitRead sets the read deadline, bounded by that of a shutdown; the zero time
// removes it. An error means that the connection is closed, which the next read
// reports.
func (c *Conn) limitRead(deadline time.Time) {
	_ = c.SetReadDeadline(c.server.readDeadline(deadline))
}

// interruptRead makes the current read fail with a time-out.
func (c *Conn) interruptRead() { _ = c.SetReadDeadline(time.Now()) }

// limitWrite sets the write deadline of a response: the idle timeout also applies to
// a client that does not read. An error means that the connection is closed, which
// the next write reports.
func (c *Conn) limitWrite(limits Limits) {
	if limits.IdleTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(limits.IdleTimeout))
	}
}

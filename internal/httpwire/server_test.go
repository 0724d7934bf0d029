package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// serveRaw sends raw bytes to a server. It returns the status of each response and,
// unless the server has a handler, the requests that were handled.
func serveRaw(t *testing.T, s *Server, raw string) (statuses []int, handled []string) {
	t.Helper()
	s.Limits = func() Limits {
		return Limits{HeaderBytes: 512, BodyBytes: 64, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second}
	}
	if s.Handle == nil {
		s.Handle = func(_ context.Context, r *Request) *Response {
			handled = append(handled, r.Method+" "+r.RequestURI+" "+string(r.Body))
			return &Response{Status: 200, Body: []byte("ok")}
		}
	}
	near, far := net.Pipe()
	s.conns = map[*Conn]bool{}
	c := newConn(s, far, nil)
	done := make(chan struct{})
	go func() {
		c.serve(t.Context())
		closeConnection(far)
		close(done)
	}()
	go func() { _, _ = near.Write([]byte(raw)) }()
	reader := bufio.NewReader(near)
	for {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		body := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(body)
		statuses = append(statuses, r.StatusCode)
	}
	closeConnection(near)
	<-done
	return statuses, handled
}

func TestAmbiguousOrExcessiveRequestsAreRejected(t *testing.T) {
	for what, c := range map[string]struct {
		raw  string
		want int
		runs int
	}{
		"plain":                  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, 1},
		"chunks":                 {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", 200, 1},
		"length and chunks":      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 400, 0},
		"two lengths":            {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400, 0},
		"signed length":          {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nhi", 400, 0},
		"odd encoding":           {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400, 0},
		"space before the colon": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nhi", 400, 0},
		"folded line":            {"POST /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400, 0},
		"bare line feed":         {"GET /a HTTP/1.1\nHost: h\n\n", 400, 0},
		"bad chunk":              {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 0},
		"large header":           {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 600) + "\r\n\r\n", 431, 0},
		"large body":             {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413, 0},
		"large chunks":           {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("y", 65) + "\r\n0\r\n\r\n", 413, 0},
		"slow body":              {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhi", 408, 0},
		"most trailers":          {chunkedWithTrailers(maxTrailers), 200, 1},
		"too many trailers":      {chunkedWithTrailers(maxTrailers + 1), 400, 0},
		"no host":                {"GET /a HTTP/1.1\r\n\r\n", 400, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			statuses, handled := serveRaw(t, &Server{}, c.raw)
			if len(statuses) == 0 || statuses[0] != c.want || len(handled) != c.runs || c.want != 200 && len(statuses) > 1 {
				t.Errorf("%s: answered %v, handled %v", what, statuses, handled)
			}
		})
	}
}

func chunkedWithTrailers(n int) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: x\r\n", n) + "\r\n"
}

func TestPausedConnectionIsReadAfterResumeOrShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at []time.Duration
		began := time.Now()
		s := &Server{}
		neverClosed := make(chan struct{})
		s.Handle = func(_ context.Context, r *Request) *Response {
			at = append(at, time.Since(began))
			if len(at) < 3 {
				ch := make(chan struct{})
				if len(at) == 1 {
					time.AfterFunc(400*time.Millisecond, func() { close(ch) })
				} else {
					ch = neverClosed
				}
				r.Conn.PauseReads(ch)
			}
			return &Response{Status: 200}
		}
		time.AfterFunc(time.Second, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s.Shutdown(ctx)
		})
		statuses, _ := serveRaw(t, s, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 3))
		if len(statuses) != 3 || at[1] < 400*time.Millisecond || at[2] < time.Second || at[2] > 1100*time.Millisecond {
			t.Errorf("answered %v at %v", statuses, at)
		}
	})
}

func TestConnectionOfSeveralUsersIsShared(t *testing.T) {
	c := &Conn{}
	for i, want := range []bool{false, false, true, true} {
		if user := []string{"a", "a", "b", "a"}[i]; c.AddUser(user) != want {
			t.Errorf("request %d, of %s: shared is not %v", i, user, want)
		}
	}
}

// client is the client side of a connection to a server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// connectTo opens a connection to a server.
func connectTo(t *testing.T, s *Server) *client {
	t.Helper()
	near, far := net.Pipe()
	go s.ServeConn(t.Context(), far)
	return &client{t, near, bufio.NewReader(near)}
}

func (c *client) send(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, raw); err != nil {
		c.t.Fatal(err)
	}
}

// status reads one response and returns its status, or 0 if the connection ended
// without one.
func (c *client) status() int {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// startRequest sends raw on a new connection. It returns once the server has read
// it, with a channel that delivers the status of the response.
func startRequest(t *testing.T, s *Server, raw string) <-chan int {
	t.Helper()
	c := connectTo(t, s)
	c.send(raw)
	status := make(chan int, 1)
	go func() { status <- c.status() }()
	synctest.Wait()
	return status
}

const plainRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// untilDone is a handler that responds only when its context ends.
func untilDone(ctx context.Context, _ *Request) *Response {
	<-ctx.Done()
	return &Response{Status: 503}
}

func shutdownWithin(s *Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s.Shutdown(ctx)
}

// Guards against requests that get no response because their handler is still
// running when the context of Shutdown ends.
func TestShutdownAnswersEveryRequestThatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Handle: untilDone}
		status := startRequest(t, s, plainRequest)
		began := time.Now()
		shutdownWithin(s, time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("the shutdown took %v", took)
		}
		if got := <-status; got != 503 {
			t.Errorf("answered %d", got)
		}
	})
}

// Guards against executing a request that is still incomplete when the context of
// Shutdown ends.
func TestShutdownRejectsAnIncompleteRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Handle: untilDone}
		status := startRequest(t, s, plainRequest[:len(plainRequest)-1])
		shutdownWithin(s, time.Second)
		if got := <-status; got != http.StatusRequestTimeout {
			t.Errorf("answered %d", got)
		}
	})
}

// Guards against dropping a request that becomes complete during a shutdown.
func TestShutdownAnswersARequestCompletedDuringShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Handle: untilDone}
		c := connectTo(t, s)
		c.send(plainRequest[:20])
		time.AfterFunc(900*time.Millisecond, func() { c.send(plainRequest[20:]) })
		status := make(chan int, 1)
		go func() { status <- c.status() }()
		synctest.Wait()
		shutdownWithin(s, time.Second)
		if got := <-status; got != 503 {
			t.Errorf("answered %d", got)
		}
	})
}

// Guards against dropping a request that has arrived but was not read when the
// server stops, on an idle connection as well as on a paused one.
func TestShutdownAnswersARequestThatHasArrived(t *testing.T) {
	for name, paused := range map[string]bool{"idle": false, "paused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkArrivedRequest(t, paused) })
		})
	}
}

func checkArrivedRequest(t *testing.T, paused bool) {
	t.Helper()
	s := &Server{Handle: func(_ context.Context, r *Request) *Response {
		if paused {
			r.Conn.PauseReads(make(chan struct{})) // never released
		}
		return &Response{Status: 200}
	}}
	c := connectTo(t, s)
	c.send(plainRequest)
	if got := c.status(); got != 200 {
		t.Fatalf("the first request is answered %d", got)
	}
	synctest.Wait()
	second := func() { _, _ = io.WriteString(c.conn, plainRequest) }
	if paused {
		go second() // blocks until read, since a pipe has no buffer
	} else {
		time.AfterFunc(deadlineSlack/2, second)
	}
	status := make(chan int, 1)
	go func() { status <- c.status() }()
	synctest.Wait()
	shutdownWithin(s, time.Second)
	if got := <-status; got != 200 {
		t.Errorf("answered %d", got)
	}
}

// Guards against a handler that ignores its context blocking the shutdown.
func TestShutdownDoesNotWaitForAStuckHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := &Server{ShutdownGracePeriod: 300 * time.Millisecond, Handle: func(context.Context, *Request) *Response {
			<-release
			return nil
		}}
		c := connectTo(t, s)
		c.send(plainRequest)
		synctest.Wait()
		began := time.Now()
		shutdownWithin(s, time.Second)
		if took := time.Since(began); took != 1300*time.Millisecond {
			t.Errorf("the shutdown took %v", took)
		}
		close(release)
	})
}

func TestShutdownMayBeCalledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Handle: untilDone}
		status := startRequest(t, s, plainRequest)
		go shutdownWithin(s, time.Second)
		shutdownWithin(s, 2*time.Second)
		shutdownWithin(s, time.Second)
		if got := <-status; got != 503 {
			t.Errorf("answered %d", got)
		}
	})
}

func TestOnPanicAnswersAPanickingHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{
			Handle:  func(context.Context, *Request) *Response { panic("programming error") },
			OnPanic: func(_ *Request, reason any) *Response { return Problem(502, reason.(string)) },
		}
		c := connectTo(t, s)
		for range 2 { // the connection stays open
			c.send(plainRequest)
			if got := c.status(); got != 502 {
				t.Errorf("answered %d", got)
			}
		}
		closeConnection(c.conn)
	})
}

// halfCloser is a connection that records how it is closed.
type halfCloser struct {
	net.Conn
	mu    sync.Mutex
	steps []string
}

func (c *halfCloser) note(step string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, step)
}

func (c *halfCloser) CloseWrite() error {
	c.note("close write")
	return nil
}

func (c *halfCloser) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.steps) > 0 && n > 0 {
		c.steps = append(c.steps, "read")
	}
	return n, err
}

func (c *halfCloser) Close() error {
	c.note("close")
	return c.Conn.Close()
}

// Guards against the loss of the last response: closing a connection with unread
// bytes resets it, so the server must read what the client has sent before closing.
func TestLastResponseIsNotLostByAReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Handle: func(context.Context, *Request) *Response { return &Response{Status: 200, Close: true} }}
		near, far := net.Pipe()
		conn := &halfCloser{Conn: far}
		go s.ServeConn(t.Context(), conn)
		c := &client{t, near, bufio.NewReader(near)}
		c.send(plainRequest)
		if got := c.status(); got != 200 {
			t.Fatalf("answered %d", got)
		}
		c.send(plainRequest) // as if sent before the client had read the response
		closeConnection(near)
		synctest.Wait()
		conn.mu.Lock()
		defer conn.mu.Unlock()
		if want := []string{"close write", "read", "close"}; !slices.Equal(conn.steps, want) {
			t.Errorf("the connection was closed by %v, not %v", conn.steps, want)
		}
	})
}

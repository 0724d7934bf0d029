package httpwire

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// serveRaw sends raw bytes to a server. It returns the status of each response and,
// unless the server has a handler, what requests were handled.
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
	c := newConn(s, far)
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

func TestHeldConnectionIsReadAfterReleaseOrShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at []time.Duration
		began := time.Now()
		s := &Server{}
		hold := make(chan struct{})
		s.Handle = func(_ context.Context, r *Request) *Response {
			at = append(at, time.Since(began))
			if len(at) < 3 {
				ch := make(chan struct{})
				if len(at) == 1 {
					time.AfterFunc(400*time.Millisecond, func() { close(ch) })
				} else {
					ch = hold // never released
				}
				r.Conn.Hold(ch)
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
		if user := []string{"a", "a", "b", "a"}[i]; c.Shared(user) != want {
			t.Errorf("request %d, of %s: shared is not %v", i, user, want)
		}
	}
}

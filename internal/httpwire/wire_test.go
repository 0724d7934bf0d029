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

// exchange sends raw bytes to a server and gives the status of each answer.
func exchange(t *testing.T, s *Server, raw string) (status []int, seen []string) {
	t.Helper()
	s.Limits = func() Limits {
		return Limits{HeaderBytes: 512, BodyBytes: 64, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second}
	}
	if s.Handle == nil {
		s.Handle = func(_ context.Context, r *Request) *Response {
			seen = append(seen, r.Method+" "+r.RequestURI+" "+string(r.Body))
			return &Response{Status: 200, Body: []byte("ok")}
		}
	}
	near, far := net.Pipe()
	s.conns = map[*Conn]bool{}
	c := &Conn{Conn: far, server: s, br: bufio.NewReader(far), drain: make(chan struct{})}
	done := make(chan struct{})
	go func() { c.serve(t.Context()); far.Close(); close(done) }()
	go func() { _, _ = near.Write([]byte(raw)) }()
	br := bufio.NewReader(near)
	for {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		body := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(body)
		status = append(status, r.StatusCode)
	}
	near.Close()
	<-done
	return status, seen
}

func TestAmbiguousFramingIsRefused(t *testing.T) {
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
			status, seen := exchange(t, &Server{}, c.raw)
			if len(status) == 0 || status[0] != c.want || len(seen) != c.runs || c.want != 200 && len(status) > 1 {
				t.Errorf("%s: answers %v, handled %v", what, status, seen)
			}
		})
	}
}

func TestHeldConnectionIsNotReadAndADrainLetsItGo(t *testing.T) {
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
		status, _ := exchange(t, s, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 3))
		if len(status) != 3 || at[1] < 400*time.Millisecond || at[2] < time.Second || at[2] > 1100*time.Millisecond {
			t.Errorf("answers %v at %v", status, at)
		}
	})
}

func TestSharedConnectionIsKnown(t *testing.T) {
	c := &Conn{}
	if c.Shared("a") || c.Shared("a") || !c.Shared("b") || !c.Shared("a") {
		t.Error("who shares a connection is not told")
	}
}

func TestAnAnswerToAnotherCallDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		pool := &Pool{Network: Network{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			id := []string{"x", "mine", "mine"}[dials-1]
			go func() {
				_, _ = far.Read(make([]byte, 4096))
				_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"))
			}()
			return near, nil
		}}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		call := &Call{Method: "GET", Target: "/", Host: "h", Header: []string{"Id", "mine"}, Repeats: "Id"}
		if a, err := pool.Do(ctx, "h:1", call); err == nil || NotSent(err) || pool.Open("h:1") != 0 {
			t.Errorf("another call's answer: %+v %v", a, err)
		}
		if _, err := pool.Do(ctx, "h:1", call); err != nil || dials != 2 {
			t.Errorf("our answer: %v after %d dials", err, dials)
		}
	})
}

package httpwire

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func TestResponseToAnotherCallIsRejected(t *testing.T) {
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
			t.Errorf("response to another call: %+v %v", a, err)
		}
		if _, err := pool.Do(ctx, "h:1", call); err != nil || dials != 2 {
			t.Errorf("response to this call: %v after %d dials", err, dials)
		}
	})
}

func TestRequestEncoding(t *testing.T) {
	newID := func(context.Context) string { return "id-1" }
	for name, c := range map[string]struct {
		call Call
		want string
	}{
		"get":             {Call{Method: "GET", Target: "/a", Host: "h"}, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"delete":          {Call{Method: "DELETE", Target: "/a", Host: "h"}, "DELETE /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"empty post":      {Call{Method: "POST", Target: "/a", Host: "h"}, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		"body":            {Call{Method: "POST", Target: "/a", Host: "h", Body: []byte("hi")}, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"},
		"get with a body": {Call{Method: "GET", Target: "/a", Host: "h", Body: []byte("hi")}, "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"},
		"header":          {Call{Method: "GET", Target: "/a", Host: "h", Header: []string{"A", "1", "B", "2"}, Repeats: "A"}, "GET /a HTTP/1.1\r\nHost: h\r\nA: 1\r\nB: 2\r\n\r\n"},
		"internal":        {Call{Method: "GET", Target: "/a", Host: "h", Repeats: "Id", NewID: newID}, "GET /a HTTP/1.1\r\nHost: h\r\nId: id-1\r\n\r\n"},
	} {
		if got := string(c.call.encode(c.call.id(t.Context()))); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

func TestMatchHead(t *testing.T) {
	external := &Call{Repeats: "Id"}
	internal := &Call{Repeats: "Id", NewID: func(context.Context) string { return "" }}
	for name, c := range map[string]struct {
		call   *Call
		ids    []string
		framed bool
		want   bool
	}{
		"own":                        {external, []string{"1"}, true, true},
		"another call's":             {external, []string{"2"}, true, false},
		"none":                       {external, nil, true, false},
		"twice":                      {external, []string{"1", "1"}, true, false},
		"without a length":           {external, []string{"1"}, false, true},
		"internal":                   {internal, []string{"1"}, true, true},
		"internal, without a length": {internal, []string{"1"}, false, false},
		"any response counts":        {&Call{}, nil, false, true},
	} {
		if err := matchHead(c.call, "1", http.Header{"Id": c.ids}, c.framed); (err == nil) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAnnouncedTimeout(t *testing.T) {
	for field, want := range map[string]struct {
		timeout time.Duration
		ok      bool
	}{
		"":                      {0, false},
		"max=100":               {0, false},
		"timeout=5":             {4 * time.Second, true},
		"timeout=5, max=100":    {4 * time.Second, true},
		"max=100,timeout=0.5":   {400 * time.Millisecond, true},
		"timeout=5, timeout=10": {8 * time.Second, true},
		"timeout=soon":          {0, false},
		"timeout=0":             {0, true},
	} {
		if timeout, ok := announcedTimeout(field); timeout != want.timeout || ok != want.ok {
			t.Errorf("%q: %v %v", field, timeout, ok)
		}
	}
}

package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// dialServer returns the client side of a pipe whose other side s serves.
func dialServer(ctx context.Context, s *httpwire.Server) net.Conn {
	near, far := net.Pipe()
	go s.ServeConn(ctx, far)
	return near
}

func TestHandlerContextEndsWithCallersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 2)
		mux := Mux{"/wait": func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
			<-ctx.Done()
			ended <- time.Since(r.Received)
			return httpwire.Problem(503, "busy")
		}}
		s := &httpwire.Server{Handle: mux.Handle}
		client := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return dialServer(t.Context(), s), nil }}})
		if err := call(t, client, "/wait"); err == nil {
			t.Error("no error")
		}
		if after := <-ended; after < time.Second || after > time.Second+time.Millisecond {
			t.Errorf("the handler ended after %v", after)
		}
		// A request that is complete only after its caller's timeout is not run.
		c := dialServer(t.Context(), s)
		_, _ = io.WriteString(c, "POST /wait HTTP/1.1\r\nHost: h\r\nCall: abc 20\r\nContent-Length: 2\r\n\r\n{")
		time.Sleep(21 * time.Millisecond)
		_, _ = io.WriteString(c, "}")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || a.StatusCode != 503 || a.Header.Get("Call") != "abc 20" || len(ended) != 0 {
			t.Errorf("answered %v %v, run %d times", a, err, len(ended))
		}
		_ = c.Close()
	})
}

func TestResponsesOnOneConnectionAreInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait := map[string]time.Duration{"/slow": time.Second}
		answer := func(_ context.Context, r *httpwire.Request) *httpwire.Response {
			time.Sleep(wait[r.URL.Path])
			return &httpwire.Response{Status: 200, Body: []byte(r.URL.Path)}
		}
		c := dialServer(t.Context(), &httpwire.Server{Handle: Mux{"/slow": answer, "/fast": answer}.Handle})
		go func() {
			_, _ = io.WriteString(c, "POST /slow HTTP/1.1\r\nHost: h\r\nCall: a 5000\r\n\r\nPOST /fast HTTP/1.1\r\nHost: h\r\nCall: b 5000\r\n\r\n")
		}()
		br := bufio.NewReader(c)
		for _, want := range []string{"a 5000 /slow", "b 5000 /fast"} {
			a, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(a.Body)
			if got := a.Header.Get("Call") + " " + string(body); got != want {
				t.Errorf("answered %q, not %q", got, want)
			}
		}
		_ = c.Close()
	})
}

func TestCallOfClosedConnectionIsNotBegun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ran atomic.Int32
	s := &httpwire.Server{Handle: Mux{"/do": func(context.Context, *httpwire.Request) *httpwire.Response {
		ran.Add(1)
		return &httpwire.Response{Status: 200, Body: []byte("{}")}
	}}.Handle}
	// The caller closes the connection before the server reads the call, as happens
	// when the server process was suspended.
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /do HTTP/1.1\r\nHost: h\r\nCall: a 5000\r\n\r\n")
	_ = c.Close()
	go func() { _ = s.Serve(t.Context(), l) }()
	client := NewClient(&httpwire.Pool{Network: httpwire.TCP()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := client.Call(ctx, l.Addr().String(), "/do", struct{}{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	s.Shutdown(ctx)
	if n := ran.Load(); n != 1 {
		t.Errorf("%d calls ran", n)
	}
}

func TestErrorsAreMappedToStatuses(t *testing.T) {
	notFound, conflict := errors.New("not found"), errors.New("conflict")
	byPackage := func(err error) int {
		if errors.Is(err, notFound) {
			return 404
		}
		return 0
	}
	byOther := func(err error) int {
		if errors.Is(err, conflict) || errors.Is(err, notFound) {
			return 409
		}
		return 0
	}
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"mapped by the first function":  {fmt.Errorf("read: %w", notFound), 404},
		"mapped by the second function": {conflict, 409},
		"a status error":                {fmt.Errorf("read: %w", &StatusError{Code: 421}), 421},
		"an unmapped error":             {io.EOF, 500},
		"success":                       {nil, 200},
	} {
		handler := Handler(func(context.Context, *struct{}, []byte) (*struct{}, error) { return &struct{}{}, c.err }, byPackage, byOther)
		if got := handler(t.Context(), &httpwire.Request{}); got.Status != c.want {
			t.Errorf("%s: %d, not %d", name, got.Status, c.want)
		}
	}
}

func TestMuxAnswers(t *testing.T) {
	mux := Mux{"/ping": Handler(Ping)}
	for name, c := range map[string]struct {
		path, callID string
		received     time.Time
		want         int
	}{
		"served":             {"/ping", "abc 1000", time.Now(), 200},
		"without a deadline": {"/ping", "abc", time.Time{}, 200},
		"unknown path":       {"/pong", "abc 1000", time.Now(), 404},
		"expired":            {"/ping", "abc 1000", time.Now().Add(-2 * time.Second), 503},
		"an invalid timeout": {"/ping", "abc soon", time.Now(), 400},
	} {
		r := &httpwire.Request{Request: httptest.NewRequest("POST", c.path, nil), Received: c.received}
		r.Header.Set(headerCall, c.callID)
		got := mux.Handle(t.Context(), r)
		if got.Status != c.want {
			t.Errorf("%s: %d, not %d", name, got.Status, c.want)
		}
		if repeated := slices.Contains(got.Header, c.callID); repeated != (c.want != 400) {
			t.Errorf("%s: the identifier is repeated: %v", name, repeated)
		}
	}
}

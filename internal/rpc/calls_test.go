package rpc

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// peer is the far end of a connection whose answers the test writes itself.
type peer struct {
	net.Conn
	br   *bufio.Reader
	nth  int // of the connections to it, from 1 on
	name string
}

// read takes the next call; its name is the peer's from here on.
func (p *peer) read() bool {
	r, err := http.ReadRequest(p.br)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.name = r.Header.Get(headerCall)
	return true
}

// say writes, all at once, with the name of the call in place of NAME.
func (p *peer) say(raw string) { _, _ = p.Write([]byte(strings.ReplaceAll(raw, "NAME", p.name))) }

const good = "HTTP/1.1 200 OK\r\nCall: NAME\r\nContent-Length: 2\r\n\r\n{}"

// facing is a pool whose every connection leads to the peer.
func facing(t *testing.T, play func(p *peer)) *Client {
	n := 0
	pool := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) {
		n++
		near, far := net.Pipe()
		p := &peer{Conn: far, br: bufio.NewReader(far), nth: n}
		go func() { play(p); far.Close() }()
		return near, nil
	}}})
	t.Cleanup(func() { pool.Forget("h:1") })
	return pool
}

// post makes a call that waits for a second.
func post(t *testing.T, pool *Client, path string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return pool.Call(ctx, "h:1", path, struct{}{}, nil, nil)
}

func TestOnlyItsOwnWholeAnswerEndsACall(t *testing.T) {
	for what, c := range map[string]struct {
		raw string
		ok  bool
	}{
		"own":               {good, true},
		"own, refused":      {"HTTP/1.1 503 No\r\nCall: NAME\r\nContent-Length: 0\r\n\r\n", false},
		"of another call":   {"HTTP/1.1 200 OK\r\nCall: NAMEx\r\nContent-Length: 2\r\n\r\n{}", false},
		"of no call":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false},
		"of two calls":      {"HTTP/1.1 200 OK\r\nCall: NAME\r\nCall: other\r\nContent-Length: 2\r\n\r\n{}", false},
		"two answers":       {good + good, false},
		"truncated":         {good[:len(good)-1], false},
		"truncated header":  {good[:20], false},
		"length too short":  {strings.Replace(good, "Length: 2", "Length: 1", 1), false},
		"length too long":   {strings.Replace(good, "Length: 2", "Length: 3", 1), false},
		"two lengths":       {strings.Replace(good, "\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n", 1), false},
		"no length":         {strings.Replace(good, "Content-Length: 2", "Connection: close", 1), false},
		"chunks cut short":  {"HTTP/1.1 200 OK\r\nCall: NAME\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
		"line noise behind": {good + "\n", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := facing(t, func(p *peer) {
				p.read()
				p.say(c.raw)
			})
			err := post(t, pool, "/ping")
			if (err == nil) != c.ok || httpwire.NotSent(err) {
				t.Errorf("%s: %v", what, err)
			}
			if clear := StatusCode(err) != 0; clear != (what == "own, refused") || !c.ok && !clear && pool.Open("h:1") != 0 {
				t.Errorf("%s: %v, %d connections are left", what, err, pool.Open("h:1"))
			}
		})
	}
}

func TestAHandlerThatAnswersTwiceIsHeardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		said := "HTTP/1.1 200 OK\r\nId: mine\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
		pool := facing(t, func(p *peer) {
			for p.read() {
				p.say(said + said)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a, err := pool.Do(ctx, "h:1", &httpwire.Call{Method: "POST", Target: "/", Host: "h", Header: []string{"Id", "mine"}, Repeats: "Id"})
		if err != nil || a.Header.Get("Seal") != "s" || pool.Open("h:1") != 0 {
			t.Errorf("%+v %v, %d connections are left", a, err, pool.Open("h:1"))
		}
	})
}

func TestACallGivenUpLeavesItsAnswerToNobody(t *testing.T) {
	for what, play := range map[string]func(p *peer){
		"in the middle of the answer": func(p *peer) {
			for p.read() {
				if p.nth > 1 {
					p.say(good)
					continue
				}
				p.say(good[:30])
				time.Sleep(1100 * time.Millisecond)
				p.say(good[30:])
			}
		},
		"before the answer": func(p *peer) {
			for p.read() {
				if p.nth == 1 {
					time.Sleep(1100 * time.Millisecond)
				}
				p.say(good)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := facing(t, play)
			if err := post(t, pool, "/ping"); err == nil || httpwire.NotSent(err) {
				t.Errorf("%s: %v", what, err)
			}
			time.Sleep(time.Second)
			if err := post(t, pool, "/ping"); err != nil {
				t.Errorf("%s: the next call: %v", what, err)
			}
		})
	}
}

func TestAnAnswerToNobodysQuestionIsTakenByNobody(t *testing.T) {
	first := "" // the call that was given up
	for what, play := range map[string]func(p *peer){
		"on the idle connection": func(p *peer) { // a pipe cannot be looked at
			for p.read() {
				p.say(good)
				if p.nth == 1 {
					p.say(good)
				}
			}
		},
		"played again on the next connection": func(p *peer) {
			if p.nth == 1 { // silent too long, behind something that kept it
				p.read()
				first = p.name
				p.read()
				return
			}
			for p.read() {
				if p.nth == 2 {
					p.name = first
				}
				p.say(good)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := facing(t, play)
			var errs []error
			for range 3 {
				errs = append(errs, post(t, pool, "/ping"))
				synctest.Wait()
			}
			if errs[1] == nil || httpwire.NotSent(errs[1]) || StatusCode(errs[1]) != 0 || errs[2] != nil || first == "" && errs[0] != nil {
				t.Errorf("%s: %v", what, errs)
			}
			first = ""
		})
	}
}

func TestACallIsSentAgainOnlyIfItMayBe(t *testing.T) {
	for path, want := range map[string]int{"/ping": 3, "/grant": 2} {
		synctest.Test(t, func(t *testing.T) {
			seen := 0
			pool := facing(t, func(p *peer) {
				for p.read() {
					if seen++; seen == 2 { // resets after it has read the call
						return
					}
					p.say(good)
				}
			})
			if err := post(t, pool, path); err != nil {
				t.Fatal(err)
			}
			err := post(t, pool, path)
			if seen != want || (err == nil) != Idempotent[path] || httpwire.NotSent(err) {
				t.Errorf("%s: seen %d times, %v", path, seen, err)
			}
		})
	}
}

// hasty ends a context as soon as an answer comes.
type hasty struct {
	net.Conn
	end func()
}

func (h hasty) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	h.end()
	return n, err
}

func TestAContextThatEndsWithTheAnswerDoesNotStrikeTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pool := facing(t, func(p *peer) {
			for p.read() {
				p.say(good)
			}
		})
		dial := pool.Network.Dial
		pool.Network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			return hasty{c, cancel}, err
		}
		if err := pool.Call(ctx, "h:1", "/ping", struct{}{}, nil, nil); err != nil || pool.Open("h:1") != 0 {
			t.Errorf("%v, %d connections are left", err, pool.Open("h:1"))
		}
		if err := pool.Call(ctx, "h:1", "/ping", struct{}{}, nil, nil); !httpwire.NotSent(err) {
			t.Errorf("a call whose time is over is sent: %v", err)
		}
	})
}

func TestAHandlerEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 2)
		mux := Mux{"/wait": func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
			<-ctx.Done()
			ended <- time.Since(r.Received)
			return httpwire.Problem(503, "busy")
		}}
		s := &httpwire.Server{Handle: mux.Handle}
		pool := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return served(t.Context(), s), nil }}})
		if err := post(t, pool, "/wait"); err == nil {
			t.Error("no error")
		}
		if after := <-ended; after < time.Second || after > time.Second+time.Millisecond {
			t.Errorf("the handler ended after %v", after)
		}
		// What came so slowly that nobody waits any more does not begin.
		c := served(t.Context(), s)
		_, _ = io.WriteString(c, "POST /wait HTTP/1.1\r\nHost: h\r\nCall: abc 20\r\nContent-Length: 2\r\n\r\n{")
		time.Sleep(21 * time.Millisecond)
		_, _ = io.WriteString(c, "}")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || a.StatusCode != 503 || a.Header.Get("Call") != "abc 20" || len(ended) != 0 {
			t.Errorf("answered %v %v, run %d times", a, err, len(ended))
		}
		c.Close()
	})
}

func TestCallsOnOneConnectionAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait := map[string]time.Duration{"/slow": time.Second}
		answer := func(_ context.Context, r *httpwire.Request) *httpwire.Response {
			time.Sleep(wait[r.URL.Path])
			return &httpwire.Response{Status: 200, Body: []byte(r.URL.Path)}
		}
		c := served(t.Context(), &httpwire.Server{Handle: Mux{"/slow": answer, "/fast": answer}.Handle})
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
		c.Close()
	})
}

func TestACallWhoseCallerHasClosedIsNotBegun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ran atomic.Int32
	s := &httpwire.Server{Handle: Mux{"/do": func(context.Context, *httpwire.Request) *httpwire.Response {
		ran.Add(1)
		return &httpwire.Response{Status: 200, Body: []byte("{}")}
	}}.Handle}
	// The caller is gone before the server, frozen so far, reads its call.
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /do HTTP/1.1\r\nHost: h\r\nCall: a 5000\r\n\r\n")
	c.Close()
	go func() { _ = s.Serve(t.Context(), l) }()
	pool := NewClient(&httpwire.Pool{Network: httpwire.TCP()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := pool.Call(ctx, l.Addr().String(), "/do", struct{}{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	s.Shutdown(ctx)
	if n := ran.Load(); n != 1 {
		t.Errorf("%d calls ran", n)
	}
}

func TestThePageOfCallsSaysWhichAreSentAgain(t *testing.T) {
	page, err := os.ReadFile("../../docs/calls.md")
	if err != nil {
		t.Fatal(err)
	}
	told := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(/[a-z/-]+)` \\|.*?\\| (yes|no) \\|").FindAllSubmatch(page, -1) {
		told[string(row[1])] = bytes.Equal(row[2], []byte("yes"))
	}
	for path, again := range told {
		if again != Idempotent[path] {
			t.Errorf("%s: the page says %v", path, again)
		}
	}
	for path := range Idempotent {
		if _, ok := told[path]; !ok {
			t.Errorf("%s has no line", path)
		}
	}
	used := map[string]bool{}
	for _, file := range []string{"controlplane/server.go", "store/store.go", "edge/edge.go"} {
		source, err := os.ReadFile("../" + file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`"(/[a-z/-]+)": +(?:rpc\.Handler|source|s\.)`).FindAllSubmatch(source, -1) {
			used[string(m[1])] = true
		}
	}
	for path := range used {
		if _, ok := told[path]; !ok {
			t.Errorf("%s is served and has no line", path)
		}
	}
	if fmt.Sprint(len(used)) != fmt.Sprint(len(told)) {
		t.Errorf("%d calls are served, %d have a line", len(used), len(told))
	}
}

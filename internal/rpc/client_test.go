package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// peer is the server side of a connection; the test writes its responses.
type peer struct {
	net.Conn
	reader     *bufio.Reader
	connection int    // number of the connection, starting at 1
	callID     string // of the last call that was read
}

// read reads the next call. It returns false once the connection is closed.
func (p *peer) read() bool {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.callID = r.Header.Get(headerCall)
	return true
}

// respond writes raw in a single write, replacing CALL-ID by the identifier of the
// call.
func (p *peer) respond(raw string) {
	_, _ = p.Write([]byte(strings.ReplaceAll(raw, "CALL-ID", p.callID)))
}

const valid = "HTTP/1.1 200 OK\r\nCall: CALL-ID\r\nContent-Length: 2\r\n\r\n{}"

// newPeerClient returns a client that runs script as the peer of each connection.
func newPeerClient(t *testing.T, script func(p *peer)) *Client {
	t.Helper()
	connections := 0
	client := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) {
		connections++
		near, far := net.Pipe()
		p := &peer{Conn: far, reader: bufio.NewReader(far), connection: connections}
		go func() {
			script(p)
			_ = far.Close()
		}()
		return near, nil
	}}})
	t.Cleanup(func() { client.CloseIdle("h:1") })
	return client
}

// call makes a call with a timeout of one second.
func call(t *testing.T, client *Client, path string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return client.Call(ctx, "h:1", path, struct{}{}, nil, nil)
}

func TestOnlyTheCompleteMatchingResponseCounts(t *testing.T) {
	for what, c := range map[string]struct {
		raw string
		ok  bool
	}{
		"own":              {valid, true},
		"own, refused":     {"HTTP/1.1 503 No\r\nCall: CALL-ID\r\nContent-Length: 0\r\n\r\n", false},
		"of another call":  {"HTTP/1.1 200 OK\r\nCall: CALL-IDx\r\nContent-Length: 2\r\n\r\n{}", false},
		"of no call":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false},
		"of two calls":     {"HTTP/1.1 200 OK\r\nCall: CALL-ID\r\nCall: other\r\nContent-Length: 2\r\n\r\n{}", false},
		"two responses":    {valid + valid, false},
		"truncated":        {valid[:len(valid)-1], false},
		"truncated header": {valid[:20], false},
		"length too short": {strings.Replace(valid, "Length: 2", "Length: 1", 1), false},
		"length too long":  {strings.Replace(valid, "Length: 2", "Length: 3", 1), false},
		"two lengths":      {strings.Replace(valid, "\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n", 1), false},
		"no length":        {strings.Replace(valid, "Content-Length: 2", "Connection: close", 1), false},
		"chunks cut short": {"HTTP/1.1 200 OK\r\nCall: CALL-ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
		"trailing byte":    {valid + "\n", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			client := newPeerClient(t, func(p *peer) {
				p.read()
				p.respond(c.raw)
			})
			err := call(t, client, "/ping")
			if (err == nil) != c.ok || httpwire.NotSent(err) {
				t.Errorf("%s: %v", what, err)
			}
			if answered := StatusCode(err) != 0; answered != (what == "own, refused") || !c.ok && !answered && client.ConnectionsTo("h:1") != 0 {
				t.Errorf("%s: %v, %d connections are open", what, err, client.ConnectionsTo("h:1"))
			}
		})
	}
}

func TestFirstOfTwoResponsesOfAHandlerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response := "HTTP/1.1 200 OK\r\nId: mine\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
		client := newPeerClient(t, func(p *peer) {
			for p.read() {
				p.respond(response + response)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a, err := client.Do(ctx, "h:1", &httpwire.Call{Method: "POST", Target: "/", Host: "h", Header: []string{"Id", "mine"}, EchoHeader: "Id"})
		if err != nil || a.Header.Get("Seal") != "s" || client.ConnectionsTo("h:1") != 0 {
			t.Errorf("%+v %v, %d connections are open", a, err, client.ConnectionsTo("h:1"))
		}
	})
}

func TestResponseToCancelledCallIsDiscarded(t *testing.T) {
	for what, play := range map[string]func(p *peer){
		"within the response": func(p *peer) {
			for p.read() {
				if p.connection > 1 {
					p.respond(valid)
					continue
				}
				p.respond(valid[:30])
				time.Sleep(1100 * time.Millisecond)
				p.respond(valid[30:])
			}
		},
		"before the response": func(p *peer) {
			for p.read() {
				if p.connection == 1 {
					time.Sleep(1100 * time.Millisecond)
				}
				p.respond(valid)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			client := newPeerClient(t, play)
			if err := call(t, client, "/ping"); err == nil || httpwire.NotSent(err) {
				t.Errorf("%s: %v", what, err)
			}
			time.Sleep(time.Second)
			if err := call(t, client, "/ping"); err != nil {
				t.Errorf("%s: the next call: %v", what, err)
			}
		})
	}
}

func TestUnsolicitedResponseIsRejected(t *testing.T) {
	first := "" // identifies the call that was canceled
	for what, play := range map[string]func(p *peer){
		"on the idle connection": func(p *peer) { // a pipe cannot be checked for unread bytes
			for p.read() {
				p.respond(valid)
				if p.connection == 1 {
					p.respond(valid)
				}
			}
		},
		"replayed on the next connection": func(p *peer) {
			if p.connection == 1 { // no response before the timeout
				p.read()
				first = p.callID
				p.read()
				return
			}
			for p.read() {
				if p.connection == 2 {
					p.callID = first
				}
				p.respond(valid)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			client := newPeerClient(t, play)
			var errs []error
			for range 3 {
				errs = append(errs, call(t, client, "/ping"))
				synctest.Wait()
			}
			if errs[1] == nil || httpwire.NotSent(errs[1]) || StatusCode(errs[1]) != 0 || errs[2] != nil || first == "" && errs[0] != nil {
				t.Errorf("%s: %v", what, errs)
			}
			first = ""
		})
	}
}

func TestOnlyIdempotentCallsAreRetried(t *testing.T) {
	for path, want := range map[string]int{"/ping": 3, "/grant": 2} {
		synctest.Test(t, func(t *testing.T) {
			seen := 0
			client := newPeerClient(t, func(p *peer) {
				for p.read() {
					if seen++; seen == 2 { // closes after it has read the call
						return
					}
					p.respond(valid)
				}
			})
			if err := call(t, client, path); err != nil {
				t.Fatal(err)
			}
			err := call(t, client, path)
			if seen != want || (err == nil) != Idempotent[path] || httpwire.NotSent(err) {
				t.Errorf("%s: seen %d times, %v", path, seen, err)
			}
		})
	}
}

// cancelOnRead cancels a context on each read from the connection.
type cancelOnRead struct {
	net.Conn
	cancel func()
}

func (c cancelOnRead) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.cancel()
	return n, err
}

func TestContextEndingWithResponseDoesNotAffectNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := newPeerClient(t, func(p *peer) {
			for p.read() {
				p.respond(valid)
			}
		})
		dial := client.Network.Dial
		client.Network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			return cancelOnRead{c, cancel}, err
		}
		if err := client.Call(ctx, "h:1", "/ping", struct{}{}, nil, nil); err != nil || client.ConnectionsTo("h:1") != 0 {
			t.Errorf("%v, %d connections are open", err, client.ConnectionsTo("h:1"))
		}
		if err := client.Call(ctx, "h:1", "/ping", struct{}{}, nil, nil); !httpwire.NotSent(err) {
			t.Errorf("a call whose deadline has passed is sent: %v", err)
		}
	})
}

// Guards against a refusal that passes for that of the whole call: when the client has sent
// a call twice, only the second exchange was refused, perhaps by another process than the
// first one (docs/incidents/refusal-of-a-second-exchange.md).
func TestRefusalOfASecondExchangeIsNotThatOfTheCall(t *testing.T) {
	for _, status := range []string{"409 Conflict", "412 No", "421 No", "429 No", "503 No", "500 No"} {
		synctest.Test(t, func(t *testing.T) {
			client := newPeerClient(t, func(p *peer) {
				p.read()
				if p.connection == 1 {
					p.respond(valid)
					p.read() // breaks before its response
					return
				}
				p.respond("HTTP/1.1 " + status + "\r\nCall: CALL-ID\r\nContent-Length: 0\r\n\r\n")
			})
			if err := call(t, client, "/accept"); err != nil {
				t.Fatal(err)
			}
			err := call(t, client, "/accept")
			if StatusCode(err) != 0 || !Answered(err) || httpwire.NotSent(err) {
				t.Errorf("%s: status %d, answered %v: %v", status, StatusCode(err), Answered(err), err)
			}
		})
	}
}

// A success of the second exchange is that of the call.
func TestSuccessOfASecondExchangeIsThatOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPeerClient(t, func(p *peer) {
			p.read()
			p.respond(valid)
			p.read() // breaks before its response
		})
		for range 2 {
			if err := call(t, client, "/accept"); err != nil {
				t.Error(err)
			}
		}
	})
}

package httpwire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Dial opens a connection.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Listen opens a listener.
type Listen func(addr string) (net.Listener, error)

// Network is how a process reaches others and is reached.
type Network struct {
	Dial   Dial
	Listen Listen
}

// TCP is the ordinary network.
func TCP() Network {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	return Network{
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
	}
}

// Call is a request to send.
type Call struct {
	Method, Target, Host string
	Header               []string // names and values in turn
	Body                 []byte
	Repeats              string // a header that the answer must repeat as it was sent
	// NewID makes the value of Repeats anew for each attempt. Only our own
	// processes answer such calls, so their answers are checked more strictly:
	// with a length, and nothing behind it. Nil: Header holds the value.
	NewID      func(ctx context.Context) string
	Idempotent bool // may be sent again once when a kept connection breaks before any answer
}

// sent is the value of a header of the call.
func (c *Call) sent(name string) string {
	for i := 0; i+1 < len(c.Header); i += 2 {
		if c.Header[i] == name {
			return c.Header[i+1]
		}
	}
	return ""
}

// Answer is a response, its body read.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error tells at which step and at which peer a call failed.
type Error struct {
	Step, Peer string
	Sent       bool // whether any byte of the request may have arrived
	Err        error
	Reused     bool // a connection that had been idle broke before any answer
}

func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// NotSent tells whether it is certain that the peer got nothing of the call.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Refused tells whether the peer's machine answered that no process listens.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Pool keeps connections to peers open between calls.
type Pool struct {
	Network Network
	MaxIdle int           // idle connections kept for one peer
	Expire  time.Duration // an idle connection older than this is not used; 0: as the peer's Keep-Alive says
	Opening time.Duration // how long opening a connection may take; 0: as long as the call

	mu   sync.Mutex
	idle map[string][]*clientConn
	open map[string]int
}

type clientConn struct {
	net.Conn
	br           *bufio.Reader
	until        time.Time
	reused       bool
	deadlineDone bool // the end of the last call's context does not touch it any more
}

func (p *Pool) take(addr string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[addr]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if (c.until.IsZero() || time.Now().Before(c.until)) && isQuiet(c.Conn) {
			return c
		}
		p.open[addr]--
		c.Close()
	}
}

// quiet tells whether an idle connection is as it should be: open, and with
// nothing to read. An answer to nobody's question must not become the next one's.
func isQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && still
}

func (p *Pool) give(addr string, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	max := p.MaxIdle
	if max == 0 {
		max = 8
	}
	if p.idle == nil {
		p.idle = map[string][]*clientConn{}
	}
	if len(p.idle[addr]) >= max {
		p.open[addr]--
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *Pool) count(addr string, by int) {
	p.mu.Lock()
	if p.open == nil {
		p.open = map[string]int{}
	}
	if p.open[addr] += by; p.open[addr] == 0 {
		delete(p.open, addr)
	}
	p.mu.Unlock()
}

// Open tells how many connections to the peer there are.
func (p *Pool) Open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// Connections tells how many connections to all peers there are.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, n := range p.open {
		total += n
	}
	return total
}

// Forget closes the idle connections to a peer.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
		p.open[addr]--
	}
	delete(p.idle, addr)
}

// Do sends a call and reads the whole answer. The context must end.
func (p *Pool) Do(ctx context.Context, addr string, call *Call) (*Answer, error) {
	sent := false
	for {
		c := p.take(addr)
		if c == nil {
			nc, err := p.dial(ctx, addr)
			if err != nil {
				return nil, &Error{Step: "dial", Peer: addr, Sent: sent, Err: err}
			}
			c = &clientConn{Conn: nc, br: bufio.NewReaderSize(nc, 4096)}
			p.count(addr, 1)
		}
		a, began, err := c.do(ctx, call)
		if err == nil {
			if c.deadlineDone && keep(a, c, p.Expire) {
				p.give(addr, c)
			} else {
				p.count(addr, -1)
				c.Close()
			}
			return a, nil
		}
		p.count(addr, -1)
		c.Close()
		var e *Error
		if errors.As(err, &e) {
			e.Sent = e.Sent || sent
			e.Peer, e.Reused = addr, c.reused && !began
		}
		sent = true
		if c.reused && call.Idempotent && !began && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.Opening > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Opening)
		defer cancel()
	}
	return p.Network.Dial(ctx, addr)
}

// keep decides whether a connection may serve another call.
func keep(a *Answer, c *clientConn, expire time.Duration) bool {
	if strings.EqualFold(a.Header.Get("Connection"), "close") || c.br.Buffered() > 0 {
		return false
	}
	c.reused = true
	c.until = time.Time{}
	if expire > 0 {
		c.until = time.Now().Add(expire)
	}
	for _, part := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.ParseFloat(v, 64); err == nil {
				c.until = time.Now().Add(time.Duration(s * 0.8 * float64(time.Second)))
			}
		}
	}
	return c.SetDeadline(time.Time{}) == nil
}

func (c *clientConn) do(ctx context.Context, call *Call) (a *Answer, began bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, &Error{Step: "write", Err: err}
	}
	if d, ok := ctx.Deadline(); ok {
		c.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	// Where it has begun it may yet run: the connection is not for the next call.
	defer func() { c.deadlineDone = stop() }()
	buf := make([]byte, 0, 512+len(call.Body))
	buf = append(buf, call.Method+" "+call.Target+" HTTP/1.1\r\nHost: "+call.Host+"\r\n"...)
	for i := 0; i+1 < len(call.Header); i += 2 {
		buf = append(buf, call.Header[i]+": "+call.Header[i+1]+"\r\n"...)
	}
	want, strict := call.sent(call.Repeats), call.NewID != nil
	if strict {
		want = call.NewID(ctx)
		buf = append(buf, call.Repeats+": "+want+"\r\n"...)
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodDelete {
		buf = append(buf, "Content-Length: "+strconv.Itoa(len(call.Body))+"\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	buf = append(buf, call.Body...)
	if _, err := c.Write(buf); err != nil {
		return nil, false, &Error{Step: "write", Sent: true, Err: err}
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, false, &Error{Step: "wait", Sent: true, Err: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: call.Method})
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: call.Method})
	}
	if err != nil {
		return nil, true, &Error{Step: "read", Sent: true, Err: err}
	}
	// Another call's answer may not even be read: its length is not ours.
	if got := resp.Header.Values(call.Repeats); call.Repeats != "" && (len(got) != 1 || got[0] != want) {
		return nil, true, &Error{Step: "match answer", Sent: true, Err: fmt.Errorf("%s is %q, not %q", call.Repeats, got, want)}
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if strict && !framed {
		return nil, true, &Error{Step: "match answer", Sent: true, Err: errors.New("the answer has no length")}
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return nil, true, &Error{Step: "read body", Sent: true, Err: err}
	}
	// A handler in trouble may answer twice; what it has done is done. Our own
	// processes never do, so whoever answered was not one of them.
	if n := c.br.Buffered(); strict && n > 0 {
		return nil, true, &Error{Step: "match answer", Sent: true, Err: fmt.Errorf("%d bytes stand behind the answer", n)}
	}
	if resp.Close || !framed {
		resp.Header.Set("Connection", "close")
	}
	return &Answer{resp.StatusCode, resp.Header, body}, true, nil
}

// JSON is an answer with a JSON body.
func JSON(status int, v any) *Response {
	body, err := json.Marshal(v)
	if err != nil {
		return &Response{Status: 500}
	}
	return &Response{Status: status, Header: []string{"Content-Type", "application/json"}, Body: body}
}

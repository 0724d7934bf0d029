// Package httpwire owns HTTP/1.1 on connections: a server that reads requests
// strictly and a pool of client connections, both on bufio and net/http's
// readers of single messages.
package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Request is one whole request, its body read.
type Request struct {
	*http.Request
	Body     []byte
	Conn     *Conn
	Received time.Time // when its first byte was there
	Read     time.Time // when its last byte was read
}

// Response is what a handler answers. A nil response closes the connection.
type Response struct {
	Status int
	Header []string // names and values in turn
	Body   []byte
	Close  bool
}

// Handler answers one request.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bound what the server reads. Zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes                  int
	HeaderTimeout, IdleTimeout, BodyTimeout time.Duration
}

// Server answers requests on the connections of a listener.
type Server struct {
	Handle Handler
	Limits func() Limits
	Log    *log.Logger

	mu       sync.Mutex
	conns    map[*Conn]bool // true while idle
	closing  bool           // answers carry Connection: close
	stopped  bool
	listener net.Listener
	busy     sync.WaitGroup
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	server *Server
	br     *bufio.Reader
	hold   <-chan struct{}
	drain  chan struct{}
	users  map[string]bool
}

// Shared notes that a user sends on the connection, and tells whether more
// than one has.
func (c *Conn) Shared(user string) bool {
	if c.users == nil {
		c.users = map[string]bool{}
	}
	if len(c.users) < 2 {
		c.users[user] = true
	}
	return len(c.users) > 1
}

// Hold stops reads from the connection after the current answer until ch is
// closed or the server drains.
func (c *Conn) Hold(ch <-chan struct{}) { c.hold = ch }

// Serve accepts connections until the listener is closed. When ctx ends, the
// connections end as they stand; Drain lets them finish first.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		if c := s.track(nc); c != nil {
			go s.serveTracked(ctx, c)
		}
	}
}

// ServeConn answers requests on one connection until it ends, and closes it.
func (s *Server) ServeConn(ctx context.Context, nc net.Conn) {
	if c := s.track(nc); c != nil {
		s.serveTracked(ctx, c)
	}
}

// track takes a new connection over. It closes the connection and returns nil
// when the server has stopped.
func (s *Server) track(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, server: s, br: bufio.NewReaderSize(nc, 4096), drain: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		nc.Close()
		return nil
	}
	if s.conns == nil {
		s.conns = map[*Conn]bool{}
	}
	s.conns[c] = true
	s.busy.Add(1)
	return c
}

func (s *Server) serveTracked(ctx context.Context, c *Conn) {
	defer s.busy.Done()
	c.serve(ctx)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
}

// Wane lets every answer from now on close its connection.
func (s *Server) StopKeepAlives() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
}

// Drain takes no more connections, closes the idle ones, releases the held
// ones, and waits for the rest until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closing, s.stopped = true, true
	if s.listener != nil {
		s.listener.Close()
	}
	for c, idle := range s.conns {
		close(c.drain)
		if idle {
			c.SetReadDeadline(time.Now())
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.busy.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		s.closeAll()
	}
}

// closeAll ends every connection as it stands.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.stopped = true, true
	for c := range s.conns {
		c.Close()
	}
}

// setIdle marks the connection; it reports false when the server has stopped.
func (c *Conn) setIdle(idle bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if idle && c.server.stopped {
		return false
	}
	c.server.conns[c] = idle
	return true
}

// refusal is an error that the client is told of before the connection closes.
type rejection struct {
	status int
	why    string
}

func (r rejection) Error() string { return r.why }

func (c *Conn) serve(ctx context.Context) {
	bw := bufio.NewWriterSize(c.Conn, 4096)
	for {
		if c.hold != nil {
			select {
			case <-c.hold:
			case <-c.drain:
			case <-ctx.Done():
				return
			}
			c.hold = nil
		}
		var lim Limits
		if c.server.Limits != nil {
			lim = c.server.Limits()
		}
		if c.br.Buffered() == 0 {
			if !c.setIdle(true) {
				return
			}
			if lim.IdleTimeout > 0 {
				c.SetReadDeadline(time.Now().Add(lim.IdleTimeout))
			}
			if _, err := c.br.Peek(1); err != nil {
				return
			}
		}
		c.setIdle(false)
		r, err := c.read(lim)
		var answer *Response
		var no rejection
		switch {
		case errors.As(err, &no):
			answer = Problem(no.status, no.why)
			answer.Close = true
		case err != nil:
			return
		default:
			answer = c.server.Handle(ctx, r)
		}
		if answer == nil {
			return
		}
		c.server.mu.Lock()
		last := answer.Close || c.server.closing || (r != nil && r.Close)
		c.server.mu.Unlock()
		if lim.IdleTimeout > 0 { // a client that does not read is not waited for either
			c.SetWriteDeadline(time.Now().Add(lim.IdleTimeout))
		}
		writeResponse(bw, answer, last, r != nil && r.Method == http.MethodHead)
		if bw.Flush() != nil {
			return
		}
		if last {
			if err != nil {
				c.lingeringClose()
			}
			return
		}
	}
}

// linger reads a little of what a refused client still sends, so that closing
// does not reset the connection before the answer is read.
func (c *Conn) lingeringClose() {
	c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	io.CopyN(io.Discard, c.br, 1<<20)
}

func writeResponse(w *bufio.Writer, a *Response, last, head bool) {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(a.Status))
	w.WriteByte(' ')
	w.WriteString(http.StatusText(a.Status))
	w.WriteString("\r\n")
	for i := 0; i+1 < len(a.Header); i += 2 {
		w.WriteString(a.Header[i])
		w.WriteString(": ")
		w.WriteString(a.Header[i+1])
		w.WriteString("\r\n")
	}
	if last {
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("Content-Length: ")
	w.WriteString(strconv.Itoa(len(a.Body)))
	w.WriteString("\r\n\r\n")
	if !head {
		w.Write(a.Body)
	}
}

// read takes one whole request off the connection.
func (c *Conn) read(lim Limits) (*Request, error) {
	began := time.Now()
	if lim.HeaderTimeout > 0 {
		c.SetReadDeadline(began.Add(lim.HeaderTimeout))
	} else {
		c.SetReadDeadline(time.Time{})
	}
	head, err := readHead(c.br, lim.HeaderBytes)
	if err != nil {
		return nil, timeoutError(err)
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	hr, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), 16))
	if err != nil {
		return nil, rejection{400, "the request cannot be read: " + err.Error()}
	}
	if hr.ProtoMajor != 1 {
		return nil, rejection{400, "the protocol is not HTTP/1"}
	}
	if hr.Host == "" {
		return nil, rejection{400, "the request names no host"}
	}
	chunked := len(hr.TransferEncoding) > 0
	if lim.BodyBytes > 0 && hr.ContentLength > int64(lim.BodyBytes) {
		return nil, rejection{413, "the body is over the limit"}
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if lim.BodyTimeout > 0 {
		c.SetReadDeadline(time.Now().Add(lim.BodyTimeout))
	}
	r := &Request{Request: hr, Conn: c, Received: began}
	switch {
	case chunked:
		if r.Body, err = readChunks(c.br, lim.BodyBytes); err != nil {
			return nil, timeoutError(err)
		}
	case hr.ContentLength > 0:
		r.Body = make([]byte, hr.ContentLength)
		if _, err = io.ReadFull(c.br, r.Body); err != nil {
			return nil, timeoutError(err)
		}
	}
	c.SetReadDeadline(time.Time{})
	r.Read = time.Now()
	return r, nil
}

// slow turns a time-out into 408: what was not read whole never runs.
func timeoutError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rejection{408, "the request came too slowly"}
	}
	return err
}

func readHead(br *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for {
		line, err := br.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		head = append(head, line...)
		if limit > 0 && len(head) > limit {
			return nil, rejection{431, "the header is over the limit"}
		}
		if err == nil && len(line) <= 2 && (len(line) == 1 || line[0] == '\r') {
			if len(head) > len(line) && bytes.HasSuffix(head[:len(head)-len(line)], []byte("\n")) {
				return head, nil
			}
			if len(head) == len(line) { // an empty line before the request
				head = head[:0]
			}
		}
	}
}

// checkHead refuses framing that two readers could understand in two ways.
func checkHead(head []byte) error {
	lengths, encodings := 0, 0
	for n, line := range bytes.Split(head, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' {
			return rejection{400, "a header line ends without CR"}
		}
		line = line[:len(line)-1]
		if bytes.ContainsAny(line, "\r\x00") {
			return rejection{400, "a header line holds a control character"}
		}
		if n == 0 || len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return rejection{400, "a header line is folded"}
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return rejection{400, "a header line has no proper name"}
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			for _, b := range value {
				if b < '0' || b > '9' {
					return rejection{400, "the length is not a number"}
				}
			}
			if len(value) == 0 {
				return rejection{400, "the length is empty"}
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return rejection{400, "the transfer encoding is not chunked"}
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths > 0 && encodings > 0 {
		return rejection{400, "the length of the body is given twice"}
	}
	return nil
}

func readChunks(br *bufio.Reader, limit int) ([]byte, error) {
	var src io.Reader = httputil.NewChunkedReader(br)
	if limit > 0 {
		src = io.LimitReader(src, int64(limit)+1)
	}
	body, err := io.ReadAll(src)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, err
		}
		return nil, rejection{400, "the chunks cannot be read"}
	}
	if limit > 0 && len(body) > limit {
		return nil, rejection{413, "the body is over the limit"}
	}
	for n := 0; ; n++ { // trailers are read and dropped
		line, err := br.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		if len(line) <= 2 {
			return body, nil
		}
		if n > 64 {
			return nil, rejection{400, "too many trailers"}
		}
	}
}

// ClientClosed tells whether the client has closed the connection behind its request,
// as far as its machine has said so. A process that was frozen, or reached only
// after a cut, finds such requests; our own callers never close just one way.
func (c *Conn) ClientClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return gone || errors.Is(err, net.ErrClosed)
}

// Problem is a JSON answer that tells what is wrong.
func Problem(status int, why string) *Response {
	return JSON(status, map[string]string{"error-text": why})
}

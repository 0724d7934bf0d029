package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// run is one start of a message at a handler.
type run struct {
	id, path, orderKey string
	handler            string
	began, ended       time.Time // ended is when its own answer was written
	status             int
	open               bool      // the sender's connection was open when the answer was written
	lost               time.Time // when the sender's connection ended; zero while it is open
	clean              bool      // it ended in order, without a reset
}

// wasRead reports whether the sender has certainly read the answer. Its connection was
// open when the answer was written, which on loopback puts the answer into the sender's
// buffer. If the connection ends in order later, the buffer was empty then: the kernel
// resets a connection that is closed with unread bytes, also at the end of a process.
func (r *run) wasRead() bool { return r.open && (r.lost.IsZero() || r.clean) }

// isOpen reports whether the other side has not closed a connection.
func isOpen(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// answer is what a handler makes of one delivery.
type answer struct {
	work   time.Duration
	status int
}

// handlerServer is the handler of one service, at a fixed endpoint.
type handlerServer struct {
	name    string
	record  *record
	answers func(id, path, key string, try int) answer

	listener net.Listener
	instance string // its id, of a handler that registers itself

	mu    sync.Mutex
	runs  []*run
	tries map[string]int
	seals int
	conns map[net.Conn]bool
}

// end ends the handler as the end of its process would: nobody listens any more, and its
// connections are closed.
func (h *handlerServer) end() {
	_ = h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		_ = conn.Close()
	}
}

// keep notes that a connection is open, or no longer.
func (h *handlerServer) keep(conn net.Conn, open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if open {
		h.conns[conn] = true
	} else {
		delete(h.conns, conn)
	}
}

func startHandler(c *cluster, name string, address string, answers func(id, path, key string, try int) answer) (*handlerServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &handlerServer{name: name, record: c.record, answers: answers, listener: l, tries: map[string]int{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h, nil
}

// serve answers the requests of one connection, one at a time.
func (h *handlerServer) serve(conn net.Conn) {
	var mine []*run
	clean := false
	h.keep(conn, true)
	defer func() {
		_ = conn.Close()
		h.keep(conn, false)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, r := range mine {
			r.lost, r.clean = time.Now(), clean
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			clean = errors.Is(err, io.EOF)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Saltreel-Attempt-Id")
		if expected := request.Header.Get("Saltreel-Expect-Instance"); expected != "" && expected != h.instance {
			h.record.line("handler %s: declines %s, which is for %s", h.name, id, expected)
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 x\r\nContent-Length: 0\r\nSaltreel-Attempt-Id: %s\r\nSaltreel-Not-Executed: 1\r\n\r\n", id); err != nil {
				return
			}
			continue
		}
		key := request.Header.Get("Saltreel-Order-Key")
		r := &run{id: id, path: request.URL.Path, orderKey: key, handler: h.name, began: time.Now()}
		h.mu.Lock()
		h.runs = append(h.runs, r)
		mine = append(mine, r)
		h.tries[id]++
		try := h.tries[id]
		h.seals++
		seal := fmt.Sprintf("%s.%d", h.name, h.seals)
		h.mu.Unlock()
		h.record.line("handler %s: run %d of %s (%s key %q) begins", h.name, try, id, r.path, key)
		a := h.answers(id, r.path, key, try)
		time.Sleep(a.work)
		header := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 0\r\nSaltreel-Attempt-Id: %s\r\nKeep-Alive: timeout=30\r\n", a.status, id)
		if a.status == 200 {
			header += "Saltreel-Server-Seal: " + seal + "\r\n"
		}
		open := isOpen(conn)
		h.mu.Lock()
		r.ended, r.status, r.open = time.Now(), a.status, open
		h.mu.Unlock()
		_, err = io.WriteString(conn, header+"\r\n")
		h.record.line("handler %s: run %d of %s is answered with %d (%v)", h.name, try, id, a.status, err)
		if err != nil {
			return
		}
	}
}

// all is a copy of the runs, in the order of their starts.
func (h *handlerServer) all() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []run
	for _, r := range h.runs {
		out = append(out, *r)
	}
	return out
}

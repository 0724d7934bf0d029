package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a message at the handler.
type run struct {
	id, tenant    string
	began, ended  time.Time
	status        int
	path, bodySum string
}

// endpoint is a handler at a fixed address, as a sound handler behaves: it runs each
// message that arrives, answers 200 with a seal, and repeats the id of the attempt.
type endpoint struct {
	record *record
	work   time.Duration
	room   int           // messages that it works on or queues; beyond that it answers 503
	slots  chan struct{} // those that it works on
	addr   string

	mu   sync.Mutex
	held int
	seen int
	runs map[string][]run
}

func newEndpoint(ip string, slots, queue int, work time.Duration, rec *record) (*endpoint, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{record: rec, work: work, room: slots + queue, slots: make(chan struct{}, slots), addr: l.Addr().String(), runs: map[string][]run{}}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	return e, nil
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole: nothing runs
	}
	id := r.Header.Get("Saltreel-Attempt-Id")
	w.Header().Set("Saltreel-Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	if !e.admit() {
		w.Header().Set("Saltreel-Not-Executed", "full")
		w.WriteHeader(503)
		e.record.add("handler: %s is answered 503, not run", id)
		return
	}
	defer e.leave()
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	began := time.Now()
	e.record.add("handler: %s begins, tenant %s, %d bytes", id, r.Header.Get("Saltreel-Tenant"), len(body))
	time.Sleep(e.work)
	e.mu.Lock()
	e.seen++
	seal := fmt.Sprintf("seal-%d", e.seen)
	e.runs[id] = append(e.runs[id], run{id: id, tenant: r.Header.Get("Saltreel-Tenant"), began: began, ended: time.Now(), status: 200, path: r.RequestURI})
	e.mu.Unlock()
	w.Header().Set("Saltreel-Server-Seal", seal)
	w.WriteHeader(200)
	_, _ = io.WriteString(w, "done\n")
	e.record.add("handler: %s ends with 200, %s", id, seal)
}

func (e *endpoint) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held >= e.room {
		return false
	}
	e.held++
	return true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
}

func (e *endpoint) runsOf(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs[id]...)
}

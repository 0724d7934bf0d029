package delivery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"saltreel/internal/partition"
)

// fakePartitions is a Partitions with preset events that records the outcomes of messages.
type fakePartitions struct {
	more chan struct{}

	mu       sync.Mutex
	events   []partition.Event
	frozen   bool
	remote   map[string]bool // messages finished at another store
	finished []string        // "id state seal" in order
}

func newFakePartitions(events ...partition.Event) *fakePartitions {
	return &fakePartitions{more: make(chan struct{}, 1), events: events, remote: map[string]bool{}}
}

func (f *fakePartitions) Events() ([]partition.Event, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.events
	f.events = nil
	return events, f.more
}

func (f *fakePartitions) Now() int64 { return time.Now().UnixMilli() }

func (f *fakePartitions) MayDeliver(int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.frozen
}

func (f *fakePartitions) IsPending(_ int, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.remote[id]
}

func (f *fakePartitions) Finish(_ int, id string, state partition.State, seal string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished = append(f.finished, fmt.Sprintf("%s %d %s", id, state, seal))
}

func (f *fakePartitions) setFrozen(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = frozen
}

func (f *fakePartitions) outcomes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.finished)
}

// fakeHandler answers deliveries on every connection and records the IDs of their messages.
type fakeHandler struct {
	status func(id string, nth int) int // status of the nth attempt of a message, from 1
	work   time.Duration                // processing time

	mu         sync.Mutex
	attempts   []string
	dialed     []string // addresses
	running    int
	maxRunning int // maximum number of concurrent deliveries
}

func (h *fakeHandler) dial(_ context.Context, address string) (net.Conn, error) {
	h.mu.Lock()
	h.dialed = append(h.dialed, address)
	h.mu.Unlock()
	near, far := net.Pipe()
	go h.serve(far)
	return near, nil
}

func (h *fakeHandler) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Saltreel-Attempt-Id")
		status := h.begin(id)
		time.Sleep(h.work)
		h.end()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nSaltreel-Attempt-Id: %s\r\nSaltreel-Server-Seal: seal-%s\r\nContent-Length: 0\r\n\r\n", status, id, id); err != nil {
			return
		}
	}
}

func (h *fakeHandler) begin(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, id)
	h.running++
	h.maxRunning = max(h.maxRunning, h.running)
	nth := 0
	for _, other := range h.attempts {
		if other == id {
			nth++
		}
	}
	if h.status == nil {
		return 200
	}
	return h.status(id, nth)
}

// attempted returns the IDs of all attempts so far.
func (h *fakeHandler) attempted() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.attempts)
}

func (h *fakeHandler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

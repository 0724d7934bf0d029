package cluster

// Clients and handlers of the message search.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	messageInterval = 25 * time.Millisecond
	queryInterval   = 60 * time.Millisecond
	clientDeadline  = 2 * time.Second
	responseTimeout = 5 * time.Second
	finalLimit      = 20 * time.Second // for each message in the final check
	orderKeys       = 3
	minQueryAge     = 2 * time.Second // newer messages may be unknown to other edges
)

// acceptedMessage is a message that an edge accepted with status 202.
type acceptedMessage struct {
	id, name, body string
	at             time.Time
	sentOnce       bool // the client sent it only once
}

// messageTraffic runs the clients and handlers of the message search and records
// the accepted messages.
type messageTraffic struct {
	maintenance *maintenance
	plain       *service
	ordered     *service
	startedAt   time.Time
	stopped     chan struct{}
	clients     sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	accepted []acceptedMessage
	byKey    map[string][]string // message identifiers in acceptance order, by order key
}

func newMessageTraffic(m *maintenance) *messageTraffic {
	t := &messageTraffic{
		maintenance: m, stopped: make(chan struct{}), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(uint64(m.plan.seed), 2)), byKey: map[string][]string{},
	}
	t.plain = m.world.newService("plain", zones...)
	t.ordered = m.world.newService("ordered", zones...)
	t.plain.respond = t.respond
	t.ordered.respond = t.respond
	return t
}

// respond returns success after a random handling time of 1 to 40 ms.
func (t *messageTraffic) respond(delivery) (int, time.Duration) {
	return http.StatusOK, time.Duration(1+t.random(40)) * time.Millisecond
}

func (t *messageTraffic) random(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

func (t *messageTraffic) start() {
	t.startedAt = time.Now()
	t.clients.Go(t.sendPlainMessages)
	t.clients.Go(t.queryMessages)
	for k := range orderKeys {
		t.clients.Go(func() { t.sendOrderedMessages(fmt.Sprint("key-", k)) })
	}
}

func (t *messageTraffic) stop() {
	close(t.stopped)
	t.clients.Wait()
}

// waitUnlessStopped waits for d and returns true, or returns false once the traffic
// is stopped.
func (t *messageTraffic) waitUnlessStopped(d time.Duration) bool {
	select {
	case <-t.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

func (t *messageTraffic) sendPlainMessages() {
	for n := 0; t.waitUnlessStopped(messageInterval); n++ {
		var header []string
		if n%5 == 0 {
			header = []string{"Saltreel-Delay-Ms", "1500"}
		}
		t.clients.Go(func() { t.sendUntilDefinite(fmt.Sprint("plain-", n), "/plain/x", n, header...) })
	}
}

// sendOrderedMessages sends messages with one order key sequentially.
func (t *messageTraffic) sendOrderedMessages(key string) {
	for n := 0; t.waitUnlessStopped(4 * messageInterval); n++ {
		id := fmt.Sprintf("%s-%d", key, n)
		if t.sendUntilDefinite(id, "/ordered/x", n, "Saltreel-Order-Key", key) {
			t.mu.Lock()
			t.byKey[key] = append(t.byKey[key], id)
			t.mu.Unlock()
		}
	}
}

// sendUntilDefinite retries a message with the same attempt identifier until it is
// accepted, has been rejected 3 times, or 20 attempts have been made, and reports
// whether it was accepted.
func (t *messageTraffic) sendUntilDefinite(id, path string, first int, header ...string) bool {
	rejected := 0
	for try := 0; rejected < 3 && try < 20; try++ {
		zone := zones[(first+try)%len(zones)]
		body := strings.Repeat("body of "+id+" ", 1+t.random(30))
		answer := t.request(zone, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.example\r\nSaltreel-Key: key-one\r\nSaltreel-Attempt-Id: %s\r\nSaltreel-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n%s",
			path, id, clientDeadline.Milliseconds(), len(body), headerLines(header), body))
		switch answer.status {
		case http.StatusAccepted:
			// After a retry the body is unknown: an earlier attempt with another one may
			// have been accepted.
			t.recordAccepted(acceptedMessage{id: id, name: answer.name, at: time.Now()}, body, try == 0)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			rejected++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func headerLines(header []string) string {
	lines := ""
	for i := 0; i+1 < len(header); i += 2 {
		lines += header[i] + ": " + header[i+1] + "\r\n"
	}
	return lines
}

func (t *messageTraffic) recordAccepted(a acceptedMessage, body string, known bool) {
	if known {
		a.body = body
		a.sentOnce = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted = append(t.accepted, a)
}

func (t *messageTraffic) acceptedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accepted)
}

func (t *messageTraffic) lastAccepted() acceptedMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted[len(t.accepted)-1]
}

// clientResponse is the response that a client read; its status is 0 if it is incomplete.
type clientResponse struct {
	status     int
	name, body string
}

// request sends one request to the edge of a zone on a new connection. It records a
// violation if the edge has read the whole request without sending a complete response
// and was not hit by a fault.
func (t *messageTraffic) request(zone, raw string) clientResponse {
	m := t.maintenance
	w := m.world
	edge := w.processOf("edge-" + zone)
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	dialled, err := w.clientProcess.dial(ctx, edge.ip+":80")
	if err != nil {
		return clientResponse{}
	}
	defer func() { _ = dialled.Close() }()
	server := dialled.(*conn).peer
	if _, err := io.WriteString(dialled, raw); err != nil {
		return clientResponse{}
	}
	_ = dialled.SetReadDeadline(time.Now().Add(responseTimeout))
	response, err := http.ReadResponse(bufio.NewReader(dialled), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		if !dialled.(*conn).out.hasUnread() && !m.wasFaulted(server) {
			m.fail("unanswered", "edge of %s read a request and sent no complete response (%v): %.120q", zone, err, raw)
		}
		return clientResponse{}
	}
	return clientResponse{status: response.StatusCode, name: response.Header.Get("Saltreel-Message-Name"), body: string(body)}
}

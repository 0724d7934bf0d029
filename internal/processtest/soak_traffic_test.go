package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// message is a message of a soak, as its client and the handlers saw it. Times are counts of
// traffic.step.
type message struct {
	id, key  string
	sent     int
	accepted int    // 0: no 202
	name     string // from the 202
	refused  int    // status of a refusal, which promises that the message never runs
	started  int    // first start; 0: never
	seals    []string
}

// traffic is the clients and the handlers of a soak, and what they saw.
type traffic struct {
	fleet    *fleet
	stop     chan struct{}
	clients  sync.WaitGroup
	handlers sync.WaitGroup
	ended    chan struct{}

	mu       sync.Mutex
	step     int
	messages map[string]*message
	byKey    map[string][]*message
	done     int
	problems []string
}

const (
	soakClients  = 16
	soakHandlers = 3
	soakKeys     = 6
)

// startTraffic starts the handlers and the clients.
func startTraffic(f *fleet) *traffic {
	tr := &traffic{fleet: f, stop: make(chan struct{}), ended: make(chan struct{}), messages: map[string]*message{}, byKey: map[string][]*message{}}
	for i := range soakHandlers {
		tr.startHandler(i)
	}
	for i := range soakClients {
		tr.clients.Go(func() { tr.runClient(i) })
	}
	f.t.Cleanup(func() {
		tr.stopClients()
		close(tr.ended)
		tr.handlers.Wait()
	})
	return tr
}

// stopClients stops the clients. It may be called repeatedly.
func (tr *traffic) stopClients() {
	tr.mu.Lock()
	select {
	case <-tr.stop:
	default:
		close(tr.stop)
	}
	tr.mu.Unlock()
	tr.clients.Wait()
}

// runClient sends one message after another, each with an identifier of its own. It uses its
// connection until the process closes it, and then goes to another edge.
func (tr *traffic) runClient(number int) {
	edges := tr.fleet.ofRole("edge")
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n, at := 0, number; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		m := &message{id: fmt.Sprintf("m-%d-%d", number, n)}
		if number%2 == 0 {
			m.key = fmt.Sprint("key-", (number+n)%soakKeys)
		}
		if status := tr.send(client, edges[at%len(edges)], m); status == 0 {
			at++
			time.Sleep(20 * time.Millisecond)
		} else if status != http.StatusAccepted {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// send sends a message and returns the status, 0 if there was no response.
func (tr *traffic) send(client *http.Client, edge *node, m *message) int {
	path := "/any/x"
	if m.key != "" {
		path = "/ordered/x"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+edge.ip+":8749"+path, strings.NewReader("body of "+m.id))
	if err != nil {
		panic(err)
	}
	request.Host = "app.example"
	request.Header.Set("Saltreel-Key", "example-key")
	request.Header.Set("Saltreel-Attempt-Id", m.id)
	if m.key != "" {
		request.Header.Set("Saltreel-Order-Key", m.key)
	}
	tr.begin(m)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is the result
	_ = response.Body.Close()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.step++
	switch response.StatusCode {
	case http.StatusAccepted:
		m.accepted, m.name = tr.step, response.Header.Get("Saltreel-Message-Name")
		if m.key != "" {
			tr.byKey[m.key] = append(tr.byKey[m.key], m)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		m.refused = response.StatusCode
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		tr.problems = append(tr.problems, fmt.Sprintf("status %d for %s", response.StatusCode, m.id))
	}
	return response.StatusCode
}

func (tr *traffic) begin(m *message) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.step++
	m.sent = tr.step
	tr.messages[m.id] = m
}

// startHandler starts a handler, which sends heartbeats until the test ends.
func (tr *traffic) startHandler(number int) {
	f := tr.fleet
	address := fmt.Sprintf("%s.%d.200:9000", f.prefix, number+1)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	instance := fmt.Sprint("instance-", number)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { tr.serve(w, r, instance) })}
	tr.handlers.Go(func() { _ = server.Serve(listener) }) // ends with Close
	tr.handlers.Go(func() {
		defer func() { _ = server.Close() }()
		for n := 1; ; n++ {
			tr.beat(instance, address, number, n)
			select {
			case <-tr.ended:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
}

// beat sends a heartbeat to one core after the other until one acknowledges it.
func (tr *traffic) beat(instance, address string, number, n int) {
	body := fmt.Sprintf(`{"service":"worker","address":"%s","zone":"zone-%d","revision":"v1","slots":16,"oper-state":"ready","warmup-left-ms":0,"call-seq":%d}`, address, number+1, n)
	cores := tr.fleet.ofRole("core")
	for i := range cores {
		request, err := http.NewRequest(http.MethodPut, "http://"+cores[(number+i)%len(cores)].ip+":8741/v1/instances/"+instance, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		if isOK(httpClient(time.Second).Do(request)) {
			return
		}
	}
}

// serve handles a delivery or a probe.
func (tr *traffic) serve(w http.ResponseWriter, r *http.Request, instance string) {
	w.Header().Set("Saltreel-Instance-Id", instance)
	id := r.Header.Get("Saltreel-Attempt-Id")
	if id == "" {
		return // a health probe
	}
	w.Header().Set("Saltreel-Attempt-Id", id)
	if expected := r.Header.Get("Saltreel-Expect-Instance"); expected != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off; nothing runs
	}
	m, number := tr.startRun(id, body)
	if m == nil {
		return
	}
	time.Sleep(time.Duration(number%5) * time.Millisecond)
	if number%17 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	seal := fmt.Sprintf("%s.%s.%d", instance, id, number)
	tr.endRun(m, seal)
	w.Header().Set("Saltreel-Server-Seal", seal)
}

// startRun records the start of a run. It returns a number that differs between runs.
func (tr *traffic) startRun(id string, body []byte) (m *message, number int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.step++
	m = tr.messages[id]
	if m == nil || !bytes.Equal(body, []byte("body of "+id)) {
		tr.problems = append(tr.problems, fmt.Sprintf("UNASKED: %q ran with body %q", id, body))
		return nil, 0
	}
	if m.started == 0 {
		m.started = tr.step
		tr.checkOrder(m)
	}
	return m, tr.step
}

// checkOrder checks that the messages that were accepted before this one was sent have ended.
func (tr *traffic) checkOrder(m *message) {
	if m.key == "" {
		return
	}
	for _, earlier := range tr.byKey[m.key] {
		if earlier.accepted < m.sent && len(earlier.seals) == 0 {
			tr.problems = append(tr.problems, fmt.Sprintf("ORDER: %s of %s started before %s had ended", m.id, m.key, earlier.id))
		}
	}
}

func (tr *traffic) endRun(m *message, seal string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.step++
	if len(m.seals) == 0 {
		tr.done++
	}
	m.seals = append(m.seals, seal)
}

func (tr *traffic) completed() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.done
}

// unfinished returns the number of accepted messages that have not run successfully.
func (tr *traffic) unfinished() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	count := 0
	for _, m := range tr.messages {
		if m.accepted > 0 && len(m.seals) == 0 {
			count++
		}
	}
	return count
}

// check checks the guarantees, once all accepted messages have run.
func (tr *traffic) check(t *testing.T) {
	t.Helper()
	var sample []*message
	tr.mu.Lock()
	problems := tr.problems
	for _, m := range tr.messages {
		if m.refused != 0 && m.started != 0 {
			problems = append(problems, fmt.Sprintf("REFUSED: %s was answered %d and ran", m.id, m.refused))
		}
		const sampleSize = 100
		if m.accepted > 0 && len(sample) < sampleSize {
			sample = append(sample, m)
		}
	}
	tr.mu.Unlock()
	for i, m := range sample {
		edges := tr.fleet.ofRole("edge")
		edge := edges[i%len(edges)]
		tr.fleet.waitUntil(m.name+" is reported as complete", func() bool { return tr.isComplete(t, edge, m) })
	}
	const mostReported = 20
	for _, problem := range problems[:min(len(problems), mostReported)] {
		t.Error(problem)
	}
}

// isComplete reports whether an edge reports a message as complete. The seal must be that of one
// of its runs.
func (tr *traffic) isComplete(t *testing.T, edge *node, m *message) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+edge.ip+":8749/v1/message/"+m.name, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "app.example"
	request.Header.Set("Saltreel-Key", "example-key")
	response, err := httpClient(2 * time.Second).Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		State string `json:"oper-state"`
		Seal  string `json:"seal"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&status) != nil {
		if response.StatusCode == http.StatusNotFound {
			t.Errorf("LOST: %s is not known any more", m.name)
			return true
		}
		return false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if status.State == "complete" && !strings.Contains(strings.Join(m.seals, " "), status.Seal) || status.State == "dead_letter" {
		t.Errorf("MIXED: %s is reported as %s with seal %q, its runs had %v", m.name, status.State, status.Seal, m.seals)
		return true
	}
	return status.State == "complete"
}

func (tr *traffic) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	accepted, refused, unclear, repeated := 0, 0, 0, 0
	for _, m := range tr.messages {
		switch {
		case m.accepted > 0:
			accepted++
		case m.refused > 0:
			refused++
		default:
			unclear++
		}
		if len(m.seals) > 1 {
			repeated++
		}
	}
	return fmt.Sprintf("%d messages accepted, %d refused, %d unclear, %d ran again", accepted, refused, unclear, repeated)
}

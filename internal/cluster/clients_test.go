package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"saltreel/internal/httpwire"
)

func (w *world) request(addr string, c *httpwire.Call, limit time.Duration) (*httpwire.ClientResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return w.client.Do(ctx, addr, c)
}

// sendMessage sends one message to the edge of a zone. The status is 0 if there is no
// response.
func (w *world) sendMessage(zone, path, id string, header ...string) *httpwire.ClientResponse {
	w.t.Helper()
	h := []string{"Saltreel-Attempt-Id", id, "Saltreel-Deadline-Ms", "2000"}
	if !strings.Contains(strings.Join(header, " "), "Saltreel-Key") {
		h = append(h, "Saltreel-Key", "key-one")
	}
	a, err := w.request(w.machines["edge-"+zone].ip+":80", &httpwire.Call{Method: "POST", Target: path, Host: "app.example", Header: append(h, header...), Body: []byte("body of " + id)}, 4*time.Second)
	if err != nil {
		return &httpwire.ClientResponse{Header: http.Header{}}
	}
	return a
}

// sendUntilAccepted retries a message until it is accepted, as a client would, and
// returns its name. The test fails after five attempts.
func (w *world) sendUntilAccepted(zone, path, id string, header ...string) string {
	w.t.Helper()
	for range 5 {
		a := w.sendMessage(zone, path, id, header...)
		if a.Status == 202 {
			return a.Header.Get("Saltreel-Message-Name")
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.t.Fatalf("message %s is not accepted after 5 attempts", id)
	return ""
}

// get reads a path at the edge of a zone, as tenant one.
func (w *world) get(zone, path string) (status int, body string) {
	a, err := w.request(w.machines["edge-"+zone].ip+":80", &httpwire.Call{Method: "GET", Target: path, Host: "app.example", Header: []string{"Saltreel-Key", "key-one"}}, 2*time.Second)
	if err != nil {
		return 0, err.Error()
	}
	return a.Status, string(a.Body)
}

// messageState returns the state of a message and its seal, or the response body if it
// has no state.
func (w *world) messageState(name string) string {
	_, body := w.get("z2", "/v1/message/"+name)
	var s struct {
		State string `json:"oper-state"`
		Seal  string `json:"seal"`
	}
	if json.Unmarshal([]byte(body), &s) != nil {
		return body
	}
	if s.State == "" {
		return body
	}
	return strings.TrimSpace(s.State + " " + s.Seal)
}

func (w *world) waitForState(name, want string, limit time.Duration) {
	w.t.Helper()
	got := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got = w.messageState(name); got == want {
			return
		}
	}
	w.t.Fatalf("message %s: state %q, want %q", name, got, want)
}

// newID returns a message ID that is unique in the test.
func (w *world) newID() string {
	w.lastID++
	return "m" + strconv.Itoa(w.lastID)
}

// streamMessages sends messages to all zones in the background until stop is closed.
// The returned function waits for the responses and returns the names of the accepted
// messages by ID.
func (w *world) streamMessages(path string, every time.Duration, stop chan struct{}) func() map[string]string {
	names := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				id := fmt.Sprintf("s%d", i)
				if a := w.sendMessage(zones[i%3], path, id); a.Status == 202 {
					mu.Lock()
					names[id] = a.Header.Get("Saltreel-Message-Name")
					mu.Unlock()
				}
			})
		}
	})
	return func() map[string]string { wg.Wait(); return names }
}

// withTraffic sends messages while f runs and checks that each accepted one is
// completed. It returns their names by ID.
func (w *world) withTraffic(s *service, f func()) map[string]string {
	w.t.Helper()
	stop := make(chan struct{})
	accepted := w.streamMessages("/plain/", 20*time.Millisecond, stop)
	f()
	close(stop)
	names := accepted()
	for id, name := range names {
		w.waitForState(name, "complete seal-"+id, 20*time.Second)
		if s.deliveryCount(id) == 0 {
			w.t.Errorf("%s is complete but was not delivered", id)
		}
	}
	return names
}

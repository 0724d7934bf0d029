package cluster

import (
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

// A message accepted at any edge is delivered once, not before its delay has passed,
// and every edge can report its state and body.
func TestMessageIsAcceptedDeliveredAndReported(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		for _, z := range zones {
			id := w.newID()
			name := w.sendUntilAccepted(z, "/plain/x?q=1", id)
			w.waitForState(name, "complete seal-"+id, 3*time.Second)
			plain.checkDeliveredOnce(id)
		}
		for _, d := range plain.received() {
			if d.body != "body of "+d.id || d.tenant != "one" {
				t.Errorf("delivered %+v", d)
			}
		}
		delayed := w.newID()
		began := time.Now()
		name := w.sendUntilAccepted("z1", "/plain/y", delayed, "Saltreel-Delay-Ms", "1500")
		if got := w.messageState(name); got != "pending" {
			t.Errorf("delayed message has state %s", got)
		}
		if code, body := w.get("z3", "/v1/message-body/"+name); code != 200 || body != "body of "+delayed {
			t.Errorf("body of the delayed message: status %d, %q", code, body)
		}
		w.waitForState(name, "complete seal-"+delayed, 4*time.Second)
		for _, d := range plain.received() {
			if d.id == delayed && d.startedAt.Sub(began) < 1500*time.Millisecond {
				t.Errorf("delayed message was delivered %v after it was sent", d.startedAt.Sub(began))
			}
		}
	})
}

func TestInvalidClientRequestsAreRejected(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1")
		w.applyConfiguration(options{})
		for _, c := range []struct {
			path, id string
			header   []string
			want     int
		}{
			{"/nowhere/", "a1", nil, 404},
			{"/plain/", "a2", []string{"Saltreel-Key", "wrong"}, 401},
			{"/plain/", "", nil, 400},
			{"/plain/", "a3", []string{"Saltreel-Delay-Ms", "soon"}, 400},
			{"/plain/", "a4", []string{"Content-Length", "3"}, 400},
			{"/plain/", "a5", []string{"X-Large", strings.Repeat("x", 17000)}, 431},
		} {
			if a := w.sendMessage("z1", c.path, c.id, c.header...); a.Status != c.want {
				t.Errorf("%s %s %.40v: status %d, want %d", c.path, c.id, c.header, a.Status, c.want)
			}
		}
		a, err := w.request(w.machines["edge-z1"].ip+":80", &httpwire.Call{Method: "POST", Target: "/plain/", Host: "app.example", Header: []string{"Saltreel-Key", "key-one", "Saltreel-Attempt-Id", "a6"}, Body: make([]byte, 300000)}, time.Second)
		if err != nil || a.Status != 413 {
			t.Errorf("body over the limit: %v, error %v", a, err)
		}
		name := w.sendUntilAccepted("z1", "/ordered/", "a7", "Saltreel-Order-Key", "k")
		for range 3 { // a repeated attempt id names the same message
			if a := w.sendMessage("z1", "/ordered/", "a7", "Saltreel-Order-Key", "k"); a.Status != 202 || a.Header.Get("Saltreel-Message-Name") != name {
				t.Errorf("repeated attempt id: status %d, header %v", a.Status, a.Header)
			}
		}
		a, err = w.request(w.machines["edge-z2"].ip+":80", &httpwire.Call{Method: "GET", Target: "/v1/message/" + name, Host: "app.example", Header: []string{"Saltreel-Key", "key-two"}}, time.Second)
		if err != nil || a.Status != 404 {
			t.Errorf("read by another tenant: %v, error %v", a, err)
		}
	})
}

// A failed delivery is retried up to max-attempts and a rejected one is not retried.
// A message that never succeeds becomes a dead letter and keeps its body.
func TestFailedDeliveriesAreRetriedOrDeadLettered(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2")
		plain.respond = func(d delivery) (int, time.Duration) {
			switch d.id {
			case "never":
				return 422, 0
			case "fails":
				return 500, 0
			case "third":
				if plain.deliveryCount("third") < 2 {
					return 500, 0
				}
			}
			return 200, 0
		}
		w.applyConfiguration(options{maxAttempts: 3})
		for id, want := range map[string]string{"never": "dead_letter", "fails": "dead_letter", "third": "complete seal-third"} {
			name := w.sendUntilAccepted("z1", "/plain/", id)
			w.waitForState(name, want, 5*time.Second)
			if want == "dead_letter" {
				if code, body := w.get("z1", "/v1/message-body/"+name); code != 200 || body != "body of "+id {
					t.Errorf("body of the dead letter %s: status %d, %q", id, code, body)
				}
			}
		}
		if a, b, c := plain.deliveryCount("never"), plain.deliveryCount("fails"), plain.deliveryCount("third"); a != 1 || b != 3 || c != 3 {
			t.Errorf("deliveries: never %d, fails %d, third %d; want 1, 3, 3", a, b, c)
		}
	})
}

// Messages with the same order key are delivered one after the other, even though
// every fourth delivery fails and a store crashes.
func TestKeyOrderSurvivesRetriesAndStoreCrash(t *testing.T) {
	runCluster(t, func(w *world) {
		ordered := w.newService("ordered", "z1", "z2", "z3")
		n := 0
		ordered.respond = func(delivery) (int, time.Duration) {
			if n++; n%4 == 0 {
				return 500, 20 * time.Millisecond
			}
			return 200, 20 * time.Millisecond
		}
		w.applyConfiguration(options{maxAttempts: 20})
		var ids []string
		names := map[string]string{}
		for i := range 40 {
			id := w.newID()
			ids = append(ids, id)
			names[id] = w.sendUntilAccepted(zones[i%3], "/ordered/", id, "Saltreel-Order-Key", "thing")
			if i == 15 {
				w.killMachine("store-z1")
			}
			if i == 30 {
				w.startMachine("store-z1", false)
			}
		}
		for _, id := range ids {
			w.waitForState(names[id], "complete seal-"+id, 20*time.Second)
		}
		verifyKeyOrder(t, ids, ordered.received())
	})
}

// verifyKeyOrder checks that no delivery of a message started before each message
// accepted earlier had completed a delivery. ids are in the order of acceptance.
func verifyKeyOrder(t *testing.T, ids []string, deliveries []delivery) {
	t.Helper()
	firstEnd := map[string]time.Time{}
	for _, d := range deliveries {
		if e, ok := firstEnd[d.id]; !ok || d.endedAt.Before(e) {
			firstEnd[d.id] = d.endedAt
		}
	}
	earliestStart := time.Time{}
	for _, id := range ids {
		for _, d := range deliveries {
			if d.id == id && d.startedAt.Before(earliestStart) {
				t.Errorf("delivery of %s started before that of a predecessor ended", id)
			}
		}
		if firstEnd[id].After(earliestStart) {
			earliestStart = firstEnd[id]
		}
	}
}

func TestRemovedRouteAndKeyAreRejectedAtEveryEdge(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1")
		w.applyConfiguration(options{apiKeys: `"key-one","spare"`})
		waiting := w.sendUntilAccepted("z1", "/plain/", "waits", "Saltreel-Delay-Ms", "4000")
		w.applyConfiguration(options{withoutRoute: "plain"})
		for _, z := range zones {
			if a := w.sendMessage(z, "/plain/", "late-"+z); a.Status != 404 {
				t.Errorf("removed route at %s: status %d", z, a.Status)
			}
			if a := w.sendMessage(z, "/ordered/", "key-"+z, "Saltreel-Key", "spare"); a.Status != 401 {
				t.Errorf("removed key at %s: status %d", z, a.Status)
			}
		}
		time.Sleep(6 * time.Second)
		if plain.deliveryCount("waits") != 0 || w.messageState(waiting) != "dead_letter" {
			t.Errorf("message of a removed route: %d deliveries, state %s", plain.deliveryCount("waits"), w.messageState(waiting))
		}
	})
}

func TestDrainingHandlerReceivesNoDeliveries(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		in := plain.instances["plain-i0"]
		plain.mu.Lock()
		in.state = "draining"
		plain.mu.Unlock()
		if !plain.heartbeat(in) {
			t.Fatal("the draining heartbeat was not acknowledged")
		}
		acked := time.Now()
		time.Sleep(300 * time.Millisecond)
		from := time.Now()
		for i := range 30 {
			w.sendUntilAccepted(zones[i%3], "/plain/", w.newID())
		}
		time.Sleep(time.Second)
		for _, d := range plain.received() {
			if d.instance == in.id && d.startedAt.After(from) {
				t.Errorf("delivery to the draining instance %v after the acknowledgement", d.startedAt.Sub(acked))
			}
		}
		if code := plain.callCore("DELETE", in.id, ""); code != 200 {
			t.Errorf("deregistration: status %d", code)
		}
		if code := plain.callCore("PUT", "bad", `{"service":1}`); code != 400 {
			t.Errorf("malformed heartbeat: status %d", code)
		}
	})
}

package cluster

import (
	"fmt"
	"testing"
	"time"
)

// The tests in this file check guarantees to clients and handlers that hold during
// failover, isolation and restarts.

// A handler may deregister without draining first and keep serving for a while.
// Deliveries in progress are completed there, and it gets no new ones. Late heartbeats
// do not register it again.
func TestDeregisteredHandlerGetsNoNewDeliveries(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		plain.respond = func(delivery) (int, time.Duration) { return 200, 400 * time.Millisecond }
		w.applyConfiguration(options{})
		in := plain.instances["plain-i0"]
		var acknowledged time.Time
		w.withTraffic(plain, func() {
			time.Sleep(time.Second)
			if code := plain.callCore("DELETE", in.id, ""); code != 200 {
				t.Fatalf("deregistration: status %d, want 200", code)
			}
			acknowledged = time.Now()
			for range 4 {
				plain.heartbeat(in) // sent after the deregistration, as late ones
				time.Sleep(time.Second)
			}
		})
		inProgress := 0
		for _, d := range plain.received() {
			if d.instance != in.id {
				continue
			}
			if d.startedAt.After(acknowledged.Add(500 * time.Millisecond)) {
				t.Errorf("delivery of %s started %v after the acknowledgement, limit 500ms", d.id, d.startedAt.Sub(acknowledged))
			}
			if d.startedAt.Before(acknowledged) && d.endedAt.After(acknowledged) {
				inProgress++
				if n := plain.deliveryCount(d.id); n != 1 {
					t.Errorf("%s was in progress at the deregistration and was delivered %d times", d.id, n)
				}
			}
		}
		if inProgress == 0 {
			t.Error("no delivery was in progress at the deregistration")
		}
	})
}

// Two seconds after a message was accepted, no edge reports it as unknown (404 or 410),
// even during a failover of its store. An edge that cannot determine its state answers
// 503.
func TestAcceptedMessageIsNeverUnknown(t *testing.T) {
	runCluster(t, func(w *world) {
		w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		var names []string
		for i := range 30 {
			names = append(names, w.sendUntilAccepted(zones[i%3], "/plain/", w.newID(), "Saltreel-Delay-Ms", "8000"))
		}
		time.Sleep(2 * time.Second)
		answers := map[int]int{}
		for _, injectFault := range []func(){
			func() { w.killMachine("store-z1") },
			func() { w.startMachine("store-z1", false) },
			func() { w.network.isolate(w.machines["store-z2"].ip, true) },
			func() { w.network.isolate(w.machines["store-z2"].ip, false) },
			func() { w.terminateMachine("store-z3") },
			func() { w.startMachine("store-z3", false) },
			func() { w.killMachine("edge-z1"); w.startMachine("edge-z1", false) },
		} {
			injectFault()
			for range 3 {
				for i, name := range names {
					status, body := w.get(zones[i%3], "/v1/message/"+name)
					answers[status]++
					if status == 404 || status == 410 {
						t.Errorf("%s: %d %s", name, status, body)
					}
				}
			}
			time.Sleep(4 * time.Second)
		}
		if answers[200] < 300 {
			t.Errorf("want at least 300 responses with status 200, responses by status: %v", answers)
		}
	})
}

// The total number of attempts of a message is bounded across failovers of the primary:
// three times max-attempts for status 500, three for status 422. The message then
// becomes a dead letter.
func TestAttemptsAreBoundedAcrossFailovers(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		plain.respond = func(d delivery) (int, time.Duration) {
			if d.id[0] == 'r' {
				return 422, 300 * time.Millisecond
			}
			return 500, 300 * time.Millisecond
		}
		const maxAttempts = 4
		w.applyConfiguration(options{maxAttempts: maxAttempts})
		names := map[string]string{}
		for i := range 30 {
			for _, prefix := range []string{"f", "r"} {
				id := fmt.Sprintf("%s%d", prefix, i)
				names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "1000")
			}
		}
		for _, z := range zones {
			w.killMachine("store-" + z)
			time.Sleep(1500 * time.Millisecond)
			w.startMachine("store-"+z, false)
			time.Sleep(4300 * time.Millisecond)
		}
		for id, name := range names {
			w.waitForState(name, "dead_letter", 20*time.Second)
			limit := 3 * maxAttempts
			if id[0] == 'r' {
				limit = 3
			}
			if n := plain.deliveryCount(id); n > limit {
				t.Errorf("%s: %d attempts, limit %d", id, n, limit)
			}
		}
	})
}

// No delayed message is delivered before it is due, even if another store has become
// its primary.
func TestDelayIsKeptAcrossFailovers(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		due, names := map[string]time.Time{}, map[string]string{}
		for i := range 40 {
			id := fmt.Sprintf("d%d", i)
			delay := time.Duration(500+300*i) * time.Millisecond
			due[id] = time.Now().Add(delay)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", fmt.Sprint(delay.Milliseconds()))
		}
		w.killMachine("store-z1")
		time.Sleep(2 * time.Second)
		w.startMachine("store-z1", false)
		time.Sleep(4300 * time.Millisecond)
		w.terminateMachine("store-z2")
		w.startMachine("store-z2", false)
		time.Sleep(10 * time.Second)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 10*time.Second)
		}
		deliveries := plain.received()
		for _, d := range deliveries {
			if early := due[d.id].Sub(d.startedAt); early > 0 {
				t.Errorf("delivery of %s started %v before it was due", d.id, early)
			}
		}
		if len(deliveries) < len(due) {
			t.Errorf("%d deliveries of %d messages", len(deliveries), len(due))
		}
	})
}

// While handlers have free capacity, no message stays pending, even if one handler
// fails part of its deliveries, a store loses its disk and connections are reset.
func TestNoMessageStaysPendingWhileHandlersAreIdle(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		plain.respond = func(d delivery) (int, time.Duration) {
			if d.instance == "plain-i0" && len(d.id)%2 == 0 {
				return 500, 10 * time.Millisecond
			}
			return 200, 10 * time.Millisecond
		}
		w.applyConfiguration(options{maxAttempts: 10})
		w.withTraffic(plain, func() { // checks that each message is completed
			time.Sleep(time.Second)
			w.killMachine("store-z2")
			w.wipeDisk("store-z2")
			time.Sleep(2 * time.Second)
			w.startMachine("store-z2", false)
			time.Sleep(2 * time.Second)
			w.network.reset(w.machines["store-z1"].ip, "10.20.5.132")
			time.Sleep(2 * time.Second)
		})
	})
}

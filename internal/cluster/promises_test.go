package cluster

import (
	"fmt"
	"testing"
	"time"
)

// The tests here are of promises to clients and handlers that hold whatever the
// system goes through meanwhile.

// A handler may deregister first, without having said that it drains, and serve on
// for a while: what it works on ends there, and nothing more comes. Heartbeats from
// before that come late and change nothing.
func TestHandlerThatDeregistersFirstGetsNothingMore(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		plain.respond = func(delivery) (int, time.Duration) { return 200, 400 * time.Millisecond }
		w.applyConfiguration(options{})
		in := plain.instances["plain-i0"]
		var acknowledged time.Time
		w.withTraffic(plain, func() {
			time.Sleep(time.Second)
			if code := plain.callCore("DELETE", in.id, ""); code != 200 {
				t.Fatalf("deregistration: %d", code)
			}
			acknowledged = time.Now()
			for range 4 {
				plain.heartbeat(in) // its own go on, and are late
				time.Sleep(time.Second)
			}
		})
		ended := 0
		for _, d := range plain.received() {
			if d.instance != in.id {
				continue
			}
			if d.startedAt.After(acknowledged.Add(500 * time.Millisecond)) {
				t.Errorf("%s came to it %v after the acknowledgement", d.id, d.startedAt.Sub(acknowledged))
			}
			if d.startedAt.Before(acknowledged) && d.endedAt.After(acknowledged) {
				ended++
				if n := plain.deliveryCount(d.id); n != 1 {
					t.Errorf("%s was under way there and ran %d times", d.id, n)
				}
			}
		}
		if ended == 0 {
			t.Error("nothing was under way when it deregistered")
		}
	})
}

// Two seconds after it was accepted, no edge says that there is no such message,
// also while its store fails over; an edge that cannot be sure says 503.
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
		for _, strike := range []func(){
			func() { w.killMachine("store-z1") },
			func() { w.startMachine("store-z1", false) },
			func() { w.network.isolate(w.machines["store-z2"].ip, true) },
			func() { w.network.isolate(w.machines["store-z2"].ip, false) },
			func() { w.terminateMachine("store-z3") },
			func() { w.startMachine("store-z3", false) },
			func() { w.killMachine("edge-z1"); w.startMachine("edge-z1", false) },
		} {
			strike()
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
			t.Errorf("hardly any answer was conclusive: %v", answers)
		}
	})
}

// What a message may be tried is bounded whatever primary tries it: three times
// max-attempts for 500, three times for 422. It ends as a dead letter.
func TestAttemptsAreBoundedOverFailovers(t *testing.T) {
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
			most := 3 * maxAttempts
			if id[0] == 'r' {
				most = 3
			}
			if n := plain.deliveryCount(id); n > most {
				t.Errorf("%s was tried %d times, at most %d are allowed", id, n, most)
			}
		}
	})
}

// No delayed message starts before its time, whichever store has it by then.
func TestDelayHoldsOverFailovers(t *testing.T) {
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
		for _, d := range plain.received() {
			if early := due[d.id].Sub(d.startedAt); early > 0 {
				t.Errorf("%s started %v early", d.id, early)
			}
		}
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 10*time.Second)
		}
	})
}

// With handlers half idle, no message stays pending, though some endpoints fail and
// a store is lost.
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
		w.withTraffic(plain, func() { // it checks that each one is completed
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

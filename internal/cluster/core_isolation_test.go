package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

func TestAtMostOneSideOfPartitionAcknowledges(t *testing.T) {
	ips := []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}
	for lone := range 3 {
		for _, way := range []string{"both ways", "out", "in"} {
			runCluster(t, func(w *world) {
				w.applyConfiguration(options{})
				base := w.revision
				rest := append(append([]string{}, ips[:lone]...), ips[lone+1:]...)
				sever := func(yes bool) {
					if way != "in" {
						w.network.setBlocked(ips[lone:lone+1], rest, yes)
					}
					if way != "out" {
						w.network.setBlocked(rest, ips[lone:lone+1], yes)
					}
				}
				sever(true)
				a, b := w.configuration(base+1, options{maxAttempts: 2}), w.configuration(base+2, options{maxAttempts: 4})
				gotA, gotB := 0, 0
				for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if gotA != 200 {
						gotA = w.putConfiguration(ips[lone]+":82", base, a)
					}
					if gotB != 200 {
						gotB = w.putConfiguration(rest[0]+":82", base, b)
					}
				}
				sever(false)
				if gotA == 200 && gotB == 200 {
					t.Fatalf("core %d cut %s: both changes are acknowledged", lone, way)
				}
				time.Sleep(5 * time.Second)
				if gotA != 200 && gotB != 200 { // the lone one was heard but could not hear: its change won
					if gotA = w.putConfiguration(rest[0]+":82", base, a); gotA != 200 || gotB != 412 {
						t.Errorf("core %d cut %s: neither side takes a change: %d %d", lone, way, gotA, gotB)
					}
				}
				for _, c := range w.controlAddresses() { // all tell the same history
					w.waitFor(5*time.Second, "reading from "+c, func() bool {
						r, err := w.request(c, &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: c}, time.Second)
						if err == nil && r.Status == 200 && (gotA == 200 && !bytes.Equal(r.Body, a) || gotB == 200 && !bytes.Equal(r.Body, b)) {
							t.Fatalf("core %d cut %s: %s tells another configuration", lone, way, c)
						}
						return err == nil && r.Status == 200
					})
				}
				// What was taken is acknowledged again, even after the next change.
				won, winner := a, base+1
				if gotB == 200 {
					won, winner = b, base+2
				}
				w.revision = winner
				w.changeConfiguration("after the cut", options{})
				if code := w.putConfiguration(ips[0]+":82", base, won); code != 200 {
					t.Errorf("a change taken earlier, sent again: %d", code)
				}
			})
		}
	}
}

// A core that is cut off for twenty seconds says nothing old, neither while it
// is cut off nor in the moment when the cut heals.
func TestIsolatedCorePublishesNoStaleState(t *testing.T) {
	for _, way := range []string{"both ways", "out", "in"} {
		runCluster(t, func(w *world) {
			plain := w.newService("plain", "z1", "z2")
			w.applyConfiguration(options{})
			lone, rest := []string{"10.3.0.1"}, []string{"10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2", "10.3.0.2", "10.1.0.3", "10.2.0.3", "10.3.0.3"}
			sever := func(yes bool) {
				if way != "in" {
					w.network.setBlocked(lone, rest, yes)
				}
				if way != "out" {
					w.network.setBlocked(rest, lone, yes)
				}
			}
			news := func() (page string, status int) { // as a node that starts asks for it
				a, err := w.request("10.3.0.1:7100", &httpwire.Call{Method: "POST", Target: "/news", Host: "10.3.0.1", Body: []byte(`{"wait-ms":0,"role":"store"}`)}, time.Second)
				if err != nil {
					return "", 0
				}
				return string(a.Body), a.Status
			}
			if _, status := news(); status != 200 {
				t.Fatalf("news before the cut: %d", status)
			}
			sever(true)
			time.Sleep(2 * time.Second) // contact-ms/2
			w.changeConfiguration("during the cut", options{maxAttempts: 9})
			leaver := plain.instances["plain-i0"]
			leaver.cancel()
			w.waitFor(5*time.Second, "the leaving is acknowledged", func() bool { return plain.callCore("DELETE", leaver.id, "") == 200 })
			beat := func() int {
				a, err := w.request("10.3.0.1:82", &httpwire.Call{Method: "PUT", Target: "/v1/instances/" + leaver.id, Host: "10.3.0.1", Body: fmt.Appendf(nil,
					`{"service":"plain","address":%q,"zone":"z1","slots":2,"oper-state":"ready","call-seq":1}`, leaver.address)}, time.Second)
				if err != nil {
					return 0
				}
				return a.Status
			}
			for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
				if _, status := news(); status == 200 {
					t.Fatalf("cut off %s: it tells news", way)
				}
				if status := beat(); status == 200 {
					t.Fatalf("cut off %s: it takes beats", way)
				}
			}
			sever(false)
			var page string
			w.waitFor(10*time.Second, "news after the cut", func() bool {
				p, status := news()
				page = p
				return status == 200
			})
			var told struct {
				Events []struct {
					Key     string `json:"key"`
					Version struct {
						Major int64 `json:"major"`
					} `json:"version"`
					Value any `json:"value"`
				} `json:"events"`
			}
			if err := json.Unmarshal([]byte(page), &told); err != nil || len(told.Events) == 0 {
				t.Fatalf("the page cannot be read: %v %.200s", err, page)
			}
			for _, e := range told.Events {
				if e.Key == "configuration" && e.Version.Major != int64(w.revision) {
					t.Errorf("cut off %s: revision %d is told after the cut, %d is in force", way, e.Version.Major, w.revision)
				}
				if e.Key == "instance/"+leaver.id && e.Value != nil {
					t.Errorf("cut off %s: %s is told as there after the cut: %v", way, leaver.id, e.Value)
				}
			}
		})
	}
}

func TestIsolatedTailServesNoStaleRead(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		s, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		tail := s.View.Members[2].Address[:8] // the address without its port
		old := w.configuration(w.revision, options{})
		w.network.isolate(tail, true)
		w.revision++
		w.waitFor(8*time.Second, "a revision without the tail", func() bool {
			return w.operator().PutConfiguration(context.Background(), w.configuration(w.revision, options{}), int64(w.revision-1)) == nil
		})
		// Only clients reach it again at first: the others stay cut off from it.
		for _, ip := range []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"} {
			w.network.isolate(ip, ip != tail)
		}
		for range 5 {
			a, err := w.request(tail+":82", &httpwire.Call{Method: "GET", Target: "/v1/configuration", Host: tail}, time.Second)
			if err == nil && a.Status == 200 && bytes.Equal(a.Body, old) {
				t.Fatal("the former tail answers with an old configuration")
			}
		}
	})
}

func TestIsolatedControllerIsReplacedAndFenced(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		before, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, z := range zones { // whichever holds the duty, a store is lost while it is cut off
			ip := w.machines["core-"+z].ip
			w.network.isolate(ip, true)
			victim := "store-" + zones[(i+1)%3]
			w.withTraffic(plain, func() {
				time.Sleep(time.Second)
				w.killMachine(victim)
				time.Sleep(6 * time.Second)
			})
			w.network.isolate(ip, false)
			w.startMachine(victim, false)
			time.Sleep(6 * time.Second)
		}
		after, err := w.status()
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range after.Placement.Partitions {
			if p.Epoch <= before.Placement.Partitions[i].Epoch || !p.InSync(1) {
				t.Errorf("partition %d: %+v, before %+v", i, p, before.Placement.Partitions[i])
			}
		}
		if len(after.View.Members) != 3 {
			t.Errorf("view: %+v", after.View)
		}
	})
}

// A core that is cut off from the others sends callers to where they are
// answered, and tells apart what it could not even send.
func TestIsolatedCoreRedirectsCallers(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		lone, rest := w.coreAddresses[1:2], []string{w.coreAddresses[0], w.coreAddresses[2]} // the view goes from the first to the third
		w.network.setBlocked(lone, rest, true)
		w.network.setBlocked(rest, lone, true)
		time.Sleep(2500 * time.Millisecond)
		raw := w.configuration(w.revision+1, options{maxAttempts: 4})
		for _, call := range []httpwire.Call{
			{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(w.revision)}, Body: raw},
			{Method: "GET", Target: "/v1/configuration"}, {Method: "GET", Target: "/v1/status"}, {Method: "POST", Target: "/v1/retire/nowhere?x=1"},
		} {
			call.Host = lone[0] + ":82"
			began := time.Now()
			a, err := w.request(call.Host, &call, time.Second)
			to := "10.1.0.1:82"
			if call.Method == "GET" {
				to = "10.3.0.1:82"
			}
			if err != nil || a.Status != 307 || a.Header.Get("Location") != "http://"+to+call.Target {
				t.Errorf("%s %s: %+v %v", call.Method, call.Target, a, err)
			}
			if took := time.Since(began); took > 700*time.Millisecond {
				t.Errorf("%s %s: answered after %v", call.Method, call.Target, took)
			}
		}
		op := w.operator()
		op.Controls = []string{lone[0] + ":82"}
		w.waitFor(5*time.Second, "the change is taken by way of the lone core", func() bool {
			return op.PutConfiguration(context.Background(), raw, int64(w.revision)) == nil
		})
		w.network.setBlocked(lone, rest, false)
		w.network.setBlocked(rest, lone, false)
		w.waitFor(8*time.Second, "all three are in the view", func() bool { m, _ := w.viewSize(); return m == 3 })
		// Where nothing listens, nobody is sent. The first order may have gone out
		// on a connection that was kept; what comes next certainly goes nowhere.
		w.killMachine("core-z1")
		w.killMachine("core-z3")
		for _, want := range [][]int{{503, 504}, {503}, {503}} {
			if code := w.putConfiguration(lone[0]+":82", w.revision+1, w.configuration(w.revision+2, options{})); !slices.Contains(want, code) {
				t.Errorf("with no other core: %d", code)
			}
		}
		w.startMachine("core-z1", false)
		w.startMachine("core-z3", false)
		w.verifyConfiguration("after all that", raw)
	})
}

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// put sends the next configuration to one core and tells its answer.
func (w *world) putConfiguration(control string, match int, raw []byte) int {
	a, err := w.request(control, &httpwire.Call{Method: "PUT", Target: "/v1/configuration", Host: control,
		Header: []string{"If-Match", fmt.Sprint(match)}, Body: raw}, time.Second)
	if err != nil {
		return 0
	}
	return a.Status
}

// change puts a configuration in force, whichever core takes it.
func (w *world) changeConfiguration(what string, o options) []byte {
	w.t.Helper()
	w.revision++
	raw := w.configuration(w.revision, o)
	w.waitFor(8*time.Second, "a revision "+what, func() bool {
		return w.operator().PutConfiguration(context.Background(), raw, int64(w.revision-1)) == nil
	})
	return raw
}

func (w *world) verifyConfiguration(what string, want []byte) {
	w.t.Helper()
	w.waitFor(8*time.Second, "reading back "+what, func() bool {
		raw, err := w.operator().Get(context.Background(), "/v1/configuration")
		if err == nil && !bytes.Equal(raw, want) {
			w.t.Fatalf("%s: another configuration is read back", what)
		}
		return err == nil
	})
}

// cores are the cores in the view and the voters, as the tail tells them.
func (w *world) viewSize() (members, voters int) {
	s, err := w.status()
	if err != nil {
		return 0, 0
	}
	return len(s.View.Members), len(s.View.Voters)
}

func TestTombstoneSurvivesRestartOfAllCores(t *testing.T) {
	for _, gone := range []bool{false, true} {
		runCluster(t, func(w *world) {
			plain := w.newService("plain", "z1", "z2")
			w.applyConfiguration(options{})
			leaver := plain.instances["plain-i0"]
			plain.mu.Lock()
			leaver.state = "draining"
			plain.mu.Unlock()
			if gone {
				leaver.cancel() // it beats no more
				if code := plain.callCore("DELETE", leaver.id, ""); code != 200 {
					t.Fatalf("DELETE: %d", code)
				}
			} else if !plain.heartbeat(leaver) {
				t.Fatal("the draining is not acknowledged")
			}
			acked := time.Now()
			for _, z := range zones {
				w.killMachine("core-" + z)
			}
			time.Sleep(500 * time.Millisecond)
			for _, z := range zones {
				w.startMachine("core-"+z, false)
			}
			// A beat from before the leaving comes late, to each of the cores.
			w.waitFor(5*time.Second, "beats are taken again", func() bool {
				return plain.callCore("PUT", leaver.id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"z1","slots":2,"oper-state":"ready","call-seq":1}`, leaver.address)) == 200
			})
			if code := plain.callCore("DELETE", "nobody-knows", ""); code != 200 {
				t.Errorf("DELETE of an unknown instance: %d", code)
			}
			plain.callCore("PUT", "nobody-knows", `{"service":"plain","address":"10.20.99.1:90","zone":"z1","slots":2,"oper-state":"ready","call-seq":7}`)
			time.Sleep(time.Until(acked.Add(3 * time.Second)))
			w.withTraffic(plain, func() { time.Sleep(3 * time.Second) })
			for _, d := range plain.received() {
				if d.instance == leaver.id && d.startedAt.Sub(acked) > 3*time.Second {
					t.Fatalf("gone %v: delivered to the leaver %v after the acknowledgement", gone, d.startedAt.Sub(acked))
				}
			}
			s, err := w.status()
			for _, h := range s.Handlers {
				if h.ID == "nobody-knows" || h.ID == leaver.id && h.State == "ready" {
					t.Errorf("%s is back: %+v, %v", h.ID, h, err)
				}
			}
		})
	}
}

func TestEveryInitialCoreCanBeReplaced(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1")
		w.applyConfiguration(options{})
		for round, z := range zones {
			w.killMachine("core-" + z)
			time.Sleep(1500 * time.Millisecond)
			ip := fmt.Sprintf("10.%d.0.9", round+1)
			w.addMachine("core-new-"+z, "core", z, ip, false)
			w.replaceCoreAddress(round, ip)
			w.waitFor(8*time.Second, "the new core votes in place of core-"+z, func() bool {
				m, v := w.viewSize()
				return m == 3 && v == 3
			})
			w.verifyConfiguration("after core-"+z, w.changeConfiguration("without core-"+z, options{maxAttempts: round + 2}))
		}
		// The next loss is borne again, and a disk lost at the same address too.
		w.killMachine("core-new-z1")
		want := w.changeConfiguration("after another loss", options{maxAttempts: 7})
		w.wipeDisk("core-new-z1")
		w.startMachine("core-new-z1", false)
		w.waitFor(8*time.Second, "the wiped core votes again", func() bool {
			m, v := w.viewSize()
			return m == 3 && v == 3
		})
		w.killMachine("core-new-z2")
		w.verifyConfiguration("after a wipe and a loss", want)
		w.startMachine("core-new-z2", false)
		w.withTraffic(plain, func() { time.Sleep(2 * time.Second) })
	})
}

func TestCoreWithWipedDiskDoesNotLeadAfterPowerLoss(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z2")
		w.applyConfiguration(options{})
		want := w.changeConfiguration("before the loss", options{maxAttempts: 5})
		for name, m := range w.machines {
			if m.role == "core" || m.role == "store" {
				w.killMachine(name)
			}
		}
		s := "core-z1" // the founders are in order of their addresses: the head
		w.wipeDisk(s)
		w.wipeDisk("store-z3")
		w.startMachine(s, false) // it comes back first, and alone
		w.startMachine("store-z3", false)
		time.Sleep(1500 * time.Millisecond)
		if code := w.putConfiguration("10.1.0.1:82", 0, w.configuration(1, options{})); code == 200 || code == 412 {
			t.Errorf("the empty core answers the operator with %d", code)
		}
		began := time.Now()
		for _, name := range []string{"core-z2", "core-z3", "store-z1", "store-z2"} {
			w.startMachine(name, false)
		}
		w.verifyConfiguration("after the loss", want)
		w.waitFor(10*time.Second, "messages are taken again", func() bool { return w.sendMessage("z1", "/plain/", w.newID()).Status == 202 })
		took := time.Since(began)
		t.Logf("serving after %v", took)
		if took > 1500*time.Millisecond {
			t.Errorf("serving after %v", took)
		}
		w.withTraffic(plain, func() { time.Sleep(2 * time.Second) })
	})
}

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

func TestTwoSimultaneousHostFailuresAreTolerated(t *testing.T) {
	runClusterWith(t, 2, 2, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		w.waitFor(10*time.Second, "all cores vote", func() bool { m, v := w.viewSize(); return m == 6 && v == 6 })
		names := map[string]string{}
		for i := range 60 {
			id := fmt.Sprintf("k%d", i)
			names[id] = w.sendUntilAccepted(zones[i%3], "/plain/", id, "Saltreel-Delay-Ms", "20000")
		}
		var want []byte
		w.withTraffic(plain, func() {
			for _, pair := range [][2]string{{"z1", "z11"}, {"z2", "z31"}} {
				for _, z := range pair {
					w.killMachine("store-" + z)
					w.wipeDisk("store-" + z)
					w.killMachine("core-" + z)
				}
				time.Sleep(2 * time.Second)
				want = w.changeConfiguration("without "+strings.Join(pair[:], " and "), options{maxAttempts: 4})
				for _, z := range pair {
					w.startMachine("store-"+z, false)
					w.wipeDisk("core-" + z)
					w.startMachine("core-"+z, false)
				}
				w.waitFor(10*time.Second, "all copies are in step and all cores vote", func() bool {
					s, err := w.status()
					ok := err == nil && len(s.View.Members) == 6 && len(s.View.Voters) == 6
					for _, p := range s.Placement.Partitions {
						ok = ok && p.InSync(2)
					}
					return ok
				})
			}
		})
		w.verifyConfiguration("after two losses, twice", want)
		for id, name := range names {
			w.waitForState(name, "complete seal-"+id, 30*time.Second)
			if n := plain.deliveryCount(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	})
}

// A leaving that two of three voters keep is known after the third one's only
// neighbour that knows it was replaced and the other one is lost.
func TestTombstoneSurvivesReplacementOfItsVoters(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2")
		w.applyConfiguration(options{})
		w.network.setBlocked([]string{"10.1.0.1"}, []string{"10.3.0.1"}, true) // the head does not reach the tail but through the chain
		w.network.setBlocked([]string{"10.3.0.1"}, []string{"10.1.0.1"}, true)
		leaver := plain.instances["plain-i0"]
		leaver.cancel()
		a, err := w.request("10.1.0.1:82", &httpwire.Call{Method: "DELETE", Target: "/v1/instances/" + leaver.id, Host: "10.1.0.1:82"}, time.Second)
		if err != nil || a.Status != 200 {
			t.Fatalf("DELETE: %+v, %v", a, err)
		}
		w.killMachine("core-z1")
		w.addMachine("core-new", "core", "z1", "10.1.0.9", false)
		w.replaceCoreAddress(0, "10.1.0.9")
		w.waitFor(10*time.Second, "the new core votes in place of the head", func() bool {
			s, err := w.status()
			return err == nil && len(s.View.Voters) == 3 && strings.Contains(fmt.Sprint(s.View.Voters), "10.1.0.9")
		})
		w.killMachine("core-z2")
		w.waitFor(10*time.Second, "beats are taken again", func() bool {
			return plain.callCore("PUT", leaver.id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"z1","slots":2,"oper-state":"ready","call-seq":1}`, leaver.address)) == 200
		})
		time.Sleep(2 * time.Second)
		s, err := w.status()
		for _, h := range s.Handlers {
			if h.ID == leaver.id {
				t.Errorf("%s is back: %+v, %v", h.ID, h, err)
			}
		}
	})
}

// What is kept by majority is kept by the voters that are in force: one that
// asks in the name of those before is refused.
func TestVotersRejectStaleQuorumEpoch(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		keep := func(ip string, electorate int64, id string) (string, error) {
			var out struct {
				Disk string `json:"disk"`
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			err := w.client.Call(ctx, ip+":7100", "/exchange", map[string]any{"from": "10.9.0.1", "keep": electorate,
				"items": []any{map[string]any{"key": "instance/" + id, "version": map[string]any{"major": int64(1) << 61}, "value": nil}}}, nil, &out)
			return out.Disk, err
		}
		if _, err := keep("10.2.0.1", 0, "x1"); err != nil {
			t.Fatalf("for the founders: %v", err)
		}
		w.killMachine("core-z1")
		time.Sleep(1500 * time.Millisecond)
		w.addMachine("core-new", "core", "z1", "10.1.0.9", false)
		w.replaceCoreAddress(0, "10.1.0.9")
		var electorate int64
		w.waitFor(10*time.Second, "the voters have changed", func() bool {
			s, err := w.status()
			electorate = s.View.QuorumEpoch
			return err == nil && electorate > 0
		})
		for _, ip := range []string{"10.1.0.9", "10.2.0.1", "10.3.0.1"} {
			w.waitFor(time.Second, ip+" keeps for the voters in force", func() bool {
				_, err := keep(ip, electorate, "x2")
				return err == nil
			})
			if _, err := keep(ip, 0, "x3"); rpc.StatusCode(err) != 409 {
				t.Errorf("%s keeps for the founders: %v", ip, err)
			}
		}
	})
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

// A handler's later beats go to the core of its zone as long as that one is
// there, and whichever core it asks names the same one.
func TestHeartbeatTargetIsNearestAvailableCore(t *testing.T) {
	runCluster(t, func(w *world) {
		target := func(control string) string {
			a, err := w.request(control, &httpwire.Call{Method: "PUT", Target: "/v1/instances/x1", Host: control, Body: fmt.Appendf(nil,
				`{"service":"plain","address":"10.20.1.1:90","zone":"z2","slots":2,"oper-state":"ready","call-seq":%d}`, time.Now().UnixMilli())}, time.Second)
			var out struct {
				Target string `json:"keepalive-target"`
			}
			if err != nil || a.Status != 200 || json.Unmarshal(a.Body, &out) != nil {
				return ""
			}
			return out.Target
		}
		for _, c := range w.controlAddresses() {
			w.waitFor(3*time.Second, c+" names the core of the zone", func() bool { return target(c) == "10.2.0.1:82" })
		}
		w.killMachine("core-z2")
		time.Sleep(2 * time.Second)
		for _, c := range []string{"10.1.0.1:82", "10.3.0.1:82"} {
			w.waitFor(3*time.Second, c+" names itself", func() bool { return target(c) == c })
		}
		w.startMachine("core-z2", false)
		w.waitFor(5*time.Second, "the core of the zone is named again", func() bool { return target("10.1.0.1:82") == "10.2.0.1:82" && target("10.2.0.1:82") == "10.2.0.1:82" })
	})
}

// A core whose process is gone is missed at once: its machine says so.
func TestWritesResumeSoonAfterCoreCrash(t *testing.T) {
	for _, z := range zones {
		runCluster(t, func(w *world) {
			w.applyConfiguration(options{})
			time.Sleep(2 * time.Second)
			w.killMachine("core-" + z)
			began := time.Now()
			w.changeConfiguration("without core-"+z, options{maxAttempts: 5})
			took := time.Since(began)
			t.Logf("core-%s killed: an order is acknowledged after %v", z, took)
			if took > 1200*time.Millisecond { // contact-ms is 4 s
				t.Errorf("core-%s killed: an order is acknowledged after %v", z, took)
			}
		})
	}
}

// One core alone is a system too, where nothing need be borne.
func TestSingleCoreServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: newNetwork(), machines: map[string]*machine{}, dataPath: t.TempDir(), coreAddresses: []string{"10.1.0.1"}}
		w.clientProcess = &process{network: w.network, ip: "10.9.0.1"}
		w.client = rpc.NewClient(&httpwire.Pool{Network: w.clientProcess.httpNetwork()})
		w.addMachine("core-z1", "core", "z1", "10.1.0.1", true)
		defer func() {
			w.machines["core-z1"].cancel()
			w.goroutines.Wait()
		}()
		for _, life := range []string{"first", "second"} {
			want := w.changeConfiguration("in the "+life+" life", options{})
			w.verifyConfiguration("in the "+life+" life", want)
			w.waitFor(5*time.Second, "a beat is taken in the "+life+" life", func() bool {
				a, err := w.request("10.1.0.1:82", &httpwire.Call{Method: "PUT", Target: "/v1/instances/x1", Host: "10.1.0.1:82", Body: fmt.Appendf(nil,
					`{"service":"plain","address":"10.20.1.1:90","zone":"z1","slots":2,"oper-state":"ready","call-seq":%d}`, time.Now().UnixMilli())}, time.Second)
				return err == nil && a.Status == 200
			})
			w.killMachine("core-z1")
			w.startMachine("core-z1", false)
		}
	})
}

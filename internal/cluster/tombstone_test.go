package cluster

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

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

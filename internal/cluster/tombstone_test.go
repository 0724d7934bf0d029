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

// A draining or deregistered handler remains so after a crash of all cores, even if
// an old heartbeat arrives late. The tombstone of an instance that was never registered
// persists as well.
func TestTombstoneSurvivesRestartOfAllCores(t *testing.T) {
	for _, deregister := range []bool{false, true} {
		runCluster(t, func(w *world) {
			plain := w.newService("plain", "z1", "z2")
			w.applyConfiguration(options{})
			departing := plain.instances["plain-i0"]
			plain.drainOrDeregister(t, departing, deregister)
			acknowledgedAt := time.Now()
			for _, z := range zones {
				w.killMachine("core-" + z)
			}
			time.Sleep(500 * time.Millisecond)
			for _, z := range zones {
				w.startMachine("core-"+z, false)
			}
			w.waitFor(5*time.Second, "heartbeats are accepted again", func() bool { return plain.sendStaleHeartbeat(departing) == 200 })
			if code := plain.callCore("DELETE", "nobody-knows", ""); code != 200 {
				t.Errorf("DELETE of an unknown instance: status %d, want 200", code)
			}
			plain.callCore("PUT", "nobody-knows", `{"service":"plain","address":"10.20.99.1:90","zone":"z1","slots":2,"oper-state":"ready","call-seq":7}`)
			time.Sleep(time.Until(acknowledgedAt.Add(3 * time.Second))) // drain-ms
			w.withTraffic(plain, func() { time.Sleep(3 * time.Second) })
			plain.verifyNoLateDelivery(t, departing.id, acknowledgedAt)
			s, err := w.status()
			for _, h := range s.Handlers {
				if h.ID == "nobody-knows" || h.ID == departing.id && h.State == "ready" {
					t.Errorf("deregister %v: %s is registered again: %+v, %v", deregister, h.ID, h, err)
				}
			}
		})
	}
}

// verifyNoLateDelivery checks that no delivery to an instance started more than
// drain-ms after its draining or deregistration was acknowledged.
func (s *service) verifyNoLateDelivery(t *testing.T, id string, acknowledgedAt time.Time) {
	t.Helper()
	for _, d := range s.received() {
		if d.instance == id && d.startedAt.Sub(acknowledgedAt) > 3*time.Second {
			t.Fatalf("%s: a delivery started %v after the acknowledgement", s.instances[id].state, d.startedAt.Sub(acknowledgedAt))
		}
	}
}

// drainOrDeregister reports an instance as draining, or stops and deregisters it.
func (s *service) drainOrDeregister(t *testing.T, in *instance, deregister bool) {
	t.Helper()
	s.mu.Lock()
	in.state = "draining"
	s.mu.Unlock()
	if !deregister {
		if !s.heartbeat(in) {
			t.Fatal("the heartbeat with state draining is not acknowledged")
		}
		return
	}
	in.cancel() // stops its heartbeats
	if code := s.callCore("DELETE", in.id, ""); code != 200 {
		t.Fatalf("DELETE: status %d, want 200", code)
	}
}

// sendStaleHeartbeat sends a heartbeat of an instance in z1 with a lower sequence
// number than its others.
func (s *service) sendStaleHeartbeat(in *instance) int {
	return s.callCore("PUT", in.id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"z1","slots":2,"oper-state":"ready","call-seq":1}`, in.address))
}

// A tombstone stored by two of three voters survives the replacement of one of them
// followed by the loss of the other.
func TestTombstoneSurvivesReplacementOfItsVoters(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2")
		w.applyConfiguration(options{})
		// The head reaches the tail only through the chain.
		w.setPartition([]string{"10.1.0.1"}, []string{"10.3.0.1"}, bothDirections, true)
		departing := plain.instances["plain-i0"]
		departing.cancel()
		a, err := w.request("10.1.0.1:82", &httpwire.Call{Method: "DELETE", Target: "/v1/instances/" + departing.id, Host: "10.1.0.1:82"}, time.Second)
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
		w.waitFor(10*time.Second, "heartbeats are accepted again", func() bool { return plain.sendStaleHeartbeat(departing) == 200 })
		time.Sleep(2 * time.Second)
		s, err := w.status()
		for _, h := range s.Handlers {
			if h.ID == departing.id {
				t.Errorf("%s is registered again: %+v, %v", h.ID, h, err)
			}
		}
	})
}

// Voters store a tombstone only for the current quorum epoch and reject a request with
// an earlier one.
func TestVotersRejectStaleQuorumEpoch(t *testing.T) {
	runCluster(t, func(w *world) {
		w.applyConfiguration(options{})
		if err := w.storeTombstone("10.2.0.1", 0, "x1"); err != nil {
			t.Fatalf("in the first epoch: %v", err)
		}
		w.killMachine("core-z1")
		time.Sleep(1500 * time.Millisecond)
		w.addMachine("core-new", "core", "z1", "10.1.0.9", false)
		w.replaceCoreAddress(0, "10.1.0.9")
		var epoch int64
		w.waitFor(10*time.Second, "the voters have changed", func() bool {
			s, err := w.status()
			epoch = s.View.QuorumEpoch
			return err == nil && epoch > 0
		})
		for _, ip := range []string{"10.1.0.9", "10.2.0.1", "10.3.0.1"} {
			w.waitFor(time.Second, ip+" to store a tombstone for the current epoch", func() bool { return w.storeTombstone(ip, epoch, "x2") == nil })
			if err := w.storeTombstone(ip, 0, "x3"); rpc.StatusCode(err) != 409 {
				t.Errorf("%s: request with the first epoch: %v, want status 409", ip, err)
			}
		}
	})
}

// storeTombstone requests one core to store the tombstone of an instance for a quorum
// epoch.
func (w *world) storeTombstone(ip string, epoch int64, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var out struct {
		Disk string `json:"disk"`
	}
	return w.client.Call(ctx, ip+":7100", "/exchange", map[string]any{"from": "10.9.0.1", "keep": epoch,
		"items": []any{map[string]any{"key": "instance/" + id, "version": map[string]any{"major": int64(1) << 61}, "value": nil}}}, nil, &out)
}

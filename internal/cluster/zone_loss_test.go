package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// coreProcessorRate is the number of received bytes that a core processes per second.
// It is low for the state in this test: processing the whole registry takes longer than
// the timeout of one call that loads it.
const coreProcessorRate = 512 << 10

// A zone fails and recovers while the cores have little CPU capacity. The recovering
// core loads the state of the others with a bounded number of calls and rejoins, and
// retries do not overload the other cores.
func TestZoneRecoveryCausesNoRequestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		size := clusterSize{machines: 30, handlers: 400}
		w := newWorld(t, t.TempDir(), 1, "10.1.0.1", "10.2.0.1", "10.3.0.1")
		w.extraSettings = "fault-tolerance.zones=1\nfault-tolerance.region-failures=1\n"
		defer w.stopSizedCluster()
		roleOf := w.startSizedCluster(size)
		w.waitFor(20*time.Second, "the first placement", func() bool {
			s, err := w.status()
			return err == nil && len(s.Placement.Stores) == size.stores() && len(s.View.Members) == measuredCores
		})
		w.applyConfiguration(options{})
		handlers := w.startRoamingHandlers(size.handlers)
		time.Sleep(10 * time.Second)
		for ip, role := range roleOf {
			if role == "core" {
				w.network.setProcessor(ip, coreProcessorRate)
			}
		}
		const settleTime = 5 * time.Second // for the cores to return to normal load
		baseline := w.callsBetweenCores(roleOf, settleTime)
		lost := w.machinesOf("z3")
		for _, name := range lost {
			w.processOf(name).kill()
		}
		for _, name := range lost {
			w.killMachine(name)
		}
		time.Sleep(3 * time.Second)
		for _, name := range lost {
			w.startMachine(name, false)
		}
		time.Sleep(settleTime)
		after := w.callsBetweenCores(roleOf, settleTime)
		if after > baseline*3/2 {
			t.Errorf("calls between cores in %v: %d before the zone failure, %d after recovery, limit 1.5 times", settleTime, baseline, after)
		}
		if members, _ := w.viewSize(); members != measuredCores {
			t.Errorf("the view has %d members, want %d", members, measuredCores)
		}
		failures, ofLostCore := 0, size.handlers/len(zones)
		for _, h := range handlers {
			failures += int(h.failures.Load())
		}
		// One failed call for each handler of the lost core: no other core may redirect
		// a handler back to it. A quarter more is tolerated.
		if failures > ofLostCore*5/4 {
			t.Errorf("%d heartbeats failed; %d handlers sent theirs to the lost core", failures, ofLostCore)
		}
	})
}

// machinesOf returns the names of the platform's machines in a zone.
func (w *world) machinesOf(zone string) (names []string) {
	for name, m := range w.machines {
		if m.zone == zone && m.role != "" {
			names = append(names, name)
		}
	}
	return names
}

// callsBetweenCores counts the calls from cores to cores during the given time.
func (w *world) callsBetweenCores(roleOf map[string]string, duration time.Duration) int {
	var mu sync.Mutex
	calls := 0
	w.network.setObserver(func(c *conn, b []byte) {
		if _, isRequest := requestKind(c, b); isRequest && roleOf[c.owner.ip] == "core" && roleOf[c.peer.ip] == "core" {
			mu.Lock()
			defer mu.Unlock()
			calls++
		}
	})
	time.Sleep(duration)
	w.network.setObserver(nil)
	mu.Lock()
	defer mu.Unlock()
	return calls
}

// startRoamingHandlers starts n handlers that send their heartbeats to the target named
// in the last response, and to the next core after a failure.
func (w *world) startRoamingHandlers(n int) (handlers []*roamingHandler) {
	controls := w.controlAddresses()
	ctx, cancel := context.WithCancel(context.Background())
	w.machines["handlers"] = &machine{cancel: cancel}
	for i := range n {
		h := &roamingHandler{
			pool:     &httpwire.Pool{Network: (&process{network: w.network, ip: fmt.Sprintf("10.40.%d.%d", i/250, 1+i%250)}).httpNetwork()},
			controls: controls,
			target:   controls[i%len(controls)],
			id:       fmt.Sprintf("plain-%06d", i),
			body:     fmt.Sprintf(`{"service":"plain","address":"10.40.%d.%d:90","zone":%q,"revision":"v1","slots":2,"oper-state":"ready","call-seq":%%d}`, i/250, 1+i%250, zones[i%len(zones)]),
		}
		firstAfter := time.Duration(i) * handlerKeepalive / time.Duration(n)
		w.goroutines.Go(func() { h.run(ctx, firstAfter) })
		handlers = append(handlers, h)
	}
	return handlers
}

// handlerKeepalive is the heartbeat interval, keepalive-ms of the settings.
const handlerKeepalive = 1200 * time.Millisecond

// roamingHandler sends the heartbeats of one handler to changing cores.
type roamingHandler struct {
	pool     *httpwire.Pool
	controls []string
	target   string // the core that gets the next heartbeat
	id, body string
	failures atomic.Int64 // calls that were not acknowledged
}

func (h *roamingHandler) run(ctx context.Context, firstAfter time.Duration) {
	timer := time.NewTimer(firstAfter)
	for sequence := 1; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(handlerKeepalive)
		for range h.controls {
			if h.send(fmt.Sprintf(h.body, sequence)) {
				break
			}
			h.target = h.controls[int(h.failures.Add(1))%len(h.controls)]
		}
	}
}

// send sends one heartbeat and reports whether it was acknowledged.
func (h *roamingHandler) send(body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := h.pool.Do(ctx, h.target, &httpwire.Call{Method: "PUT", Target: "/v1/instances/" + h.id, Host: h.target, Body: []byte(body)})
	if err != nil || answer.Status != 200 {
		return false
	}
	var out struct {
		Target string `json:"keepalive-target"`
	}
	if json.Unmarshal(answer.Body, &out) == nil && out.Target != "" {
		h.target = out.Target
	}
	return true
}

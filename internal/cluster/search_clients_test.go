package cluster

// The simulated clients of the cores: operators that write the configuration,
// readers, and handlers that register, drain and deregister.

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"saltreel/internal/controlplane"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
)

// simulatedHandler is the state of a handler that sends heartbeats to the cores;
// no handler process runs.
type simulatedHandler struct {
	id      string
	callSeq int64
	state   string
}

// deregisteredState is the state of a simulatedHandler once it sends DELETE. It is
// never sent to a core.
const deregisteredState = "deregistered"

// deregistration records when a DELETE, or a change to draining, was acknowledged.
type deregistration struct{ acknowledgedAt time.Time }

// newWrite returns a write conditional on the latest known revision, or, if older
// is 3, on the one before it. Its revision is more+1 above that one.
func (s *simulation) newWrite(more, older int) *configurationWrite {
	s.mu.Lock()
	match := s.latestKnownRevision
	if older == 3 && match > 1 {
		match--
	}
	s.mu.Unlock()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	w := &configurationWrite{name: fmt.Sprintf("order-%d", len(s.history.writes)), ifMatch: match, revision: match + 1 + int64(more)}
	w.body = fmt.Appendf(nil, `{"revision":%d,"route-table":[],"service-table":[],"order":%q}`, w.revision, w.name)
	s.history.writes = append(s.history.writes, w)
	s.history.byBody[string(w.body)] = w
	return w
}

func (s *simulation) recordRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestKnownRevision = max(s.latestKnownRevision, revision)
}

// callCore sends one request to a core and follows up to two redirects. It
// returns status 0 if the outcome is unknown.
func (s *simulation) callCore(m *machine, c httpwire.Call) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addr := controlAddress(m)
	for range 3 {
		c.Host = addr
		a, err := s.clientPool.Do(ctx, addr, &c)
		if err != nil {
			return 0, nil
		}
		if a.Status == 307 {
			rest, _ := strings.CutPrefix(a.Header.Get("Location"), "http://")
			host, path, _ := strings.Cut(rest, "/")
			addr, c.Target = host, "/"+path
			continue
		}
		if a.Status >= 500 || a.Status == 408 || a.Status == 429 {
			return 0, a.Body
		}
		return a.Status, a.Body
	}
	return 0, nil
}

// sendWrite sends a write to the cores in turn until its outcome is known or the
// attempts are used up. It returns the status, 0 if the outcome is unknown.
func (s *simulation) sendWrite(w *configurationWrite, first, attempts int) int {
	backoff := 50 * time.Millisecond
	for attempt := range attempts {
		s.mu.Lock()
		m := s.cores[(first+attempt)%len(s.cores)]
		s.mu.Unlock()
		begin := s.history.tick()
		s.history.mu.Lock()
		w.firstSent = cmp.Or(w.firstSent, begin)
		s.history.mu.Unlock()
		code, body := s.callCore(m, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(w.ifMatch)}, Body: w.body})
		end := s.history.tick()
		s.logf("%s: revision %d, If-Match %d, sent to %s, ticks %d to %d: status %d %.120s", w.name, w.revision, w.ifMatch, m.name, begin, end, code, body)
		s.history.mu.Lock()
		switch {
		case code == 200:
			if w.acknowledged == 0 {
				w.acknowledged = end
				w.acknowledgedAt = time.Now()
			}
		case code != 0:
			w.rejections = append(w.rejections, invocation{begin, end, code})
		}
		contradictory := w.acknowledged > 0 && len(w.rejections) > 0
		s.history.mu.Unlock()
		switch {
		case contradictory:
			s.fail("rejection", "%s was both acknowledged and rejected: status %d from %s: %s", w.name, code, m.name, body)
		case code == 200:
			s.recordRevision(w.revision)
			s.fireTriggers(writeAcknowledged, nil, m.ip, m.ip)
			return code
		case code == 412:
			s.recordConflict(body)
			return code
		case code != 0:
			s.fail("rejection", "%s rejected with status %d by %s: %s", w.name, code, m.name, body)
			return code
		}
		if s.hasFailed() {
			return 0
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return 0
}

// recordConflict records the current revision stated in the body of a 412.
func (s *simulation) recordConflict(body []byte) {
	words := strings.Fields(strings.TrimPrefix(string(body), `{"error-text":"revision `) + " 0")
	if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
		s.recordRevision(n)
	}
}

// readConfiguration reads the configuration from one core and adds the result to
// the history. It returns false if there was no valid response.
func (s *simulation) readConfiguration(m *machine) bool {
	begin := s.history.tick()
	code, body := s.callCore(m, httpwire.Call{Method: "GET", Target: "/v1/configuration"})
	r := configurationRead{invocation{begin, s.history.tick(), code}, "", m.name}
	switch code {
	case 0:
		return false
	case 404:
	case 200:
		w := s.findWrite(body)
		if w == nil {
			s.fail("history", "%s returned a configuration that no operator sent: %s", m.name, body)
			return false
		}
		r.writeName = w.name
		s.recordRevision(w.revision)
	default:
		s.fail("rejection", "read from %s rejected with status %d: %s", m.name, code, body)
		return false
	}
	s.logf("%q read from %s, ticks %d to %d", r.writeName, m.name, r.begin, r.end)
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.reads = append(s.history.reads, r)
	return true
}

func (s *simulation) findWrite(raw []byte) *configurationWrite {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return s.history.byBody[string(raw)]
}

func (s *simulation) statusOf(m *machine) (o controlplane.Overview, err error) {
	code, body := s.callCore(m, httpwire.Call{Method: "GET", Target: "/v1/status"})
	if code != 200 {
		return o, fmt.Errorf("unexpected status %d: %s", code, body)
	}
	return o, json.Unmarshal(body, &o)
}

// handlerCall is a request that a handler sends to the cores in one step.
type handlerCall struct {
	handler       *simulatedHandler
	number        int // index of the handler
	method, state string
	stale         bool // a delayed heartbeat, with the lowest call sequence number
}

// startHandlerCall starts a handler's request to the cores. The returned channel is
// closed once it is acknowledged or its attempts are used up.
func (s *simulation) startHandlerCall(x step) <-chan struct{} {
	done := make(chan struct{})
	call := s.newHandlerCall(x)
	s.clientOps.Go(func() {
		defer close(done)
		for attempt := range 1 + x.B {
			if s.sendHandlerCall(call, x.A+attempt) || s.hasFailed() {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return done
}

// newHandlerCall updates the state of a handler as the step requires and returns
// the request to send. A heartbeat after a deregistration registers a new ID.
func (s *simulation) newHandlerCall(x step) *handlerCall {
	n := x.N % 3
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handlers[n]
	if h == nil || h.state == deregisteredState && x.Kind == stepHeartbeat {
		h = &simulatedHandler{id: fmt.Sprintf("handler-%d-%d", n, s.nextMachine+int(time.Since(s.startedAt).Milliseconds())), state: handler.Ready}
		s.handlers[n] = h
	}
	call := &handlerCall{handler: h, number: n, method: "PUT", state: h.state, stale: x.Kind == stepStaleHeartbeat}
	switch x.Kind {
	case stepDrain:
		if h.state == handler.Ready {
			h.state = handler.Draining
		}
		call.state = h.state
	case stepDeregister:
		h.state = deregisteredState
		call.state = deregisteredState
	case stepStaleHeartbeat:
		call.state = handler.Ready
	}
	if call.state == deregisteredState {
		call.method = "DELETE"
	}
	return call
}

// sendHandlerCall sends a request to one core and reports whether it was
// acknowledged.
func (s *simulation) sendHandlerCall(call *handlerCall, core int) bool {
	h := call.handler
	s.mu.Lock()
	m := s.cores[core%len(s.cores)]
	seq := int64(1)
	if !call.stale {
		h.callSeq++
		seq = h.callSeq
	}
	s.mu.Unlock()
	c := httpwire.Call{Method: call.method, Target: "/v1/instances/" + h.id}
	if call.method == "PUT" {
		c.Body = fmt.Appendf(nil, `{"service":"plain","address":"10.20.0.%d:90","zone":"z1","revision":"v1","slots":2,"oper-state":%q,"call-seq":%d}`, call.number, call.state, seq)
	}
	code, body := s.callCore(m, c)
	s.logf("%s sends %s (call-seq %d) to %s: status %d %.80s", h.id, call.state, seq, m.name, code, body)
	if code/100 != 2 {
		if code != 0 {
			s.fail("rejection", "%s of %s rejected by %s with status %d: %s", call.method, h.id, m.name, code, body)
		}
		return false
	}
	if call.state != handler.Ready {
		s.mu.Lock()
		if s.deregistered[h.id] == nil {
			s.deregistered[h.id] = &deregistration{time.Now()}
		}
		s.mu.Unlock()
		s.fireTriggers(deregistrationAcknowledged, nil, m.ip, m.ip)
	}
	return true
}

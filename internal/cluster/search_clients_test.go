package cluster

// The clients of the cores: operators who write, readers, and handlers that
// register, drain and deregister.

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

// simulatedHandler is a handler as the cores see it.
type simulatedHandler struct {
	id      string
	callSeq int64
	state   string
}

// deregisteredState is the state of a simulatedHandler that has sent its DELETE.
const deregisteredState = "gone"

// deregistration is an acknowledged one, or an acknowledged change to draining.
type deregistration struct{ acknowledgedAt time.Time }

// newWrite makes a write on top of the newest revision that is known, or of the
// one before.
func (s *simulation) newWrite(more, older int) *configurationWrite {
	s.mu.Lock()
	match := s.latestKnownRevision
	if older == 3 && match > 1 {
		match--
	}
	s.mu.Unlock()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	o := &configurationWrite{name: fmt.Sprintf("order-%d", len(s.history.writes)), ifMatch: match, revision: match + 1 + int64(more)}
	o.body = fmt.Appendf(nil, `{"revision":%d,"route-table":[],"service-table":[],"order":%q}`, o.revision, o.name)
	s.history.writes = append(s.history.writes, o)
	s.history.byBytes[string(o.body)] = o
	return o
}

func (s *simulation) noteRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestKnownRevision = max(s.latestKnownRevision, revision)
}

// callCore sends one request to a core and follows two redirects; it returns 0
// where the outcome is unknown.
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

// sendWrite sends a write to one core after the other until its outcome is
// known, for a number of attempts at most. It returns the status, 0 where the
// outcome is unknown.
func (s *simulation) sendWrite(o *configurationWrite, first, attempts int) int {
	backoff := 50 * time.Millisecond
	for attempt := range attempts {
		s.mu.Lock()
		m := s.cores[(first+attempt)%len(s.cores)]
		s.mu.Unlock()
		begin := s.history.tick()
		s.history.mu.Lock()
		o.firstSent = cmp.Or(o.firstSent, begin)
		s.history.mu.Unlock()
		code, body := s.callCore(m, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(o.ifMatch)}, Body: o.body})
		end := s.history.tick()
		s.logf("%s: %d on %d, to %s from %d to %d: %d %.120s", o.name, o.revision, o.ifMatch, m.name, begin, end, code, body)
		s.history.mu.Lock()
		switch {
		case code == 200:
			if o.acknowledged == 0 {
				o.acknowledged = end
				o.acknowledgedAt = time.Now()
			}
		case code != 0:
			o.rejections = append(o.rejections, invocation{begin, end, code})
		}
		both := o.acknowledged > 0 && len(o.rejections) > 0
		s.history.mu.Unlock()
		switch {
		case both:
			s.fail("rejection", "%s is both acknowledged and rejected: %d from %s: %s", o.name, code, m.name, body)
		case code == 200:
			s.noteRevision(o.revision)
			s.fireTriggers("acked", nil, m.ip, m.ip)
			return code
		case code == 412:
			s.noteConflict(body)
			return code
		case code != 0:
			s.fail("rejection", "%s is rejected with %d by %s: %s", o.name, code, m.name, body)
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

// noteConflict takes the revision in force from the text of a 412.
func (s *simulation) noteConflict(body []byte) {
	words := strings.Fields(strings.TrimPrefix(string(body), `{"error-text":"revision `) + " 0")
	if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
		s.noteRevision(n)
	}
}

// readConfiguration reads the configuration from one core and records what was
// read; false without an answer.
func (s *simulation) readConfiguration(m *machine) bool {
	begin := s.history.tick()
	code, body := s.callCore(m, httpwire.Call{Method: "GET", Target: "/v1/configuration"})
	r := configurationRead{invocation{begin, s.history.tick(), code}, "", m.name}
	switch code {
	case 0:
		return false
	case 404:
	case 200:
		o := s.findWrite(body)
		if o == nil {
			s.fail("history", "%s answers with a configuration that nobody sent: %s", m.name, body)
			return false
		}
		r.writeName = o.name
		s.noteRevision(o.revision)
	default:
		s.fail("rejection", "a read at %s is rejected with %d: %s", m.name, code, body)
		return false
	}
	s.logf("%s is read at %s from %d to %d", r.writeName, m.name, r.begin, r.end)
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.reads = append(s.history.reads, r)
	return true
}

func (s *simulation) findWrite(raw []byte) *configurationWrite {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return s.history.byBytes[string(raw)]
}

func (s *simulation) statusOf(m *machine) (o controlplane.Overview, err error) {
	code, body := s.callCore(m, httpwire.Call{Method: "GET", Target: "/v1/status"})
	if code != 200 {
		return o, fmt.Errorf("answered %d %s", code, body)
	}
	return o, json.Unmarshal(body, &o)
}

// handlerCall is one call of a handler, as a step of a schedule asks for it.
type handlerCall struct {
	handler       *simulatedHandler
	number        int // of the handler
	method, state string
	stale         bool // a heartbeat from before all others
}

// handlerStep has a handler call the cores; the channel is closed when it was
// answered.
func (s *simulation) handlerStep(x step) <-chan struct{} {
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

// newHandlerCall moves a handler to the state that a step says. A handler that
// is deregistered comes back under another ID.
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

// sendHandlerCall sends a call to one core and reports whether it was
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
	s.logf("%s says %s (%d) to %s: %d %.80s", h.id, call.state, seq, m.name, code, body)
	if code/100 != 2 {
		if code != 0 {
			s.fail("rejection", "a heartbeat is rejected with %d: %s", code, body)
		}
		return false
	}
	if call.state != handler.Ready {
		s.mu.Lock()
		if s.deregistered[h.id] == nil {
			s.deregistered[h.id] = &deregistration{time.Now()}
		}
		s.mu.Unlock()
		s.fireTriggers("left", nil, m.ip, m.ip)
	}
	return true
}

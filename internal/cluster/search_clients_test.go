package cluster

// Those who ask the cores: operators who send orders, readers, and handlers that
// come and leave.

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

// caller is one handler, from outside.
type simulatedHandler struct {
	id      string
	callSeq int64
	state   string
}

// leaving is an instance whose leaving was acknowledged.
type deregistration struct{ acknowledgedAt time.Time }

// next makes a change on top of the newest revision that is known, or of an
// older one.
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

// call sends one request to a core and follows 307 twice; 0 is no clear answer.
func (s *simulation) callCore(m *machine, limit time.Duration, c httpwire.Call) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// send brings an order to one core after another, until there is a clear
// answer, but no more than some times.
func (s *simulation) sendWrite(o *configurationWrite, first, tries int, limit time.Duration) int {
	pause := 50 * time.Millisecond
	for try := range tries {
		s.mu.Lock()
		m := s.cores[(first+try)%len(s.cores)]
		s.mu.Unlock()
		from := s.history.tick()
		s.history.mu.Lock()
		o.firstSent = cmp.Or(o.firstSent, from)
		s.history.mu.Unlock()
		code, body := s.callCore(m, limit, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(o.ifMatch)}, Body: o.body})
		to := s.history.tick()
		s.logf("%s: %d on %d, to %s from %d to %d: %d %.120s", o.name, o.revision, o.ifMatch, m.name, from, to, code, body)
		s.history.mu.Lock()
		switch {
		case code == 200:
			if o.acknowledged == 0 {
				o.acknowledged, o.acknowledgedAt = to, time.Now()
			}
		case code != 0:
			o.rejections = append(o.rejections, invocation{from, to, code})
		}
		both := o.acknowledged > 0 && len(o.rejections) > 0
		s.history.mu.Unlock()
		switch {
		case both:
			s.fail("refused", "%s is both acknowledged and refused: %d from %s: %s", o.name, code, m.name, body)
		case code == 200:
			s.noteRevision(o.revision)
			s.fireTriggers("acked", nil, m.ip, m.ip)
			return code
		case code == 412:
			if n, err := strconv.ParseInt(strings.Fields(strings.TrimPrefix(string(body), `{"error-text":"revision `) + " 0")[0], 10, 64); err == nil {
				s.noteRevision(n)
			}
			return code
		case code != 0:
			s.fail("refused", "%s is refused with %d by %s: %s", o.name, code, m.name, body)
			return code
		}
		if s.hasFailed() {
			return 0
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// read gets the configuration from one core.
func (s *simulation) readConfiguration(m *machine) bool {
	from := s.history.tick()
	code, body := s.callCore(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/configuration"})
	r := configurationRead{invocation{from, s.history.tick(), code}, "", m.name}
	switch code {
	case 0:
		return false
	case 404:
	case 200:
		o := s.findWrite(body)
		if o == nil {
			s.fail("history", "%s tells a configuration that nobody sent: %s", m.name, body)
			return false
		}
		r.writeName = o.name
		s.noteRevision(o.revision)
	default:
		s.fail("refused", "a read at %s is refused with %d: %s", m.name, code, body)
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
	code, body := s.callCore(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/status"})
	if code != 200 {
		return o, fmt.Errorf("answered %d %s", code, body)
	}
	return o, json.Unmarshal(body, &o)
}

// beat has a handler say something; the channel is closed when it was answered.
func (s *simulation) handlerStep(x step) <-chan struct{} {
	done := make(chan struct{})
	n := x.N % 3
	s.mu.Lock()
	h := s.handlers[n]
	if h == nil || h.state == "gone" && x.Kind == stepHeartbeat {
		h = &simulatedHandler{id: fmt.Sprintf("handler-%d-%d", n, s.nextMachine+int(time.Since(s.startedAt).Milliseconds())), state: handler.Ready}
		s.handlers[n] = h
	}
	state, method := h.state, "PUT"
	switch x.Kind {
	case stepDrain:
		if h.state == handler.Ready {
			h.state = handler.Draining
		}
		state = h.state
	case stepDeregister:
		h.state, state, method = "gone", "gone", "DELETE"
	case stepStaleHeartbeat:
		state = handler.Ready
	}
	if state == "gone" {
		method = "DELETE"
	}
	late := x.Kind == stepStaleHeartbeat
	s.mu.Unlock()
	s.clientOps.Go(func() {
		defer close(done)
		for try := range 1 + x.B {
			s.mu.Lock()
			m := s.cores[(x.A+try)%len(s.cores)]
			seq := int64(1)
			if !late {
				h.callSeq++
				seq = h.callSeq
			}
			s.mu.Unlock()
			c := httpwire.Call{Method: method, Target: "/v1/instances/" + h.id}
			if method == "PUT" {
				c.Body = fmt.Appendf(nil, `{"service":"plain","address":"10.20.0.%d:90","zone":"z1","revision":"v1","slots":2,"oper-state":%q,"call-seq":%d}`, n, state, seq)
			}
			code, body := s.callCore(m, time.Second, c)
			s.logf("%s says %s (%d) to %s: %d %.80s", h.id, state, seq, m.name, code, body)
			if code/100 == 2 {
				if state != handler.Ready {
					s.mu.Lock()
					if s.deregistered[h.id] == nil {
						s.deregistered[h.id] = &deregistration{time.Now()}
					}
					s.mu.Unlock()
					s.fireTriggers("left", nil, m.ip, m.ip)
				}
				return
			}
			if code != 0 {
				s.fail("refused", "a beat is refused with %d: %s", code, body)
			}
			if s.hasFailed() {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return done
}

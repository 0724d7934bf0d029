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
type caller struct {
	id    string
	seq   int64
	state string
}

// leaving is an instance whose leaving was acknowledged.
type leaving struct{ at time.Time }

// next makes a change on top of the newest revision that is known, or of an
// older one.
func (s *search) next(more, older int) *order {
	s.mu.Lock()
	match := s.believed
	if older == 3 && match > 1 {
		match--
	}
	s.mu.Unlock()
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	o := &order{name: fmt.Sprintf("order-%d", len(s.hist.orders)), match: match, revision: match + 1 + int64(more)}
	o.raw = fmt.Appendf(nil, `{"revision":%d,"route-table":[],"service-table":[],"order":%q}`, o.revision, o.name)
	s.hist.orders = append(s.hist.orders, o)
	s.hist.byBytes[string(o.raw)] = o
	return o
}

func (s *search) believe(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.believed = max(s.believed, revision)
}

// call sends one request to a core and follows 307 twice; 0 is no clear answer.
func (s *search) call(m *machine, limit time.Duration, c httpwire.Call) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	addr := control(m)
	for range 3 {
		c.Host = addr
		a, err := s.pool.Do(ctx, addr, &c)
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
func (s *search) send(o *order, first, tries int, limit time.Duration) int {
	pause := 50 * time.Millisecond
	for try := range tries {
		s.mu.Lock()
		m := s.cores[(first+try)%len(s.cores)]
		s.mu.Unlock()
		from := s.hist.now()
		s.hist.mu.Lock()
		o.sent = cmp.Or(o.sent, from)
		s.hist.mu.Unlock()
		code, body := s.call(m, limit, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Header: []string{"If-Match", fmt.Sprint(o.match)}, Body: o.raw})
		to := s.hist.now()
		s.say("%s: %d on %d, to %s from %d to %d: %d %.120s", o.name, o.revision, o.match, m.name, from, to, code, body)
		s.hist.mu.Lock()
		switch {
		case code == 200:
			if o.acked == 0 {
				o.acked, o.ackedAt = to, time.Now()
			}
		case code != 0:
			o.refused = append(o.refused, sending{from, to, code})
		}
		both := o.acked > 0 && len(o.refused) > 0
		s.hist.mu.Unlock()
		switch {
		case both:
			s.fail("refused", "%s is both acknowledged and refused: %d from %s: %s", o.name, code, m.name, body)
		case code == 200:
			s.believe(o.revision)
			s.spring("acked", nil, m.ip, m.ip)
			return code
		case code == 412:
			if n, err := strconv.ParseInt(strings.Fields(strings.TrimPrefix(string(body), `{"error-text":"revision `) + " 0")[0], 10, 64); err == nil {
				s.believe(n)
			}
			return code
		case code != 0:
			s.fail("refused", "%s is refused with %d by %s: %s", o.name, code, m.name, body)
			return code
		}
		if s.over() {
			return 0
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// read gets the configuration from one core.
func (s *search) read(m *machine) bool {
	from := s.hist.now()
	code, body := s.call(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/configuration"})
	r := reading{sending{from, s.hist.now(), code}, "", m.name}
	switch code {
	case 0:
		return false
	case 404:
	case 200:
		o := s.order(body)
		if o == nil {
			s.fail("history", "%s tells a configuration that nobody sent: %s", m.name, body)
			return false
		}
		r.name = o.name
		s.believe(o.revision)
	default:
		s.fail("refused", "a read at %s is refused with %d: %s", m.name, code, body)
		return false
	}
	s.say("%s is read at %s from %d to %d", r.name, m.name, r.from, r.to)
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	s.hist.readings = append(s.hist.readings, r)
	return true
}

func (s *search) order(raw []byte) *order {
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	return s.hist.byBytes[string(raw)]
}

func (s *search) status(m *machine) (o controlplane.Overview, err error) {
	code, body := s.call(m, time.Second, httpwire.Call{Method: "GET", Target: "/v1/status"})
	if code != 200 {
		return o, fmt.Errorf("answered %d %s", code, body)
	}
	return o, json.Unmarshal(body, &o)
}

// beat has a handler say something; the channel is closed when it was answered.
func (s *search) beat(x step) <-chan struct{} {
	done := make(chan struct{})
	n := x.N % 3
	s.mu.Lock()
	h := s.instances[n]
	if h == nil || h.state == "gone" && x.Kind == stepBeat {
		h = &caller{id: fmt.Sprintf("handler-%d-%d", n, s.index+int(time.Since(s.began).Milliseconds())), state: handler.Ready}
		s.instances[n] = h
	}
	state, method := h.state, "PUT"
	switch x.Kind {
	case stepDrain:
		if h.state == handler.Ready {
			h.state = handler.Draining
		}
		state = h.state
	case stepDelete:
		h.state, state, method = "gone", "gone", "DELETE"
	case stepLate:
		state = handler.Ready
	}
	if state == "gone" {
		method = "DELETE"
	}
	late := x.Kind == stepLate
	s.mu.Unlock()
	s.ops.Go(func() {
		defer close(done)
		for try := range 1 + x.B {
			s.mu.Lock()
			m := s.cores[(x.A+try)%len(s.cores)]
			seq := int64(1)
			if !late {
				h.seq++
				seq = h.seq
			}
			s.mu.Unlock()
			c := httpwire.Call{Method: method, Target: "/v1/instances/" + h.id}
			if method == "PUT" {
				c.Body = fmt.Appendf(nil, `{"service":"plain","address":"10.20.0.%d:90","zone":"z1","revision":"v1","slots":2,"oper-state":%q,"call-seq":%d}`, n, state, seq)
			}
			code, body := s.call(m, time.Second, c)
			s.say("%s says %s (%d) to %s: %d %.80s", h.id, state, seq, m.name, code, body)
			if code/100 == 2 {
				if state != handler.Ready {
					s.mu.Lock()
					if s.left[h.id] == nil {
						s.left[h.id] = &leaving{time.Now()}
					}
					s.mu.Unlock()
					s.spring("left", nil, m.ip, m.ip)
				}
				return
			}
			if code != 0 {
				s.fail("refused", "a beat is refused with %d: %s", code, body)
			}
			if s.over() {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return done
}

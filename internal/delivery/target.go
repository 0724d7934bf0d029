package delivery

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
)

// target is one handler, or the fixed endpoint of a service.
type target struct {
	handler.Instance
	fixed    bool
	busy     int
	failures int
	shut     time.Time // no deliveries until then
	trial    bool      // one delivery at a time until one succeeds
	bad      float64   // smoothed share of attempts that came to nothing
	warm     time.Time // slow until then
}

// Hear takes news of handlers.
func (s *Scheduler) Hear(e journal.Event) {
	id, ok := strings.CutPrefix(e.Key, distribution.PrefixInstance)
	if !ok {
		s.nudge()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in handler.Instance
	if !e.IsDeleted() && json.Unmarshal(e.Value, &in) != nil {
		return
	}
	for name, list := range s.targets {
		if t := list[id]; t != nil && (e.IsDeleted() || name != in.Service || in.State != handler.Ready) {
			delete(list, id)
			s.Pool.Forget(t.Address)
		}
	}
	if !e.IsDeleted() && in.State == handler.Ready {
		list := s.targets[in.Service]
		if list == nil {
			list = map[string]*target{}
			s.targets[in.Service] = list
		}
		if t := list[id]; t != nil {
			t.Instance = in
		} else {
			list[id] = &target{Instance: in, warm: time.Now().Add(time.Duration(in.WarmupMs) * time.Millisecond)}
		}
	}
	s.nudge()
}

// choose finds the handler for an item: the least busy one, own zone first. If
// there is none now, it tells how long to wait.
func (s *Scheduler) choose(svc *service, conf *configuration.Service, it *item, now time.Time) (*target, time.Duration) {
	contact := s.Settings.Contact()
	list := s.targets[svc.name]
	if conf.StaticEndpoint != "" {
		if list == nil {
			list = map[string]*target{}
			s.targets[svc.name] = list
		}
		t := list[conf.StaticEndpoint]
		if t == nil {
			t = &target{Instance: handler.Instance{Address: conf.StaticEndpoint, Service: svc.name}, fixed: true}
			t.Slots = max(1, int(conf.MaxConnections)*2/3)
			list[conf.StaticEndpoint] = t
		}
	}
	var best *target
	bestScore := 0.0
	wait := contact / 16
	near := false
	for _, t := range list {
		if !t.fixed && t.Zone == s.Settings.Zone && !now.Before(t.shut) && !t.trial {
			near = true
		}
	}
	for _, t := range list {
		if t.fixed != (conf.StaticEndpoint != "") {
			continue
		}
		if now.Before(t.shut) {
			wait = min(wait, t.shut.Sub(now))
			continue
		}
		limit := max(1, t.Slots)
		far := !t.fixed && t.Zone != s.Settings.Zone
		if far && near {
			limit = max(1, limit/2)
		}
		if t.trial {
			limit = 1
		}
		if t.busy >= limit {
			continue
		}
		score := float64(t.busy) / float64(limit)
		if far {
			if near && now.Sub(it.since) < contact/40 {
				wait = min(wait, contact/100)
				continue
			}
			score += 2
			if s.Settings.Zones[t.Zone] != s.Settings.Region {
				score++
			}
		}
		if t.ID != "" && t.ID == it.last {
			score += 4 // rather another than the one that failed
		}
		if now.Before(t.warm) {
			score += 0.5
		}
		if t.trial {
			score += 1
		}
		// One that often fails is left to those for whom there is no other.
		score += 4 * max(0, t.bad-ordinary)
		score += rand.Float64() / 8
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best, wait
}

// ordinary is the share of attempts that come to nothing without any trouble.
const ordinary = 0.1

// judge keeps away from a handler that fails. What it says of its health does
// not count: what becomes of deliveries does.
func (s *Scheduler) judge(t *target, svc *service, o handler.Outcome, now time.Time) {
	contact := s.Settings.Contact()
	if o != handler.NotRun {
		failed := 0.0
		if o != handler.Done && o != handler.Refused {
			failed = 1
		}
		t.bad += (failed - t.bad) / 8
		svc.bad += (failed - svc.bad) / 16
	}
	shut := func(base time.Duration) {
		t.failures++
		d := min(contact/8, base<<min(t.failures-1, 6))
		t.shut = now.Add(d*3/4 + rand.N(d/2))
		t.trial = true
	}
	switch o {
	case handler.Done, handler.Refused, handler.Failed:
		t.failures, t.trial = 0, false
	case handler.NotRun:
		t.shut = now.Add(contact/200 + rand.N(contact/200)) // full for a moment
	case handler.Wrong: // another one has its address: it lives no more
		if list := s.targets[svc.name]; list[t.ID] == t {
			delete(list, t.ID)
		}
	case handler.Silent:
		s.Pool.Forget(t.Address) // its connections may hang
		shut(contact / 40)
	case handler.Unclear:
		if t.failures++; t.failures > 1 {
			shut(contact / 80)
		}
	}
}

// backoff is the pause before an item is tried again.
func (s *Scheduler) backoff(it *item, o handler.Outcome, route *configuration.Route) time.Duration {
	base := s.Settings.Contact() / 200
	if o == handler.Failed && it.attempts+1 >= int(route.MaxAttempts) && it.service.bad > 2*ordinary {
		// The last attempt of a message is not spent on a service in trouble.
		base = s.Settings.Contact() / 2
		return base/2 + rand.N(base)
	}
	if o == handler.Failed || o == handler.Unclear || o == handler.Silent {
		base <<= min(it.tries-1, 4)
	}
	return base/2 + rand.N(base)
}

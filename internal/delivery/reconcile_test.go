package delivery

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/partition"
)

// tableOf is a configuration with these services, each with a route of the same host.
func tableOf(revision int64, services ...*configuration.Service) *configuration.Table {
	c := &configuration.Configuration{Revision: revision, ServiceTable: services}
	for i, service := range services {
		c.RouteTable = append(c.RouteTable, &configuration.Route{Name: "r-" + service.Name, HostMatch: fmt.Sprintf("h%d.example", i), PathPrefix: "/", Service: service.Name, TimeoutMs: 5000, RetentionS: 1e6, StartTargetMs: 600, MaxAttempts: 3})
	}
	return configuration.NewTable(c)
}

func staticService(name, address string, connections int32) *configuration.Service {
	return &configuration.Service{Name: name, StaticEndpoint: address, MaxConnections: connections}
}

func TestReconcileFollowsTheConfiguration(t *testing.T) {
	ejected := endpointHealth{needsProbe: true, blockedUntil: time.Now().Add(time.Hour)}
	for name, c := range map[string]struct {
		inFlight int
		next     *configuration.Service // nil: the service is gone
		want     []string               // addresses that are in use, or counted still
		removed  int
	}{
		"unchanged":                       {0, staticService("x", "former", 30), []string{"former"}, 0},
		"moved":                           {0, staticService("x", "present", 30), nil, 1},
		"moved, a delivery in flight":     {1, staticService("x", "present", 30), []string{"former"}, 1},
		"to handlers that register":       {0, &configuration.Service{Name: "x"}, nil, 1},
		"gone":                            {0, nil, nil, 1},
		"another service has the address": {0, staticService("y", "former", 30), nil, 1},
	} {
		table := endpointTable{}
		former := table.forService(staticService("x", "former", 30))["former"]
		former.inFlight, former.health = c.inFlight, ejected
		var services []*configuration.Service
		if c.next != nil {
			services = append(services, c.next)
		}
		removed := table.reconcile(tableOf(2, services...))
		if got := slices.Collect(maps.Keys(table["x"])); len(removed) != c.removed || !slices.Equal(got, c.want) {
			t.Errorf("%s: %d removed, %q are left", name, len(removed), got)
		}
		if unchanged := c.removed == 0; unchanged != (former.health == ejected && !former.removed) {
			t.Errorf("%s: %+v", name, former)
		}
	}
}

// An address that comes back is used as a new one; deliveries to it that are in flight
// still count against its connections.
func TestStaticEndpointThatComesBack(t *testing.T) {
	table := endpointTable{}
	e := table.forService(staticService("x", "a", 30))["a"]
	e.inFlight, e.health.needsProbe = 7, true
	table.reconcile(tableOf(2, staticService("x", "b", 30)))
	if back := table.forService(staticService("x", "a", 12))["a"]; back.inFlight != 7 || back.health.needsProbe || back.removed || back.capacity() != 8 {
		t.Errorf("%+v with room for %d", back, back.capacity())
	}
}

// A changed max-connections is followed.
func TestStaticEndpointFollowsItsConnections(t *testing.T) {
	table := endpointTable{}
	for connections, want := range map[int32]int{30: 20, 3: 2, 1: 1} {
		if got := table.forService(staticService("x", "a", connections))["a"].capacity(); got != want {
			t.Errorf("%d connections: %d deliveries at once, not %d", connections, got, want)
		}
	}
}

func TestQueueOfARemovedServiceIsForgotten(t *testing.T) {
	s := newScheduler(t, 2)
	for _, name := range []string{"service-0", "service-1", "gone", "gone, and not empty"} {
		s.queues[name] = newServiceQueue(name, time.Now())
	}
	s.queues["gone, and not empty"].schedule(&message{})
	s.reconcileLocked()
	if got := slices.Sorted(maps.Keys(s.queues)); !slices.Equal(got, []string{"gone, and not empty", "service-0", "service-1"}) {
		t.Errorf("queues %q", got)
	}
}

// Guards against deliveries to the static endpoint of an earlier configuration, whose address
// another service may have by now (docs/incidents/former-endpoint.md): not one begins once the
// new configuration is here, and of the connections to the former address none stays open.
func TestFormerStaticEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var records []*partition.Record
		for i := range 200 {
			r := record(fmt.Sprintf("m%d", i), "", int64(i+1))
			r.Due = time.Now().Add(time.Duration(i) * 100 * time.Millisecond).UnixMilli()
			records = append(records, r)
		}
		p := newFakePartitions(partition.Event{BecamePrimary: true, Records: records})
		h := &fakeHandler{work: 150 * time.Millisecond}
		s := schedulerOf(t, p, h)
		began := time.Now()
		former, present := tableOf(1, staticService("partner", "former", 30)), tableOf(2, staticService("partner", "present", 30))
		s.config.Table = func() *configuration.Table {
			if time.Since(began) < 10*time.Second {
				return former
			}
			return present
		}
		time.AfterFunc(11*time.Second, func() {
			h.mu.Lock()
			h.dialed = nil
			h.mu.Unlock()
			if open := s.config.Pool.Open("former"); open > 0 {
				t.Errorf("%d connections to the former endpoint are open", open)
			}
		})
		runScheduler(t, s, time.Minute)
		s.config.Pool.Forget("present")
		if slices.Contains(h.dialed, "former") || len(p.outcomes()) != 200 {
			t.Errorf("connections to %q, %d of 200 messages ended", h.dialed, len(p.outcomes()))
		}
	})
}

// The next message of an order key goes to the present endpoint, once the one that is in
// flight at the former has ended.
func TestOrderKeyMovesWithItsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{record("a", "k", 1), record("b", "k", 2)}})
		h := &fakeHandler{work: 2 * time.Second}
		s := schedulerOf(t, p, h)
		began := time.Now()
		former, present := tableOf(1, staticService("partner", "former", 30)), tableOf(2, staticService("partner", "present", 30))
		s.config.Table = func() *configuration.Table {
			if time.Since(began) < time.Second {
				return former
			}
			return present
		}
		runScheduler(t, s, time.Minute)
		s.config.Pool.Forget("present")
		if !slices.Equal(h.dialed, []string{"former", "present"}) || h.most != 1 || len(p.outcomes()) != 2 {
			t.Errorf("connections to %q, %d at once, %q", h.dialed, h.most, p.outcomes())
		}
	})
}

// A delivery that ends after its handler was removed leaves no idle connection, unless
// another handler has the address by now.
func TestIdleConnectionsToARemovedHandler(t *testing.T) {
	s := newScheduler(t, 1)
	in := func(id string) handler.Instance {
		return handler.Instance{ID: id, Service: "x", Address: "a", Slots: 2}
	}
	s.endpoints.update("i", in("i"), time.Now())
	e := s.endpoints["x"]["i"]
	e.inFlight = 1
	s.applyInstanceLocked("i", in("i"), false)
	if !e.removed || len(s.endpoints["x"]) != 0 {
		t.Errorf("%+v is in use", e)
	}
	s.endpoints.update("j", in("j"), time.Now())
	s.releaseEndpointLocked(e)
	if s.endpoints["x"]["j"] == nil || e.inFlight != 0 {
		t.Errorf("%+v", s.endpoints["x"])
	}
}

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

// newTable returns a configuration with the given services. Service i has a route for the host
// "h<i>.example".
func newTable(revision int64, services ...*configuration.Service) *configuration.Table {
	c := &configuration.Configuration{Revision: revision, ServiceTable: services}
	for i, service := range services {
		c.RouteTable = append(c.RouteTable, &configuration.Route{Name: "r-" + service.Name, HostMatch: fmt.Sprintf("h%d.example", i), PathPrefix: "/", Service: service.Name, TimeoutMs: 5000, RetentionS: 1e6, StartTargetMs: 600, MaxAttempts: 3})
	}
	return configuration.NewTable(c)
}

func staticService(name, address string, connections int32) *configuration.Service {
	return &configuration.Service{Name: name, StaticEndpoint: address, MaxConnections: connections}
}

func TestReconcileStaticEndpoints(t *testing.T) {
	ejected := endpointHealth{needsProbe: true, blockedUntil: time.Now().Add(time.Hour)}
	for name, c := range map[string]struct {
		inFlight int
		next     *configuration.Service // nil: the service is removed
		want     []string               // addresses that remain in the table
		removed  int
	}{
		"unchanged":                           {0, staticService("x", "former", 30), []string{"former"}, 0},
		"address changed":                     {0, staticService("x", "current", 30), nil, 1},
		"address changed, delivery in flight": {1, staticService("x", "current", 30), []string{"former"}, 1},
		"changed to registered handlers":      {0, &configuration.Service{Name: "x"}, nil, 1},
		"service removed":                     {0, nil, nil, 1},
		"address moved to another service":    {0, staticService("y", "former", 30), nil, 1},
	} {
		table := endpointTable{}
		former := table.forService(staticService("x", "former", 30))["former"]
		former.inFlight, former.health = c.inFlight, ejected
		var services []*configuration.Service
		if c.next != nil {
			services = append(services, c.next)
		}
		removed := table.reconcile(newTable(2, services...))
		if got := slices.Collect(maps.Keys(table["x"])); len(removed) != c.removed || !slices.Equal(got, c.want) {
			t.Errorf("%s: %d removed, %q remain", name, len(removed), got)
		}
		if unchanged := c.removed == 0; unchanged != (former.health == ejected && !former.removed) {
			t.Errorf("%s: %+v", name, former)
		}
	}
}

// A static endpoint whose address is configured again starts without its former health state, but
// deliveries that are still in flight to it count towards its capacity.
func TestStaticEndpointConfiguredAgain(t *testing.T) {
	table := endpointTable{}
	e := table.forService(staticService("x", "a", 30))["a"]
	e.inFlight, e.health.needsProbe = 7, true
	table.reconcile(newTable(2, staticService("x", "b", 30)))
	if readded := table.forService(staticService("x", "a", 12))["a"]; readded.inFlight != 7 || readded.health.needsProbe || readded.removed || readded.capacity() != 8 {
		t.Errorf("%+v with capacity %d", readded, readded.capacity())
	}
}

func TestStaticEndpointCapacityFollowsMaxConnections(t *testing.T) {
	table := endpointTable{}
	for connections, want := range map[int32]int{30: 20, 3: 2, 1: 1} {
		if got := table.forService(staticService("x", "a", connections))["a"].capacity(); got != want {
			t.Errorf("%d connections: capacity %d, want %d", connections, got, want)
		}
	}
}

func TestReconcileDeletesEmptyQueuesOfRemovedServices(t *testing.T) {
	s := newScheduler(t, 2)
	for _, name := range []string{"service-0", "service-1", "removed", "removed, not empty"} {
		s.queues[name] = newServiceQueue(name, time.Now())
	}
	s.queues["removed, not empty"].schedule(&message{})
	s.reconcileLocked()
	if got := slices.Sorted(maps.Keys(s.queues)); !slices.Equal(got, []string{"removed, not empty", "service-0", "service-1"}) {
		t.Errorf("queues %q", got)
	}
}

// Guards against deliveries to the static endpoint of a previous configuration, whose address may
// belong to another service by now (see docs/incidents/former-endpoint.md). Once the new
// configuration is applied, no delivery to the former address may start and no connection to
// it may stay open.
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
		s := newSchedulerWith(t, p, h)
		start := time.Now()
		former, current := newTable(1, staticService("partner", "former", 30)), newTable(2, staticService("partner", "current", 30))
		s.config.Table = func() *configuration.Table {
			if time.Since(start) < 10*time.Second {
				return former
			}
			return current
		}
		time.AfterFunc(11*time.Second, func() {
			h.mu.Lock()
			h.dialed = nil
			h.mu.Unlock()
			if open := s.config.Pool.ConnectionsTo("former"); open > 0 {
				t.Errorf("%d connections to the former endpoint are open", open)
			}
		})
		runScheduler(t, s, time.Minute)
		s.config.Pool.CloseIdle("current")
		if slices.Contains(h.dialed, "former") || len(p.outcomes()) != 200 {
			t.Errorf("connections to %q, %d of 200 messages finished", h.dialed, len(p.outcomes()))
		}
	})
}

// When the static endpoint of a service changes, the next message of an order key is sent to the
// current endpoint after the delivery in flight to the former one has ended.
func TestOrderKeyFollowsChangedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{record("a", "k", 1), record("b", "k", 2)}})
		h := &fakeHandler{work: 2 * time.Second}
		s := newSchedulerWith(t, p, h)
		start := time.Now()
		former, current := newTable(1, staticService("partner", "former", 30)), newTable(2, staticService("partner", "current", 30))
		s.config.Table = func() *configuration.Table {
			if time.Since(start) < time.Second {
				return former
			}
			return current
		}
		runScheduler(t, s, time.Minute)
		s.config.Pool.CloseIdle("current")
		if !slices.Equal(h.dialed, []string{"former", "current"}) || h.maxRunning != 1 || len(p.outcomes()) != 2 {
			t.Errorf("connections to %q, %d deliveries at once, outcomes %q", h.dialed, h.maxRunning, p.outcomes())
		}
	})
}

// When a delivery ends after its instance was removed, the idle connections to the address are
// closed, unless another instance has the address by now.
func TestIdleConnectionsOfRemovedInstance(t *testing.T) {
	s := newScheduler(t, 1)
	in := func(id string) handler.Instance {
		return handler.Instance{ID: id, Service: "x", Address: "a", Slots: 2}
	}
	s.endpoints.update("i", in("i"), time.Now())
	e := s.endpoints["x"]["i"]
	e.inFlight = 1
	s.applyInstanceLocked("i", in("i"), false)
	if !e.removed || len(s.endpoints["x"]) != 0 {
		t.Errorf("removed instance %+v is still in the table", e)
	}
	s.endpoints.update("j", in("j"), time.Now())
	s.releaseEndpointLocked(e)
	if s.endpoints["x"]["j"] == nil || e.inFlight != 0 {
		t.Errorf("%+v", s.endpoints["x"])
	}
}

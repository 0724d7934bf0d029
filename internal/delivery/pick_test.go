package delivery

import (
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/partition"
)

func TestPickEndpoint(t *testing.T) {
	now := time.Now()
	at := func(zone string, inFlight int, health endpointHealth) *endpoint {
		return &endpoint{Instance: handler.Instance{Zone: zone, Slots: 4}, inFlight: inFlight, health: health}
	}
	blocked := endpointHealth{blockedUntil: now.Add(50 * time.Millisecond), needsProbe: true}
	needsProbe := endpointHealth{needsProbe: true}
	const fresh, waited = time.Duration(0), time.Second
	for name, c := range map[string]struct {
		endpoints map[string]*endpoint
		age       time.Duration // time since the message was first due
		last      string        // endpoint of the last attempt
		want      string
		wait      time.Duration // if none is picked
	}{
		"no endpoints":                     {nil, fresh, "", "", 250 * time.Millisecond},
		"single endpoint":                  {map[string]*endpoint{"a": at("z0", 0, endpointHealth{})}, fresh, "", "a", 0},
		"least load":                       {map[string]*endpoint{"a": at("z0", 2, endpointHealth{}), "b": at("z0", 1, endpointHealth{})}, fresh, "", "b", 0},
		"local zone":                       {map[string]*endpoint{"a": at("z0", 3, endpointHealth{}), "b": at("z1", 0, endpointHealth{})}, waited, "", "a", 0},
		"local region":                     {map[string]*endpoint{"a": at("z1", 3, endpointHealth{}), "b": at("z9", 0, endpointHealth{})}, fresh, "", "a", 0},
		"local zone full":                  {map[string]*endpoint{"a": at("z0", 4, endpointHealth{}), "b": at("z1", 1, endpointHealth{})}, waited, "", "b", 0},
		"local zone full, fresh":           {map[string]*endpoint{"a": at("z0", 4, endpointHealth{}), "b": at("z1", 1, endpointHealth{})}, fresh, "", "", 40 * time.Millisecond},
		"remote zone at half capacity":     {map[string]*endpoint{"a": at("z0", 4, endpointHealth{}), "b": at("z1", 2, endpointHealth{})}, waited, "", "", 250 * time.Millisecond},
		"local zone ejected, fresh":        {map[string]*endpoint{"a": at("z0", 0, blocked), "b": at("z1", 3, endpointHealth{})}, fresh, "", "b", 0},
		"local zone probing, full":         {map[string]*endpoint{"a": at("z0", 1, needsProbe), "b": at("z1", 3, endpointHealth{})}, fresh, "", "b", 0},
		"ejected":                          {map[string]*endpoint{"a": at("z0", 0, blocked)}, fresh, "", "", 50 * time.Millisecond},
		"probing":                          {map[string]*endpoint{"a": at("z0", 0, needsProbe)}, fresh, "", "a", 0},
		"probing, one delivery in flight":  {map[string]*endpoint{"a": at("z0", 1, needsProbe)}, fresh, "", "", 250 * time.Millisecond},
		"probing or healthy":               {map[string]*endpoint{"a": at("z0", 0, needsProbe), "b": at("z0", 3, endpointHealth{})}, fresh, "", "b", 0},
		"slow start or healthy":            {map[string]*endpoint{"a": at("z0", 0, endpointHealth{slowStartUntil: now.Add(1)}), "b": at("z0", 1, endpointHealth{})}, fresh, "", "b", 0},
		"slow start or loaded":             {map[string]*endpoint{"a": at("z0", 0, endpointHealth{slowStartUntil: now.Add(1)}), "b": at("z0", 3, endpointHealth{})}, fresh, "", "a", 0},
		"failed there, another available":  {map[string]*endpoint{"a": at("z0", 0, endpointHealth{}), "b": at("z1", 1, endpointHealth{})}, waited, "a", "b", 0},
		"failed there, no other available": {map[string]*endpoint{"a": at("z0", 0, endpointHealth{})}, fresh, "a", "a", 0},
		"high failure rate":                {map[string]*endpoint{"a": at("z0", 0, endpointHealth{failureRate: 0.4}), "b": at("z0", 3, endpointHealth{failureRate: 0.1})}, fresh, "", "b", 0},
	} {
		s := newScheduler(t, 1)
		s.config.Settings.Zone, s.config.Settings.Region = "z0", "r0"
		s.config.Settings.Zones = map[string]string{"z0": "r0", "z1": "r0", "z9": "r9"}
		for id, e := range c.endpoints {
			e.ID = id
		}
		s.endpoints["x"] = c.endpoints
		m := &message{record: &partition.Record{}, eligibleSince: now.Add(-c.age), lastEndpoint: c.last}
		for range 20 { // the jitter must not change the result
			e, wait := s.pickEndpointLocked(&configuration.Service{Name: "x"}, m, now)
			got := ""
			if e != nil {
				got = e.ID
			}
			if got != c.want || got == "" && wait != c.wait {
				t.Errorf("%s: picked %q, wait %v", name, got, wait)
				break
			}
		}
	}
}

func TestStaticEndpointIsUsedInsteadOfInstances(t *testing.T) {
	s := newScheduler(t, 1)
	s.endpoints.update("i", handler.Instance{ID: "i", Service: "x", Slots: 4}, time.Now())
	service := &configuration.Service{Name: "x", StaticEndpoint: "10.0.0.1:90", MaxConnections: 3}
	m := &message{record: &partition.Record{}}
	for range 2 {
		e, _ := s.pickEndpointLocked(service, m, time.Now())
		if e == nil || !e.static || e.Address != service.StaticEndpoint || e.capacity() != 2 {
			t.Fatalf("picked %+v", e)
		}
		e.inFlight++
	}
	if e, _ := s.pickEndpointLocked(service, m, time.Now()); e != nil {
		t.Errorf("picked %+v above its capacity", e)
	}
	service.StaticEndpoint = ""
	if e, _ := s.pickEndpointLocked(service, m, time.Now()); e == nil || e.ID != "i" {
		t.Errorf("picked %+v without a static endpoint", e)
	}
}

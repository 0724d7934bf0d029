package delivery

import (
	"encoding/json"
	"strings"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
)

// endpoint is a target of deliveries: a registered handler instance, or the static endpoint of
// a service.
type endpoint struct {
	handler.Instance
	static   bool
	removed  bool // no longer in the configuration or the registry; see endpointTable.remove
	inFlight int
	health   endpointHealth
}

// key returns the key of the endpoint in its endpointTable.
func (e *endpoint) key() string {
	if e.static {
		return e.Address
	}
	return e.ID
}

// capacity returns the maximum number of concurrent deliveries.
func (e *endpoint) capacity() int { return max(1, e.Slots) }

func newStaticEndpoint(service *configuration.Service) *endpoint {
	return &endpoint{static: true, Instance: handler.Instance{Address: service.StaticEndpoint, Service: service.Name}}
}

// staticSlots returns the number of slots of the static endpoint of a service: two thirds of
// its maximum number of connections.
func staticSlots(service *configuration.Service) int {
	return max(1, int(service.MaxConnections)*2/3)
}

// endpointTable holds the endpoints by service, then by instance ID or, for static endpoints,
// by address. It is guarded by the mutex of Scheduler.
type endpointTable map[string]map[string]*endpoint

// forService returns the endpoints of a service. If the service has a static endpoint in the
// configuration, it is added or updated.
func (t endpointTable) forService(service *configuration.Service) map[string]*endpoint {
	if service.StaticEndpoint == "" {
		return t[service.Name]
	}
	list := t.getOrCreate(service.Name)
	e := list[service.StaticEndpoint]
	switch {
	case e == nil:
		e = newStaticEndpoint(service)
		list[service.StaticEndpoint] = e
	case e.removed: // configured again after its removal
		e.removed = false
		e.health = endpointHealth{}
	}
	e.Slots = staticSlots(service)
	return list
}

// getOrCreate returns the endpoints of a service, and adds an empty map if there is none.
func (t endpointTable) getOrCreate(service string) map[string]*endpoint {
	list := t[service]
	if list == nil {
		list = map[string]*endpoint{}
		t[service] = list
	}
	return list
}

// update adds an instance as an endpoint of its service, or updates its data.
func (t endpointTable) update(id string, in handler.Instance, now time.Time) {
	list := t.getOrCreate(in.Service)
	if e := list[id]; e != nil {
		e.Instance = in
		return
	}
	warmUp := time.Duration(in.WarmupMs) * time.Millisecond
	list[id] = &endpoint{Instance: in, health: endpointHealth{slowStartUntil: now.Add(warmUp)}}
}

// ApplyEvent applies an event that the control plane distributes. Events of handler instances
// update the endpoints: ready instances become endpoints. All other events only wake up the
// scheduler.
func (s *Scheduler) ApplyEvent(e journal.Event) {
	id, ok := strings.CutPrefix(e.Key, distribution.PrefixInstance)
	if !ok {
		s.wakeUp()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in handler.Instance
	if !e.IsDeleted() && json.Unmarshal(e.Value, &in) != nil {
		return
	}
	s.applyInstanceLocked(id, in, !e.IsDeleted() && in.State == handler.Ready)
	s.wakeUp()
}

// applyInstanceLocked makes a ready instance an endpoint of its service and of no other. An
// instance that is not ready is removed from all services.
func (s *Scheduler) applyInstanceLocked(id string, in handler.Instance, ready bool) {
	for service, list := range s.endpoints {
		e := list[id]
		if e == nil || ready && service == in.Service {
			continue
		}
		s.endpoints.remove(e)
		s.closeIdleLocked(e)
	}
	if ready {
		s.endpoints.update(id, in, time.Now())
	}
}

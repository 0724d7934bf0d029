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

// endpoint is where deliveries go: a handler's instance, or the static endpoint
// of a service.
type endpoint struct {
	handler.Instance
	static   bool
	removed  bool // the configuration or the registry has it no more; see endpointTable.remove
	inFlight int
	health   endpointHealth
}

// key is the name of the endpoint in the table.
func (e *endpoint) key() string {
	if e.static {
		return e.Address
	}
	return e.ID
}

// capacity is how many deliveries the endpoint takes at once.
func (e *endpoint) capacity() int { return max(1, e.Slots) }

// newStaticEndpoint makes the endpoint of a service that has no instances.
func newStaticEndpoint(service *configuration.Service) *endpoint {
	return &endpoint{static: true, Instance: handler.Instance{Address: service.StaticEndpoint, Service: service.Name}}
}

// staticSlots are the slots of the static endpoint of a service: two thirds of the
// connections that the service takes.
func staticSlots(service *configuration.Service) int {
	return max(1, int(service.MaxConnections)*2/3)
}

// endpointTable holds the endpoints by service, then by instance or, for a static
// one, by address. It has no lock: the scheduler's guards it.
type endpointTable map[string]map[string]*endpoint

// forService returns the endpoints of a service, with its static one, as the configuration
// has it, if it has one.
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
	case e.removed: // its address is back
		e.removed = false
		e.health = endpointHealth{}
	}
	e.Slots = staticSlots(service)
	return list
}

// getOrCreate returns the endpoints of a service for a change.
func (t endpointTable) getOrCreate(service string) map[string]*endpoint {
	list := t[service]
	if list == nil {
		list = map[string]*endpoint{}
		t[service] = list
	}
	return list
}

// update adds an instance, or renews what it says of itself.
func (t endpointTable) update(id string, in handler.Instance, now time.Time) {
	list := t.getOrCreate(in.Service)
	if e := list[id]; e != nil {
		e.Instance = in
		return
	}
	warmUp := time.Duration(in.WarmupMs) * time.Millisecond
	list[id] = &endpoint{Instance: in, health: endpointHealth{slowStartUntil: now.Add(warmUp)}}
}

// ApplyEvent follows what the control plane distributes: about handlers, whose
// ready instances become endpoints; any other event makes the scheduler look at
// its queues.
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

// applyInstanceLocked makes an instance an endpoint of its service if it is ready,
// and of no other service.
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

package delivery

import "saltreel/internal/configuration"

// The endpoints and queues follow the current configuration and the registered instances. Each
// new configuration is reconciled with them: endpoints and services that it no longer has are
// removed, together with their health and idle connections; the others are kept unchanged.

// reconcileLocked applies the current configuration unless it is already applied.
func (s *Scheduler) reconcileLocked() {
	table := s.config.Table()
	if table == nil || table == s.appliedTable {
		return
	}
	s.appliedTable = table
	for _, removed := range s.endpoints.reconcile(table) {
		s.closeIdleLocked(removed)
	}
	for name, q := range s.queues {
		if table.Service(name) == nil && q.isEmpty() {
			delete(s.queues, name) // a later service of this name starts with a new queue
		}
	}
}

// reconcile removes and returns the static endpoints that are not in a configuration.
func (t endpointTable) reconcile(table *configuration.Table) (removed []*endpoint) {
	for name, list := range t {
		service := table.Service(name)
		for _, e := range list {
			if e.static && (service == nil || e.Address != service.StaticEndpoint) && !e.removed {
				t.remove(e)
				removed = append(removed, e)
			}
		}
		if len(list) == 0 {
			delete(t, name)
		}
	}
	return removed
}

// remove marks an endpoint as removed and deletes it from the table. A static endpoint stays in
// the table while deliveries to it are in flight, so that they are counted if its address is
// configured again.
func (t endpointTable) remove(e *endpoint) {
	e.removed = true
	if !e.static || e.inFlight == 0 {
		t.discard(e)
	}
}

// discard deletes an endpoint from the table, unless another one has its key by now.
func (t endpointTable) discard(e *endpoint) {
	if list := t[e.Service]; list[e.key()] == e {
		delete(list, e.key())
	}
}

// releaseEndpointLocked ends a delivery to an endpoint. After the last delivery to a removed
// endpoint it deletes the endpoint and closes its idle connections.
func (s *Scheduler) releaseEndpointLocked(e *endpoint) {
	e.inFlight--
	if e.removed && e.inFlight == 0 {
		s.endpoints.discard(e)
		s.closeIdleLocked(e)
	}
}

// closeIdleLocked closes the idle connections to a removed endpoint, unless another endpoint has
// its address by now.
func (s *Scheduler) closeIdleLocked(removed *endpoint) {
	for _, list := range s.endpoints {
		for _, e := range list {
			if e.Address == removed.Address && !e.removed {
				return
			}
		}
	}
	s.config.Pool.CloseIdle(removed.Address)
}

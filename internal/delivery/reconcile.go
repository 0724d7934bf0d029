package delivery

import "saltreel/internal/configuration"

// What is known of endpoints and services follows from the configuration in force and from
// the instances that are registered. Each new configuration is reconciled with what is
// here: what it does not have any more goes, with its health and its idle connections, and
// what it leaves as it was stays.

// reconcileLocked applies the configuration in force, once.
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
			delete(s.queues, name) // a service that gets its name later begins anew
		}
	}
}

// reconcile removes the static endpoints that a configuration does not have, and returns
// them.
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

// remove takes an endpoint out of use. As long as deliveries to a static one are in flight
// it stays in the table: if its address comes back, they count.
func (t endpointTable) remove(e *endpoint) {
	e.removed = true
	if !e.static || e.inFlight == 0 {
		t.delete(e)
	}
}

// delete deletes an endpoint, unless another one has its name by now.
func (t endpointTable) delete(e *endpoint) {
	if list := t[e.Service]; list[e.key()] == e {
		delete(list, e.key())
	}
}

// releaseEndpointLocked notes that a delivery to an endpoint has ended. The last one to an
// endpoint that was removed leaves nothing of it.
func (s *Scheduler) releaseEndpointLocked(e *endpoint) {
	e.inFlight--
	if e.removed && e.inFlight == 0 {
		s.endpoints.delete(e)
		s.closeIdleLocked(e)
	}
}

// closeIdleLocked closes the idle connections to an endpoint that is used no more, unless
// another one has its address by now.
func (s *Scheduler) closeIdleLocked(removed *endpoint) {
	for _, list := range s.endpoints {
		for _, e := range list {
			if e.Address == removed.Address && !e.removed {
				return
			}
		}
	}
	s.config.Pool.Forget(removed.Address)
}

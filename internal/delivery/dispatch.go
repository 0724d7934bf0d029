package delivery

import (
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
)

// maxEndpointMisses is how many messages may find no free endpoint before a dispatch round
// stops: the remaining messages of the service are unlikely to find one either.
const maxEndpointMisses = 4

// dispatchRound is the state of one pass over the due messages of a service.
type dispatchRound struct {
	now            time.Time
	table          *configuration.Table
	service        *configuration.Service
	queue          *serviceQueue
	next           time.Duration // time until the next round
	deferred       []*message    // due, but cannot start in this round
	endpointMisses int
}

// deferMessage keeps a due message for a later round, after d at the latest.
func (r *dispatchRound) deferMessage(m *message, d time.Duration) {
	r.deferred = append(r.deferred, m)
	r.next = min(r.next, d)
}

// dispatchLocked starts the deliveries of one service that can start now, and returns the
// time until the next round.
func (s *Scheduler) dispatchLocked(q *serviceQueue, now time.Time) time.Duration {
	q.releaseDue(now)
	next := q.timeUntilNextDue(now, s.timing.maxPollInterval())
	if q.dueCount() == 0 {
		return next
	}
	table := s.config.Table()
	if table == nil {
		return s.timing.configurationRecheck()
	}
	r := dispatchRound{now: now, table: table, service: table.Service(q.service), queue: q, next: next}
	for m := q.pop(now); m != nil; m = q.pop(now) {
		if more := s.dispatchMessageLocked(&r, m); !more {
			break
		}
	}
	for _, m := range r.deferred {
		q.requeue(m)
	}
	return r.next
}

// dispatchMessageLocked starts the delivery of a message, finishes it or defers it, and
// reports whether the round continues.
func (s *Scheduler) dispatchMessageLocked(r *dispatchRound, m *message) (more bool) {
	if m.finished {
		return true
	}
	if !m.isFirstOfKey() { // an earlier message of its order key arrived after it and must run first
		m.queued = false
		return true
	}
	if r.table.Revision < m.record.Revision || !s.beginDelivery(m) {
		r.deferMessage(m, s.timing.leaseRecheck())
		return true
	}
	if !s.config.Partitions.IsPending(m.record.Partition, m.record.ID) { // it was finished at another replica
		s.endDelivery(m)
		s.finishLocked(m)
		return true
	}
	route := r.table.Route(m.record.Host, m.record.Target)
	if route == nil || m.expired(s.config.Partitions.Now()) {
		s.endDelivery(m)
		s.config.Partitions.Finish(m.record.Partition, m.record.ID, partition.DeadLetter, "")
		s.finishLocked(m)
		return true
	}
	if route.Service != r.queue.service { // the configuration has changed: move it to the queue of the new service
		s.endDelivery(m)
		m.queued = false
		s.enqueueLocked(m)
		r.next = 0
		return true
	}
	if !s.fitsBeforeShutdownLocked(route, r.now) { // the next primary delivers it
		s.endDelivery(m)
		r.deferMessage(m, s.timing.endpointRecheck())
		return true
	}
	return s.startLocked(r, m, route)
}

// startLocked starts the delivery of a message if the rate limit of the service and the byte
// quota of the tenant allow it and an endpoint is free. It reports whether the round
// continues.
func (s *Scheduler) startLocked(r *dispatchRound, m *message, route *configuration.Route) (more bool) {
	if !s.takePacingToken(r) {
		s.endDelivery(m)
		r.deferMessage(m, r.queue.pacer.timeUntilToken(r.service.RatePerS))
		return false
	}
	e, wait := s.pickEndpointLocked(r.service, m, r.now)
	if e == nil {
		s.endDelivery(m)
		r.returnPacingToken()
		r.deferMessage(m, wait)
		r.endpointMisses++
		return r.endpointMisses <= maxEndpointMisses
	}
	if throttle := s.checkByteQuota(m, route, r.now); throttle > 0 {
		s.endDelivery(m)
		r.returnPacingToken()
		m.due = r.now.Add(throttle)
		r.queue.schedule(m)
		r.next = min(r.next, throttle)
		return true
	}
	m.queued = false
	m.running = true
	m.lastEndpoint = e.ID
	m.attempts++
	e.inFlight++
	instance := e.Instance
	s.attemptTasks.Go(func() { s.attempt(m, e, instance, route) })
	return true
}

// takePacingToken takes a token from the pacer if the service has a rate limit, and reports
// whether a delivery may start.
func (s *Scheduler) takePacingToken(r *dispatchRound) bool {
	if r.service.RatePerS <= 0 {
		return true
	}
	return r.queue.pacer.take(r.service.RatePerS, s.config.Settings.Timers.OriginOvershoot, r.now)
}

// returnPacingToken reverts takePacingToken.
func (r *dispatchRound) returnPacingToken() {
	if r.service.RatePerS > 0 {
		r.queue.pacer.returnToken()
	}
}

// checkByteQuota records the size of a delivery with the byte quota of the tenant. If the
// tenant is over its limit, it reverts the record and returns the throttle time. A message
// is throttled until one quota window after it was due at the latest: it was accepted, so it
// must be delivered even if the limit has been lowered since.
func (s *Scheduler) checkByteQuota(m *message, route *configuration.Route, now time.Time) time.Duration {
	size := float64(len(m.record.Body))
	throttle := s.config.DeliveryBytes.Record(m.record.Tenant, route.Name, size)
	throttle = min(throttle, m.eligibleSince.Add(quota.Window).Sub(now))
	if throttle > 0 {
		s.config.DeliveryBytes.Unrecord(m.record.Tenant, route.Name, size)
	}
	return throttle
}

// beginDelivery counts a delivery as in flight if it may start. It counts before the check, so
// that a handover that has stopped the deliveries of the partition and then finds none in
// flight can rely on that.
func (s *Scheduler) beginDelivery(m *message) bool {
	s.inFlight.add(m.record.Partition, 1)
	if s.config.Partitions.MayDeliver(m.record.Partition) {
		return true
	}
	s.inFlight.add(m.record.Partition, -1)
	return false
}

// endDelivery reverts beginDelivery.
func (s *Scheduler) endDelivery(m *message) { s.inFlight.add(m.record.Partition, -1) }

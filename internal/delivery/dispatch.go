package delivery

import (
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
)

// maxWithoutEndpoint is after how many messages without a free endpoint the
// others of their service are not tried: there is hardly one for them either.
const maxWithoutEndpoint = 4

// dispatchRound is one look at the queue of a service.
type dispatchRound struct {
	now             time.Time
	table           *configuration.Table
	service         *configuration.Service
	queue           *serviceQueue
	next            time.Duration // when to look again
	setAside        []*message    // due, but not startable now
	withoutEndpoint int
}

// retryIn sets a message aside for another look.
func (r *dispatchRound) retryIn(m *message, d time.Duration) {
	r.setAside = append(r.setAside, m)
	r.next = min(r.next, d)
}

// dispatchLocked starts the deliveries of one service that can start now, and
// returns when to look again.
func (s *Scheduler) dispatchLocked(q *serviceQueue, now time.Time) time.Duration {
	q.releaseDue(now)
	next := q.untilNextDue(now, s.timing.idle())
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
	for _, m := range r.setAside {
		q.putBack(m)
	}
	return r.next
}

// dispatchMessageLocked starts the delivery of a message, ends it, or puts it off,
// and reports whether the round goes on.
func (s *Scheduler) dispatchMessageLocked(r *dispatchRound, m *message) (more bool) {
	if m.ended {
		return true
	}
	if !m.isFirstOfKey() { // an earlier message of its key came later: it waits for that one
		m.queued = false
		return true
	}
	if r.table.Revision < m.record.Revision || !s.beginDelivery(m) {
		r.retryIn(m, s.timing.leaseRecheck())
		return true
	}
	if !s.config.Partitions.IsPending(m.record.Partition, m.record.ID) { // another replica knew how it ended
		s.endDelivery(m)
		s.endLocked(m)
		return true
	}
	route := r.table.Route(m.record.Host, m.record.Target)
	if route == nil || m.expired(s.config.Partitions.Now()) {
		s.endDelivery(m)
		s.config.Partitions.Finish(m.record.Partition, m.record.ID, partition.Dead, "")
		s.endLocked(m)
		return true
	}
	if route.Service != r.queue.service { // the configuration has changed
		s.endDelivery(m)
		m.queued = false
		s.enqueueLocked(m)
		r.next = 0
		return true
	}
	if !s.mayEndInTimeLocked(route, r.now) { // the next primary makes it
		s.endDelivery(m)
		r.retryIn(m, s.timing.endpointRecheck())
		return true
	}
	return s.startLocked(r, m, route)
}

// startLocked starts the delivery of a message if its service's pace, an
// endpoint and the tenant's quota of bytes allow it, and reports whether the
// round goes on.
func (s *Scheduler) startLocked(r *dispatchRound, m *message, route *configuration.Route) (more bool) {
	if !s.takeToken(r) {
		s.endDelivery(m)
		r.retryIn(m, r.queue.pacer.untilToken(r.service.RatePerS))
		return false
	}
	e, wait := s.pickEndpointLocked(r.service, m, r.now)
	if e == nil {
		s.endDelivery(m)
		r.returnToken()
		r.retryIn(m, wait)
		r.withoutEndpoint++
		return r.withoutEndpoint <= maxWithoutEndpoint
	}
	if throttle := s.recordBytes(m, route, r.now); throttle > 0 {
		s.endDelivery(m)
		r.returnToken()
		m.due = r.now.Add(throttle)
		r.queue.schedule(m)
		r.next = min(r.next, throttle)
		return true
	}
	m.queued = false
	m.running = true
	m.lastEndpoint = e.ID
	m.tries++
	e.inFlight++
	instance := e.Instance
	s.attempts.Go(func() { s.attempt(m, e, instance, route) })
	return true
}

// takeToken takes a token of the service's pace, if it has one, and reports
// whether a delivery may start.
func (s *Scheduler) takeToken(r *dispatchRound) bool {
	if r.service.RatePerS <= 0 {
		return true
	}
	return r.queue.pacer.take(r.service.RatePerS, s.config.Settings.Timers.OriginOvershoot, r.now)
}

// returnToken undoes takeToken.
func (r *dispatchRound) returnToken() {
	if r.service.RatePerS > 0 {
		r.queue.pacer.putBack()
	}
}

// recordBytes records the size of a delivery with the quota of its tenant. If it
// is over its limit, nothing goes out: the size is taken back, and the throttle
// time is returned. It ends one window after the message was due: the message was
// accepted, so it is owed, whatever the limit is by now.
func (s *Scheduler) recordBytes(m *message, route *configuration.Route, now time.Time) time.Duration {
	size := float64(len(m.record.Body))
	throttle := s.config.DeliveryBytes.Record(m.record.Tenant, route.Name, size)
	throttle = min(throttle, m.eligibleSince.Add(quota.Window).Sub(now))
	if throttle > 0 {
		s.config.DeliveryBytes.Unrecord(m.record.Tenant, route.Name, size)
	}
	return throttle
}

// beginDelivery counts a delivery as in flight if it may start. It is counted
// before the check: a handover that finds none in flight after the partition is
// frozen can rely on it.
func (s *Scheduler) beginDelivery(m *message) bool {
	s.inFlight.add(m.record.Partition, 1)
	if s.config.Partitions.MayDeliver(m.record.Partition) {
		return true
	}
	s.inFlight.add(m.record.Partition, -1)
	return false
}

// endDelivery counts a delivery as not in flight any more.
func (s *Scheduler) endDelivery(m *message) { s.inFlight.add(m.record.Partition, -1) }

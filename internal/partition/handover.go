package partition

import (
	"context"
	"time"
)

// handoverState says what a handover has stopped in a partition.
type handoverState struct {
	deliveriesStopped bool
	acceptsStopped    bool
	request           int64 // the last call of Freeze that asked for the partition
}

func (h *handoverState) stopDeliveries(request int64) {
	h.deliveriesStopped = true
	h.request = request
}

// resume lets the partition deliver and accept again.
func (h *handoverState) resume() {
	h.deliveriesStopped = false
	h.acceptsStopped = false
}

// PrepareHandover prepares the handover of partitions to their backups: it stops their
// deliveries, waits until those under way have ended, stops accepting messages,
// and returns the partitions whose backups hold all records and have their lease
// back. The partitions go on as before if no new placement comes. wanted gives
// the epoch of each partition; PrepareHandover changes it. idle reports whether no delivery
// of a partition is under way.
func (m *Manager) PrepareHandover(ctx context.Context, wanted map[int]int64, idle func(n int) bool) map[int]int64 {
	ready := map[int]int64{}
	request := m.stopDeliveries(wanted)
	for len(wanted) > 0 && ctx.Err() == nil {
		if m.advanceHandover(wanted, ready, idle) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.timing.handoverPoll()):
		}
	}
	m.resumeAfter(m.timing.handoverValidity(), request, ready)
	m.resumeAfter(0, request, wanted)
	return ready
}

// stopDeliveries stops the deliveries of the partitions that this store leads in
// the wanted epochs, and removes the others from wanted. It returns the number of
// the request.
func (m *Manager) stopDeliveries(wanted map[int]int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handovers++
	for n, epoch := range wanted {
		if n < len(m.partitions) && m.leadsInLocked(m.partitions[n], epoch) {
			m.partitions[n].handover.stopDeliveries(m.handovers)
		} else {
			delete(wanted, n)
		}
	}
	return m.handovers
}

// advanceHandover takes each wanted partition one step on, and moves those that
// can be handed over to ready. It reports whether to wait no longer.
func (m *Manager) advanceHandover(wanted, ready map[int]int64, idle func(n int) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, epoch := range wanted {
		p := m.partitions[n]
		switch {
		case p.epoch != epoch:
			delete(wanted, n)
		case !p.handover.acceptsStopped && idle(n):
			p.handover.acceptsStopped = true
			for _, r := range p.replicas {
				m.wakeReplicatorLocked(r.store)
			}
		case p.handover.acceptsStopped && p.isReadyForHandover():
			ready[n] = epoch
			delete(wanted, n)
		}
	}
	return len(wanted) == 0 || len(ready) > 0 && !m.anyStoppedAcceptingLocked(wanted)
}

// isReadyForHandover reports whether all backups that may become primary by a handover
// hold all records and have their lease back. One that is still being filled, and is not
// known to be in sync, is waited for only with what has changed, and not at all before it
// has answered: the controller does not choose it.
func (p *partition) isReadyForHandover() bool {
	for _, r := range p.replicas {
		switch {
		case !r.inSync && !r.connected:
		case len(r.unreplicated) > 0, !r.leaseReleased:
			return false
		case (r.inSync || r.verified) && r.hasBacklog():
			return false
		}
	}
	return true
}

// anyStoppedAcceptingLocked reports whether any of the partitions is close to its
// handover. Where none is, some deliveries take long, and the partitions that are
// ready do not wait for them.
func (m *Manager) anyStoppedAcceptingLocked(partitions map[int]int64) bool {
	for n := range partitions {
		if m.partitions[n].handover.acceptsStopped {
			return true
		}
	}
	return false
}

// resumeAfter lets partitions that are led here in the same epoch go on after a
// delay, unless a later request asked for them: the controller may rely on the
// answer to that one for longer.
func (m *Manager) resumeAfter(delay time.Duration, request int64, epochs map[int]int64) {
	if len(epochs) == 0 {
		return
	}
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for n, epoch := range epochs {
			p := m.partitions[n]
			if p.epoch == epoch && p.handover.deliveriesStopped && p.handover.request == request {
				p.resume()
			}
		}
	})
}

// resume ends a handover that did not take place.
func (p *partition) resume() {
	p.handover.resume()
	for _, r := range p.replicas {
		r.leaseReleased = false
	}
	p.notifyChanged()
}

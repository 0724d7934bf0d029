package partition

import (
	"context"
	"time"
)

// handoverState records what a handover has stopped in a partition.
type handoverState struct {
	deliveriesStopped bool
	acceptsStopped    bool
	request           int64 // number of the last PrepareHandover call for the partition
}

func (h *handoverState) stopDeliveries(request int64) {
	h.deliveriesStopped = true
	h.request = request
}

// resume allows deliveries and accepts again.
func (h *handoverState) resume() {
	h.deliveriesStopped = false
	h.acceptsStopped = false
}

// PrepareHandover prepares partitions for a handover to their backups. It stops their
// deliveries, waits until those in progress have ended, stops accepting messages, and
// returns the partitions whose backups hold all records and no longer grant a lease. The
// partitions resume if no new placement arrives. wanted maps each partition to its epoch
// and is modified. idle reports whether no delivery of a partition is in progress.
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

// stopDeliveries stops the deliveries of the partitions that this store leads in the
// wanted epochs, and removes the others from wanted. It returns the number of the
// request.
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

// advanceHandover advances each wanted partition by one step, and moves those that can be
// handed over to ready. It reports whether to stop waiting.
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
// hold all records and have accepted the release of their lease. A backup that is still
// being filled and is not known to be in sync is only waited for until it has the latest
// changes, and not at all before it has answered, since the controller does not choose
// it.
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

// anyStoppedAcceptingLocked reports whether any of the partitions has stopped accepting
// and so is close to its handover. If none has, only long deliveries remain, and the
// partitions that are ready do not wait for them.
func (m *Manager) anyStoppedAcceptingLocked(partitions map[int]int64) bool {
	for n := range partitions {
		if m.partitions[n].handover.acceptsStopped {
			return true
		}
	}
	return false
}

// resumeAfter resumes partitions after a delay if they are still in the same epoch and no
// later request has included them: the controller may rely on the response to a later
// request for longer.
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

// resume cancels a handover that did not take place.
func (p *partition) resume() {
	p.handover.resume()
	for _, r := range p.replicas {
		r.leaseReleased = false
	}
	p.notifyChanged()
}

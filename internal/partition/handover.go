package partition

import (
	"context"
	"time"
)

// Freeze stops the deliveries of partitions, waits until those under way have
// ended, stops taking messages, and gives back the partitions whose backups
// hold everything. If no new placement comes, all goes on as before.
func (s *Manager) Freeze(ctx context.Context, want map[int]int64, idle func(n int) bool) map[int]int64 {
	out := map[int]int64{}
	s.mu.Lock()
	s.handovers++
	freeze := s.handovers
	for n, epoch := range want {
		if n < len(s.partitions) && s.partitions[n].epoch == epoch && s.partitions[n].primary == s.Self {
			s.partitions[n].deliveriesStopped, s.partitions[n].handover = true, freeze
		} else {
			delete(want, n)
		}
	}
	s.mu.Unlock()
	step := s.ContactTimeout / 800
	for len(want) > 0 && ctx.Err() == nil {
		s.mu.Lock()
		for n, epoch := range want {
			p := s.partitions[n]
			switch {
			case p.epoch != epoch:
				delete(want, n)
			case !p.acceptsStopped && idle(n):
				p.acceptsStopped = true
				for _, r := range p.replicas {
					s.wakeReplicatorLocked(r.store)
				}
			case p.acceptsStopped && p.released():
				out[n] = epoch
				delete(want, n)
			}
		}
		s.mu.Unlock()
		if len(want) == 0 || len(out) > 0 && len(want) > 0 && s.noneStoppedAccepting(want) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(step):
		}
	}
	s.resumeAfter(freeze, out, s.ContactTimeout/4) // longer than the steward relies on it
	s.resumeAfter(freeze, want, 0)
	return out
}

// given tells whether all backups that may succeed hold everything and took
// the lease back. One that answered may be in step by now, though the news of
// it are still on their way here.
func (p *partition) released() bool {
	for _, r := range p.replicas {
		if r.mayBecomePrimary() && (len(r.unreplicated) > 0 || !r.leaseReleased) {
			return false
		}
	}
	return true
}

// patience tells whether what is left is far from ready: some deliveries take
// long, and the partitions that are ready do not wait for them.
func (s *Manager) noneStoppedAccepting(want map[int]int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range want {
		if s.partitions[n].acceptsStopped {
			return false
		}
	}
	return true
}

// thaw lets partitions go on that are still led here after a while, unless they
// were asked for again: the steward may rely on that answer for longer.
func (s *Manager) resumeAfter(freeze int64, list map[int]int64, after time.Duration) {
	if len(list) == 0 {
		return
	}
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for n, epoch := range list {
			if p := s.partitions[n]; p.epoch == epoch && p.deliveriesStopped && p.handover == freeze {
				p.deliveriesStopped, p.acceptsStopped = false, false
				for _, r := range p.replicas {
					r.leaseReleased = false
				}
				close(p.changed)
				p.changed = make(chan struct{})
			}
		}
	})
}

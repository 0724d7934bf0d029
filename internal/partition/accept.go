package partition

import (
	"context"
	"fmt"
	"time"

	"saltreel/internal/rpc"
)

// accepted is a message on its way to the disks.
type pendingAccept struct {
	record *Record
	onLocalDisk  bool
	onBackupDisk map[string]bool // by the disk of a backup
	done   chan struct{}
}

// errors of an accept.
func notPrimary(n int) error {
	return &rpc.StatusError{Code: 421, Text: fmt.Sprintf("partition %d is not led here", n)}
}

// unclear is the answer when a message may have been taken.
func unconfirmed(n int) error {
	return &rpc.StatusError{Code: 504, Text: fmt.Sprintf("partition %d: too few stores answered in time", n)}
}

// Accept takes a message: it returns nil once it is on as many disks as may be
// lost, and one more. After a 421
// or a 503 it is certain that it was not taken; any other error is unclear.
func (s *Manager) Accept(ctx context.Context, n int, r *Record) error {
	logged := false
	for {
		s.mu.Lock()
		if n < 0 || n >= len(s.partitions) || s.partitions[n].primary != s.Self {
			s.mu.Unlock()
			if logged {
				return unconfirmed(n)
			}
			return notPrimary(n)
		}
		p := s.partitions[n]
		gone := p.changed
		if p.acceptsStopped && p.records[r.ID] == nil {
			s.mu.Unlock()
			select {
			case <-gone:
				continue
			case <-ctx.Done():
				if logged {
					return unconfirmed(n)
				}
				return notPrimary(n)
			}
		}
		if old := p.records[r.ID]; old != nil && old.Tenant != r.Tenant {
			s.mu.Unlock()
			return &rpc.StatusError{Code: 409, Text: "another tenant's message has this id"}
		}
		w := p.unconfirmed[r.ID]
		if p.records[r.ID] != nil && w == nil { // taken before
			certain := len(p.replicas) >= s.Backups && p.verified()
			here := make(chan struct{})
			if certain { // but it may not be on this disk yet
				s.storage.afterSync(func() { close(here) })
			}
			s.mu.Unlock()
			logged = true
			select { // until the backups are seen to hold it too
			case <-here:
				return nil
			case <-time.After(s.ContactTimeout / 200):
				continue
			case <-ctx.Done():
				return unconfirmed(n)
			}
		}
		if w == nil {
			if len(p.replicas) < s.Backups {
				s.mu.Unlock()
				return &rpc.StatusError{Code: 503, Text: fmt.Sprintf("partition %d has %d backups, %d are needed", n, len(p.replicas), s.Backups)}
			}
			if s.storage.refuses() { // others lead soon: worth waiting for
				s.mu.Unlock()
				return &rpc.StatusError{Code: 421, Text: "this store's disk takes no writes"}
			}
			if s.full {
				s.mu.Unlock()
				return &rpc.StatusError{Code: 503, Text: "this store is full"}
			}
			r.Partition = n
			r.Order = p.sequence + 1
			w = &pendingAccept{record: r, onBackupDisk: map[string]bool{}, done: make(chan struct{})}
			p.unconfirmed[r.ID] = w
			s.commitLocked(p, r, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				w.onLocalDisk = true
				s.confirmLocked(p, w)
			})
		}
		logged = true
		s.mu.Unlock()
		select {
		case <-w.done:
			return nil
		case <-gone:
			// The same message may be in the new epoch: look again.
		case <-ctx.Done():
			return unconfirmed(n)
		}
	}
}

// settle ends the wait of a message that enough disks hold. The lock is held.
func (s *Manager) confirmLocked(p *partition, w *pendingAccept) {
	if !w.onLocalDisk || len(p.replicas) < s.Backups || p.unconfirmed[w.record.ID] != w {
		return
	}
	for _, r := range p.replicas {
		if !w.onBackupDisk[r.disk] {
			return
		}
	}
	delete(p.unconfirmed, w.record.ID)
	close(w.done)
	if r := p.records[w.record.ID]; r != nil && r.State == Pending {
		s.emitLocked(Event{Partition: p.number, Records: []*Record{r}})
	}
}

// Finish writes how a message ended.
func (s *Manager) Finish(n int, id string, state State, seal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[n]
	r := p.records[id]
	if r == nil || r.State != Pending {
		return
	}
	end := r.outcome(state, seal, s.Now()+s.StateRetention.Milliseconds())
	if p.primary == s.Self {
		s.commitLocked(p, end, nil)
		return
	}
	// Not the primary any more: what is known is kept and told when asked.
	p.sequence++
	end.Sequence, end.Epoch = p.sequence, r.Epoch
	s.putLocked(p, end)
	s.writeLocked(p, end, nil)
}

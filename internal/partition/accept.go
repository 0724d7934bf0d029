package partition

import (
	"context"
	"time"
)

// pendingAccept is a message that the disks of this store and of all backups are
// to confirm.
type pendingAccept struct {
	record       *Record
	onLocalDisk  bool
	onBackupDisk map[string]bool // by the identity of the disk
	done         chan struct{}   // closed once it is confirmed
}

// acceptWait is what an accept waits for, outside of the lock. Any of the
// channels may be nil.
type acceptWait struct {
	confirmed   <-chan struct{} // closed: the message is accepted
	changed     <-chan struct{} // closed: look again
	retryAfter  time.Duration   // look again then; 0 means never
	mayBeStored bool            // some disk may have the message
}

// Accept stores a message. It returns nil once the disks of the primary and of
// all backups, Config.Backups or more, hold it. An *UnconfirmedError says that it
// may have been stored; after any other error it was not stored.
func (m *Manager) Accept(ctx context.Context, n int, r *Record) error {
	return m.AcceptAll(ctx, n, []*Record{r})[0]
}

// AcceptAll accepts messages of one partition in their order. The errors are those
// of Accept, for each message.
func (m *Manager) AcceptAll(ctx context.Context, n int, records []*Record) []error {
	attempts := make([]acceptAttempt, len(records))
	for i, r := range records {
		attempts[i].wait, attempts[i].err = m.tryAccept(n, r, false)
	}
	errs := make([]error, len(records))
	for i, r := range records {
		errs[i] = m.awaitAccept(ctx, n, r, attempts[i])
	}
	return errs
}

// acceptAttempt is the outcome of a first tryAccept.
type acceptAttempt struct {
	wait acceptWait
	err  error
}

// awaitAccept waits until a message is accepted, and tries again where that may
// help.
func (m *Manager) awaitAccept(ctx context.Context, n int, r *Record, attempt acceptAttempt) error {
	mayBeStored := false
	for {
		wait, err := attempt.wait, attempt.err
		if err != nil {
			return err
		}
		mayBeStored = mayBeStored || wait.mayBeStored
		var retry <-chan time.Time
		if wait.retryAfter > 0 {
			retry = time.After(wait.retryAfter)
		}
		select {
		case <-wait.confirmed:
			return nil
		case <-wait.changed: // the message may be in the new epoch
		case <-retry:
		case <-ctx.Done():
			return notAccepted(n, mayBeStored)
		}
		attempt.wait, attempt.err = m.tryAccept(n, r, mayBeStored)
	}
}

// notAccepted is the error of an accept that ends without a confirmation.
func notAccepted(n int, mayBeStored bool) error {
	if mayBeStored {
		return &UnconfirmedError{n}
	}
	return &NotPrimaryError{n}
}

// tryAccept stores a message, unless it is stored already or cannot be now, and
// returns what to wait for. Messages are stored in the order of the calls.
func (m *Manager) tryAccept(n int, r *Record, mayBeStored bool) (acceptWait, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return acceptWait{}, notAccepted(n, mayBeStored)
	}
	p := m.partitions[n]
	stored := p.stored(r)
	var accept *pendingAccept
	if stored != nil {
		accept = p.unconfirmed[stored.ID]
	}
	switch {
	case stored == nil && mayBeStored: // it expired, or another primary may have it
		return acceptWait{}, notAccepted(n, mayBeStored)
	case stored == nil && p.handover.acceptsStopped:
		return acceptWait{changed: p.changed}, nil
	case stored == nil && r.IsEntry() && p.log.isSuperseded(r):
		return acceptWait{}, ErrSuperseded
	case stored != nil && stored.Tenant != r.Tenant && !r.IsEntry():
		return acceptWait{}, ErrIDConflict
	case stored != nil && accept == nil && stored.IsEntry() && !stored.Position().After(p.log.releasedThrough()):
		return acceptWait{confirmed: closedChannel}, nil
	case stored != nil && accept == nil:
		return m.awaitVerificationLocked(p), nil
	case accept == nil:
		if err := m.checkAcceptLocked(p); err != nil {
			return acceptWait{}, err
		}
		accept = m.startAcceptLocked(p, r)
	}
	return acceptWait{confirmed: accept.done, changed: p.changed, mayBeStored: true}, nil
}

// closedChannel is what confirms at once.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// awaitVerificationLocked is the wait for a message that was stored earlier: it
// is accepted once all backups are known to hold the same records, and this disk
// has what is in memory here.
func (m *Manager) awaitVerificationLocked(p *partition) acceptWait {
	wait := acceptWait{retryAfter: m.timing.verificationPoll(), mayBeStored: true}
	if len(p.replicas) >= m.config.Backups && p.allVerified() {
		onDisk := make(chan struct{})
		m.storage.afterSync(func() { close(onDisk) })
		wait.confirmed = onDisk
	}
	return wait
}

// checkAcceptLocked is the reason why the partition takes no new message now.
func (m *Manager) checkAcceptLocked(p *partition) error {
	switch {
	case len(p.replicas) < m.config.Backups:
		return &TooFewBackupsError{p.number, len(p.replicas), m.config.Backups}
	case m.storage.refusesWrites():
		return ErrDiskRefusesWrites
	case m.usage.full:
		return ErrStoreFull
	}
	return nil
}

// startAcceptLocked sends a message to this disk and to the backups.
func (m *Manager) startAcceptLocked(p *partition, r *Record) *pendingAccept {
	r.Partition = p.number
	r.Order = p.records.sequence + 1
	if r.IsEntry() {
		r.ID = entryID(Position{p.epoch, r.Order})
		r.Previous = p.log.lastPosition[r.Topic]
	}
	accept := &pendingAccept{record: r, onBackupDisk: map[string]bool{}, done: make(chan struct{})}
	p.unconfirmed[r.ID] = accept
	m.commitLocked(p, r, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		accept.onLocalDisk = true
		m.confirmLocked(p, accept)
	})
	if r.IsEntry() {
		p.log.append(r)
	}
	return accept
}

// isConfirmed reports whether enough disks hold a message that waits for them.
func (p *partition) isConfirmed(accept *pendingAccept, backups int) bool {
	if !accept.onLocalDisk || len(p.replicas) < backups || p.unconfirmed[accept.record.ID] != accept {
		return false
	}
	for _, r := range p.replicas {
		if !accept.onBackupDisk[r.disk] {
			return false
		}
	}
	return true
}

// confirmLocked ends the wait for a message that enough disks hold, and gives it
// to the delivery.
func (m *Manager) confirmLocked(p *partition, accept *pendingAccept) {
	if !p.isConfirmed(accept, m.config.Backups) {
		return
	}
	id := accept.record.ID
	delete(p.unconfirmed, id)
	close(accept.done)
	switch {
	case accept.record.IsEntry():
		m.releaseEntriesLocked(p)
	case p.records.isPending(id):
		m.events.push(Event{Partition: p.number, Records: []*Record{p.records.byID[id]}})
	}
}

// Finish stores the outcome of a message: Complete or Dead.
func (m *Manager) Finish(n int, id string, state State, seal string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partitions[n]
	if !p.records.isPending(id) {
		return
	}
	r := p.records.byID[id]
	outcome := r.outcome(state, seal, m.Now()+m.config.StateRetention.Milliseconds())
	if m.leadsLocked(p) {
		m.commitLocked(p, outcome, nil)
		return
	}
	// This store is the primary no longer: the new one finds the outcome when it
	// compares its records with those here.
	outcome.Sequence, outcome.Epoch = p.records.sequence+1, r.Epoch
	m.storeLocked(p, outcome, nil)
}

package partition

import (
	"context"
	"time"
)

// pendingAccept is a message that has not yet been confirmed by the disk of this store
// and the disks of all backups.
type pendingAccept struct {
	record       *Record
	onLocalDisk  bool
	onBackupDisk map[string]bool // by disk identity
	done         chan struct{}   // closed when the message is confirmed
}

// acceptWait tells the caller of tryAccept what to wait for after it has released the
// lock. Any of the channels may be nil.
type acceptWait struct {
	confirmed   <-chan struct{} // closed when the message is accepted
	changed     <-chan struct{} // closed when the partition has changed and the call must be retried
	retryAfter  time.Duration   // delay before the next retry; 0 disables it
	mayBeStored bool            // at least one disk may hold the message
}

// Accept stores a message. It returns nil once the message is on the disks of the primary
// and of all backups, of which there must be at least Config.Backups. An
// *UnconfirmedError means that the message may have been stored; after any other error it
// was not stored.
func (m *Manager) Accept(ctx context.Context, n int, r *Record) error {
	return m.AcceptAll(ctx, n, []*Record{r})[0]
}

// AcceptAll accepts messages of one partition in the given order. It returns one error
// for each message, as Accept would.
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

// acceptAttempt is the result of the first tryAccept for a message.
type acceptAttempt struct {
	wait acceptWait
	err  error
}

// awaitAccept waits until a message is accepted, and retries when the state of the
// partition changes.
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
		case <-wait.changed: // the message may be accepted now, for example in a new epoch
		case <-retry:
		case <-ctx.Done():
			return notAccepted(n, mayBeStored)
		}
		attempt.wait, attempt.err = m.tryAccept(n, r, mayBeStored)
	}
}

// notAccepted returns the error of an accept that ends without a confirmation.
func notAccepted(n int, mayBeStored bool) error {
	if mayBeStored {
		return &UnconfirmedError{n}
	}
	return &NotPrimaryError{n}
}

// tryAccept stores a message unless it is already stored or cannot be stored now, and
// returns what to wait for. mayBeStored means that an earlier call for the message may have
// stored it. Messages are stored in the order of the calls.
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
	case stored == nil && mayBeStored: // it has expired, or another primary may hold it
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

// closedChannel is the confirmation of a message that is already accepted.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// awaitVerificationLocked returns the wait for a message that was stored earlier. Such a
// message is accepted once every backup has been verified to hold the same records and
// this store's disk has everything that is in memory.
func (m *Manager) awaitVerificationLocked(p *partition) acceptWait {
	wait := acceptWait{retryAfter: m.timing.verificationPoll(), mayBeStored: true}
	if len(p.replicas) >= m.config.Backups && p.allVerified() {
		onDisk := make(chan struct{})
		m.storage.afterSync(func() { close(onDisk) })
		wait.confirmed = onDisk
	}
	return wait
}

// checkAcceptLocked returns an error if the partition cannot accept new messages now.
func (m *Manager) checkAcceptLocked(p *partition) error {
	switch {
	case len(p.replicas) < m.config.Backups:
		return &TooFewBackupsError{p.number, len(p.replicas), m.config.Backups}
	case m.storage.refusesWrites():
		return ErrDiskFailed
	case m.usage.full:
		return ErrStoreFull
	}
	return nil
}

// startAcceptLocked queues a message for this store's disk and for the backups.
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

// isConfirmed reports whether a pending message is on this store's disk and on the disks
// of all backups.
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

// confirmLocked confirms a message if enough disks hold it, and passes it to the
// delivery.
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

// Finish stores the outcome of a message, Complete or DeadLetter.
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
	// This store is no longer the primary. The new primary finds the outcome when it
	// reconciles its records with those of this store.
	outcome.Sequence, outcome.Epoch = p.records.sequence+1, r.Epoch
	m.storeLocked(p, outcome, nil)
}

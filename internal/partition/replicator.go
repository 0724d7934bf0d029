package partition

import (
	"context"
	"math/rand/v2"
	"time"

	"saltreel/internal/httpwire"
)

// replicator sends to one backup what it lacks of all partitions, and so renews the
// leases that the backup grants. It is woken for new messages. Outcomes, for which
// nobody waits, go with the next of them or with the next renewal: a call for each
// would be most of the calls in a large fleet.
//
// One batch is under way at a time, unless it takes long, as on slow disks: then further
// ones follow, of a partition that is in one with new messages only. Each of those names
// the batch before it, which the backup applies first, so no record overtakes another.
// After a failure a single one goes until the backup has answered again.
//
// Its fields belong to the goroutine of run, except for the channels.
type replicator struct {
	manager   *Manager
	peer      string // name of the backup
	wakeup    chan struct{}
	finished  chan batchOutcome
	wanted    bool // it was woken since the last batch
	underWay  int  // batches
	lastBatch int64
	sentAt    time.Time // of the last batch
	failedAt  time.Time // of the last batch that ended, if it failed; else zero
	inOrder   bool      // the backup applies batches in the order that they name

	// Of the batches under way: it has ended once one of them has failed, without which
	// the backup does not apply those behind it.
	batches context.Context
	cancel  context.CancelFunc
}

// batchOutcome is how a batch ended.
type batchOutcome struct {
	err     error
	inOrder bool
}

// maxBatchesUnderWay bounds the batches to one backup.
const maxBatchesUnderWay = 4

// wake makes the replicator look for work.
func (r *replicator) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (m *Manager) wakeReplicatorLocked(peer string) {
	if r := m.replicators[peer]; r != nil {
		r.wake()
	}
}

// startReplicatorLocked wakes the replicator to a peer, and starts it if there is
// none yet. It runs until the Manager ends.
func (m *Manager) startReplicatorLocked(peer string) {
	if r := m.replicators[peer]; r != nil {
		r.wake()
		return
	}
	r := &replicator{
		manager:   m,
		peer:      peer,
		wakeup:    make(chan struct{}, 1),
		finished:  make(chan batchOutcome, maxBatchesUnderWay),
		lastBatch: rand.Int64N(1<<20) * batchesPerIncarnation,
	}
	m.replicators[peer] = r
	r.wake()
	m.background.tasks.Go(func() { r.run(m.background.ctx) })
}

func (r *replicator) run(ctx context.Context) {
	ticker := time.NewTicker(r.manager.timing.leaseTick())
	defer ticker.Stop()
	for {
		var timer <-chan time.Time
		if wait := r.untilSend(time.Now()); wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
			if r.cancel != nil {
				r.cancel()
			}
			return
		case <-r.wakeup:
			r.wanted = true
		case <-ticker.C:
			r.wanted = true
		case outcome := <-r.finished:
			r.noteOutcome(ctx, outcome)
		case <-timer:
		}
		if r.untilSend(time.Now()) == 0 {
			r.sendNext(ctx)
		}
	}
}

// never is a wait that an event ends.
const never = time.Duration(-1)

// untilSend is how long to wait until the next batch may be sent; 0 if it may now.
func (r *replicator) untilSend(now time.Time) time.Duration {
	timing := r.manager.timing
	switch {
	case !r.wanted:
		return never
	case r.underWay == 0 && r.failedAt.IsZero():
		return 0
	case r.underWay == 0:
		return max(0, timing.replicationBackoff()-now.Sub(r.failedAt))
	case !r.failedAt.IsZero() || !r.inOrder || r.underWay >= maxBatchesUnderWay:
		return never
	}
	return max(0, timing.batchSpacing()-now.Sub(r.sentAt))
}

// sendNext sends the next batch, unless there is nothing to send.
func (r *replicator) sendNext(ctx context.Context) {
	m := r.manager
	r.wanted = false
	number := r.lastBatch + 1
	batch := m.makeBatch(r.peer, number)
	if len(batch.sent) == 0 {
		return
	}
	if r.underWay > 0 {
		batch.request.After = r.lastBatch
	} else {
		r.beginBatches(ctx)
	}
	r.lastBatch = number
	r.underWay++
	r.sentAt = time.Now() // the lease counts from before the call: the backup grants it later
	batches, sentAt := r.batches, r.sentAt
	m.background.tasks.Go(func() {
		var response BatchResponse
		err := r.call(batches, &batch, &response)
		if err == nil {
			m.handleResponse(r, sentAt, number, batch.sent, response)
		} else {
			m.handleFailedBatch(batch.sent)
		}
		r.finished <- batchOutcome{err, response.InOrder}
	})
}

// beginBatches begins a sequence of batches, while none is under way.
func (r *replicator) beginBatches(ctx context.Context) {
	if r.cancel != nil {
		r.cancel()
	}
	r.batches, r.cancel = context.WithCancel(ctx)
}

// noteOutcome notes how a batch ended. With the first that fails, the others end too:
// those behind it would wait for it at the backup.
func (r *replicator) noteOutcome(ctx context.Context, outcome batchOutcome) {
	r.underWay--
	switch {
	case r.batches.Err() != nil:
	case outcome.err != nil:
		r.cancel()
		r.handleFailure(ctx, outcome.err)
	default:
		r.failedAt = time.Time{}
		r.inOrder = outcome.inOrder
	}
}

func (r *replicator) call(ctx context.Context, batch *outgoingBatch, response *BatchResponse) error {
	m := r.manager
	ctx, cancel := context.WithTimeout(ctx, m.timing.lease())
	defer cancel()
	early := time.AfterFunc(m.timing.slowBackup(), func() { m.config.ReportFailure(r.peer, false) })
	defer early.Stop()
	return m.config.Client.Call(ctx, batch.address, "/copy", batch.request, batch.bodies, response)
}

// handleFailure reports a backup that did not answer, and makes the replicator
// try again.
func (r *replicator) handleFailure(ctx context.Context, err error) {
	m := r.manager
	if r.failedAt.IsZero() && ctx.Err() == nil {
		m.config.Log.Printf("copy: %s: %v", r.peer, err)
	}
	r.failedAt = time.Now()
	r.wanted = true
	m.config.ReportFailure(r.peer, httpwire.ConnectionRefused(err))
}

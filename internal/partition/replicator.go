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
	manager       *Manager
	peer          string // name of the backup
	wakeup        chan struct{}
	finished      chan batchOutcome
	sendRequested bool // it was woken since the last batch
	inFlight      int  // batches
	lastBatch     int64
	lastSentAt    time.Time // of the last batch
	lastFailedAt  time.Time // of the last batch that ended, if it failed; else zero
	inOrder       bool      // the backup applies batches in the order that they name

	// Of the pipeline under way: it has ended once one of them has failed, without which
	// the backup does not apply those behind it.
	pipeline       context.Context
	cancelPipeline context.CancelFunc
}

// batchOutcome is how a batch ended.
type batchOutcome struct {
	err     error
	inOrder bool
}

// maxInFlightBatches bounds the batches to one backup.
const maxInFlightBatches = 4

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
		finished:  make(chan batchOutcome, maxInFlightBatches),
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
		if wait := r.sendDelay(time.Now()); wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
			if r.cancelPipeline != nil {
				r.cancelPipeline()
			}
			return
		case <-r.wakeup:
			r.sendRequested = true
		case <-ticker.C:
			r.sendRequested = true
		case outcome := <-r.finished:
			r.handleOutcome(ctx, outcome)
		case <-timer:
		}
		if r.sendDelay(time.Now()) == 0 {
			r.sendNext(ctx)
		}
	}
}

// waitForEvent is a wait that an event ends.
const waitForEvent = time.Duration(-1)

// sendDelay is how long to wait until the next batch may be sent; 0 if it may now.
func (r *replicator) sendDelay(now time.Time) time.Duration {
	timing := r.manager.timing
	switch {
	case !r.sendRequested:
		return waitForEvent
	case r.inFlight == 0 && r.lastFailedAt.IsZero():
		return 0
	case r.inFlight == 0:
		return max(0, timing.replicationBackoff()-now.Sub(r.lastFailedAt))
	case !r.lastFailedAt.IsZero() || !r.inOrder || r.inFlight >= maxInFlightBatches:
		return waitForEvent
	}
	return max(0, timing.batchSpacing()-now.Sub(r.lastSentAt))
}

// sendNext sends the next batch, unless there is nothing to send.
func (r *replicator) sendNext(ctx context.Context) {
	m := r.manager
	r.sendRequested = false
	number := r.lastBatch + 1
	batch := m.makeBatch(r.peer, number)
	if len(batch.sent) == 0 {
		return
	}
	if r.inFlight > 0 {
		batch.request.After = r.lastBatch
	} else {
		r.resetPipeline(ctx)
	}
	r.lastBatch = number
	r.inFlight++
	r.lastSentAt = time.Now() // the lease counts from before the call: the backup grants it later
	pipeline, sentAt := r.pipeline, r.lastSentAt
	m.background.tasks.Go(func() {
		var response BatchResponse
		err := r.call(pipeline, &batch, &response)
		if err == nil {
			m.handleResponse(r, sentAt, number, batch.sent, response)
		} else {
			m.handleFailedBatch(batch.sent)
		}
		r.finished <- batchOutcome{err, response.InOrder}
	})
}

// resetPipeline begins a sequence of batches, while none is under way.
func (r *replicator) resetPipeline(ctx context.Context) {
	if r.cancelPipeline != nil {
		r.cancelPipeline()
	}
	r.pipeline, r.cancelPipeline = context.WithCancel(ctx)
}

// handleOutcome notes how a batch ended. With the first that fails, the others end too:
// those behind it would wait for it at the backup.
func (r *replicator) handleOutcome(ctx context.Context, outcome batchOutcome) {
	r.inFlight--
	switch {
	case r.pipeline.Err() != nil:
	case outcome.err != nil:
		r.cancelPipeline()
		r.handleFailure(ctx, outcome.err)
	default:
		r.lastFailedAt = time.Time{}
		r.inOrder = outcome.inOrder
	}
}

func (r *replicator) call(ctx context.Context, batch *outgoingBatch, response *BatchResponse) error {
	m := r.manager
	ctx, cancel := context.WithTimeout(ctx, m.timing.lease())
	defer cancel()
	slowTimer := time.AfterFunc(m.timing.slowBackup(), func() { m.config.ReportFailure(r.peer, false) })
	defer slowTimer.Stop()
	return m.config.Client.Call(ctx, batch.address, "/copy", batch.request, batch.bodies, response)
}

// handleFailure reports a backup that did not answer, and makes the replicator
// try again.
func (r *replicator) handleFailure(ctx context.Context, err error) {
	m := r.manager
	if r.lastFailedAt.IsZero() && ctx.Err() == nil {
		m.config.Log.Printf("copy: %s: %v", r.peer, err)
	}
	r.lastFailedAt = time.Now()
	r.sendRequested = true
	m.config.ReportFailure(r.peer, httpwire.ConnectionRefused(err))
}

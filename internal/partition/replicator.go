package partition

import (
	"context"
	"math/rand/v2"
	"time"

	"saltreel/internal/httpwire"
)

// replicator sends one backup the records that it lacks of all partitions, and thereby
// renews the leases that the backup grants. New messages wake it. Outcomes, which nobody
// waits for, are sent with the next message or lease renewal: a call for each outcome
// would make up most of the calls in a large fleet.
//
// Normally one batch is in flight. If it takes long, as on slow disks, further batches
// follow; for a partition that is already in a batch in flight they carry only new
// messages. Each of them names its predecessor, which the backup applies first, so that
// no record overtakes another. After a failure, a single batch is sent until the backup
// has answered again.
//
// The fields belong to the goroutine of run, except for the channels.
type replicator struct {
	manager       *Manager
	peer          string // name of the backup
	wakeup        chan struct{}
	finished      chan batchOutcome
	sendRequested bool // woken since the last batch
	inFlight      int  // number of batches in flight
	lastBatch     int64
	lastSentAt    time.Time // when the last batch was sent
	lastFailedAt  time.Time // when the last batch ended, if it failed; otherwise zero
	inOrder       bool      // the backup honors BatchRequest.After

	// The context of the batches in flight. It is canceled once one of them fails, since
	// the backup does not apply the batches that follow a missing one.
	pipeline       context.Context
	cancelPipeline context.CancelFunc
}

// batchOutcome is the result of a batch.
type batchOutcome struct {
	err     error
	inOrder bool
}

// maxInFlightBatches limits the number of batches in flight to one backup.
const maxInFlightBatches = 4

// wake requests a check for records to send.
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

// startReplicatorLocked wakes the replicator of a peer, and starts it if there is none
// yet. A replicator runs until the Manager ends.
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

// waitForEvent is the delay of a replicator that has to wait for an event.
const waitForEvent = time.Duration(-1)

// sendDelay returns how long to wait before the next batch may be sent, 0 if it may be
// sent now, or waitForEvent.
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
	r.lastSentAt = time.Now() // before the call: the lease must not outlast the one that the backup grants
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

// resetPipeline starts a new sequence of batches. No batch may be in flight.
func (r *replicator) resetPipeline(ctx context.Context) {
	if r.cancelPipeline != nil {
		r.cancelPipeline()
	}
	r.pipeline, r.cancelPipeline = context.WithCancel(ctx)
}

// handleOutcome handles the result of a batch. The first failure cancels the other
// batches in flight, which would otherwise wait at the backup for the failed one.
func (r *replicator) handleOutcome(ctx context.Context, outcome batchOutcome) {
	r.inFlight--
	switch {
	case r.pipeline.Err() != nil: // canceled after an earlier failure, or the Manager ends
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

// handleFailure reports a backup that did not answer, and requests a retry.
func (r *replicator) handleFailure(ctx context.Context, err error) {
	m := r.manager
	if r.lastFailedAt.IsZero() && ctx.Err() == nil {
		m.config.Log.Printf("copy: %s: %v", r.peer, err)
	}
	r.lastFailedAt = time.Now()
	r.sendRequested = true
	m.config.ReportFailure(r.peer, httpwire.ConnectionRefused(err))
}

package edge

import (
	"context"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/store"
	"saltreel/internal/timeutil"
)

// noPartition means that no partition is selected.
const noPartition = -1

// forwarding is the state of forwarding one message, over all attempts.
type forwarding struct {
	route    *configuration.Route
	service  *configuration.Service
	record   *partition.Record
	delay    time.Duration // from receipt until the message is due
	received time.Time

	// pinned is the partition whose store may have accepted the message. Sending it
	// to another one could run it twice. noPartition if no store may have it.
	pinned   int
	avoided  map[string]bool // primaries that were tried and certainly lack the message
	declined map[int]bool    // partitions that cannot accept messages now
}

// forward stores a message on one more disk than the number of host failures to
// tolerate. It returns the partition that accepted it, or errIDConflict, a
// *notAcceptedError or an *indeterminateError.
func (e *Edge) forward(ctx context.Context, route *configuration.Route, service *configuration.Service, r *partition.Record, delay time.Duration, received time.Time) (int, error) {
	f := forwarding{
		route: route, service: service, record: r, delay: delay, received: received,
		pinned: noPartition, avoided: map[string]bool{}, declined: map[int]bool{},
	}
	for {
		p := e.node.Placement()
		if p == nil {
			return 0, &notAcceptedError{}
		}
		placementChanged := e.node.PlacementChanged()
		target := e.choosePartition(&f, p)
		if target == noPartition {
			return 0, &notAcceptedError{}
		}
		err := e.attempt(ctx, &f, p, target)
		if err == nil {
			e.stalled.clear(target)
			return target, nil
		}
		if finalErr := e.handleFailure(ctx, &f, p, target, err); finalErr != nil {
			return 0, finalErr
		}
		timeutil.SleepUntil(ctx, e.retryDelay(&f, p), placementChanged)
		if ctx.Err() != nil {
			return 0, f.deadlineError(err)
		}
	}
}

// choosePartition returns the partition for the next attempt: the first candidate
// whose primary is neither avoided nor stalled, else the first candidate. It returns
// noPartition if there are no candidates.
func (e *Edge) choosePartition(f *forwarding, p *placement.Placement) int {
	if f.pinned != noPartition {
		return f.pinned
	}
	candidates := candidatePartitions(p, e.set, f.route, f.service, f.record)
	if len(candidates) == 0 {
		return noPartition
	}
	for _, candidate := range candidates {
		assigned := &p.Partitions[candidate]
		if !f.avoided[assigned.Primary] && !e.stalled.contains(candidate, assigned.Epoch) {
			return candidate
		}
	}
	return candidates[0]
}

// attempt sends the message once to the primary of a partition.
func (e *Edge) attempt(ctx context.Context, f *forwarding, p *placement.Placement, target int) error {
	address := p.Stores[p.Partitions[target].Primary].Address
	callCtx, cancel := context.WithTimeout(ctx, e.timing.attemptTimeout())
	defer cancel()
	stopWatching := e.watchPrimary(callCtx, cancel, target, p)
	defer stopWatching()
	wait := e.timing.storeWait()
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	untilDue := f.delay - time.Since(f.received)
	return e.node.Client.Call(callCtx, address, "/accept", store.AcceptRequest{
		Partition: target,
		Message:   *f.record,
		DelayMs:   max(0, untilDue.Milliseconds()+1),
		WaitMs:    wait.Milliseconds(),
	}, f.record.Body, nil)
}

// handleFailure processes a failed attempt. It returns the final error if another
// attempt would not help, else nil. An attempt that was cut off by the deadline of the
// request is no evidence of a failed primary, so it is not reported.
func (e *Edge) handleFailure(ctx context.Context, f *forwarding, p *placement.Placement, target int, err error) error {
	outcome := classifyAttempt(err)
	if outcome == attemptIDConflict && f.pinned == noPartition {
		return errIDConflict
	}
	primary := p.Partitions[target].Primary
	f.recordFailure(outcome, target, primary)
	if f.pinned == noPartition && e.declinedByAll(f) {
		return &notAcceptedError{cause: err}
	}
	switch {
	case ctx.Err() != nil:
	case outcome == attemptNotSent:
		e.node.ReportFailure(primary, httpwire.ConnectionRefused(err))
	case outcome == attemptUnanswered:
		e.node.ReportFailure(primary, false)
	}
	if len(f.avoided) >= len(p.Stores) { // all stores were tried: start over
		clear(f.avoided)
	}
	return nil
}

// recordFailure restricts where the message may be sent next: to another store only
// if the one that was tried certainly lacks it.
func (f *forwarding) recordFailure(outcome attemptOutcome, target int, primary string) {
	if !outcome.certainlyNotAccepted() {
		f.pinned = target
		return
	}
	f.avoided[primary] = true
	if outcome == attemptDeclined {
		f.declined[target] = true
	}
}

// declinedByAll reports whether, by the current placement, no store is left that
// may accept the message.
func (e *Edge) declinedByAll(f *forwarding) bool {
	p := e.node.Placement()
	return allDeclined(p, f.declined, candidatePartitions(p, e.set, f.route, f.service, f.record))
}

// retryDelay returns the delay before the next attempt; 0 if that goes to another
// store.
func (e *Edge) retryDelay(f *forwarding, p *placement.Placement) time.Duration {
	if f.pinned == noPartition && len(f.avoided) > 0 && len(candidatePartitions(p, e.set, f.route, f.service, f.record)) > 1 {
		return 0
	}
	return e.timing.forwardRetryDelay()
}

// deadlineError returns the error of a forward whose deadline has passed.
func (f *forwarding) deadlineError(last error) error {
	if f.pinned != noPartition {
		return &indeterminateError{cause: last}
	}
	return &notAcceptedError{cause: last}
}

package edge

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/placement"
)

// watchPrimary monitors a call to the primary of a partition until stop is called or
// ctx ends. A primary that does not respond within the stall timeout is marked as
// stalled and reported as failed. If another store becomes primary of the partition,
// the call is canceled.
func (e *Edge) watchPrimary(ctx context.Context, cancelCall context.CancelFunc, partition int, p *placement.Placement) (stop func()) {
	done := make(chan struct{})
	assigned := &p.Partitions[partition]
	go func() {
		stallTimer := time.NewTimer(e.timing.stallTimeout())
		defer stallTimer.Stop()
		for {
			placementChanged := e.node.PlacementChanged()
			if e.node.Placement().Partitions[partition].Primary != assigned.Primary {
				cancelCall()
				return
			}
			select {
			case <-placementChanged:
			case <-stallTimer.C:
				e.stalled.add(partition, assigned.Epoch)
				e.node.ReportFailure(assigned.Primary, false)
			case <-done:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(done) }
}

// stalledPrimaries records for the retention time which partitions had a primary
// that did not respond, and in which epoch.
type stalledPrimaries struct {
	retention time.Duration

	mu          sync.Mutex
	byPartition map[int]stalledPrimary
}

type stalledPrimary struct {
	epoch int64
	since time.Time
}

func newStalledPrimaries(retention time.Duration) stalledPrimaries {
	return stalledPrimaries{retention: retention, byPartition: map[int]stalledPrimary{}}
}

// add marks the primary of a partition in the given epoch as stalled.
func (s *stalledPrimaries) add(partition int, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byPartition[partition] = stalledPrimary{epoch, time.Now()}
}

// clear removes the mark of a partition whose primary responded.
func (s *stalledPrimaries) clear(partition int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byPartition, partition)
}

// contains reports whether the primary of the given epoch stalled within the
// retention time, so that new messages should prefer other partitions.
func (s *stalledPrimaries) contains(partition int, epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled, ok := s.byPartition[partition]
	return ok && stalled.epoch == epoch && time.Since(stalled.since) < s.retention
}

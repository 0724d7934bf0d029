package edge

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/placement"
)

// watchPrimary watches over a call to the primary of a partition until stop is
// called or ctx ends: a store that does not answer soon counts as stalled and is
// reported, and once another store leads the partition the call is cancelled.
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

// stalledPrimaries remembers for a while which partitions had a primary that did
// not answer, and in which epoch.
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

// add notes that the primary of a partition's epoch does not answer.
func (s *stalledPrimaries) add(partition int, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byPartition[partition] = stalledPrimary{epoch, time.Now()}
}

// clear notes that a partition's primary answered.
func (s *stalledPrimaries) clear(partition int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byPartition, partition)
}

// contains tells whether new messages should rather go elsewhere: the primary of
// this epoch stalled a short time ago.
func (s *stalledPrimaries) contains(partition int, epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled, ok := s.byPartition[partition]
	return ok && stalled.epoch == epoch && time.Since(stalled.since) < s.retention
}

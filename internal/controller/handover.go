package controller

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/placement"
)

// pathHandover is the path of the RPC that asks a primary to stop partitions.
const pathHandover = "/handover"

// handovers tracks the primaries that stop, or have stopped, to hand over to their
// successors. The zero value is ready for use.
type handovers struct {
	mu         sync.Mutex
	stopped    map[int]stoppedPartition // by partition
	inProgress map[string]bool          // stores with a handover request in progress
}

// stoppedPartition is a partition whose primary has stopped.
type stoppedPartition struct {
	epoch     int64
	stoppedAt time.Time
}

// stoppedEpochs returns the partitions whose primaries have stopped within the validity
// period, and so still wait for their successors, with the epochs in which they stopped.
func (h *handovers) stoppedEpochs(now time.Time, validity time.Duration) map[int]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	epochs := map[int]int64{}
	for partition, stopped := range h.stopped {
		if now.Sub(stopped.stoppedAt) < validity {
			epochs[partition] = stopped.epoch
		}
	}
	return epochs
}

// begin registers a handover request to a store. It returns false if one is already in
// progress.
func (h *handovers) begin(store string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inProgress[store] {
		return false
	}
	if h.inProgress == nil {
		h.inProgress = map[string]bool{}
	}
	h.inProgress[store] = true
	return true
}

// finish ends the handover request to a store and records the partitions that it has
// stopped, with their epochs.
func (h *handovers) finish(store string, epochs map[int]int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inProgress, store)
	if h.stopped == nil {
		h.stopped = map[int]stoppedPartition{}
	}
	for partition, epoch := range epochs {
		h.stopped[partition] = stoppedPartition{epoch, now}
	}
}

// handOver asks the primaries of partitions to stop for their successors. The requests
// run in the background.
func (c *Controller) handOver(ctx context.Context, current placement.Placement, partitions []int) {
	for store, epochs := range epochsByPrimary(current, partitions) {
		if !c.handovers.begin(store) {
			continue
		}
		address := current.Stores[store].Address
		c.config.Go(func(context.Context) { c.stopPartitions(ctx, store, address, epochs) })
	}
}

// epochsByPrimary groups partitions, with their epochs, by the store of their primary.
func epochsByPrimary(current placement.Placement, partitions []int) map[string]map[int]int64 {
	out := map[string]map[int]int64{}
	for _, i := range partitions {
		p := current.Partitions[i]
		if out[p.Primary] == nil {
			out[p.Primary] = map[int]int64{}
		}
		out[p.Primary][i] = p.Epoch
	}
	return out
}

func (c *Controller) stopPartitions(ctx context.Context, store, address string, epochs map[int]int64) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.handoverTimeout())
	defer cancel()
	var out placement.HandoverRequest
	err := c.config.Client.Call(ctx, address, pathHandover, placement.HandoverRequest{Partitions: epochs}, nil, &out)
	c.handovers.finish(store, out.Partitions, time.Now())
	if err != nil {
		c.config.Log.Printf("controller: handover request to %s failed: %v", store, err)
		return
	}
	c.Wake()
}

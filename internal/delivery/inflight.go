package delivery

import "sync"

// inFlightCounter counts the deliveries in flight by partition. It has a lock of
// its own, so that a handover can watch it while the scheduler works. The zero
// value is ready for use.
type inFlightCounter struct {
	mu          sync.Mutex
	byPartition map[int]int
}

func (c *inFlightCounter) count(partition int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPartition[partition]
}

func (c *inFlightCounter) add(partition, by int) {
	c.mu.Lock()
	if c.byPartition == nil {
		c.byPartition = map[int]int{}
	}
	c.byPartition[partition] += by
	c.mu.Unlock()
}

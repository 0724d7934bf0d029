package delivery

import "sync"

// inFlightCounter counts the deliveries in flight by partition. It has its own mutex so that a
// handover can poll it while the scheduler is busy. The zero value is ready to use.
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

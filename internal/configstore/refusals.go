package configstore

import (
	"sync"
	"time"
)

// connectionRefusals records the addresses whose host refused a connection, which
// means that no core runs there. The zero value is ready for use.
type connectionRefusals struct {
	mu        sync.Mutex
	refusedAt map[string]time.Time
}

// record records the outcome of the latest call to an address.
func (c *connectionRefusals) record(address string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusedAt == nil {
		c.refusedAt = map[string]time.Time{}
	}
	if refused {
		c.refusedAt[address] = time.Now()
	} else {
		delete(c.refusedAt, address)
	}
}

func (c *connectionRefusals) isRecent(address string, recency time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, refused := c.refusedAt[address]
	return refused && time.Since(at) < recency
}

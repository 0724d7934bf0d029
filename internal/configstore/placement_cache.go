package configstore

import (
	"bytes"
	"encoding/json"
	"sync"

	"saltreel/internal/placement"
)

// placementCache caches the most recently decoded placement, which is the largest
// document that a core reads.
type placementCache struct {
	mu      sync.Mutex
	raw     []byte
	decoded placement.Placement
}

// decode returns the placement in a document, the zero placement if the document is
// nil. The caller must not modify the result.
func (c *placementCache) decode(raw []byte) (placement.Placement, error) {
	if raw == nil {
		return placement.Placement{}, nil
	}
	if p, ok := c.lookup(raw); ok {
		return p, nil
	}
	var p placement.Placement
	err := json.Unmarshal(raw, &p)
	if err == nil {
		c.store(raw, p)
	}
	return p, err
}

func (c *placementCache) lookup(raw []byte) (placement.Placement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decoded, bytes.Equal(raw, c.raw)
}

func (c *placementCache) store(raw []byte, p placement.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raw = raw
	c.decoded = p
}

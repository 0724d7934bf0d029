package controlplane

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/distribution"
)

var bucketLeavings = []byte("leavings")

// bucketComplete holds the electorate for which the leavings here are complete.
var bucketComplete = []byte("leavings-complete")

// loadLeavings reads the leavings that this disk keeps, and before the time of
// which electorate it keeps all that were acknowledged.
func loadLeavings(tx *bbolt.Tx) (out []Item, complete int64, err error) {
	if raw := tx.Bucket(bucketComplete).Get(bucketComplete); raw != nil {
		if complete, err = strconv.ParseInt(string(raw), 10, 64); err != nil {
			return nil, 0, fmt.Errorf("the electorate of the leavings: %w", err)
		}
	}
	err = tx.Bucket(bucketLeavings).ForEach(func(k, v []byte) error {
		var it Item
		if err := json.Unmarshal(v, &it); err != nil {
			return fmt.Errorf("leaving of %s: %w", k, err)
		}
		if it.Value == nil {
			it.Value = json.RawMessage("null")
		}
		it.AgeMs = 0 // heard of now, so that it is forgotten late enough
		out = append(out, it)
		return nil
	})
	return out, complete, err
}

// keep puts leavings on disk, those of several calls at once where they come
// together. It returns nil once they would outlive a loss of power.
func (c *Server) keep(items []Item) error {
	var fresh []Item
	c.mu.Lock()
	for _, it := range items {
		if c.kept[it.Key] < it.Version.Major/drains {
			fresh = append(fresh, it)
		}
	}
	c.mu.Unlock()
	if len(fresh) == 0 {
		return nil
	}
	err := c.state.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLeavings)
		for _, it := range fresh {
			raw, err := json.Marshal(it)
			if err != nil {
				return err
			}
			var old Item
			if was := b.Get([]byte(it.Key)); was != nil && json.Unmarshal(was, &old) == nil && !old.Version.Less(it.Version) {
				continue
			}
			if err := b.Put([]byte(it.Key), raw); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("keep leavings: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range fresh {
		c.kept[it.Key] = max(c.kept[it.Key], it.Version.Major/drains)
	}
	return nil
}

// forget takes leavings off the disk that no late beat can undo any more.
func (c *Server) forget(keys []string) {
	var mine []string
	c.mu.Lock()
	for _, k := range keys {
		if strings.HasPrefix(k, distribution.PrefixInstance) && c.kept[k] > 0 {
			mine = append(mine, k)
			delete(c.kept, k)
		}
	}
	c.mu.Unlock()
	if len(mine) == 0 {
		return
	}
	err := c.state.Batch(func(tx *bbolt.Tx) error {
		for _, k := range mine {
			if err := tx.Bucket(bucketLeavings).Delete([]byte(k)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		c.log.Printf("core: forget %d leavings: %v", len(mine), err)
	}
}

// batchDelay is how long a leaving waits for others to share its sync.
const batchDelay = 2 * time.Millisecond

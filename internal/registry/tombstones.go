package registry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"go.etcd.io/bbolt"
)

var (
	bucketTombstones = []byte("leavings")
	// bucketComplete holds the quorum epoch for which the tombstones on this disk are
	// complete, under a key of the same name.
	bucketComplete = []byte("leavings-complete")
)

// Storage is the database on disk. A call returns nil only once its writes survive a
// loss of power.
type Storage interface {
	Update(fn func(tx *bbolt.Tx) error) error
	// Batch may combine concurrent calls into one transaction and disk sync.
	Batch(fn func(tx *bbolt.Tx) error) error
}

// tombstones tracks the tombstones of draining and deregistered instances on this disk.
type tombstones struct {
	storage Storage

	mu        sync.Mutex
	persisted map[string]stage // by key of the entry
}

func newTombstones(storage Storage) *tombstones {
	return &tombstones{storage: storage, persisted: map[string]stage{}}
}

// readTombstones reads the tombstones on this disk and the quorum epoch for which
// they are complete: all tombstones acknowledged before that epoch are on this disk.
func readTombstones(tx *bbolt.Tx) (entries []Entry, completeEpoch int64, err error) {
	if raw := tx.Bucket(bucketComplete).Get(bucketComplete); raw != nil {
		if completeEpoch, err = strconv.ParseInt(string(raw), 10, 64); err != nil {
			return nil, 0, fmt.Errorf("parse the quorum epoch of the tombstones: %w", err)
		}
	}
	err = tx.Bucket(bucketTombstones).ForEach(func(k, v []byte) error {
		var entry Entry
		if err := json.Unmarshal(v, &entry); err != nil {
			return fmt.Errorf("parse the tombstone of %s: %w", k, err)
		}
		if entry.Value == nil {
			entry.Value = nullValue
		}
		entry.AgeMs = 0 // as if received now, so that it is not purged too early
		entries = append(entries, entry)
		return nil
	})
	return entries, completeEpoch, err
}

// reset replaces the set of tombstones known to be on disk.
func (t *tombstones) reset(entries []Entry) {
	persisted := map[string]stage{}
	for _, entry := range entries {
		persisted[entry.Key] = entry.stage()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.persisted = persisted
}

// persist returns nil once the tombstones are on disk.
func (t *tombstones) persist(entries []Entry) error {
	missing := t.missing(entries)
	if len(missing) == 0 {
		return nil
	}
	err := t.storage.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketTombstones)
		for _, entry := range missing {
			if err := putNewer(bucket, entry); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("persist tombstones: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range missing {
		t.persisted[entry.Key] = max(t.persisted[entry.Key], entry.stage())
	}
	return nil
}

// missing returns the entries whose stage is not on disk yet.
func (t *tombstones) missing(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, entry := range entries {
		if t.persisted[entry.Key] < entry.stage() {
			out = append(out, entry)
		}
	}
	return out
}

// putNewer writes an entry unless the bucket holds one that is at least as new.
func putNewer(bucket *bbolt.Bucket, entry Entry) error {
	raw, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	var old Entry
	if oldRaw := bucket.Get([]byte(entry.Key)); oldRaw != nil && json.Unmarshal(oldRaw, &old) == nil && !old.Version.Less(entry.Version) {
		return nil
	}
	return bucket.Put([]byte(entry.Key), raw)
}

// purge deletes the tombstones with the given keys from this disk and returns their
// number. The caller ensures that no delayed heartbeat can undo them any more.
func (t *tombstones) purge(keys []string) (int, error) {
	present := t.removePresent(keys)
	if len(present) == 0 {
		return 0, nil
	}
	return len(present), t.storage.Batch(func(tx *bbolt.Tx) error {
		for _, key := range present {
			if err := tx.Bucket(bucketTombstones).Delete([]byte(key)); err != nil {
				return err
			}
		}
		return nil
	})
}

// removePresent removes keys from memory and returns those that were present.
func (t *tombstones) removePresent(keys []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var present []string
	for _, key := range keys {
		if isInstance(key) && t.persisted[key] > 0 {
			present = append(present, key)
			delete(t.persisted, key)
		}
	}
	return present
}

// persistCompleteEpoch writes the quorum epoch for which the tombstones on this disk
// are complete.
func (t *tombstones) persistCompleteEpoch(epoch int64) error {
	err := t.storage.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketComplete).Put(bucketComplete, strconv.AppendInt(nil, epoch, 10))
	})
	if err != nil {
		return fmt.Errorf("persist the quorum epoch of the tombstones: %w", err)
	}
	return nil
}

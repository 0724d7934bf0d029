package partition

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
)

var (
	bucketRecords = []byte("records")
	bucketMeta    = []byte("meta")
	keyActivity       = []byte("mark")
)

// disk is the file of a store. One writer groups all that waits into one
// transaction.
type storage struct {
	db       *bbolt.DB
	identity string
	lastActivity   time.Time // the last mark of an earlier life

	mu      sync.Mutex
	queue   []change
	wake    chan struct{}
	writing    bool          // a batch is taken and not yet on disk
	afterWrite   []func()      // to be called once it is
	writeStarted   time.Time     // of the write under way; zero if there is none
	writeTime   time.Duration // smoothed time of a write
	refused error         // of the last write, if the disk did not take it
}

// change is one write; done is called when it is on disk.
type change struct {
	key, value []byte // a nil value deletes
	meta       bool
	done       func()
}

// openDisk opens the file in dir. A damaged one is moved aside: the copies on
// the other stores fill a new one. One that the disk can't read is left alone.
func openStorage(dir string, warn func(format string, args ...any)) (*storage, []*Record, fencingEpochs, error) {
	path := filepath.Join(dir, "store.db")
	d, records, fence, err := readStorage(path)
	if !errors.Is(err, boltstore.ErrDamaged) {
		return d, records, fence, err
	}
	aside, moved := boltstore.MoveAside(path)
	if moved != nil {
		return nil, nil, nil, errors.Join(err, moved)
	}
	warn("disk: %s is damaged, moved to %s: %v", path, aside, err)
	return readStorage(path)
}

// Fence is the newest epoch seen of each partition.
type fencingEpochs map[int]int64

func readStorage(path string) (d *storage, records []*Record, fence fencingEpochs, err error) {
	db, err := boltstore.OpenDatabase(path)
	if err != nil {
		return nil, nil, nil, err
	}
	d = &storage{db: db, wake: make(chan struct{}, 1)}
	fence = fencingEpochs{}
	read := func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketRecords)
		if err != nil {
			return err
		}
		m, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if id := m.Get([]byte("identity")); id != nil {
			d.identity = string(id)
		} else {
			d.identity = rand.Text()
			if err := m.Put([]byte("identity"), []byte(d.identity)); err != nil {
				return err
			}
		}
		if ms, err := strconv.ParseInt(string(m.Get(keyActivity)), 10, 64); err == nil {
			d.lastActivity = time.UnixMilli(ms)
		}
		if raw := m.Get([]byte("fence")); raw != nil {
			if err := json.Unmarshal(raw, &fence); err != nil {
				return fmt.Errorf("%w: the fence: %w", boltstore.ErrDamaged, err)
			}
		}
		return b.ForEach(func(k, v []byte) error {
			r, err := decodeRecord(k, v)
			if err != nil {
				return fmt.Errorf("%w: %w", boltstore.ErrDamaged, err)
			}
			records = append(records, r)
			return nil
		})
	}
	err = boltstore.Guard(path, func() error {
		err := db.Update(read)
		if err != nil { // not after a panic: it may hold the locks that closing takes
			db.Close()
		}
		return err
	})
	if err != nil {
		return nil, nil, nil, fmt.Errorf("read %s: %w", path, err)
	}
	return d, records, fence, nil
}

// used is the size of the file without its free pages. All of it is asked in a
// transaction: outside of one the writer may be mapping the file anew, and a
// look at the map ends the process.
func (d *storage) usedBytes() int64 {
	var size int64
	_ = d.db.View(func(tx *bbolt.Tx) error {
		st := tx.DB().Stats()
		size = tx.Size() - int64(st.FreePageN+st.PendingPageN)*int64(tx.DB().Info().PageSize)
		return nil
	})
	return size
}

func (d *storage) put(c change) {
	d.mu.Lock()
	d.queue = append(d.queue, c)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// synced calls done once all that was put before is on disk: at once where
// nothing waits.
func (d *storage) afterSync(done func()) {
	d.mu.Lock()
	switch {
	case len(d.queue) > 0:
		d.queue = append(d.queue, change{done: done})
	case d.writing:
		d.afterWrite = append(d.afterWrite, done)
	default:
		defer done()
	}
	d.mu.Unlock()
}

// refuses tells whether the last write was refused, as by a full disk.
func (d *storage) refuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused != nil
}

// health tells what is wrong with the disk: a write that is under way for too
// long, writes that have been slow of late, or one that was refused.
func (d *storage) health(most, usual time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := time.Duration(0)
	if !d.writeStarted.IsZero() {
		age = time.Since(d.writeStarted)
	}
	switch {
	case d.refused != nil:
		return fmt.Errorf("the disk refuses writes: %w", d.refused)
	case age > most:
		return fmt.Errorf("the disk has not answered for %v", age.Round(time.Millisecond))
	case d.writeTime > usual:
		return fmt.Errorf("the disk takes %v for a write", d.writeTime.Round(time.Millisecond))
	}
	return nil
}

// run writes until ctx ends and nothing is left to write. What the disk
// refuses is tried again: the messages wait, and nothing is told of them.
func (d *storage) run(ctx context.Context, pause time.Duration, warn func(format string, args ...any)) error {
	for {
		d.mu.Lock()
		batch := d.queue
		d.queue, d.writing = nil, len(batch) > 0
		d.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-d.wake:
				continue
			case <-ctx.Done():
				return d.db.Close()
			}
		}
		for err := d.commit(batch); err != nil; err = d.commit(batch) {
			d.mu.Lock()
			if d.refused == nil {
				warn("disk: %d changes are not written: %v", len(batch), err)
			}
			d.refused = err
			d.mu.Unlock()
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("write to disk: %w", err), d.db.Close())
			}
		}
		d.mu.Lock()
		if d.refused != nil {
			warn("disk: writes again")
		}
		after := d.afterWrite
		d.refused, d.writing, d.afterWrite = nil, false, nil
		d.mu.Unlock()
		for _, c := range batch {
			if c.done != nil {
				c.done()
			}
		}
		for _, done := range after {
			done()
		}
	}
}

// commit makes one transaction of a batch.
func (d *storage) commit(batch []change) error {
	began := time.Now()
	d.mu.Lock()
	d.writeStarted = began
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.writeStarted = time.Time{}
		d.writeTime += (time.Since(began) - d.writeTime) / 4
		d.mu.Unlock()
	}()
	return d.db.Update(func(tx *bbolt.Tx) error {
		records, meta := tx.Bucket(bucketRecords), tx.Bucket(bucketMeta)
		for _, c := range batch {
			if c.key == nil {
				continue
			}
			b := records
			if c.meta {
				b = meta
			}
			if c.value == nil {
				if err := b.Delete(c.key); err != nil {
					return err
				}
			} else if err := b.Put(c.key, c.value); err != nil {
				return err
			}
		}
		return nil
	})
}

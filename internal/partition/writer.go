package partition

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
)

// run writes until ctx ends and nothing is left to write, then closes the file. Failed
// writes are retried once the file has been rewritten (see boltstore.File); the messages
// remain unconfirmed until then. run returns early only if the file is found to be
// damaged.
func (s *storage) run(ctx context.Context, retry time.Duration, warn func(format string, args ...any)) error {
	recovering, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { s.file.Recover(recovering, retry) })
	err := s.write(ctx, retry, warn)
	stop()
	tasks.Wait()
	return errors.Join(err, s.file.Close())
}

// write writes until ctx ends and nothing is left to write.
func (s *storage) write(ctx context.Context, retry time.Duration, warn func(format string, args ...any)) error {
	for {
		batch := s.dequeue()
		if len(batch) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := s.commitWithRetry(ctx, batch, retry, warn); err != nil {
			return fmt.Errorf("write to disk: %w", err)
		}
		s.reportWritten(batch, warn)
	}
}

// dequeue removes and returns all queued changes.
func (s *storage) dequeue() []change {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue
	s.queue = nil
	s.writing = len(batch) > 0
	return batch
}

// commitWithRetry writes a batch, retrying on failure. A batch may be written twice,
// since a failed commit may have reached the disk; this is safe because changes only set
// and delete values. An error is returned only if ctx ends while writes fail, or if the
// file is damaged.
func (s *storage) commitWithRetry(ctx context.Context, batch []change, retry time.Duration, warn func(format string, args ...any)) error {
	for {
		err := s.commit(batch)
		if err == nil {
			return nil
		}
		s.mu.Lock()
		if s.health.lastError == nil {
			warn("disk: write of %d changes failed: %v", len(batch), err)
		}
		s.health.lastError = err
		s.mu.Unlock()
		if errors.Is(err, boltstore.ErrDamaged) {
			return err
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
			return err
		}
	}
}

// reportWritten calls the callbacks that wait for a batch that is now on disk.
func (s *storage) reportWritten(batch []change, warn func(format string, args ...any)) {
	s.mu.Lock()
	if s.health.lastError != nil {
		warn("disk: writes succeed again")
	}
	afterWrite := s.afterWrite
	s.afterWrite = nil
	s.writing = false
	s.health.lastError = nil
	s.mu.Unlock()
	for _, c := range batch {
		if c.done != nil {
			c.done()
		}
	}
	for _, done := range afterWrite {
		done()
	}
}

// commit writes a batch in one transaction.
func (s *storage) commit(batch []change) error {
	started := time.Now()
	s.mu.Lock()
	s.health.writeStarted = started
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.health.recordWrite(time.Since(started))
		s.mu.Unlock()
	}()
	return s.file.Update(func(tx *bbolt.Tx) error {
		records, meta := tx.Bucket(bucketRecords), tx.Bucket(bucketMeta)
		for _, c := range batch {
			bucket := records
			if c.meta {
				bucket = meta
			}
			if err := c.apply(bucket); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *change) apply(bucket *bbolt.Bucket) error {
	switch {
	case c.key == nil:
		return nil
	case c.value == nil:
		return bucket.Delete(c.key)
	default:
		return bucket.Put(c.key, c.value)
	}
}

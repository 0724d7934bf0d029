package boltstore

import (
	"time"

	"go.etcd.io/bbolt"
)

// batchedWrite is a pending call of Batch.
type batchedWrite struct {
	fn     func(tx *bbolt.Tx) error
	result chan error
}

// Batch is like Update, but calls within BatchDelay share one transaction, its
// sync and its error. bbolt's own Batch is not used: it commits in a separate
// goroutine, where a panic caused by a damaged page would end the process.
func (f *File) Batch(fn func(tx *bbolt.Tx) error) error {
	write := &batchedWrite{fn: fn, result: make(chan error, 1)}
	f.mu.Lock()
	f.queue = append(f.queue, write)
	first := len(f.queue) == 1
	f.mu.Unlock()
	if first {
		time.Sleep(f.BatchDelay)
		f.commitQueue()
	}
	return <-write.result
}

// commitQueue commits all queued writes in one transaction and returns its error
// to each caller.
func (f *File) commitQueue() {
	f.mu.Lock()
	writes := f.queue
	f.queue = nil
	f.mu.Unlock()
	err := f.Update(func(tx *bbolt.Tx) error {
		for _, write := range writes {
			if err := write.fn(tx); err != nil {
				return err
			}
		}
		return nil
	})
	for _, write := range writes {
		write.result <- err
	}
}

// Package boltstore manages the state file of a process: a bbolt database whose
// directory entry survives a power failure. The package distinguishes corruption
// from I/O errors, and accepts no calls after a failed commit until the state in
// memory has been reloaded from disk.
package boltstore

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.etcd.io/bbolt"
)

// ErrNotOpen is returned by calls before Open and after Close.
var ErrNotOpen = errors.New("the state file is not open")

// Steps at which File.Fault may inject an error.
const (
	StepOpen   = "open"
	StepCommit = "commit" // before the transaction is written
	StepSync   = "sync"   // after the transaction is written
)

// File is a database that accepts calls between Open and Close. A failed commit
// may nevertheless have reached the disk. After one, every call fails with the
// same error until Recover has rewritten, reopened and reloaded the file. Batch,
// Update, View, Err and Damaged are safe for concurrent use, also while Recover runs.
type File struct {
	Path string
	// Prepare runs in a write transaction each time the file is opened.
	Prepare func(tx *bbolt.Tx) error
	// Load reads the content each time the file is opened. The function it returns
	// installs that content in memory and runs outside of the transaction. An
	// error means that the content is damaged.
	Load func(tx *bbolt.Tx) (install func(), err error)
	// Warn logs a line; its arguments are those of log.Printf.
	Warn func(format string, args ...any)
	// BatchDelay is how long Batch waits for other calls that can share its sync.
	BatchDelay time.Duration

	// Fault injects an error at a step. Only tests set it.
	Fault func(step string) error

	databaseMu sync.RWMutex // held shared by calls, exclusively while the database is replaced
	database   *bbolt.DB
	handle     *os.File // of database

	writeMu sync.Mutex // serializes writes

	mu      sync.Mutex
	err     error // why calls are refused; nil while they are accepted
	queue   []*batchedWrite
	once    sync.Once
	failed  chan struct{} // tells Recover that a write failed
	damaged chan struct{} // closed once the file has been moved aside while in use
}

func (f *File) init() {
	f.once.Do(func() {
		f.err = ErrNotOpen
		f.failed = make(chan struct{}, 1)
		f.damaged = make(chan struct{})
	})
}

// injectedFault returns the error that a test injects at a step, or nil.
func (f *File) injectedFault(step string) error {
	if f.Fault == nil {
		return nil
	}
	return f.Fault(step)
}

// Open opens and loads the file. A damaged file is moved aside and replaced by a
// new one. Any other failure is an I/O error, after which Open may be retried.
func (f *File) Open() error {
	f.init()
	err := f.open(false)
	if errors.Is(err, ErrDamaged) {
		aside, moveErr := moveAside(f.Path)
		if moveErr != nil {
			return errors.Join(err, moveErr)
		}
		f.Warn("disk: %s is damaged, moved to %s: %v", f.Path, aside, err)
		err = f.open(false)
	}
	return err
}

// open reopens the database, installs its content in memory, and accepts calls from
// then on. If rewriteFirst is true, the file is rewritten before it is opened.
func (f *File) open(rewriteFirst bool) error {
	install, err := f.reopen(rewriteFirst)
	if err != nil {
		return err
	}
	if install != nil {
		install()
	}
	f.mu.Lock()
	f.err = nil
	f.mu.Unlock()
	return nil
}

func (f *File) reopen(rewriteFirst bool) (install func(), err error) {
	f.databaseMu.Lock()
	defer f.databaseMu.Unlock()
	f.closeDatabaseLocked()
	if err := f.injectedFault(StepOpen); err != nil {
		return nil, fmt.Errorf("open %s: %w", f.Path, err)
	}
	if rewriteFirst || lacksMarker(f.Path) {
		if err := rewriteDatabase(f.Path); err != nil {
			return nil, err
		}
	}
	f.database, f.handle, err = openDatabase(f.Path)
	if err != nil {
		return nil, err
	}
	install, err = f.prepareAndLoad(f.database)
	if err != nil {
		f.closeDatabaseLocked()
		return nil, fmt.Errorf("read %s: %w", f.Path, err)
	}
	if err := createMarker(f.Path); err != nil {
		f.Warn("disk: %v", err)
	}
	return install, nil
}

func (f *File) prepareAndLoad(database *bbolt.DB) (install func(), err error) {
	err = detectDamage(f.Path, func() error {
		if err := database.Update(f.verifyAndPrepare); err != nil {
			return err
		}
		if err := f.injectedFault(StepSync); err != nil {
			return err
		}
		return database.View(func(tx *bbolt.Tx) error {
			var err error
			install, err = f.Load(tx)
			return asDamage(err)
		})
	})
	return install, err
}

func (f *File) verifyAndPrepare(tx *bbolt.Tx) error {
	if err := readAll(tx); err != nil {
		return asDamage(err)
	}
	if err := f.injectedFault(StepCommit); err != nil {
		return err
	}
	return f.Prepare(tx)
}

// Err returns the error with which calls are refused, or nil while they are accepted.
func (f *File) Err() error {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Update runs fn in a write transaction, which is on disk when Update returns nil. An
// error of fn rolls it back. After any other error it may or may not be on disk.
func (f *File) Update(fn func(tx *bbolt.Tx) error) error {
	return f.withDatabase(func(database *bbolt.DB) error {
		f.writeMu.Lock()
		defer f.writeMu.Unlock()
		if err := f.Err(); err != nil {
			return err
		}
		var fnErr error
		err := detectDamage(f.Path, func() error {
			err := database.Update(func(tx *bbolt.Tx) error {
				if fnErr = fn(tx); fnErr != nil {
					return fnErr
				}
				return f.injectedFault(StepCommit)
			})
			if err == nil {
				err = f.injectedFault(StepSync)
			}
			return err
		})
		if err != nil && (fnErr == nil || errors.Is(err, ErrDamaged)) {
			f.fail(err)
		}
		return err
	})
}

// View runs fn in a read transaction.
func (f *File) View(fn func(tx *bbolt.Tx) error) error {
	return f.withDatabase(func(database *bbolt.DB) error {
		err := detectDamage(f.Path, func() error { return database.View(fn) })
		if errors.Is(err, ErrDamaged) {
			f.fail(err)
		}
		return err
	})
}

// withDatabase calls do unless calls are refused. The error is also checked before
// locking, so that a refused call does not wait while the file is reopened.
func (f *File) withDatabase(do func(*bbolt.DB) error) error {
	if err := f.Err(); err != nil {
		return err
	}
	f.databaseMu.RLock()
	defer f.databaseMu.RUnlock()
	if err := f.Err(); err != nil {
		return err
	}
	return do(f.database)
}

// Close closes the file; calls are refused from then on.
func (f *File) Close() error {
	f.init()
	f.mu.Lock()
	broken := f.err != nil
	if !broken {
		f.err = ErrNotOpen
	}
	f.mu.Unlock()
	f.databaseMu.Lock()
	defer f.databaseMu.Unlock()
	if f.database == nil {
		return nil
	}
	if broken {
		f.closeDatabaseLocked()
		return nil
	}
	err := f.database.Close()
	f.database = nil
	return err
}

// Package boltstore owns the file that a process holds its state in: a bbolt
// database whose directory entry survives a power failure, that distinguishes
// corruption from I/O errors, and that accepts no writes after a failed commit
// until memory and disk have been reconciled.
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

// The steps at which File.Fault may inject an error.
const (
	StepOpen   = "open"
	StepCommit = "commit" // before anything is written
	StepSync   = "sync"   // after everything is written
)

// File is a database that accepts calls from Open to Close. A commit that
// failed may have reached the disk all the same: then every call fails with the
// same error until Recover has rewritten, reopened and reloaded the file.
type File struct {
	Path string
	// Prepare runs in its own write transaction after each opening.
	Prepare func(tx *bbolt.Tx) error
	// Load reads the content after each opening. The function it returns
	// installs that content in memory and runs outside of the transaction. An
	// error means that the content is damaged.
	Load func(tx *bbolt.Tx) (install func(), err error)
	// Warn logs a line in the manner of log.Printf.
	Warn func(format string, args ...any)
	// BatchDelay is how long Batch waits for other calls to share its sync.
	BatchDelay time.Duration

	// Fault injects an error at a step. Only tests set it.
	Fault func(step string) error

	databaseMu sync.RWMutex // read by calls, written while the database is replaced
	database   *bbolt.DB
	handle     *os.File // of database

	writeMu sync.Mutex // serializes writes

	mu      sync.Mutex
	err     error // why calls are refused; nil while they are accepted
	queue   []*batchedWrite
	once    sync.Once
	failed  chan struct{} // signals Recover that a write failed
	damaged chan struct{} // closed when the file was moved aside while in use
}

func (f *File) init() {
	f.once.Do(func() {
		f.err = ErrNotOpen
		f.failed = make(chan struct{}, 1)
		f.damaged = make(chan struct{})
	})
}

// injectedFault is the error that a test injects at a step, if any.
func (f *File) injectedFault(step string) error {
	if f.Fault == nil {
		return nil
	}
	return f.Fault(step)
}

// Open opens and loads the file. A damaged one is moved aside and replaced by a
// new one. Any other error is the disk's, and Open may be tried again.
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

// open replaces the database by a newly opened one, installs what it holds, and
// accepts calls from then on. With rewriteFirst the file is rewritten before.
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

// Err is why calls are refused; nil while they are accepted.
func (f *File) Err() error {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Update runs one write transaction; it is on disk when Update returns nil. An
// error of fn rolls it back. After any other error it may or may not be on disk.
func (f *File) Update(fn func(tx *bbolt.Tx) error) error {
	return f.withDatabase(func(database *bbolt.DB) error {
		f.writeMu.Lock()
		defer f.writeMu.Unlock()
		if err := f.Err(); err != nil {
			return err
		}
		var rolledBack error
		err := detectDamage(f.Path, func() error {
			err := database.Update(func(tx *bbolt.Tx) error {
				if rolledBack = fn(tx); rolledBack != nil {
					return rolledBack
				}
				return f.injectedFault(StepCommit)
			})
			if err == nil {
				err = f.injectedFault(StepSync)
			}
			return err
		})
		if err != nil && (rolledBack == nil || errors.Is(err, ErrDamaged)) {
			f.fail(err)
		}
		return err
	})
}

// View runs one read transaction.
func (f *File) View(fn func(tx *bbolt.Tx) error) error {
	return f.withDatabase(func(database *bbolt.DB) error {
		err := detectDamage(f.Path, func() error { return database.View(fn) })
		if errors.Is(err, ErrDamaged) {
			f.fail(err)
		}
		return err
	})
}

// withDatabase calls do unless calls are refused. The error is looked at before
// the lock as well, so that a refused call does not wait for a reopening.
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

// Package boltstore owns the file that a process keeps its state in: a bbolt
// database whose name outlives a loss of power, that tells damage from a disk
// that does not work, and that takes no write after one that failed until
// memory and file agree again.
package boltstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// ErrDamaged says that a file can be read, but not understood.
var ErrDamaged = errors.New("the file is damaged")

// File is a database that is open from Open on. A commit that failed may be on
// the disk all the same: then all calls fail until Tend has written the file
// anew, opened and loaded it.
type File struct {
	Path string
	// Prepare is called in a write of its own whenever the file was opened.
	Prepare func(tx *bbolt.Tx) error
	// Load reads what the file says whenever it was opened. What it returns puts
	// that into memory, outside of the transaction. An error is damage.
	Load func(tx *bbolt.Tx) (install func(), err error)
	Warn func(format string, args ...any)
	// BatchDelay is how long a Batch waits for others to share its sync.
	BatchDelay time.Duration

	// Fault is set by tests only: an error has the disk refuse at a step.
	Fault func(step string) error

	use    sync.RWMutex // held for reading by calls, for writing while db changes
	db     *bbolt.DB
	handle *os.File // of db

	write sync.Mutex // one write at a time

	mu      sync.Mutex
	err     error // why no calls are taken
	waiting []*batched
	once    sync.Once
	failed  chan struct{} // a write failed
	lost    chan struct{} // closed when the file was moved aside
}

// errClosed is why no calls are taken before Open and after Close.
var errClosed = errors.New("the state file is not open")

// The steps at which a test may have the disk refuse.
const (
	StepOpen   = "open"
	StepCommit = "commit" // nothing is written
	StepSync   = "sync"   // all is written
)

func (f *File) check(step string) error {
	if f.Fault == nil {
		return nil
	}
	return f.Fault(step)
}

func (f *File) init() {
	f.once.Do(func() {
		f.err, f.failed, f.lost = errClosed, make(chan struct{}, 1), make(chan struct{})
	})
}

// Open opens the file and loads it. A damaged one is moved aside, and a new one
// takes its place. Any other error is the disk's: Open may be tried again.
func (f *File) Open() error {
	f.init()
	err := f.open(false)
	if errors.Is(err, ErrDamaged) {
		aside, moved := MoveAside(f.Path)
		if moved != nil {
			return errors.Join(err, moved)
		}
		f.Warn("disk: %s is damaged, moved to %s: %v", f.Path, aside, err)
		err = f.open(false)
	}
	return err
}

// open opens, prepares and loads the file, and takes calls from then on.
func (f *File) open(anew bool) error {
	install, err := func() (install func(), err error) {
		f.use.Lock()
		defer f.use.Unlock()
		f.abandon()
		if err := f.check(StepOpen); err != nil {
			return nil, fmt.Errorf("open %s: %w", f.Path, err)
		}
		if anew {
			if err := rewrite(f.Path); err != nil {
				return nil, err
			}
		}
		db, handle, err := open(f.Path)
		if err != nil {
			return nil, err
		}
		f.db, f.handle = db, handle
		err = Guard(f.Path, func() error {
			var refused error
			if err := db.Update(func(tx *bbolt.Tx) error {
				if err := walk(tx); err != nil {
					return fmt.Errorf("%w: %w", ErrDamaged, err)
				}
				if refused = f.check(StepCommit); refused != nil {
					return refused
				}
				return f.Prepare(tx)
			}); err != nil {
				return err
			}
			if err := f.check(StepSync); err != nil {
				return err
			}
			return db.View(func(tx *bbolt.Tx) error {
				var err error
				if install, err = f.Load(tx); err != nil {
					return fmt.Errorf("%w: %w", ErrDamaged, err)
				}
				return nil
			})
		})
		if err != nil {
			f.abandon()
			return nil, fmt.Errorf("read %s: %w", f.Path, err)
		}
		return install, nil
	}()
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

// Err tells why no calls are taken; nil when they are.
func (f *File) Err() error {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Lost is closed once the file was found damaged while it was in use.
func (f *File) Lost() <-chan struct{} {
	f.init()
	return f.lost
}

// fail notes that memory and file may differ.
func (f *File) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	f.err = err
	if errors.Is(err, ErrDamaged) {
		f.lose()
		return
	}
	f.Warn("disk: %s refuses writes: %v", f.Path, err)
	select {
	case f.failed <- struct{}{}:
	default:
	}
}

// lose moves the file aside for what err says. The lock is held.
func (f *File) lose() {
	aside, moved := MoveAside(f.Path)
	f.Warn("disk: %s is damaged, moved to %s: %v", f.Path, aside, errors.Join(f.err, moved))
	close(f.lost)
}

// Tend brings the file back after writes that failed, until ctx ends.
func (f *File) Recover(ctx context.Context, pause time.Duration) {
	f.init()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.failed:
		}
		for {
			err := f.open(true)
			if err == nil {
				f.Warn("disk: %s takes writes again", f.Path)
				break
			}
			if errors.Is(err, ErrDamaged) {
				f.mu.Lock()
				f.err = err
				f.lose()
				f.mu.Unlock()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// Update makes one write; it is on disk when it returns nil. An error of fn
// writes nothing. After any other error the write may or may not be on disk.
func (f *File) Update(fn func(tx *bbolt.Tx) error) error {
	return f.call(func(db *bbolt.DB) error {
		f.write.Lock()
		defer f.write.Unlock()
		if err := f.Err(); err != nil {
			return err
		}
		var mine error
		err := Guard(f.Path, func() error {
			err := db.Update(func(tx *bbolt.Tx) error {
				if mine = fn(tx); mine != nil {
					return mine
				}
				return f.check(StepCommit)
			})
			if err == nil {
				err = f.check(StepSync)
			}
			return err
		})
		if err != nil && (mine == nil || errors.Is(err, ErrDamaged)) {
			f.fail(err)
		}
		return err
	})
}

// View reads.
func (f *File) View(fn func(tx *bbolt.Tx) error) error {
	return f.call(func(db *bbolt.DB) error {
		err := Guard(f.Path, func() error { return db.View(fn) })
		if errors.Is(err, ErrDamaged) {
			f.fail(err)
		}
		return err
	})
}

func (f *File) call(do func(*bbolt.DB) error) error {
	if err := f.Err(); err != nil { // without a wait for the one who opens it again
		return err
	}
	f.use.RLock()
	defer f.use.RUnlock()
	if err := f.Err(); err != nil {
		return err
	}
	return do(f.db)
}

type batched struct {
	fn   func(tx *bbolt.Tx) error
	done chan error
}

// Batch is like Update; calls that come within a moment share one sync. The
// one of bbolt runs where its panics end the process. The calls share an error.
func (f *File) Batch(fn func(tx *bbolt.Tx) error) error {
	mine := &batched{fn, make(chan error, 1)}
	f.mu.Lock()
	f.waiting = append(f.waiting, mine)
	first := len(f.waiting) == 1
	f.mu.Unlock()
	if first {
		time.Sleep(f.BatchDelay)
		f.mu.Lock()
		all := f.waiting
		f.waiting = nil
		f.mu.Unlock()
		err := f.Update(func(tx *bbolt.Tx) error {
			for _, b := range all {
				if err := b.fn(tx); err != nil {
					return err
				}
			}
			return nil
		})
		for _, b := range all {
			b.done <- err
		}
	}
	return <-mine.done
}

// Close closes the file; no calls are taken after it.
func (f *File) Close() error {
	f.init()
	f.mu.Lock()
	broken := f.err
	if broken == nil {
		f.err = errClosed
	}
	f.mu.Unlock()
	f.use.Lock()
	defer f.use.Unlock()
	if f.db == nil {
		return nil
	}
	if broken != nil {
		f.abandon()
		return nil
	}
	err := f.db.Close()
	f.db = nil
	return err
}

// abandon lets go of the file. A database that panicked may hold its locks for
// good, so that it cannot be closed; what it mapped stays until the end.
func (f *File) abandon() {
	if f.db == nil {
		return
	}
	if errors.Is(f.Err(), ErrDamaged) {
		f.handle.Close()
	} else if Guard(f.Path, f.db.Close) != nil {
		f.handle.Close()
	}
	f.db = nil
}

// walk reads all pages that hold something.
func walk(tx *bbolt.Tx) error {
	var bucket func(b *bbolt.Bucket) error
	bucket = func(b *bbolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			if v == nil {
				return bucket(b.Bucket(k))
			}
			_, _ = io.Discard.Write(v)
			return nil
		})
	}
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return bucket(b) })
}

// Guard runs what may meet damage. A panic of bbolt and a fault on the mapped
// file become ErrDamaged, if the disk can read the file.
func Guard(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = damage(path, fmt.Errorf("%v", r))
		}
	}()
	err = do()
	for _, d := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrChecksum, bbolterrors.ErrVersionMismatch} {
		if errors.Is(err, d) {
			return damage(path, err)
		}
	}
	return err
}

// damage is ErrDamaged, or why the disk cannot read the file.
func damage(path string, cause error) error {
	file, err := os.Open(path)
	if err == nil {
		_, err = io.Copy(io.Discard, file)
		file.Close()
	}
	if err != nil {
		return fmt.Errorf("read the file: %w", err)
	}
	return fmt.Errorf("%w: %w", ErrDamaged, cause)
}

// OpenDatabase opens a database, or makes one, so that its name outlives a loss
// of power. ErrDamaged tells that it can be read, but is none.
func OpenDatabase(path string) (*bbolt.DB, error) {
	db, _, err := open(path)
	return db, err
}

func open(path string) (db *bbolt.DB, handle *os.File, err error) {
	if err := makeFolder(filepath.Dir(path)); err != nil {
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	// A new file gets its name when it is whole: one that is not is damaged.
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		err = replace(path, func(*bbolt.DB) error { return nil })
		if err != nil {
			return nil, nil, fmt.Errorf("make %s: %w", path, err)
		}
	} else if err != nil {
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	err = Guard(path, func() error {
		if s, err := os.Stat(path); err == nil && s.Size() == 0 {
			return bbolterrors.ErrInvalid // bbolt takes it for a new one
		}
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType,
			OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
				var err error
				handle, err = os.OpenFile(name, flag, mode)
				return handle, err
			}})
		return err
	})
	if err == nil {
		// The last life may have ended between the renaming and the sync.
		dir := filepath.Dir(path)
		err = syncFolder(dir)
		if up := syncFolder(filepath.Dir(dir)); !errors.Is(up, fs.ErrPermission) { // it may not be ours to read
			err = errors.Join(err, up)
		}
		if err != nil {
			db.Close()
		}
	}
	if err != nil {
		if handle != nil {
			handle.Close()
		}
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	db.AllocSize = 1 << 20
	return db, handle, nil
}

// rewrite copies a database into a new file of its name: after a sync that
// failed, a later one says nothing about the pages of the first.
func rewrite(path string) error {
	db, handle, err := open(path)
	if err != nil {
		return err
	}
	err = Guard(path, func() error {
		return replace(path, func(to *bbolt.DB) error { return bbolt.Compact(to, db, 1<<20) })
	})
	if errors.Is(err, ErrDamaged) || Guard(path, db.Close) != nil {
		handle.Close()
	}
	if err != nil {
		return fmt.Errorf("write %s anew: %w", path, err)
	}
	return nil
}

// replace makes a new database and gives it its name once it is on disk.
func replace(path string, fill func(*bbolt.DB) error) (err error) {
	next := path + ".new"
	defer func() {
		if err != nil { // a full disk has no room for it
			_ = os.Remove(next)
		}
	}()
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(next, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return fmt.Errorf("open %s: %w", next, err)
	}
	if err := errors.Join(fill(db), db.Sync(), db.Close()); err != nil {
		return fmt.Errorf("write %s: %w", next, err)
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// MoveAside gives a damaged file another name, so that a new one may take its
// place, and returns that name.
func MoveAside(path string) (string, error) {
	for n := 1; ; n++ {
		aside := fmt.Sprintf("%s.damaged-%d", path, n)
		if _, err := os.Lstat(aside); errors.Is(err, fs.ErrNotExist) {
			if err := os.Rename(path, aside); err != nil {
				return aside, fmt.Errorf("move the damaged %s aside: %w", path, err)
			}
			return aside, syncFolder(filepath.Dir(path))
		} else if err != nil {
			return aside, fmt.Errorf("move the damaged %s aside: %w", path, err)
		}
	}
}

// Replaced tells whether a file of this name was ever moved aside, or may have
// been.
func Replaced(path string) bool {
	list, err := os.ReadDir(filepath.Dir(path))
	return err != nil || slices.ContainsFunc(list, func(e fs.DirEntry) bool {
		return strings.HasPrefix(e.Name(), filepath.Base(path)+".damaged-")
	})
}

// makeFolder makes a folder and those above it, so that they outlive a loss of
// power.
func makeFolder(dir string) error {
	s, err := os.Stat(dir)
	if err == nil && !s.IsDir() {
		return &fs.PathError{Op: "mkdir", Path: dir, Err: syscall.ENOTDIR}
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := makeFolder(filepath.Dir(dir)); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncFolder(filepath.Dir(dir))
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("sync %s: %w", dir, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", dir, err)
	}
	return nil
}

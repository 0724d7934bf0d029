package boltstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	// lockTimeout is how long an opening waits for bbolt's file lock, which a
	// process that is just ending may still hold.
	lockTimeout = time.Second
	// allocationSize is the step in which a database grows, in bytes.
	allocationSize = 1 << 20
	// compactionTransaction is how much one transaction of a rewrite holds, in bytes.
	compactionTransaction = 1 << 20
	databaseMode          = 0o600
)

// openDatabase opens the database at path, or creates it, so that its directory
// entry survives a power failure. ErrDamaged says that the file can be read,
// but is no valid database.
func openDatabase(path string) (database *bbolt.DB, handle *os.File, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open %s: %w", path, err)
		}
	}()
	if err := makeDirectory(filepath.Dir(path)); err != nil {
		return nil, nil, err
	}
	if err := createIfAbsent(path); err != nil {
		return nil, nil, err
	}
	database, handle, err = openBolt(path)
	if err == nil {
		if err = syncDirectories(path); err != nil {
			_ = database.Close() // nothing was written to it
		}
	}
	if err != nil {
		if handle != nil {
			_ = handle.Close() // may be closed already
		}
		return nil, nil, err
	}
	database.AllocSize = allocationSize
	return database, handle, nil
}

// createIfAbsent creates an empty database. It gets its name only once it is
// complete, since an incomplete one would count as damaged.
func createIfAbsent(path string) error {
	_, err := os.Stat(path)
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := replaceDatabase(path, func(*bbolt.DB) error { return nil }); err != nil {
		return fmt.Errorf("create it: %w", err)
	}
	return nil
}

func openBolt(path string) (database *bbolt.DB, handle *os.File, err error) {
	options := boltOptions()
	options.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		var err error
		handle, err = os.OpenFile(name, flag, mode)
		return handle, err
	}
	err = detectDamage(path, func() error {
		if s, err := os.Stat(path); err == nil && s.Size() == 0 {
			return bbolterrors.ErrInvalid // bbolt would initialize it as a new one
		}
		database, err = bbolt.Open(path, databaseMode, options)
		return err
	})
	return database, handle, err
}

func boltOptions() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}
}

// syncDirectories syncs the directory of a file and the one above: the previous
// process may have ended between the renaming of the file and that sync.
func syncDirectories(path string) error {
	dir := filepath.Dir(path)
	err := syncDirectory(dir)
	// The one above need not be readable by this user.
	if above := syncDirectory(filepath.Dir(dir)); !errors.Is(above, fs.ErrPermission) {
		err = errors.Join(err, above)
	}
	return err
}

// rewriteDatabase copies the database into a new file of the same name. After a
// sync that failed, the success of a later one says nothing about the pages of
// the first, so nothing is written to the old file again.
func rewriteDatabase(path string) error {
	old, handle, err := openDatabase(path)
	if err != nil {
		return err
	}
	err = detectDamage(path, func() error {
		return replaceDatabase(path, func(next *bbolt.DB) error {
			return bbolt.Compact(next, old, compactionTransaction)
		})
	})
	if errors.Is(err, ErrDamaged) || detectDamage(path, old.Close) != nil {
		_ = handle.Close() // only read
	}
	if err != nil {
		return fmt.Errorf("write %s anew: %w", path, err)
	}
	return nil
}

// replaceDatabase writes a new database and renames it to path once it is on disk.
func replaceDatabase(path string, fill func(*bbolt.DB) error) (err error) {
	next := path + ".new"
	defer func() {
		if err != nil {
			_ = os.Remove(next) // best effort: a full disk has no room for it
		}
	}()
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	database, err := bbolt.Open(next, databaseMode, boltOptions())
	if err != nil {
		return fmt.Errorf("open %s: %w", next, err)
	}
	if err := errors.Join(fill(database), database.Sync(), database.Close()); err != nil {
		return fmt.Errorf("write %s: %w", next, err)
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

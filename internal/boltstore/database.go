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
	// lockTimeout is how long to wait for bbolt's file lock, which a process that
	// is terminating may still hold.
	lockTimeout = time.Second
	// allocationSize is the increment by which a database file grows, in bytes.
	allocationSize = 1 << 20
	// compactionTransaction is the maximum size of a transaction of a rewrite, in bytes.
	compactionTransaction = 1 << 20
	databaseMode          = 0o600
)

// openDatabase opens the database at path, or creates it, so that its directory
// entry survives a power failure. It returns ErrDamaged if the file can be read,
// but is not a valid database.
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
			_ = database.Close() // no writes to lose
		}
	}
	if err != nil {
		if handle != nil {
			_ = handle.Close() // may already be closed
		}
		return nil, nil, err
	}
	database.AllocSize = allocationSize
	return database, handle, nil
}

// createIfAbsent creates an empty database if there is none. The file is renamed to
// path only once it is complete, since an incomplete one would be taken for damaged.
func createIfAbsent(path string) error {
	_, err := os.Stat(path)
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := replaceDatabase(path, func(*bbolt.DB) error { return nil }); err != nil {
		return fmt.Errorf("create database: %w", err)
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
			return bbolterrors.ErrInvalid // bbolt would initialize it as a new database
		}
		database, err = bbolt.Open(path, databaseMode, options)
		return err
	})
	return database, handle, err
}

func boltOptions() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}
}

// syncDirectories syncs the directory of a file and its parent: the previous process
// may have terminated between renaming the file and syncing the directory.
func syncDirectories(path string) error {
	dir := filepath.Dir(path)
	err := syncDirectory(dir)
	// This user may lack permission to read the parent directory.
	if parentErr := syncDirectory(filepath.Dir(dir)); !errors.Is(parentErr, fs.ErrPermission) {
		err = errors.Join(err, parentErr)
	}
	return err
}

// rewriteDatabase replaces the database file by a compacted copy. After a failed
// sync, a later successful sync of the same file does not imply that the pages of
// the failed one are on disk, so the old file is never written again.
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
		_ = handle.Close() // read only, no writes to lose
	}
	if err != nil {
		return fmt.Errorf("rewrite %s: %w", path, err)
	}
	return nil
}

// replaceDatabase writes a new database to a temporary file and renames it to path
// once it is synced.
func replaceDatabase(path string, fill func(*bbolt.DB) error) (err error) {
	next := path + ".new"
	defer func() {
		if err != nil {
			_ = os.Remove(next) // best effort: frees space on a full disk
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

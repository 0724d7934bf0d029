package boltstore

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// ErrDamaged reports that a file can be read from the disk, but that its content
// is invalid.
var ErrDamaged = errors.New("the file is damaged")

// damagedInfix separates the name of a file from the number of its damaged copy.
const damagedInfix = ".damaged-"

// asDamage wraps a non-nil error in ErrDamaged.
func asDamage(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDamaged, err)
}

// detectDamage calls do, which accesses the file at path. A panic in bbolt, a memory
// fault in the mapped file and bbolt's format errors are returned as ErrDamaged if the
// whole file can be read from the disk, otherwise as the read error.
func detectDamage(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = damageOrReadError(path, fmt.Errorf("%v", r))
		}
	}()
	err = do()
	for _, invalid := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrChecksum, bbolterrors.ErrVersionMismatch} {
		if errors.Is(err, invalid) {
			return damageOrReadError(path, err)
		}
	}
	return err
}

// damageOrReadError reads the whole file. If that succeeds, it returns cause as
// ErrDamaged, otherwise the read error.
func damageOrReadError(path string, cause error) error {
	file, err := os.Open(path)
	if err == nil {
		_, err = io.Copy(io.Discard, file)
		_ = file.Close() // only read
	}
	if err != nil {
		return fmt.Errorf("read the file: %w", err)
	}
	return asDamage(cause)
}

// readAll reads all pages in use, so that damage is detected when the file is opened.
func readAll(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return readBucket(b) })
}

func readBucket(bucket *bbolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		if value == nil {
			return readBucket(bucket.Bucket(key))
		}
		_, _ = io.Discard.Write(value)
		return nil
	})
}

// moveAside renames a damaged file, so that a new one can replace it, and
// returns the new name. Damaged files moved earlier are never overwritten.
func moveAside(path string) (string, error) {
	for n := 1; ; n++ {
		aside := fmt.Sprintf("%s%s%d", path, damagedInfix, n)
		_, err := os.Lstat(aside)
		if err == nil {
			continue
		}
		if errors.Is(err, fs.ErrNotExist) {
			err = os.Rename(path, aside)
		}
		if err != nil {
			return aside, fmt.Errorf("move the damaged %s aside: %w", path, err)
		}
		return aside, syncDirectory(filepath.Dir(path))
	}
}

// WasReplaced reports whether a file of this name was ever moved aside as damaged.
// It returns true if the directory cannot be read, since it may contain such a file.
func WasReplaced(path string) bool {
	entries, err := os.ReadDir(filepath.Dir(path))
	return err != nil || slices.ContainsFunc(entries, func(e fs.DirEntry) bool {
		return strings.HasPrefix(e.Name(), filepath.Base(path)+damagedInfix)
	})
}

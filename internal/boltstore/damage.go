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

// ErrDamaged says that a file can be read from the disk, but that its content
// is not valid.
var ErrDamaged = errors.New("the file is damaged")

// damagedInfix stands between the name of a file and the number of a damaged
// one that was moved aside.
const damagedInfix = ".damaged-"

// asDamage makes an error, if there is one, an ErrDamaged.
func asDamage(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDamaged, err)
}

// detectDamage runs do, which may meet damage in the file at path. A panic of bbolt, a
// memory fault on the mapped file, and bbolt's errors about its format become
// ErrDamaged if the disk can read the file, else the disk's error.
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

// damageOrReadError reads all of the file: if that succeeds, cause is damage.
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

// readAll reads all pages that are in use, so that damage shows at once.
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

// moveAside renames a damaged file, so that a new one may replace it, and
// returns its new name. Earlier ones are never overwritten.
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
// It errs towards true: an unreadable directory may hold one.
func WasReplaced(path string) bool {
	entries, err := os.ReadDir(filepath.Dir(path))
	return err != nil || slices.ContainsFunc(entries, func(e fs.DirEntry) bool {
		return strings.HasPrefix(e.Name(), filepath.Base(path)+damagedInfix)
	})
}

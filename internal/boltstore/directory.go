package boltstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// makeDirectory creates a directory and its missing parents, and syncs the parent
// of each, so that they survive a power failure.
func makeDirectory(dir string) error {
	s, err := os.Stat(dir)
	if err == nil && !s.IsDir() {
		return &fs.PathError{Op: "mkdir", Path: dir, Err: syscall.ENOTDIR}
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := makeDirectory(filepath.Dir(dir)); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncDirectory(filepath.Dir(dir))
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err == nil {
		err = d.Sync()
		_ = d.Close() // opened read only
	}
	if err != nil {
		return fmt.Errorf("sync %s: %w", dir, err)
	}
	return nil
}

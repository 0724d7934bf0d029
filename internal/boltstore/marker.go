package boltstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// After a failed sync, the page cache of the operating system holds pages that may
// never reach the disk, and no later sync reports it. The process that saw the failure
// rewrites the file. If it terminates before that, the next process would read the
// cached pages as if they were on disk. Therefore a marker file exists as long as no
// write has failed, and a file without a marker is rewritten when it is opened. The
// removal of the marker is not synced: a power failure discards the cached pages too.

// markerPath returns the path of the marker of the file at path.
func markerPath(path string) string { return path + ".synced" }

// lacksMarker reports whether the file at path exists without a marker.
func lacksMarker(path string) bool { return exists(path) && !exists(markerPath(path)) }

func exists(path string) bool {
	_, err := os.Stat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

// createMarker creates the marker of an opened file if there is none. If it fails, the
// file is rewritten needlessly at the next start.
func createMarker(path string) error {
	marker := markerPath(path)
	file, err := os.OpenFile(marker, os.O_CREATE|os.O_EXCL|os.O_WRONLY, databaseMode)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("create %s: %w", marker, err)
	}
	return errors.Join(file.Sync(), file.Close(), syncDirectory(filepath.Dir(path)))
}

// removeMarker removes the marker after a write to the file has failed.
func removeMarker(path string) error {
	err := os.Remove(markerPath(path))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

package boltstore

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// Guards against the use of cached pages that are not on disk: a process must rewrite the
// file if the previous one terminated after a failed write. Any other file is opened as is.
func TestFileLeftAfterFailedWriteIsRewritten(t *testing.T) {
	for name, c := range map[string]struct {
		fault         string // step at which a write of the previous process fails
		recovers      bool   // the previous process reopened the file
		removesMarker bool   // simulates a file written by a version without markers
		want          bool
	}{
		"all writes succeeded":              {"", false, false, false},
		"a sync failed":                     {StepSync, false, false, true},
		"a commit failed":                   {StepCommit, false, false, true},
		"a sync failed, and it recovered":   {StepSync, true, false, false},
		"an earlier version wrote the file": {"", false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state.db")
			writeAndClose(t, path, c.fault, c.recovers)
			if c.removesMarker {
				if err := removeMarker(path); err != nil {
					t.Fatal(err)
				}
			}
			before := mustStat(t, path)
			next := openTestFile(t, path)
			if rewritten := !os.SameFile(before, mustStat(t, path)); rewritten != c.want {
				t.Errorf("rewritten: %v, want %v", rewritten, c.want)
			}
			if !exists(markerPath(path)) {
				t.Error("opened file has no marker")
			}
			if err := errors.Join(putKey(next, "third"), next.Close()); err != nil {
				t.Error(err)
			}
		})
	}
}

// writeAndClose simulates a process whose last write fails at the step fault, unless
// that is empty, and which then terminates.
func writeAndClose(t *testing.T, path, fault string, recovers bool) {
	t.Helper()
	f := openTestFile(t, path)
	f.Fault = func(step string) error {
		if step == fault {
			return errors.New("injected I/O error")
		}
		return nil
	}
	if err := putKey(f, "second"); (err != nil) != (fault != "") {
		t.Fatal(err)
	}
	f.Fault = nil
	if recovers {
		if err := f.open(true); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

var testBucket = []byte("marked")

// openTestFile opens a file and writes a key to it.
func openTestFile(t *testing.T, path string) *File {
	t.Helper()
	f := &File{
		Path: path,
		Prepare: func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists(testBucket)
			return err
		},
		Load: func(*bbolt.Tx) (func(), error) { return func() {}, nil },
		Warn: t.Logf,
	}
	if err := errors.Join(f.Open(), putKey(f, "first")); err != nil {
		t.Fatal(err)
	}
	return f
}

func putKey(f *File, key string) error {
	return f.Update(func(tx *bbolt.Tx) error { return tx.Bucket(testBucket).Put([]byte(key), nil) })
}

func mustStat(t *testing.T, path string) os.FileInfo {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return info
}

package boltstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.etcd.io/bbolt"
)

// state is a file with one bucket, the content loaded into memory, and the logged
// lines.
type state struct {
	File
	memory map[string]string
	lines  []string
}

var bucket = []byte("b")

func newState(path string) *state {
	s := &state{}
	s.File = File{Path: path, BatchDelay: time.Millisecond,
		Warn: func(f string, a ...any) { s.lines = append(s.lines, fmt.Sprintf(f, a...)) },
		Prepare: func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists(bucket)
			return err
		},
		Load: func(tx *bbolt.Tx) (func(), error) {
			read := map[string]string{}
			err := tx.Bucket(bucket).ForEach(func(k, v []byte) error { read[string(k)] = string(v); return nil })
			return func() { s.memory = read }, err
		}}
	return s
}

func (s *state) put(key, value string) error {
	return s.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte(key), []byte(value)) })
}

func (s *state) mustOpen(t *testing.T) {
	t.Helper()
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
}

func (s *state) mustClose(t *testing.T) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// fill writes enough data to occupy several pages.
func (s *state) fill(t *testing.T) {
	t.Helper()
	if err := s.Update(func(tx *bbolt.Tx) error {
		for i := range 200 {
			if err := tx.Bucket(bucket).Put(fmt.Append(nil, i), bytes.Repeat([]byte("x"), 1000)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against memory that differs from disk after a failed commit, which may have
// reached the disk: calls must fail until the file has been reopened and reloaded.
func TestFailedWriteIsReloadedFromDisk(t *testing.T) {
	for step, want := range map[string]string{StepCommit: "1", StepSync: "2"} {
		t.Run(step, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFailedWrite(t, step, want) })
		})
	}
}

func testFailedWrite(t *testing.T, step, want string) {
	s := newState(filepath.Join(t.TempDir(), "state.db"))
	s.mustOpen(t)
	if err := s.put("a", "1"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Recover(ctx, time.Second); close(done) }()
	var diskFull atomic.Bool
	diskFull.Store(true)
	s.Fault = func(at string) error {
		if diskFull.Load() && (at == step || at == StepOpen) {
			return syscall.ENOSPC
		}
		return nil
	}
	if err := s.put("a", "2"); !errors.Is(err, syscall.ENOSPC) {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	if err := s.put("c", "1"); !errors.Is(err, syscall.ENOSPC) || s.Err() == nil {
		t.Errorf("write accepted before recovery: %v", err)
	}
	if err := s.View(func(*bbolt.Tx) error { return nil }); err == nil {
		t.Error("read accepted before recovery")
	}
	synctest.Wait()
	diskFull.Store(false)
	time.Sleep(2 * time.Second)
	if err := s.Err(); err != nil || s.memory["a"] != want {
		t.Errorf("value in memory after recovery: %q, want %q; error: %v", s.memory["a"], want, err)
	}
	if err := s.put("d", "1"); err != nil {
		t.Error(err)
	}
	cancel()
	<-done
	s.mustClose(t)
	if err := s.put("d", "2"); !errors.Is(err, ErrNotOpen) {
		t.Errorf("write after Close: got %v, want ErrNotOpen", err)
	}
	s.Fault = nil
	if err := s.Open(); err != nil || s.memory["a"] != want || s.memory["d"] != "1" || s.memory["c"] != "" {
		t.Errorf("reloaded %v; error: %v", s.memory, err)
	}
	if len(s.lines) != 2 || !strings.Contains(s.lines[0], s.Path) {
		t.Errorf("logged lines: %q", s.lines)
	}
	s.mustClose(t)
}

func TestDamagedFileIsMovedAsideAndReplaced(t *testing.T) {
	overwrite := func(from, to int) func([]byte) []byte {
		return func(raw []byte) []byte {
			for i := from; i < min(to, len(raw)); i++ {
				raw[i] = 0xA5
			}
			return raw
		}
	}
	page := os.Getpagesize()
	for name, corrupt := range map[string]func([]byte) []byte{
		"both meta pages":         overwrite(0, 2*page),
		"all but the meta pages":  overwrite(2*page, 1<<30),
		"truncated between pages": func(raw []byte) []byte { return raw[:2*page] },
		"truncated within a page": func(raw []byte) []byte { return raw[:3*page+17] },
		"empty":                   func([]byte) []byte { return nil },
		"another format":          func([]byte) []byte { return bytes.Repeat([]byte("no database "), 4000) },
	} {
		t.Run(name, func(t *testing.T) { testDamagedFile(t, corrupt) })
	}
}

func testDamagedFile(t *testing.T, corrupt func([]byte) []byte) {
	path := filepath.Join(t.TempDir(), "deep[1", "down", "state.db")
	s := newState(path)
	s.mustOpen(t)
	if WasReplaced(path) {
		t.Error("WasReplaced is true for an intact file")
	}
	for n := 1; n < 3; n++ {
		s.fill(t)
		s.mustClose(t)
		corruptFile(t, path, corrupt)
		s.lines = nil
		if err := s.Open(); err != nil || len(s.memory) != 0 {
			t.Fatalf("opening the damaged file: %v; %d entries loaded, want 0", err, len(s.memory))
		}
		aside := fmt.Sprintf("%s.damaged-%d", path, n)
		if len(s.lines) != 1 || !strings.Contains(s.lines[0], aside) || !WasReplaced(path) {
			t.Errorf("logged lines: %q", s.lines)
		}
		if _, err := os.Stat(aside); err != nil {
			t.Error(err)
		}
		if err := s.put("a", "1"); err != nil {
			t.Error(err)
		}
	}
	s.mustClose(t)
}

func corruptFile(t *testing.T, path string, corrupt func([]byte) []byte) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, corrupt(raw), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestDamageFoundInUseMovesFileAside(t *testing.T) {
	s := newState(filepath.Join(t.TempDir(), "state.db"))
	s.mustOpen(t)
	s.fill(t)
	// Reading a mapped file beyond its end causes a memory fault; bbolt returns no error.
	if err := os.Truncate(s.Path, int64(2*os.Getpagesize())); err != nil {
		t.Fatal(err)
	}
	if err := s.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte("7"), []byte("new")) }); !errors.Is(err, ErrDamaged) {
		t.Fatal(err)
	}
	<-s.Damaged()
	if err := s.put("8", "new"); !errors.Is(err, ErrDamaged) || len(s.lines) != 1 || !WasReplaced(s.Path) {
		t.Errorf("write to a damaged file: %v; logged lines: %q", err, s.lines)
	}
	s.mustClose(t)
}

// Guards against an intact file that is moved aside because of an I/O error.
func TestDiskErrorsAreNotDamage(t *testing.T) {
	s := newState(filepath.Join(t.TempDir(), "state.db"))
	for _, step := range []string{StepOpen, StepCommit, StepSync} {
		for _, injected := range []error{syscall.ENOSPC, syscall.EIO} {
			s.Fault = func(at string) error {
				if at == step {
					return injected
				}
				return nil
			}
			if err := s.Open(); !errors.Is(err, injected) || errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), s.Path) {
				t.Errorf("%s: %v", step, err)
			}
			if WasReplaced(s.Path) || s.Err() == nil {
				t.Errorf("%s: file moved aside or calls accepted after an I/O error", step)
			}
		}
	}
	s.Fault = nil
	if err := s.Open(); err != nil {
		t.Error(err)
	}
	s.mustClose(t)
	// A directory in place of the file cannot be read.
	dir := filepath.Join(t.TempDir(), "state.db")
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := newState(dir).Open(); err == nil || errors.Is(err, ErrDamaged) {
		t.Error(err)
	}
}

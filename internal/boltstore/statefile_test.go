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

// state is a file with one bucket, and what memory holds of it.
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

func TestAWriteThatWasRefusedIsReadAgain(t *testing.T) {
	for _, step := range []string{StepCommit, StepSync} {
		synctest.Test(t, func(t *testing.T) {
			s := newState(filepath.Join(t.TempDir(), "state.db"))
			if err := s.Open(); err != nil {
				t.Fatal(err)
			}
			if err := s.put("a", "1"); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { s.Recover(ctx, time.Second); close(done) }()
			var full atomic.Bool
			full.Store(true)
			s.Fault = func(at string) error {
				if full.Load() && (at == step || at == StepOpen) {
					return syscall.ENOSPC
				}
				return nil
			}
			if err := s.put("a", "2"); !errors.Is(err, syscall.ENOSPC) {
				t.Fatalf("%s: %v", step, err)
			}
			time.Sleep(10 * time.Second)
			if err := s.put("c", "1"); !errors.Is(err, syscall.ENOSPC) || s.Err() == nil {
				t.Errorf("%s: a write on what may differ: %v", step, err)
			}
			if err := s.View(func(*bbolt.Tx) error { return nil }); err == nil {
				t.Errorf("%s: a read of what may differ", step)
			}
			synctest.Wait()
			full.Store(false)
			time.Sleep(2 * time.Second)
			want := map[string]string{StepCommit: "1", StepSync: "2"}[step]
			if err := s.Err(); err != nil || s.memory["a"] != want {
				t.Errorf("%s: memory holds %q, %v", step, s.memory["a"], err)
			}
			if err := s.put("d", "1"); err != nil {
				t.Error(err)
			}
			cancel()
			<-done
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if err := s.put("d", "2"); err == nil {
				t.Error("a write after the end")
			}
			s.Fault = nil
			if err := s.Open(); err != nil || s.memory["a"] != want || s.memory["d"] != "1" || s.memory["c"] != "" {
				t.Errorf("%s: read back %v, %v", step, s.memory, err)
			}
			if len(s.lines) != 2 || !strings.Contains(s.lines[0], s.Path) {
				t.Errorf("lines: %q", s.lines)
			}
			s.Close()
		})
	}
}

func TestADamagedFileIsMovedAside(t *testing.T) {
	fill := func(from, to int) func([]byte) []byte {
		return func(raw []byte) []byte {
			for i := from; i < min(to, len(raw)); i++ {
				raw[i] = 0xA5
			}
			return raw
		}
	}
	page := os.Getpagesize()
	for name, harm := range map[string]func([]byte) []byte{
		"both meta pages":        fill(0, 2*page),
		"all but the meta pages": fill(2*page, 1<<30),
		"cut short":              func(raw []byte) []byte { return raw[:2*page] },
		"cut in a page":          func(raw []byte) []byte { return raw[:3*page+17] },
		"empty":                  func(raw []byte) []byte { return nil },
		"another format":         func([]byte) []byte { return bytes.Repeat([]byte("no database "), 4000) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "deep[1", "down", "state.db")
			s := newState(path)
			if err := s.Open(); err != nil {
				t.Fatal(err)
			}
			if Replaced(path) {
				t.Error("nothing was replaced")
			}
			for n := 1; n < 3; n++ {
				s.fill(t)
				s.Close()
				raw, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, harm(raw), 0o600); err != nil {
					t.Fatal(err)
				}
				s.lines = nil
				if err := s.Open(); err != nil || len(s.memory) != 0 {
					t.Fatalf("%v, %d entries", err, len(s.memory))
				}
				aside := fmt.Sprintf("%s.damaged-%d", path, n)
				if len(s.lines) != 1 || !strings.Contains(s.lines[0], aside) || !Replaced(path) {
					t.Errorf("lines: %q", s.lines)
				}
				if _, err := os.Stat(aside); err != nil {
					t.Error(err)
				}
				if err := s.put("a", "1"); err != nil {
					t.Error(err)
				}
			}
			s.Close()
		})
	}
}

func TestDamageMetInUseMovesTheFileAside(t *testing.T) {
	s := newState(filepath.Join(t.TempDir(), "state.db"))
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	s.fill(t)
	// The mapping ends in nothing: bbolt faults instead of an error.
	if err := os.Truncate(s.Path, int64(2*os.Getpagesize())); err != nil {
		t.Fatal(err)
	}
	if err := s.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte("7"), []byte("new")) }); !errors.Is(err, ErrDamaged) {
		t.Fatal(err)
	}
	<-s.Lost()
	if err := s.put("8", "new"); !errors.Is(err, ErrDamaged) || len(s.lines) != 1 || !Replaced(s.Path) {
		t.Errorf("%v, %q", err, s.lines)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// What the disk cannot do says nothing about the file.
func TestADiskThatDoesNotWorkIsNoDamage(t *testing.T) {
	s := newState(filepath.Join(t.TempDir(), "state.db"))
	for _, step := range []string{StepOpen, StepCommit, StepSync} {
		for _, refusal := range []error{syscall.ENOSPC, syscall.EIO} {
			s.Fault = func(at string) error {
				if at == step {
					return refusal
				}
				return nil
			}
			if err := s.Open(); !errors.Is(err, refusal) || errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), s.Path) {
				t.Errorf("%s: %v", step, err)
			}
			if Replaced(s.Path) || s.Err() == nil {
				t.Errorf("%s: moved aside", step)
			}
		}
	}
	s.Fault = nil
	if err := s.Open(); err != nil {
		t.Error(err)
	}
	s.Close()
	// A folder in place of the file can't be read at all.
	dir := filepath.Join(t.TempDir(), "state.db")
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := newState(dir).Open(); err == nil || errors.Is(err, ErrDamaged) {
		t.Error(err)
	}
}

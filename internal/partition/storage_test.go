package partition

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"saltreel/internal/boltstore"
)

func closeDB(t *testing.T, s *storage) {
	t.Helper()
	if err := s.file.Close(); err != nil {
		t.Error(err)
	}
}

func TestDamagedFileIsMovedAside(t *testing.T) {
	dir := t.TempDir()
	s, saved, err := openStorage(dir, t.Logf)
	if err != nil || len(saved.records) != 0 {
		t.Fatal(err)
	}
	identity := s.identity
	closeDB(t, s)
	if s, _, err = openStorage(dir, t.Logf); err != nil || s.identity != identity {
		t.Fatalf("opened again: %v", err)
	}
	closeDB(t, s)
	path := filepath.Join(dir, "store.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 2 * os.Getpagesize(); i < len(raw); i++ { // all pages but the first two
		raw[i] = byte(i * 7)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	warned := ""
	s, _, err = openStorage(dir, func(format string, _ ...any) { warned = format })
	if err != nil || s.identity == identity || !strings.Contains(warned, "damaged") {
		t.Errorf("damaged file: %v, warned %q", err, warned)
	}
	closeDB(t, s)
	if quarantined, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*")); len(quarantined) != 1 {
		t.Errorf("moved aside: %v", quarantined)
	}
}

// A file that the disk cannot read may be undamaged, so it must not be moved aside.
func TestUnreadableFileIsNotMovedAside(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "store.db"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openStorage(dir, t.Logf); err == nil {
		t.Error("opened a directory")
	}
	if quarantined, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*")); len(quarantined) != 0 {
		t.Errorf("moved aside: %v", quarantined)
	}
}

func TestStateIsReadBackFromDisk(t *testing.T) {
	dir := t.TempDir()
	s, _, err := openStorage(dir, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	s.putRecord(2, &Record{ID: "a", Length: 1, Body: []byte("b")}, nil)
	s.putRecord(2, &Record{ID: "deleted"}, nil)
	s.putRecord(2, &Record{ID: "deleted", State: Deleted}, nil)
	s.putMeta(keyEpochs, fencingEpochs{2: 9}.encode())
	s.putMeta(keyActivity, []byte("1700000000000"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.run(ctx, time.Millisecond, t.Logf); err != nil {
		t.Fatal(err)
	}
	s, saved, err := openStorage(dir, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer closeDB(t, s)
	if len(saved.records) != 1 || saved.records[0].ID != "a" || saved.records[0].Partition != 2 || string(saved.records[0].Body) != "b" {
		t.Errorf("records: %+v", saved.records)
	}
	if len(saved.epochs) != 1 || saved.epochs[2] != 9 || !s.lastActivity.Equal(time.UnixMilli(1700000000000)) {
		t.Errorf("epochs %v, active at %v", saved.epochs, s.lastActivity)
	}
}

func TestStalledOrSlowDiskIsUnhealthy(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		health    writeHealth
		unhealthy bool
	}{
		"idle":    {writeHealth{}, false},
		"writing": {writeHealth{writeStarted: now, averageWrite: time.Millisecond}, false},
		"stalled": {writeHealth{writeStarted: now.Add(-time.Second), averageWrite: time.Millisecond}, true},
		"slow":    {writeHealth{averageWrite: 200 * time.Millisecond}, true},
		"refuses": {writeHealth{lastError: os.ErrClosed}, true},
	} {
		s := &storage{health: c.health}
		if err := s.check(250*time.Millisecond, 80*time.Millisecond); (err != nil) != c.unhealthy {
			t.Errorf("%s: %v", name, err)
		}
	}
	s, _, err := openStorage(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	closeDB(t, s) // every further write fails
	if err := s.commit([]change{{key: []byte("k")}}); err == nil {
		t.Error("the failed write was not reported")
	}
}

func TestAverageWriteTimeMovesByAQuarter(t *testing.T) {
	h := writeHealth{writeStarted: time.Now()}
	for _, want := range []time.Duration{100, 175} {
		h.recordWrite(400 * time.Millisecond)
		if h.averageWrite != want*time.Millisecond || !h.writeStarted.IsZero() {
			t.Errorf("%+v, want %v", h, want*time.Millisecond)
		}
	}
}

// The file size is measured while the writer grows the file and closes it.
func TestUsedBytesWhileTheFileGrowsAndCloses(t *testing.T) {
	s, _, err := openStorage(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range 64 {
			value := bytes.Repeat([]byte{byte(i)}, 64<<10)
			if err := s.commit([]change{{key: recordKey(0, strconv.Itoa(i)), value: value}}); err != nil {
				t.Error(err)
			}
		}
		cancel()
		_ = s.run(ctx, time.Millisecond, t.Logf)
	})
	maxUsed := int64(0)
	for ctx.Err() == nil {
		maxUsed = max(maxUsed, s.usedBytes())
	}
	tasks.Wait()
	if maxUsed < 1<<20 || s.usedBytes() != 0 {
		t.Errorf("at most %d bytes in use while writing, %d after closing", maxUsed, s.usedBytes())
	}
}

// A failed commit may or may not have reached the disk, and after a failed sync a later
// successful one may report pages as written that were lost. The file must therefore be
// rewritten before a change is reported to be on disk.
func TestFileIsWrittenAnewAfterAFailedCommit(t *testing.T) {
	for _, step := range []string{boltstore.StepCommit, boltstore.StepSync} {
		dir := t.TempDir()
		s, _, err := openStorage(dir, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		failed := map[string]bool{} // each step once
		s.file.Fault = func(at string) error {
			if !failed[at] && (at == step || at == boltstore.StepOpen) {
				failed[at] = true
				return syscall.ENOSPC
			}
			return nil
		}
		path := filepath.Join(dir, "store.db")
		before, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		onDisk := make(chan os.FileInfo, 1)
		s.putRecord(2, &Record{ID: "a", Length: 1, Body: []byte("b")}, func() {
			info, err := os.Stat(path)
			if err != nil {
				t.Error(err)
			}
			onDisk <- info
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() {
			if err := s.run(ctx, time.Millisecond, t.Logf); err != nil {
				t.Errorf("%s: %v", step, err)
			}
		})
		after := <-onDisk
		cancel()
		running.Wait()
		if os.SameFile(before, after) || !failed[boltstore.StepOpen] {
			t.Errorf("%s: the file was not rewritten", step)
		}
		s, saved, err := openStorage(dir, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		if len(saved.records) != 1 || saved.records[0].ID != "a" || s.identity == "" {
			t.Errorf("%s: records %+v", step, saved.records)
		}
		closeDB(t, s)
	}
}

func TestDamagedFileStopsTheWriter(t *testing.T) {
	s, _, err := openStorage(t.TempDir(), t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	s.file.Fault = func(string) error { return boltstore.ErrDamaged }
	s.putMeta(keyProbe, []byte{})
	if err := s.run(t.Context(), time.Millisecond, t.Logf); !errors.Is(err, boltstore.ErrDamaged) {
		t.Errorf("the writer returned %v", err)
	}
}

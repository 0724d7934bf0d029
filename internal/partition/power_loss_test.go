package partition

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"saltreel/internal/boltstore"
)

// faultyDisk simulates the disk under a storage. While it is failing, a write fails
// either before anything is written or after everything is. In the latter case, the
// operating system still returns the written pages from its cache but has marked them as
// clean, so that no later sync writes them to the disk.
type faultyDisk struct {
	t    *testing.T
	path string

	mu           sync.Mutex
	rng          *rand.Rand
	failing      bool
	durable      []byte   // file content that would survive a loss of power
	syncedFile   *os.File // the file with the durable content; kept open so that its inode is not reused
	falselyClean []byte   // cached content that may never reach the disk
}

const pageSize = 4096

// fault decides whether one step of a write fails.
func (d *faultyDisk) fault(step string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failing || d.rng.IntN(3) == 0 {
		return nil
	}
	if step == boltstore.StepSync {
		d.falselyClean, _ = d.readLocked()
	}
	return syscall.ENOSPC
}

// readLocked reads the file, and reports whether it is the file of the last sync.
func (d *faultyDisk) readLocked() (raw []byte, same bool) {
	raw, err := os.ReadFile(d.path)
	if err != nil {
		d.t.Error(err)
	}
	now, err := os.Stat(d.path)
	if err != nil {
		d.t.Error(err)
	}
	if d.syncedFile == nil {
		return raw, false
	}
	before, err := d.syncedFile.Stat()
	if err != nil {
		d.t.Error(err)
	}
	return raw, os.SameFile(before, now)
}

// keepOpenLocked replaces syncedFile with the current file, and keeps it open.
func (d *faultyDisk) keepOpenLocked() {
	if d.syncedFile != nil {
		_ = d.syncedFile.Close() // only read
	}
	var err error
	if d.syncedFile, err = os.Open(d.path); err != nil {
		d.t.Error(err)
	}
}

func (d *faultyDisk) setFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// recordSync is called when the storage reports that its writes are on disk. If the file
// is the same as before, the pages that are unchanged since they were falsely marked as
// clean are not.
func (d *faultyDisk) recordSync() {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, same := d.readLocked()
	if same {
		for offset := 0; offset < min(len(d.falselyClean), len(raw)); offset += pageSize {
			end := min(offset+pageSize, len(d.falselyClean), len(raw))
			if bytes.Equal(raw[offset:end], d.falselyClean[offset:end]) {
				previous := make([]byte, end-offset)
				copy(previous, d.durable[min(offset, len(d.durable)):min(end, len(d.durable))])
				copy(raw[offset:end], previous)
			}
		}
	} else {
		d.falselyClean = nil
		d.keepOpenLocked()
	}
	d.durable = raw
}

// afterPowerLoss opens the content that survives a loss of power and returns the
// identifiers of its records.
func (d *faultyDisk) afterPowerLoss() map[string]bool {
	d.mu.Lock()
	image := d.durable
	d.mu.Unlock()
	dir := d.t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "store.db"), image, 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, saved, err := openStorage(dir, d.t.Logf)
	if err != nil {
		d.t.Fatal(err)
	}
	defer closeDB(d.t, s)
	recovered := map[string]bool{}
	for _, r := range saved.records {
		recovered[r.ID] = true
	}
	return recovered
}

// A record that was reported to be on disk must survive a loss of power, whichever step
// of a write failed before and however often.
func TestAcknowledgedRecordsOutliveRefusedWritesAndPowerLoss(t *testing.T) {
	for seed := range uint64(4) {
		dir := t.TempDir()
		s, _, err := openStorage(dir, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		disk := &faultyDisk{t: t, path: filepath.Join(dir, "store.db"), rng: rand.New(rand.NewPCG(seed, 1))}
		disk.recordSync()
		t.Cleanup(func() { _ = disk.syncedFile.Close() }) // only read
		s.file.Fault = disk.fault
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- s.run(ctx, time.Millisecond, t.Logf) }()
		for n := range 60 {
			disk.setFailing(n%4 == 3)
			onDisk := make(chan struct{})
			s.putRecord(n%3, &Record{ID: fmt.Sprint(n), Length: 700, Body: make([]byte, 700)}, func() {
				disk.recordSync()
				close(onDisk)
			})
			select {
			case <-onDisk:
			case <-time.After(50 * time.Millisecond): // the write fails until the disk has recovered
				disk.setFailing(false)
				select {
				case <-onDisk:
				case err := <-stopped:
					t.Fatalf("seed %d: the writer stopped: %v", seed, err)
				}
			}
		}
		cancel()
		<-stopped
		recovered := disk.afterPowerLoss()
		for n := range 60 {
			if !recovered[fmt.Sprint(n)] {
				t.Errorf("seed %d: record %d was reported to be on disk, but is lost", seed, n)
			}
		}
	}
}

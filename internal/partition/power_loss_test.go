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

// faultyDisk is the disk under a storage. While it refuses, a write fails before
// anything is written, or after everything is: then the operating system reads
// what was written from its cache, but has marked it as clean, so that no later
// sync brings it to the disk.
type faultyDisk struct {
	t    *testing.T
	path string

	mu      sync.Mutex
	rng     *rand.Rand
	refuses bool
	onDisk  []byte   // what a loss of power leaves
	file    *os.File // that had this content; open, so that no other file gets its inode
	clean   []byte   // what is in the cache and may never reach the disk
}

const pageSize = 4096

// fault decides what becomes of one step of a write.
func (d *faultyDisk) fault(step string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refuses || d.rng.IntN(3) == 0 {
		return nil
	}
	if step == boltstore.StepSync {
		d.clean, _ = d.readLocked()
	}
	return syscall.ENOSPC
}

// readLocked reads the file, and reports whether it is the one of the last sync.
func (d *faultyDisk) readLocked() (raw []byte, same bool) {
	raw, err := os.ReadFile(d.path)
	if err != nil {
		d.t.Error(err)
	}
	now, err := os.Stat(d.path)
	if err != nil {
		d.t.Error(err)
	}
	if d.file == nil {
		return raw, false
	}
	before, err := d.file.Stat()
	if err != nil {
		d.t.Error(err)
	}
	return raw, os.SameFile(before, now)
}

// holdLocked keeps the file open that is there now.
func (d *faultyDisk) holdLocked() {
	if d.file != nil {
		_ = d.file.Close() // only read
	}
	var err error
	if d.file, err = os.Open(d.path); err != nil {
		d.t.Error(err)
	}
}

func (d *faultyDisk) setRefuses(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = refuses
}

// noteSynced is called when the storage says that what was written is on disk. Of
// a file that is the same as before, pages that were clean and did not change
// since are not.
func (d *faultyDisk) noteSynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, same := d.readLocked()
	if same {
		for at := 0; at < min(len(d.clean), len(raw)); at += pageSize {
			end := min(at+pageSize, len(d.clean), len(raw))
			if bytes.Equal(raw[at:end], d.clean[at:end]) {
				lost := make([]byte, end-at)
				copy(lost, d.onDisk[min(at, len(d.onDisk)):min(end, len(d.onDisk))])
				copy(raw[at:end], lost)
			}
		}
	} else {
		d.clean = nil
		d.holdLocked()
	}
	d.onDisk = raw
}

// afterPowerLoss opens what the disk holds after a loss of power now.
func (d *faultyDisk) afterPowerLoss() map[string]bool {
	d.mu.Lock()
	image := d.onDisk
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
	held := map[string]bool{}
	for _, r := range saved.records {
		held[r.ID] = true
	}
	return held
}

// Whatever step of a write the disk refuses, and however often, a record that was
// said to be on disk is there after a loss of power.
func TestAcknowledgedRecordsOutliveRefusedWritesAndPowerLoss(t *testing.T) {
	for seed := range uint64(4) {
		dir := t.TempDir()
		s, _, err := openStorage(dir, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		disk := &faultyDisk{t: t, path: filepath.Join(dir, "store.db"), rng: rand.New(rand.NewPCG(seed, 1))}
		disk.noteSynced()
		t.Cleanup(func() { _ = disk.file.Close() }) // only read
		s.file.Fault = disk.fault
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.run(ctx, time.Millisecond, t.Logf) }()
		for n := range 60 {
			disk.setRefuses(n%4 == 3)
			onDisk := make(chan struct{})
			s.putRecord(n%3, &Record{ID: fmt.Sprint(n), Length: 700, Body: make([]byte, 700)}, func() {
				disk.noteSynced()
				close(onDisk)
			})
			select {
			case <-onDisk:
			case <-time.After(50 * time.Millisecond): // the disk refuses it, for as long as it does
				disk.setRefuses(false)
				select {
				case <-onDisk:
				case err := <-ended:
					t.Fatalf("seed %d: the writer ended: %v", seed, err)
				}
			}
		}
		cancel()
		<-ended
		held := disk.afterPowerLoss()
		for n := range 60 {
			if !held[fmt.Sprint(n)] {
				t.Errorf("seed %d: record %d was said to be on disk, and is lost", seed, n)
			}
		}
	}
}

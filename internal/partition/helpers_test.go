package partition

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// testConfig returns the configuration of a store named "me" that cannot reach any other
// store.
func testConfig(dir string) Config {
	unreachable := func(context.Context, string) (net.Conn, error) { return nil, io.EOF }
	return Config{
		Self:           "me",
		Dir:            dir,
		Client:         rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: unreachable}}),
		ContactTimeout: 4 * time.Second,
		StateRetention: time.Minute,
		Log:            log.New(io.Discard, "", 0),
		ReportInSync:   func(context.Context, placement.InSyncReport) error { return nil },
		ReportFailure:  func(string, bool) {},
	}
}

// startBackup runs a Manager that backs up partition 0 in epoch 5 for the store named
// "other".
func startBackup(tb testing.TB) *Manager {
	tb.Helper()
	m, err := New(testConfig(tb.TempDir()))
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(tb.Context())
	done := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(done)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	assign(m, 1, placement.Partition{Epoch: 5, Primary: "other", Backups: []placement.Backup{{Store: "me", InSync: true}}})
	return m
}

// startPrimary runs a Manager that leads partition 0 in epoch 6.
func startPrimary(tb testing.TB, backups ...placement.Backup) *Manager {
	tb.Helper()
	m := startBackup(tb)
	assign(m, 2, placement.Partition{Epoch: 6, Primary: "me", Backups: backups})
	return m
}

// assign applies a placement with one partition.
func assign(m *Manager, version int64, assignment placement.Partition) {
	m.ApplyPlacement(placement.Placement{
		Version:    version,
		Stores:     map[string]placement.Store{"me": {Disk: m.DiskID()}},
		Partitions: []placement.Partition{assignment},
	})
}

// recordsOf returns a record set with the given records.
func recordsOf(records ...*Record) *recordSet {
	set := newRecordSet()
	for _, r := range records {
		set.put(r)
	}
	return &set
}

// stallDisk blocks all writes of a storage until resume is called.
func stallDisk(s *storage) (resume func()) {
	stalled, released := make(chan struct{}), make(chan struct{})
	go func() {
		_ = s.file.Update(func(*bbolt.Tx) error { // rolled back
			close(stalled)
			<-released
			return errors.New("nothing to write")
		})
	}()
	<-stalled
	return func() { close(released) }
}

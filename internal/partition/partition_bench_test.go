package partition

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"runtime"
	"testing"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

func message(i int) *Record {
	return &Record{ID: fmt.Sprintf("attempt-%012d", i), Epoch: 5, Sequence: int64(i + 1), Tenant: "tenant-1", Method: "POST", Target: "/vendor-approval/17/x", Host: "app.example",
		Type: "application/json", Revision: 7, Due: 1, Expires: 1 << 50, Length: 1500, Body: bytes.Repeat([]byte("x"), 1500)}
}

// BenchmarkRecord encodes and decodes one message of 1,500 bytes for the disk.
func BenchmarkRecord(b *testing.B) {
	r := message(1)
	raw := r.encode()
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.encode()
		}
		b.ReportMetric(float64(len(raw)), "record-B")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := decodeRecord(recordKey(0, r.ID), raw); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkHeld is what a message takes in memory while it waits, without and
// with its body.
func BenchmarkHeld(b *testing.B) {
	const n = 100000
	for _, size := range []int{0, 1500} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				p, s := &partition{records: map[string]*Record{}}, &Manager{}
				for i := range n {
					r := message(i)
					r.Body = make([]byte, size)
					s.putLocked(p, r)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(p)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "held-B/message")
		})
	}
}

// BenchmarkCopies takes batches of messages as a backup, each on disk before
// the answer, and tells how large the file is then.
func BenchmarkCopies(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("messages=%d", n), func(b *testing.B) {
			s := &Manager{Self: "me", ContactTimeout: 4 * time.Second, Log: log.New(io.Discard, "", 0), StateRetention: time.Minute,
				ReportFailure: func(string, bool) {}, ReportInSync: func(context.Context, placement.InSyncReport) error { return nil },
				Client: rpc.NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return nil, io.EOF }}})}
			if err := s.Open(b.TempDir()); err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() { _ = s.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			s.ApplyPlacement(placement.Placement{Version: 1, Stores: map[string]placement.Store{"me": {Disk: s.DiskID()}},
				Partitions: []placement.Partition{{Epoch: 5, Primary: "other", Backups: []placement.Backup{{Store: "me", InSync: true}}}}})
			b.ReportAllocs()
			at := 0
			for b.Loop() {
				batch, raw := BatchRequest{From: "other", Now: s.Now()}, []byte{}
				share := PartitionBatch{Epoch: 5}
				for range n {
					r := message(at)
					at++
					share.Records = append(share.Records, r)
					raw = append(raw, r.Body...)
				}
				batch.Partitions = []PartitionBatch{share}
				if _, err := s.HandleBatch(ctx, &batch, raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(s.storage.usedBytes())/float64(at), "file-B/message")
		})
	}
}

package partition

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"saltreel/internal/placement"
)

func message(i int) *Record {
	return &Record{ID: fmt.Sprintf("attempt-%012d", i), Epoch: 5, Sequence: int64(i + 1), Tenant: "tenant-1", Method: "POST", Target: "/vendor-approval/17/x", Host: "app.example",
		Type: "application/json", Revision: 7, Due: 1, Expires: 1 << 50, Length: 1500, Body: bytes.Repeat([]byte("x"), 1500)}
}

// BenchmarkRecord encodes and decodes one message with a body of 1,500 bytes for the
// disk.
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

// BenchmarkMemory measures the memory of a pending message, without and with its body.
func BenchmarkMemory(b *testing.B) {
	const n = 100000
	for _, size := range []int{0, 1500} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				records := newRecordSet()
				for i := range n {
					r := message(i)
					r.Body = make([]byte, size)
					records.put(r)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(&records)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "memory-B/message")
		})
	}
}

// BenchmarkHandleBatch applies batches of messages as a backup, each synced to disk
// before the response, and reports the resulting file size for each message.
func BenchmarkHandleBatch(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("messages=%d", n), func(b *testing.B) {
			m := startBackup(b)
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				batch := BatchRequest{From: "other", Now: m.Now()}
				raw := []byte{}
				part := PartitionBatch{Epoch: 5}
				for range n {
					r := message(next)
					next++
					part.Records = append(part.Records, r)
					raw = append(raw, r.Body...)
				}
				batch.Partitions = []PartitionBatch{part}
				if _, err := m.HandleBatch(b.Context(), &batch, raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(m.storage.usedBytes())/float64(next), "file-B/message")
		})
	}
}

// BenchmarkReplicate creates a batch of 100 messages in 10 of 64 partitions and handles
// the response, which is the work of a primary for one call to a backup.
func BenchmarkReplicate(b *testing.B) {
	m := startBackup(b)
	assignments := make([]placement.Partition, 64)
	for i := range assignments {
		assignments[i] = placement.Partition{Epoch: 6, Primary: "me", Backups: []placement.Backup{{Store: "other", InSync: true}}}
	}
	m.ApplyPlacement(placement.Placement{Version: 2, Stores: map[string]placement.Store{"me": {Disk: m.DiskID()}}, Partitions: assignments})
	to := &replicator{manager: m, peer: "other", wakeup: make(chan struct{}, 1)}
	messages := make([]*Record, 100)
	for i := range messages {
		messages[i] = message(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.mu.Lock()
		for i, r := range messages {
			m.partitions[i%10].replicas[0].unreplicated[r.ID] = r
		}
		m.mu.Unlock()
		batch := m.makeBatch("other", 0)
		var response BatchResponse
		for _, sent := range batch.sent {
			response.Partitions = append(response.Partitions, PartitionResult{Partition: sent.partition.number, Checksum: sent.checksum, Count: sent.count})
		}
		m.handleResponse(to, time.Now(), 0, batch.sent, response)
	}
}

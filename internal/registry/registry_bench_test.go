package registry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

var handlerSizes = []int{1000, 10000, 44000}

func heartbeatOf(i, seq int) Entry {
	in := handler.Instance{ID: fmt.Sprintf("tm-matcher-%06d", i), Service: "tm-matcher", Address: fmt.Sprintf("10.20.%d.%d:9000", i>>8&255, i&255),
		Zone: "quezon-hall", Revision: "v1", Slots: 2, State: handler.Ready, CallSeq: int64(seq)}
	return Entry{Key: distribution.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)}
}

// benchNode returns store i of a fleet in nine zones and three regions.
func benchNode(i int) membership.Node {
	return membership.Node{Name: fmt.Sprintf("store-zone-%d-%d", i%9, i), Role: "store", Address: fmt.Sprintf("10.%d.0.%d:7100", i%9, i), Zone: fmt.Sprintf("zone-%d", i%9),
		Region: fmt.Sprintf("region-%d", i%3), Disk: fmt.Sprintf("DISKDISKDISKDISKDISK%06d", i)}
}

func tableOf(n int) *table {
	r := newTable(journal.New("bench", time.Hour, distribution.PrefixNode), time.Second, time.Second)
	for i := range n {
		r.mergeHeartbeat(heartbeatOf(i, 1))
	}
	for i := range 650 {
		r.mergeNodeHeartbeat(benchNode(i))
	}
	return r
}

func alreadySent(string) journal.Version { return journal.Version{Major: 1 << 62} }

// BenchmarkRegistry measures the work of a core with n handlers and 650 nodes: merging a
// heartbeat of a handler, listing the entries of an exchange, listing the nodes, finding
// the overdue stores, and expiring records.
func BenchmarkRegistry(b *testing.B) {
	for _, n := range handlerSizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := tableOf(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		heapPerHandler := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		b.Run(fmt.Sprintf("heartbeat/handlers=%d", n), func(b *testing.B) {
			benchmarkHeartbeats(b, r)
			b.ReportMetric(heapPerHandler, "held-B/handler")
		})
		b.Run(fmt.Sprintf("updated-since/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.updatedSince(time.Time{}, alreadySent)
			}
		})
		b.Run(fmt.Sprintf("nodes/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.nodes()
			}
		})
		b.Run(fmt.Sprintf("overdue/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.overdueStores(time.Hour, 2*time.Hour)
			}
		})
		b.Run(fmt.Sprintf("expire/handlers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.expire(time.Hour, time.Hour)
			}
		})
	}
}

// benchmarkHeartbeats parses and merges heartbeats of 1000 handlers in turn.
func benchmarkHeartbeats(b *testing.B, r *table) {
	bodies := make([][]byte, 1000)
	b.ReportAllocs()
	seq, at := 1, 0
	for b.Loop() {
		if at%len(bodies) == 0 {
			b.StopTimer()
			seq++
			for i := range bodies {
				bodies[i] = heartbeatOf(i, seq).Value
			}
			b.StartTimer()
		}
		i := at % len(bodies)
		in, err := handler.ParseHeartbeat(fmt.Sprintf("tm-matcher-%06d", i), bodies[i])
		if err != nil {
			b.Fatal(err)
		}
		r.mergeHeartbeat(Entry{Key: distribution.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)})
		at++
	}
}

// BenchmarkSync encodes and decodes an exchange of n entries without values, as one
// core sends it to another four times per contact-ms.
func BenchmarkSync(b *testing.B) {
	for _, n := range handlerSizes {
		entries, _ := tableOf(n).updatedSince(time.Time{}, alreadySent)
		raw := journal.Encode(SyncRequest{From: "10.0.0.1:7100", Entries: entries})
		b.Run(fmt.Sprintf("encode/entries=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				journal.Encode(SyncRequest{From: "10.0.0.1:7100", Entries: entries})
			}
			b.ReportMetric(float64(len(raw)), "document-B")
		})
		b.Run(fmt.Sprintf("decode/entries=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var in SyncRequest
				if err := json.Unmarshal(raw, &in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

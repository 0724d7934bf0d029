package journal

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

var sizes = []int{1000, 10000, 44000}

func handlerEvent(i, seq int) Event {
	return Event{Key: fmt.Sprintf("instance/tm-matcher-%06d", i), Version: Version{Major: int64(seq)},
		Value: json.RawMessage(fmt.Sprintf(`{"instance-id":"tm-matcher-%06d","service":"tm-matcher","address":"10.20.1.%d:9000","zone":"quezon-hall","revision":"v1","slots":2,"oper-state":"ready","warmup-left-ms":0,"call-seq":%d}`, i, i%256, seq))}
}

func newFilledJournal(n int) *Journal {
	j := New("bench", time.Hour, "node/")
	for i := range n {
		j.Append(handlerEvent(i, 1))
	}
	return j
}

// BenchmarkAppend measures appending one event to a journal with n keys.
func BenchmarkAppend(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			j := newFilledJournal(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			events := make([]Event, n)
			seq, at := 1, 0
			for b.Loop() {
				if at%n == 0 {
					b.StopTimer()
					seq++
					for i := range events {
						events[i] = handlerEvent(i, seq)
					}
					b.StartTimer()
				}
				j.Append(events[at%n])
				at++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "held-B/key")
		})
	}
}

// BenchmarkDigest measures encoding the digest that a reader sends.
func BenchmarkDigest(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			j := newFilledJournal(n)
			b.ReportAllocs()
			for b.Loop() {
				j.Digest()
			}
		})
	}
}

// BenchmarkDelta measures the page for a reader that lacks one of n events.
func BenchmarkDelta(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			j := newFilledJournal(n)
			b.ReportAllocs()
			for b.Loop() {
				p, _ := j.EventsSince("bench", uint64(n-1), nil, nil)
				p.Encode()
			}
		})
	}
}

// BenchmarkFullPage measures encoding and loading the page for an empty reader.
func BenchmarkFullPage(b *testing.B) {
	for _, n := range sizes {
		j := newFilledJournal(n)
		p, _ := j.EventsSince("", 0, nil, nil)
		raw := p.Encode()
		b.Run(fmt.Sprintf("encode/keys=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p, _ := j.EventsSince("", 0, nil, nil)
				p.Encode()
			}
			b.ReportMetric(float64(len(raw)), "page-B")
		})
		b.Run(fmt.Sprintf("load/keys=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var p Page
				if err := json.Unmarshal(raw, &p); err != nil {
					b.Fatal(err)
				}
				New("reader", time.Hour, "node/").Apply(p)
			}
		})
	}
}

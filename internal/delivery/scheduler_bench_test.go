package delivery

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/partition"
)

// fill adds n messages that are due in an hour, distributed over all destinations.
func fill(s *Scheduler, n, destinations int) {
	var records []*partition.Record
	for i := range n {
		records = append(records, &partition.Record{ID: fmt.Sprintf("attempt-%012d", i), Tenant: "one", Host: fmt.Sprintf("h%d.example", i%destinations), Target: "/x",
			Due: s.config.Partitions.Now() + time.Hour.Milliseconds() + int64(i*7919%1000)})
	}
	s.step(context.Background(), []partition.Event{{Partition: 0, BecamePrimary: true, Records: records}})
}

// BenchmarkQueue pops the first of 100,000 queued messages and requeues it.
func BenchmarkQueue(b *testing.B) {
	const n = 100000
	q := &serviceQueue{}
	now := time.Now()
	for i := range n {
		q.requeue(&message{record: &partition.Record{}, priority: int32(i % 3), startBy: now.Add(time.Hour + time.Duration(i*7919%n)*time.Millisecond)})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.requeue(q.pop(now))
	}
}

// BenchmarkHeld measures the memory that the scheduler uses per pending message, without its
// record.
func BenchmarkHeld(b *testing.B) {
	const n = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		s := newScheduler(b, 100)
		records := make([]*partition.Record, n)
		for i := range records {
			records[i] = &partition.Record{ID: fmt.Sprintf("attempt-%012d", i), Tenant: "one", Host: fmt.Sprintf("h%d.example", i%100), Target: "/x"}
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newPartitionMessages()
		s.partitions[0] = p
		for _, r := range records {
			s.addLocked(p, r, time.Now())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "held-B/message")
}

// BenchmarkStep measures one step of the scheduler when no message is due.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 330, 1000, 44000} {
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			s := newScheduler(b, n)
			fill(s, 100000, n)
			b.ReportAllocs()
			for b.Loop() {
				s.step(b.Context(), nil)
			}
		})
	}
}

// BenchmarkPickEndpoint picks one of n endpoints of a service.
func BenchmarkPickEndpoint(b *testing.B) {
	for _, n := range []int{3, 50} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newScheduler(b, 1)
			now := time.Now()
			for i := range n {
				id := fmt.Sprintf("instance-%d", i)
				s.endpoints.update(id, handler.Instance{ID: id, Service: "x", Zone: fmt.Sprintf("zone-%d", i%3), Slots: 10}, now)
			}
			service, m := &configuration.Service{Name: "x"}, &message{record: &partition.Record{}}
			b.ReportAllocs()
			for b.Loop() {
				if e, _ := s.pickEndpointLocked(service, m, now); e == nil {
					b.Fatal("no endpoint picked")
				}
			}
		})
	}
}

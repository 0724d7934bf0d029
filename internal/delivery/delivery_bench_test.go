package delivery

import (
	"container/heap"
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
	"saltreel/internal/settings"
)

func scheduler(destinations int) *Scheduler {
	c := &configuration.Configuration{Revision: 1}
	for i := range destinations {
		name := fmt.Sprintf("service-%d", i)
		c.RouteTable = append(c.RouteTable, &configuration.Route{Name: "r-" + name, HostMatch: fmt.Sprintf("h%d.example", i), PathPrefix: "/", Service: name, TimeoutMs: 500, RetentionS: 1e6, StartTargetMs: 600, MaxAttempts: 3})
		c.ServiceTable = append(c.ServiceTable, &configuration.Service{Name: name, StaticEndpoint: fmt.Sprintf("10.%d.%d.%d:90", i>>16, i>>8&255, i&255), MaxConnections: 29})
	}
	table := configuration.NewTable(c)
	s := &Scheduler{Set: &partition.Manager{}, Settings: &settings.Settings{Timers: &settings.Timers{ContactMs: 4000, OriginOvershoot: 1.1}},
		Table: func() *configuration.Table { return table }, Bytes: quota.NewManager(quota.DeliveryBytes)}
	s.Init()
	return s
}

// fill hands n messages in that are due in an hour, over all destinations.
func fill(s *Scheduler, n, destinations int) {
	var records []*partition.Record
	for i := range n {
		records = append(records, &partition.Record{ID: fmt.Sprintf("attempt-%012d", i), Tenant: "one", Host: fmt.Sprintf("h%d.example", i%destinations), Target: "/x",
			Due: s.Set.Now() + time.Hour.Milliseconds() + int64(i*7919%1000)})
	}
	s.step(context.Background(), []partition.Event{{Partition: 0, BecamePrimary: true, Records: records}})
}

// BenchmarkQueue takes the first of 100,000 waiting messages and puts it back.
func BenchmarkQueue(b *testing.B) {
	const n = 100000
	svc := &service{}
	now := time.Now()
	for i := range n {
		heap.Push(&svc.ready, &item{record: &partition.Record{}, priority: int32(i % 3), target: now.Add(time.Hour + time.Duration(i*7919%n)*time.Millisecond)})
	}
	b.ReportAllocs()
	for b.Loop() {
		it := svc.next(now)
		heap.Push(&svc.ready, it)
	}
}

// BenchmarkHeld is what the delivery keeps of a waiting message beside its record.
func BenchmarkHeld(b *testing.B) {
	const n = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		s := scheduler(100)
		records := make([]*partition.Record, n)
		for i := range records {
			records[i] = &partition.Record{ID: fmt.Sprintf("attempt-%012d", i), Tenant: "one", Host: fmt.Sprintf("h%d.example", i%100), Target: "/x"}
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := &part{map[string]*item{}, map[string]*line{}}
		s.parts[0] = p
		for _, r := range records {
			s.add(p, r, time.Now())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "held-B/message")
}

// BenchmarkStep is one look of the scheduler at its services when nothing is due.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 330, 1000, 44000} {
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			s := scheduler(n)
			fill(s, 100000, n)
			b.ReportAllocs()
			for b.Loop() {
				s.step(b.Context(), nil)
			}
		})
	}
}

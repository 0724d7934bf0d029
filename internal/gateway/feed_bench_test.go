package gateway

import (
	"fmt"
	"testing"

	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// BenchmarkDeliver measures the delivery of a 90-byte message to the subscribers of a topic at
// one gateway, up to their write queues.
func BenchmarkDeliver(b *testing.B) {
	for _, subscribers := range []int{1, 40} {
		b.Run(fmt.Sprintf("%d subscribers", subscribers), func(b *testing.B) {
			f := newFeed("news.harbour", 0, func(*feed) { b.Fatal("a subscription is behind") })
			var outboxes []*outbox
			for range subscribers {
				c := &clientConn{outbox: newOutbox(func() {})}
				outboxes = append(outboxes, c.outbox)
				f.add(&subscription{client: c, topic: f.topic})
			}
			f.joinRequest(subscribers)
			f.applyJoin(topic.TopicState{})
			e := topic.Entry{Topic: f.topic, Publisher: "u1fx3a9c", Body: make([]byte, 90)}
			b.ReportAllocs()
			for b.Loop() {
				e.Previous = e.Position
				e.Position = partition.Position{Epoch: 1, Order: e.Position.Order + 1}
				e.Number++
				if f.deliver(e) {
					b.Fatal("the feed has to join")
				}
				for _, o := range outboxes {
					frames, _, _ := o.dequeue(nil)
					o.dequeue(frames) // reuses the memory
				}
			}
			b.ReportMetric(float64(b.N*subscribers)/b.Elapsed().Seconds(), "deliveries/s")
		})
	}
}

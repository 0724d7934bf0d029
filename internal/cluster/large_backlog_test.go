package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against a subscriber that is closed each time it comes back, since it missed more
// than the gateway queues for one client (docs/incidents/large-backlog.md). It was away
// while 3 MB were published, and gets all of it, on the connection that it came back with,
// beside what is published meanwhile and what a subscriber gets that was never away.
func TestSubscriberGetsALargeBacklog(t *testing.T) {
	const number, size = 200, 16 << 10
	runLive(t, func(w *world) {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		here, left := context.WithCancel(ctx)
		reader := w.newLiveClient(here, "reader", "z2", "live.a")
		stayed := w.newLiveClient(ctx, "stayed", "z2", "live.a")
		writer := w.newLiveClient(ctx, "writer", "z1")
		w.waitFor(10*time.Second, "the subscriptions", func() bool { return reader.allSubscribed() && stayed.allSubscribed() })
		before := reader.snapshot("live.a")
		left()
		time.Sleep(time.Second)
		w.waitFor(10*time.Second, "the connection of the writer", func() bool {
			writer.mu.Lock()
			defer writer.mu.Unlock()
			return writer.conn != nil
		})
		for range number {
			writer.publishBody("live.a", size)
		}
		back := w.newLiveClient(ctx, "reader", "z3", "live.a")
		back.mu.Lock()
		*back.subscriptions["live.a"] = liveSubscription{firstSubscribed: before.firstSubscribed, cursor: before.cursor}
		back.mu.Unlock()
		for range 20 {
			writer.publishBody("live.a", size)
		}
		clients := []*liveClient{back, stayed, writer}
		for _, problem := range w.waitForDeliveries(clients, 8*time.Second) {
			t.Error(problem)
		}
		back.mu.Lock()
		defer back.mu.Unlock()
		if back.connections != 1 {
			t.Errorf("it took %d connections", back.connections)
		}
	})
}

// publishBody publishes a message of a size until it is acknowledged or its time is over.
func (c *liveClient) publishBody(topic string, size int) {
	m := c.newMessage(topic)
	m.body += fmt.Sprintf("%*s", size-len(m.body), "")
	c.publishUntilConclusive(m, time.Now().Add(8*time.Second))
}

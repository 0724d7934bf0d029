package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against a subscriber that is disconnected on every reconnect because its backlog
// exceeds what the gateway queues for one client (docs/incidents/large-backlog.md). The
// subscriber misses 3 MB and must receive all of it, and what is published meanwhile, on its
// first new connection. A subscriber that stayed connected must receive the same messages.
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
			t.Errorf("the returning subscriber used %d connections, want 1", back.connections)
		}
	})
}

// publishBody publishes a message with a body of the given size and retries for up to 8 s.
func (c *liveClient) publishBody(topic string, size int) {
	m := c.newMessage(topic)
	m.body += fmt.Sprintf("%*s", size-len(m.body), "")
	c.publishUntilConclusive(m, time.Now().Add(8*time.Second))
}

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
	const messageCount, size = 200, 16 << 10
	runLive(t, func(w *world) {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		readerCtx, disconnectReader := context.WithCancel(ctx)
		reader := w.newLiveClient(readerCtx, "reader", "z2", "live.a")
		stayed := w.newLiveClient(ctx, "stayed", "z2", "live.a")
		writer := w.newLiveClient(ctx, "writer", "z1")
		w.waitFor(10*time.Second, "the subscriptions", func() bool { return reader.allSubscribed() && stayed.allSubscribed() })
		before := reader.snapshot("live.a")
		disconnectReader()
		time.Sleep(time.Second)
		w.waitFor(10*time.Second, "the connection of the writer", func() bool {
			writer.mu.Lock()
			defer writer.mu.Unlock()
			return writer.conn != nil
		})
		for range messageCount {
			writer.publishBody("live.a", size)
		}
		returned := w.newLiveClient(ctx, "reader", "z3", "live.a")
		returned.mu.Lock()
		*returned.subscriptions["live.a"] = liveSubscription{firstSubscribed: before.firstSubscribed, cursor: before.cursor}
		returned.mu.Unlock()
		for range 20 {
			writer.publishBody("live.a", size)
		}
		clients := []*liveClient{returned, stayed, writer}
		for _, problem := range w.waitForDeliveries(clients, 8*time.Second) {
			t.Error(problem)
		}
		returned.mu.Lock()
		defer returned.mu.Unlock()
		if returned.connections != 1 {
			t.Errorf("the returning subscriber used %d connections, want 1", returned.connections)
		}
	})
}

// publishBody publishes a message with a body of the given size and retries for up to 8 s.
func (c *liveClient) publishBody(topic string, size int) {
	m := c.newMessage(topic)
	m.body += fmt.Sprintf("%*s", size-len(m.body), "")
	c.publishUntilConclusive(m, time.Now().Add(8*time.Second))
}

package cluster

import (
	"context"
	"slices"
	"testing"
	"time"

	"saltreel/internal/linewire"
	"saltreel/internal/realtime"
)

// OnSubscribed reports when a subscription is active and the cursor that it starts after;
// a message published from then on is delivered. After a connection reset the client
// subscribes again, starting after the last message received.
func TestSubscriberIsToldItsCursorOnSubscribing(t *testing.T) {
	runLive(t, func(w *world) {
		address := w.machines["gateway-z1"].ip + ":80"
		reader := &process{network: w.network, ip: "10.9.0.2"}
		subscriber := &realtime.Client{Dial: reader.dial, Address: address, Name: "reader", Key: "key-one"}
		publisher := &realtime.Client{Dial: w.clientProcess.dial, Address: address, Name: "writer", Key: "key-one"}
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		joined, messages := make(chan string, 8), make(chan *linewire.Response, 8)
		w.goroutines.Go(func() {
			_ = subscriber.Subscribe(ctx, "live.q", "", realtime.SubscriptionHandler{
				OnSubscribed: func(cursor string) { joined <- cursor },
				OnMessage:    func(m *linewire.Response) { messages <- m },
			})
		})
		var got []string
		for number, body := range []string{"first", "second"} {
			cursor := <-joined
			if number > 0 && cursor != got[len(got)-1] {
				t.Errorf("subscribed again after cursor %s, want %s", cursor, got[len(got)-1])
			}
			if err := publisher.Publish(ctx, "live.q", int64(number+1), []byte(body)); err != nil {
				t.Fatal(err)
			}
			m := <-messages
			if string(m.Body) != body {
				t.Errorf("received body %q, want %q", m.Body, body)
			}
			got = append(got, m.Cursor)
			w.network.reset(reader.ip, w.machines["gateway-z1"].ip)
			time.Sleep(time.Second)
		}
		if slices.Sort(got); got[0] == got[1] {
			t.Errorf("two messages have the same cursor %s", got[0])
		}
	})
}

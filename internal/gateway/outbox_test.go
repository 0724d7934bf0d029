package gateway

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

func TestOutboxBoundsMessagesAndAnswers(t *testing.T) {
	o := newOutbox(func() {})
	frame := make([]byte, 10<<10)
	for _, c := range []struct{ bound, want int }{{maxBacklogBytes, 7}, {maxQueuedBytes, 20}} {
		for o.deliver(frame, c.bound) {
		}
		if len(o.frames) != c.want {
			t.Errorf("%d messages of 10 KiB fit into %d bytes, want %d", len(o.frames), c.bound, c.want)
		}
	}
	for o.add(frame) {
	}
	if o.queuedBytes > maxOutboxBytes || o.queuedBytes+len(frame) <= maxOutboxBytes {
		t.Errorf("%d bytes are queued", o.queuedBytes)
	}
}

// All queued data is written in order, and onRoom is called after a message could not be
// queued.
func TestOutboxWritesInOrderAndCallsOnRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		var o *outbox
		next := byte(0)
		var sent []byte
		fill := func() {
			for {
				frame := bytes.Repeat([]byte{next}, 1+int(next)*100)
				if next == 250 || !o.deliver(frame, maxBacklogBytes) {
					break
				}
				sent = append(sent, frame...)
				next++
			}
			if next == 250 {
				o.close()
			}
		}
		o = newOutbox(fill)
		fill()
		go func() {
			o.run(server, time.Second)
			_ = server.Close()
		}()
		got, err := io.ReadAll(client)
		if err != nil || !bytes.Equal(got, sent) || next != 250 {
			t.Errorf("received %d of %d bytes: %v", len(got), len(sent), err)
		}
	})
}

// The write timeout applies to progress: a client that reads slowly stays connected, one that
// reads nothing is dropped after the timeout.
func TestOutboxDropsClientThatReadsNothing(t *testing.T) {
	const timeout = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		o := newOutbox(func() {})
		o.add(make([]byte, 1000))
		ended := make(chan time.Time, 1)
		go func() {
			o.run(server, timeout)
			ended <- time.Now()
		}()
		var last time.Time
		for range 100 { // ten bytes at a time
			time.Sleep(timeout * 4 / 5)
			if _, err := io.ReadFull(client, make([]byte, 10)); err != nil {
				t.Fatal(err)
			}
			last = time.Now()
		}
		o.add(make([]byte, 10))
		if took := (<-ended).Sub(last); took != timeout {
			t.Errorf("dropped after %v", took)
		}
	})
}

package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Bounds of what waits for one client, in bytes.
const (
	// maxBacklogBytes bounds the messages that a client has missed, or that it takes more
	// slowly than they come: the next ones are read as it takes these.
	maxBacklogBytes = 64 << 10
	// maxQueuedBytes bounds the messages that wait as they come. Over it a subscription is
	// behind, and gets what follows from the backlog.
	maxQueuedBytes = 192 << 10
	// maxOutboxBytes bounds all that waits, answers included. A client that asks on and
	// takes no answers is closed.
	maxOutboxBytes = 256 << 10
)

// outbox is what waits to be written to one client. The frames of messages are shared by
// all who get them.
type outbox struct {
	mu             sync.Mutex
	frames         [][]byte
	queuedBytes    int  // of frames
	waitingForRoom bool // a message found no room since onRoom was last called
	closing        bool // nothing more is taken; run ends when all is written
	wake           chan struct{}
	onRoom         func() // called when there is room again, without mu
}

func newOutbox(onRoom func()) *outbox {
	return &outbox{wake: make(chan struct{}, 1), onRoom: onRoom}
}

// add queues an answer. It reports false if too much waits.
func (o *outbox) add(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return true
	}
	if o.queuedBytes+len(frame) > maxOutboxBytes {
		return false
	}
	o.queueLocked(frame)
	return true
}

// deliver queues a message if less than bound waits. Else it reports false, and onRoom is
// called when there is room.
func (o *outbox) deliver(frame []byte, bound int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing || o.queuedBytes >= bound {
		o.waitingForRoom = true
		return false
	}
	o.queueLocked(frame)
	return true
}

// hasRoom reports whether a message of the backlog may be queued; else onRoom is called
// when it may.
func (o *outbox) hasRoom() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing || o.queuedBytes >= maxBacklogBytes {
		o.waitingForRoom = true
		return false
	}
	return true
}

func (o *outbox) queueLocked(frame []byte) {
	o.frames = append(o.frames, frame)
	o.queuedBytes += len(frame)
	o.wakeUp()
}

// close lets run end when all is written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.wakeUp()
}

func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// maxWriteBytes bounds the frames that are written with one call, but for a longer one.
const maxWriteBytes = 16 << 10

// dequeue removes the frames that are to be written next; spare is memory for the queue. room
// reports that there is room for a message that found none.
func (o *outbox) dequeue(spare [][]byte) (frames [][]byte, room, closing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, size := 0, 0
	for n < len(o.frames) && (n == 0 || size+len(o.frames[n]) <= maxWriteBytes) {
		size += len(o.frames[n])
		n++
	}
	if n == len(o.frames) {
		frames, o.frames = o.frames, spare[:0]
	} else {
		frames = append(spare[:0], o.frames[:n]...)
		o.frames = slices.Delete(o.frames, 0, n)
	}
	o.queuedBytes -= size
	room = o.waitingForRoom && o.queuedBytes <= maxBacklogBytes/2
	if room {
		o.waitingForRoom = false
	}
	return frames, room, o.closing
}

// Bounds of the memory that an idle connection keeps.
const (
	maxReusedBytes  = 8 << 10
	maxReusedFrames = 64
)

// run writes until the outbox is closed and empty, a write fails, or the client takes
// nothing for the timeout.
func (o *outbox) run(conn net.Conn, timeout time.Duration) {
	var spare [][]byte
	var buffer []byte
	for {
		frames, room, closing := o.dequeue(spare)
		if room {
			o.onRoom()
		}
		if len(frames) == 0 {
			if closing {
				return
			}
			spare = frames
			<-o.wake
			continue
		}
		data := frames[0]
		if len(frames) > 1 {
			buffer = appendFrames(buffer[:0], frames)
			data = buffer
		}
		if writeAll(conn, data, timeout) != nil {
			return
		}
		clear(frames)
		spare = frames
		if cap(buffer) > maxReusedBytes {
			buffer = nil
		}
		if cap(spare) > maxReusedFrames {
			spare = nil
		}
	}
}

// appendFrames appends frames to a buffer.
func appendFrames(buffer []byte, frames [][]byte) []byte {
	for _, frame := range frames {
		buffer = append(buffer, frame...)
	}
	return buffer
}

// writeAll writes all of data, as long as some of it is taken within each timeout.
func writeAll(conn net.Conn, data []byte, timeout time.Duration) error {
	for len(data) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		n, err := conn.Write(data)
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
		data = data[n:]
	}
	return nil
}

package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"saltreel/internal/budget"
)

// Limits of the data queued for one client, in bytes.
const (
	// maxBacklogBytes limits the queued messages of a client that catches up from the backlog.
	// More are read as the client accepts these.
	maxBacklogBytes = 64 << 10
	// maxQueuedBytes limits the queued live messages. Above it, a subscription is behind and
	// gets the following messages from the backlog.
	maxQueuedBytes = 192 << 10
	// maxOutboxBytes limits all queued data, including responses. A client that keeps sending
	// requests without reading the responses is disconnected.
	maxOutboxBytes = 256 << 10
)

// outbox is the write queue of one client. Message frames are shared between all clients that
// receive them.
type outbox struct {
	mu             sync.Mutex
	frames         [][]byte
	queuedBytes    int  // total size of frames
	waitingForRoom bool // a message was not queued since onRoom was last called
	closing        bool // nothing more is queued; run returns when all is written
	wake           chan struct{}
	onRoom         func()          // called without mu when there is room again
	account        *budget.Account // of the connection
	onExhausted    func()          // called when no memory is left for a message; nil: not called
}

func newOutbox(onRoom func()) *outbox {
	return &outbox{wake: make(chan struct{}, 1), onRoom: onRoom}
}

// add queues a response. It returns false if the queue is full.
func (o *outbox) add(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return true
	}
	if o.queuedBytes+len(frame) > maxOutboxBytes || !o.account.Reserve(frameBytes(frame)) {
		return false
	}
	o.queueLocked(frame)
	return true
}

// deliver queues a message if fewer than limit bytes are queued. Otherwise it returns false,
// and onRoom is called when there is room.
func (o *outbox) deliver(frame []byte, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing || o.queuedBytes >= limit {
		o.waitingForRoom = true
		return false
	}
	if !o.account.Reserve(frameBytes(frame)) {
		if o.onExhausted != nil {
			o.onExhausted()
		}
		return false
	}
	o.queueLocked(frame)
	return true
}

// hasRoom reports whether a backlog message can be queued. If not, onRoom is called when there
// is room.
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

// close makes run return once all queued data is written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.wakeUp()
}

// frameBytes returns what a queued frame takes: its data, and its place in the queue.
func frameBytes(frame []byte) int {
	const queueEntryBytes = 48
	return len(frame) + queueEntryBytes
}

// isEmpty reports whether the client has read all that was queued for it.
func (o *outbox) isEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes == 0
}

func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// maxWriteBytes limits the frames combined into one write; a larger frame is written on its
// own.
const maxWriteBytes = 16 << 10

// dequeue removes the frames to write next; spare is reused as memory for the queue. room
// reports that there is room again for a message that could not be queued.
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

// Limits of the buffers that an idle connection keeps.
const (
	maxReusedBytes  = 8 << 10
	maxReusedFrames = 64
)

// run writes queued frames until the outbox is closed and empty, a write fails, or the client
// accepts no data within the timeout.
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
		o.releaseWritten(frames)
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

// releaseWritten returns the memory of frames that were written. The client has made progress.
func (o *outbox) releaseWritten(frames [][]byte) {
	written := 0
	for _, frame := range frames {
		written += frameBytes(frame)
	}
	o.account.Release(written)
	o.account.Touch()
}

// appendFrames appends the frames to a buffer.
func appendFrames(buffer []byte, frames [][]byte) []byte {
	for _, frame := range frames {
		buffer = append(buffer, frame...)
	}
	return buffer
}

// writeAll writes all of data, provided that some of it is accepted within each timeout.
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

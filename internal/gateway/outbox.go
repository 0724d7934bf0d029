package gateway

import (
	"net"
	"sync"
	"time"
)

// maxOutboxBytes bounds what waits for one client. One that takes less than it is
// sent is closed, never waited for: it comes back with its cursors.
const maxOutboxBytes = 192 << 10

// outbox is what waits to be written to one client.
type outbox struct {
	mu      sync.Mutex
	waiting []byte
	closing bool // nothing more is taken; run ends when all is written
	wake    chan struct{}
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

// add queues bytes. It reports false if there are too many.
func (o *outbox) add(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return true
	}
	if len(o.waiting)+len(frame) > maxOutboxBytes {
		return false
	}
	o.waiting = append(o.waiting, frame...)
	o.wakeUp()
	return true
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

// take removes what waits.
func (o *outbox) take(reuse []byte) (waiting []byte, closing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting = o.waiting
	o.waiting = reuse[:0]
	return waiting, o.closing
}

// maxReusedBytes bounds the buffer that an idle connection keeps.
const maxReusedBytes = 8 << 10

// run writes until the outbox is closed and empty, or a write fails or takes longer
// than timeout.
func (o *outbox) run(conn net.Conn, timeout time.Duration) {
	var written []byte
	for {
		waiting, closing := o.take(written)
		written = nil
		if len(waiting) == 0 {
			if closing {
				return
			}
			<-o.wake
			continue
		}
		if conn.SetWriteDeadline(time.Now().Add(timeout)) != nil {
			return
		}
		if _, err := conn.Write(waiting); err != nil {
			return
		}
		if cap(waiting) <= maxReusedBytes {
			written = waiting
		}
	}
}

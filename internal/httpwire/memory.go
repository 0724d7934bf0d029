package httpwire

import (
	"errors"
	"io"
	"net"

	"saltreel/internal/budget"
)

// Memory that is reserved for a request besides its header and body.
const (
	// fieldBytes is what a parsed header field takes besides its text.
	fieldBytes = 160
	// requestBytes is what handling a request takes besides its body: the stack, and the
	// connection to another process that it is forwarded on.
	requestBytes = 16 << 10
)

// ClientReceiveBuffer is the receive buffer of a connection of a client, in bytes: enough for
// all but the largest requests.
const ClientReceiveBuffer = 64 << 10

// Sizes of a growingBuffer.
const (
	minBufferBytes = 512
	// maxFirstBytes bounds what is allocated before any data has arrived.
	maxFirstBytes = 64 << 10
)

// growingBuffer collects data of unknown length. It reserves its memory before it
// allocates it; what it has outgrown stays reserved until the garbage is collected, for
// which the end of the request stands.
type growingBuffer struct {
	account *budget.Account
	limit   int64 // most bytes that are expected; 0: unknown
	bytes   []byte
}

// grow makes room for at least size more bytes. It returns false if the memory is not
// available.
func (b *growingBuffer) grow(size int) bool {
	if cap(b.bytes)-len(b.bytes) >= size {
		return true
	}
	capacity := max(len(b.bytes)+size, 2*cap(b.bytes), minBufferBytes)
	if b.limit > 0 {
		capacity = int(min(b.limit, int64(max(capacity, maxFirstBytes))))
	}
	if b.account != nil && !b.account.Reserve(capacity) {
		return false
	}
	larger := make([]byte, len(b.bytes), capacity)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

// append adds data. It returns false if the memory is not available.
func (b *growingBuffer) append(data []byte) bool {
	if !b.grow(len(data)) {
		return false
	}
	b.bytes = append(b.bytes, data...)
	return true
}

// readAll reads until the end of r or until the expected bytes have been read. The error
// is errMemory if the memory is not available.
func (b *growingBuffer) readAll(r io.Reader) error {
	for b.limit == 0 || int64(len(b.bytes)) < b.limit {
		if !b.grow(1) {
			return errMemory
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// activityReader marks the account of a connection as active when data arrives.
type activityReader struct {
	net.Conn
	account *budget.Account
}

func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.account.Touch()
	}
	return n, err
}

// maxWriteBytes bounds one write of a response, so that its progress is seen.
const maxWriteBytes = 32 << 10

// activityWriter marks the account of a connection as active when the peer accepts data.
type activityWriter struct {
	net.Conn
	account *budget.Account
}

func (w *activityWriter) Write(b []byte) (written int, err error) {
	for {
		part := b[written:min(len(b), written+maxWriteBytes)]
		n, err := w.Conn.Write(part)
		written += n
		w.account.Touch()
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

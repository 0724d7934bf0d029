package httpwire

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// newEndlessPool returns a pool whose peer answers each call with a start and then a text, over
// and over, up to a size.
func newEndlessPool(start, text string, size int) *Pool {
	part := []byte(text)
	return &Pool{Network: Network{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer closeConnection(far)
			if _, err := far.Read(make([]byte, 4096)); err != nil {
				return
			}
			if _, err := far.Write([]byte(start)); err != nil {
				return
			}
			for written := 0; written < size; written += len(part) {
				if _, err := far.Write(part); err != nil {
					return
				}
			}
		}()
		return near, nil
	}}}
}

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestEndlessResponseHeadIsRefused(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const size = 64 << 20
	pool := newEndlessPool("HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("x", 4000)+"\r\n", size)
	var err error
	bytes := allocated(func() { _, err = pool.Do(ctx, "h:1", &Call{Method: "GET", Target: "/", Host: "h"}) })
	if !errors.Is(err, errResponseHead) || NotSent(err) || bytes > size/4 {
		t.Errorf("allocated %d bytes: %v", bytes, err)
	}
}

// A body that does not matter is read completely, since a response counts only if it is complete.
func TestDiscardedBody(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const size = 64 << 20
	for name, c := range map[string]struct {
		sent int
		ok   bool
	}{"complete": {size, true}, "cut short": {size / 2, false}} {
		pool := newEndlessPool("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n", strings.Repeat("x", 1<<16), c.sent)
		var err error
		bytes := allocated(func() { _, err = pool.Do(ctx, "h:1", &Call{Method: "GET", Target: "/", Host: "h", DiscardBody: true}) })
		if (err == nil) != c.ok || bytes > size/4 {
			t.Errorf("%s: allocated %d bytes: %v", name, bytes, err)
		}
	}
}

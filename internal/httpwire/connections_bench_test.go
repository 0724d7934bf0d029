package httpwire

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
)

// BenchmarkConnections measures the server's memory per open connection that has
// carried a call. The client side is a plain net.Conn, so that it adds little.
func BenchmarkConnections(b *testing.B) {
	const n = 1000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	server := &Server{Handle: func(context.Context, *Request) *Response { return &Response{Status: 200, Body: []byte("{}")} }}
	go func() { _ = server.Serve(ctx, l) }()
	used := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	request := []byte("PUT /v1/instances/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	var held uint64
	for b.Loop() {
		before := used()
		var conns []net.Conn
		for range n {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			conns = append(conns, c)
			if _, err := c.Write(request); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadAtLeast(c, make([]byte, 512), 17); err != nil {
				b.Fatal(err)
			}
		}
		held = used() - before
		for _, c := range conns {
			closeConnection(c)
		}
	}
	b.ReportMetric(float64(held)/n, "held-B/connection")
}

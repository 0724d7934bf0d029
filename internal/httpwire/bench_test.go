package httpwire

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"
)

// BenchmarkPost is the price of a call between two of our own processes, both
// sides together.
func BenchmarkPost(b *testing.B) {
	type beat struct {
		Name     string `json:"name"`
		Sequence int64  `json:"sequence"`
	}
	mux := Mux{"/beat": Method(func(_ context.Context, in *beat, _ []byte) (*struct{}, error) { return &struct{}{}, nil })}
	for name, dial := range map[string]func(s *Server) Dial{
		"pipe": func(s *Server) Dial {
			return func(context.Context, string) (net.Conn, error) { return served(b.Context(), s), nil }
		},
		"loopback": func(s *Server) Dial {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(b.Context(), l) }()
			return func(ctx context.Context, _ string) (net.Conn, error) { return TCP().Dial(ctx, l.Addr().String()) }
		},
	} {
		b.Run(name, func(b *testing.B) {
			pool := &Pool{Network: Network{Dial: dial(&Server{Handle: mux.Handle})}}
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if err := pool.Post(ctx, "10.1.0.1:7100", "/beat", beat{"edge-1", 7}, nil, nil); err != nil {
					b.Fatal(err)
				}
				cancel()
			}
		})
	}
}

// served is the near end of a pipe that a server answers on.
func served(ctx context.Context, s *Server) net.Conn {
	near, far := net.Pipe()
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*Conn]bool{}
	}
	s.mu.Unlock()
	c := &Conn{Conn: far, server: s, br: bufio.NewReaderSize(far, 4096), drain: make(chan struct{})}
	go func() { c.serve(ctx); far.Close() }()
	return near
}

package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

// BenchmarkPost is the price of a call between two of our own processes, both
// sides together.
func BenchmarkPost(b *testing.B) {
	type beat struct {
		Name     string `json:"name"`
		Sequence int64  `json:"sequence"`
	}
	mux := Mux{"/beat": Handler(func(_ context.Context, in *beat, _ []byte) (*struct{}, error) { return &struct{}{}, nil })}
	for name, dial := range map[string]func(s *httpwire.Server) httpwire.Dial{
		"pipe": func(s *httpwire.Server) httpwire.Dial {
			return func(context.Context, string) (net.Conn, error) { return served(b.Context(), s), nil }
		},
		"loopback": func(s *httpwire.Server) httpwire.Dial {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(b.Context(), l) }()
			return func(ctx context.Context, _ string) (net.Conn, error) {
				return httpwire.TCP().Dial(ctx, l.Addr().String())
			}
		},
	} {
		b.Run(name, func(b *testing.B) {
			pool := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: dial(&httpwire.Server{Handle: mux.Handle})}})
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if err := pool.Call(ctx, "10.1.0.1:7100", "/beat", beat{"edge-1", 7}, nil, nil); err != nil {
					b.Fatal(err)
				}
				cancel()
			}
		})
	}
}

// served is the near end of a pipe that a server answers on.
func served(ctx context.Context, s *httpwire.Server) net.Conn {
	near, far := net.Pipe()
	go s.ServeConn(ctx, far)
	return near
}

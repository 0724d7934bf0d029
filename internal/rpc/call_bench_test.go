package rpc

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

// BenchmarkPost measures a small call between two processes, client and server
// side together, over a pipe and over loopback.
func BenchmarkPost(b *testing.B) {
	type heartbeat struct {
		Name     string `json:"name"`
		Sequence int64  `json:"sequence"`
	}
	mux := Mux{"/beat": Handler(func(_ context.Context, _ *heartbeat, _ []byte) (*struct{}, error) { return &struct{}{}, nil })}
	for name, dial := range map[string]func(s *httpwire.Server) httpwire.Dial{
		"pipe": func(s *httpwire.Server) httpwire.Dial {
			return func(context.Context, string) (net.Conn, error) { return dialServer(b.Context(), s), nil }
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
			client := NewClient(&httpwire.Pool{Network: httpwire.Network{Dial: dial(&httpwire.Server{Handle: mux.Handle})}})
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if err := client.Call(ctx, "10.1.0.1:7100", "/beat", heartbeat{"edge-1", 7}, nil, nil); err != nil {
					b.Fatal(err)
				}
				cancel()
			}
		})
	}
}

// BenchmarkCall measures a call over loopback by the size of its body, client and
// server side together, including the time in the kernel.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(map[int]string{0: "empty", 1 << 10: "1KiB", 64 << 10: "64KiB"}[size], func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			type body struct {
				Text string `json:"text"`
			}
			server := &httpwire.Server{Handle: Mux{"/call": Handler(func(context.Context, *body, []byte) (*struct{}, error) { return &struct{}{}, nil })}.Handle}
			go func() { _ = server.Serve(ctx, l) }()
			client := NewClient(&httpwire.Pool{Network: httpwire.TCP()})
			in := body{strings.Repeat("x", size)}
			b.ReportAllocs()
			for b.Loop() {
				cctx, stop := context.WithTimeout(ctx, time.Second)
				if err := client.Call(cctx, l.Addr().String(), "/call", in, nil, nil); err != nil {
					b.Fatal(err)
				}
				stop()
			}
		})
	}
}

package rpc

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

// BenchmarkCall is one call between our own processes over loopback, both ends
// in this process, with the kernel's part.
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
			p := NewClient(&httpwire.Pool{Network: httpwire.TCP()})
			in := body{strings.Repeat("x", size)}
			b.ReportAllocs()
			for b.Loop() {
				cctx, stop := context.WithTimeout(ctx, time.Second)
				if err := p.Call(cctx, l.Addr().String(), "/call", in, nil, nil); err != nil {
					b.Fatal(err)
				}
				stop()
			}
		})
	}
}

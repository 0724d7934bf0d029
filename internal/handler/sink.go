package handler

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"

	"saltreel/internal/wire"
)

// Sink is a handler for trying things out: it takes every message, prints it,
// and answers with a seal.
func Sink(ctx context.Context, network wire.Network, addr string, out io.Writer) error {
	l, err := network.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for deliveries: %w", err)
	}
	s := &wire.Server{Handle: func(_ context.Context, r *wire.Request) *wire.Response {
		if r.Method == http.MethodGet && r.URL.Path == "/health" {
			return &wire.Response{Status: 200}
		}
		fmt.Fprintf(out, "%s %s%s of tenant %q, message %s: %q\n", r.Method, r.Host, r.RequestURI, r.Header.Get("Saltreel-Tenant"), r.Header.Get("Saltreel-Attempt-Id"), r.Body)
		return &wire.Response{Status: 200, Header: []string{"Saltreel-Server-Seal", rand.Text(), "Saltreel-Attempt-Id", r.Header.Get("Saltreel-Attempt-Id")}}
	}}
	return s.Serve(ctx, l)
}

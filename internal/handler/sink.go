package handler

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"

	"saltreel/internal/httpwire"
)

// Sink is a handler for trying things out: it takes every message, prints it,
// and answers with a seal.
func Sink(ctx context.Context, network httpwire.Network, addr string, out io.Writer) error {
	l, err := network.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for deliveries: %w", err)
	}
	s := &httpwire.Server{Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Method == http.MethodGet && r.URL.Path == "/health" {
			return &httpwire.Response{Status: 200}
		}
		fmt.Fprintf(out, "%s %s%s of tenant %q, message %s: %q\n", r.Method, r.Host, r.RequestURI, r.Header.Get("Saltreel-Tenant"), r.Header.Get("Saltreel-Attempt-Id"), r.Body)
		return &httpwire.Response{Status: 200, Header: []string{"Saltreel-Server-Seal", rand.Text(), "Saltreel-Attempt-Id", r.Header.Get("Saltreel-Attempt-Id")}}
	}}
	return s.Serve(ctx, l)
}

package handler

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/httpwire"
)

// Limits of a sink.
const (
	sinkMemory      = 16 << 20 // bytes
	sinkConnections = 128
	sinkTimeout     = 30 * time.Second
)

var sinkLimits = httpwire.Limits{HeaderBytes: 64 << 10, BodyBytes: 16 << 20, HeaderTimeout: sinkTimeout, BodyTimeout: sinkTimeout}

// Sink serves a handler for manual testing on addr until ctx ends: it prints every
// message to out, and responds with a seal.
func Sink(ctx context.Context, network httpwire.Network, addr string, out io.Writer) error {
	listener, err := network.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for deliveries: %w", err)
	}
	server := &httpwire.Server{
		Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response { return sinkResponse(r, out) },
		Limits: func() httpwire.Limits { return sinkLimits },
		Budget: budget.New(sinkMemory, sinkConnections),

		HandlingCopies: 1, // as printed
		ReceiveBuffer:  httpwire.ClientReceiveBuffer,
		Pipelining:     true,
	}
	return server.Serve(ctx, listener)
}

func sinkResponse(r *httpwire.Request, out io.Writer) *httpwire.Response {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return &httpwire.Response{Status: 200}
	}
	id := r.Header.Get(headerAttemptID)
	// A failure to print does not fail the message.
	_, _ = fmt.Fprintf(out, "%s %s%s of tenant %q, message %s: %q\n", r.Method, r.Host, r.RequestURI, r.Header.Get(headerTenant), id, r.Body)
	return &httpwire.Response{Status: 200, Header: []string{headerSeal, rand.Text(), headerAttemptID, id}}
}

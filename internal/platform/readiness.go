package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/httpwire"
)

// readinessTimeout bounds how long a probe may take to send its request. The platform
// counts a probe as failed long before.
const readinessTimeout = 5 * time.Second

// readinessReceiveBuffer is the receive buffer of a connection of the platform, in bytes.
const readinessReceiveBuffer = 4 << 10

// readinessLimits bounds the requests of the readiness probe, which have no body.
func readinessLimits() httpwire.Limits {
	return httpwire.Limits{HeaderBytes: 8 << 10, BodyBytes: 1, HeaderTimeout: readinessTimeout, BodyTimeout: readinessTimeout}
}

// ServeReadiness answers the readiness probe until ctx is canceled: 200 if ready
// returns nil, otherwise 503 with the text of the error.
func ServeReadiness(ctx context.Context, listener net.Listener, b *budget.Budget, ready func() error) error {
	server := &httpwire.Server{
		Limits: readinessLimits,
		Budget: b,
		// The platform sends one small request at a time.
		ReceiveBuffer: readinessReceiveBuffer,
		Pipelining:    true,
		Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response {
			if r.URL.Path != "/v1/readiness" || r.Method != http.MethodGet {
				return httpwire.Problem(http.StatusNotFound, "only GET /v1/readiness is answered here")
			}
			if err := ready(); err != nil {
				return httpwire.Problem(http.StatusServiceUnavailable, err.Error())
			}
			return httpwire.JSON(http.StatusOK, map[string]bool{"ready": true})
		},
	}
	if err := server.Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve readiness: %w", err)
	}
	return nil
}

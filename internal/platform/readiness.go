package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"saltreel/internal/httpwire"
)

// ServeReadiness answers the readiness probe until ctx is canceled: 200 if ready
// returns nil, otherwise 503 with the text of the error.
func ServeReadiness(ctx context.Context, listener net.Listener, ready func() error) error {
	server := &httpwire.Server{
		Limits: func() httpwire.Limits { return httpwire.Limits{HeaderBytes: 8 << 10, BodyBytes: 1} },
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

// Package platform is the interface to the platform that runs the processes: the
// settings file and its changes, the signals, the readiness probe, and the
// command line with its exit codes.
package platform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/settings"
)

// PathVariable is the environment variable with the path of the settings file.
const PathVariable = "SALTREEL_BOOT"

// Path returns the path of the settings file.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", errors.New("the variable " + PathVariable + " does not name a settings file")
	}
	return path, nil
}

// Load reads the settings of a role, and sets the memory limit of the Go runtime
// to half of the memory that they allow.
func Load(path, role string) (*settings.Settings, error) {
	set, err := loadFor(path, role)
	if err != nil {
		return nil, err
	}
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(set.Limits.MemoryMb << 20 / 2)
	}
	return set, nil
}

// loadFor reads settings and checks them for a role.
func loadFor(path, role string) (*settings.Settings, error) {
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	return set, set.Require(role)
}

// StopContext returns a context that ends at SIGTERM or SIGINT.
func StopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// Watch reads the settings file again at SIGHUP and whenever its content has
// changed, which it checks at each interval, and applies the new settings. If
// they are wrong, that is logged and the old ones stay in force. It runs until
// ctx ends.
func Watch(ctx context.Context, path, role string, interval time.Duration, logger *log.Logger, apply func(*settings.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := digest(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		now := digest(path)
		if now == nil || bytes.Equal(now, last) && !signalled {
			continue
		}
		last = now
		set, err := loadFor(path, role)
		if err != nil {
			logger.Printf("platform: the new settings are not applied: %v", err)
			continue
		}
		apply(set)
		logger.Printf("platform: settings read again")
	}
}

// digest returns a hash of the content of a file; nil if it cannot be read.
func digest(path string) []byte {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(raw)
	return sum[:]
}

// ServeReadiness answers the readiness probe until ctx ends: 200 if ready returns
// nil, else 503 with the text of the error.
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

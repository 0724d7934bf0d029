// Package platform owns what the platform says to a process: the settings
// file and its changes, the signals, and the question whether it is ready.
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

// Variable holds the path of the settings file.
const Variable = "SALTREEL_BOOT"

// Path is the path of the settings file.
func Path() (string, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return "", errors.New("the variable " + Variable + " does not name a settings file")
	}
	return path, nil
}

// Load reads the settings of a role and bounds the memory that they allow.
func Load(path, role string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if err := s.Require(role); err != nil {
		return nil, err
	}
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(s.Limits.MemoryMb << 20 / 2)
	}
	return s, nil
}

// Stop gives a context that ends at SIGTERM or SIGINT.
func Stop(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// Watch rereads the settings file at SIGHUP and when it changes, and applies
// what is sound. A bad file is logged and the settings in force stay.
func Watch(ctx context.Context, path, role string, every time.Duration, logger *log.Logger, apply func(*settings.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(every)
	defer tick.Stop()
	last := digest(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		now := digest(path)
		if now == nil || bytes.Equal(now, last) && !signalled {
			continue
		}
		last = now
		s, err := settings.Load(path)
		if err == nil {
			err = s.Require(role)
		}
		if err != nil {
			logger.Printf("platform: the new settings are not applied: %v", err)
			continue
		}
		apply(s)
		logger.Printf("platform: settings read again")
	}
}

func digest(path string) []byte {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(raw)
	return sum[:]
}

// ServeReadiness answers whether the node wants new connections.
func ServeReadiness(ctx context.Context, l net.Listener, ready func() error) error {
	s := &httpwire.Server{
		Limits: func() httpwire.Limits { return httpwire.Limits{HeaderBytes: 8192, BodyBytes: 1} },
		Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response {
			if r.URL.Path != "/v1/readiness" || r.Method != http.MethodGet {
				return httpwire.Problem(404, "only GET /v1/readiness is answered here")
			}
			if err := ready(); err != nil {
				return httpwire.Problem(503, err.Error())
			}
			return httpwire.JSON(200, map[string]bool{"ready": true})
		},
	}
	if err := s.Serve(ctx, l); err != nil {
		return fmt.Errorf("serve readiness: %w", err)
	}
	return nil
}

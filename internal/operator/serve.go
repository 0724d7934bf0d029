package operator

import (
	"context"
	"errors"
	"fmt"
	"log"
	"time"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/settings"
)

// Serve runs a core with the listener for handlers and the operator, until ctx
// ends. A core whose state on disk was found damaged is made anew: it joins as
// one with an empty disk.
func Serve(ctx context.Context, c *controlplane.Server, set *settings.Settings, network httpwire.Network, logger *log.Logger) error {
	for {
		err := serve(ctx, c, set, network, logger)
		if !errors.Is(err, controlplane.ErrDamaged) || ctx.Err() != nil {
			return err
		}
		if c, err = controlplane.New(set, network, logger); err != nil {
			return err
		}
	}
}

func serve(ctx context.Context, c *controlplane.Server, set *settings.Settings, network httpwire.Network, logger *log.Logger) error {
	l, err := network.Listen(set.Listeners.ControlPlane)
	if err != nil {
		return fmt.Errorf("listen for handlers and the operator: %w", err)
	}
	desk := &Server{c}
	s := &httpwire.Server{Log: logger, Handle: c.ServeControl(desk.Handle), Limits: func() httpwire.Limits {
		return httpwire.Limits{HeaderBytes: 16 << 10, BodyBytes: MaxConfiguration, HeaderTimeout: set.Contact(), BodyTimeout: 2 * set.Contact(), IdleTimeout: 8 * set.Contact()}
	}}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	done := make(chan error, 1)
	go func() { done <- c.Run(life) }()
	go func() { _ = s.Serve(life, l) }()
	logger.Printf("core: started")
	select {
	case <-ctx.Done():
	case err := <-done:
		end()
		s.Shutdown(life)
		return err
	}
	stop, cancel := context.WithTimeout(context.Background(), settings.Seconds(set.Timers.GraceS)/8)
	defer cancel()
	s.Shutdown(stop)
	end()
	select {
	case err = <-done:
	case <-time.After(settings.Seconds(set.Timers.GraceS) / 4):
	}
	logger.Printf("core: ended")
	return err
}

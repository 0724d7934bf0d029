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

// Core is the process of a core machine with its listener for handlers and the
// operator.
type Core struct {
	server   *controlplane.Server
	settings *settings.Settings
	network  httpwire.Network
	log      *log.Logger
}

// NewCore makes the process; Run opens the state on disk.
func NewCore(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Core, error) {
	server, err := controlplane.New(set, network, logger)
	if err != nil {
		return nil, err
	}
	return &Core{server: server, settings: set, network: network, log: logger}, nil
}

// Run serves until ctx ends. A core that finds its state on disk damaged is
// replaced by a new one, which joins like one with an empty disk.
func (c *Core) Run(ctx context.Context) error {
	for {
		err := serve(ctx, c.server, c.settings, c.network, c.log)
		if !errors.Is(err, controlplane.ErrDamaged) || ctx.Err() != nil {
			return err
		}
		if c.server, err = controlplane.New(c.settings, c.network, c.log); err != nil {
			return err
		}
	}
}

// Reload does nothing: a core reads its settings when it starts.
func (c *Core) Reload(*settings.Settings) {}

// serve runs one core until ctx ends or the core fails.
func serve(ctx context.Context, core *controlplane.Server, set *settings.Settings, network httpwire.Network, logger *log.Logger) error {
	listener, err := network.Listen(set.Listeners.ControlPlane)
	if err != nil {
		return fmt.Errorf("listen for handlers and the operator: %w", err)
	}
	operatorServer := &Server{Core: core}
	server := &httpwire.Server{
		Handle:     core.ControlHandler(operatorServer.Handle),
		Limits:     func() httpwire.Limits { return listenerLimits(set) },
		AnswerTime: answerTimeout(set),
	}
	// The core goes on after ctx ends, until the listener has shut down.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	coreDone := make(chan error, 1)
	go func() { coreDone <- core.Run(running) }()
	go func() { _ = server.Serve(running, listener) }()
	logger.Printf("core: started")

	select {
	case <-ctx.Done():
	case err := <-coreDone:
		stop()
		server.Shutdown(running)
		return err
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout(set))
	defer cancel()
	server.Shutdown(shutdown)
	stop()
	select {
	case err = <-coreDone:
	case <-time.After(coreStopTimeout(set)):
	}
	logger.Printf("core: ended")
	return err
}

// listenerLimits bounds what one connection may cost. The timeouts are multiples
// of the contact bound, like all waits inside the system.
func listenerLimits(set *settings.Settings) httpwire.Limits {
	return httpwire.Limits{
		HeaderBytes:   16 << 10,
		BodyBytes:     MaxConfigurationBytes,
		HeaderTimeout: set.Contact(),
		BodyTimeout:   2 * set.Contact(),
		IdleTimeout:   8 * set.Contact(),
	}
}

// shutdownTimeout is how long requests in progress may take at shutdown. With
// coreStopTimeout it is well under the grace period, after which the platform
// kills the process.
func shutdownTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 8
}

// answerTimeout is how long the answers may take to those that did not end in that
// time.
func answerTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 16
}

// coreStopTimeout is how long the core may take to stop after that.
func coreStopTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 4
}

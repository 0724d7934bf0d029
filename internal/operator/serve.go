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

// Core is the process of a core, including its listener for handlers and the operator.
type Core struct {
	server   *controlplane.Server
	settings *settings.Settings
	network  httpwire.Network
	log      *log.Logger
}

// NewCore makes a Core. Run opens the state on disk.
func NewCore(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Core, error) {
	server, err := controlplane.New(set, network, logger)
	if err != nil {
		return nil, err
	}
	return &Core{server: server, settings: set, network: network, log: logger}, nil
}

// Run serves until ctx ends. If the state on disk is found to be damaged, the
// controlplane.Server is replaced by a new one, which joins like a core with an empty
// disk.
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

// Reload does nothing: a core reads its settings only at startup.
func (c *Core) Reload(*settings.Settings) {}

// serve runs one controlplane.Server until ctx ends or the server fails.
func serve(ctx context.Context, core *controlplane.Server, set *settings.Settings, network httpwire.Network, logger *log.Logger) error {
	listener, err := network.Listen(set.Listeners.ControlPlane)
	if err != nil {
		return fmt.Errorf("listen on the control-plane address: %w", err)
	}
	operatorServer := &Server{Core: core}
	server := &httpwire.Server{
		Handle:              core.ControlHandler(operatorServer.Handle),
		Limits:              func() httpwire.Limits { return listenerLimits(set) },
		Budget:              core.ControlBudget(),
		HandlingCopies:      proposalCopies,
		ReceiveBuffer:       httpwire.ClientReceiveBuffer,
		Pipelining:          true,
		ShutdownGracePeriod: responseTimeout(set),
	}
	// The core keeps running after ctx ends, until the listener has shut down.
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

// proposalCopies is how many copies of a configuration the request to change it needs:
// decoded, in the call to the head of the chain, and in what the chain replicates.
const proposalCopies = 3

// listenerLimits bounds the resources that one connection may use. The timeouts are
// multiples of contact-ms, like all timeouts within the system.
func listenerLimits(set *settings.Settings) httpwire.Limits {
	return httpwire.Limits{
		HeaderBytes:   16 << 10,
		BodyBytes:     MaxConfigurationBytes,
		HeaderTimeout: set.ContactTimeout(),
		BodyTimeout:   2 * set.ContactTimeout(),
		IdleTimeout:   8 * set.ContactTimeout(),
	}
}

// shutdownTimeout is how long requests in progress may take at shutdown. Together with
// coreStopTimeout it is well below the grace period after which the platform kills the
// process.
func shutdownTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 8
}

// responseTimeout is how long it may take to send responses to the requests that did not
// complete within shutdownTimeout.
func responseTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 16
}

// coreStopTimeout is how long the core may take to stop after the listener has shut down.
func coreStopTimeout(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Timers.GraceS) / 4
}

// Package edge implements the edge role: it admits the messages of clients, forwards
// them to the stores, and answers queries about them.
package edge

import (
	"context"
	"errors"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/admission"
	"saltreel/internal/budget"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/node"
	"saltreel/internal/platform"
	"saltreel/internal/ratelimit"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// forwardCopies is how many copies of the body of a message forwarding it needs: in the
// body of the call to the store, and in the encoded request.
const forwardCopies = 2

// Edge is an edge process.
type Edge struct {
	set     *settings.Settings
	timing  timing
	log     *log.Logger
	network httpwire.Network
	node    *node.Node
	leases  *ratelimit.Leases

	quotas   *admission.Quotas
	stalled  stalledPrimaries
	stopping atomic.Bool // readiness is withdrawn
}

// New returns an edge that is not running yet; Run starts it.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) *Edge {
	timing := timing{contactTimeout: set.ContactTimeout(), grace: settings.Seconds(set.Timers.GraceS)}
	e := &Edge{
		set:     set,
		timing:  timing,
		log:     logger,
		network: network,
		node:    node.New(node.Config{Settings: set, Role: "edge", Network: network, Log: logger}),
		quotas:  admission.NewQuotas(set.ProcessorShare()),
		stalled: newStalledPrimaries(timing.stallRetention()),
	}
	e.leases = ratelimit.NewLeases(e.node.Client, e.node.Placement, set.ContactTimeout())
	return e
}

// Reload applies the settings that can change at run time.
func (e *Edge) Reload(s *settings.Settings) { e.node.Reload(s) }

// ready returns nil if the process accepts new connections, else the reason why not.
func (e *Edge) ready() error {
	switch {
	case e.stopping.Load():
		return errors.New("stopping")
	case e.node.Table() == nil:
		return errors.New("no configuration is known yet")
	case e.node.Placement() == nil:
		return errors.New("no store is known yet")
	}
	return nil
}

// Run serves until ctx ends, responds to the requests that were read by then, and
// returns. It returns an error only if a listener cannot be opened.
func (e *Edge) Run(ctx context.Context) error {
	listeners, err := platform.Listen(e.network.Listen, e.set)
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	budgets := budget.ForClients(e.set.Limits, e.log.Printf)
	internal := rpc.NewServer(rpc.Mux{"/news": e.node.Publisher().Handle}, budgets.Internal, e.timing.contactTimeout)
	clients := &httpwire.Server{
		Handle: e.handle, Limits: e.limits, OnPanic: e.answerPanic, ShutdownGracePeriod: e.timing.answerTimeout(),
		Budget: budgets.Clients, HandlingCopies: forwardCopies,
		ReceiveBuffer: httpwire.ClientReceiveBuffer, Pipelining: true,
	}
	var tasks sync.WaitGroup
	for _, task := range []func(){
		func() { _ = internal.Serve(serving, listeners.Internal) },
		func() { _ = clients.Serve(serving, listeners.Clients) },
		func() { _ = platform.ServeReadiness(serving, listeners.Readiness, budgets.Readiness, e.ready) },
		func() { e.node.Run(serving) },
		func() { e.leases.Run(serving) },
		func() { e.quotas.Reap(serving) },
	} {
		tasks.Go(task)
	}
	e.log.Printf("edge: started")
	<-ctx.Done()
	e.log.Printf("edge: stopping")
	e.drainClients(clients)
	stopServing()
	tasks.Wait()
	e.log.Printf("edge: ended")
	return nil
}

// drainClients stops serving clients. It withdraws readiness but keeps serving until
// the platform has noticed; then it responds to the requests that were read and
// resumes reads from paused connections. A request that exceeds the shutdown timeout
// gets 503 or 504, depending on whether its message may have been accepted.
func (e *Edge) drainClients(clients *httpwire.Server) {
	e.stopping.Store(true)
	e.node.Drain()
	clients.StopKeepAlives()
	time.Sleep(e.timing.unreadyDelay())
	ctx, cancel := context.WithTimeout(context.Background(), e.timing.shutdownTimeout())
	defer cancel()
	clients.Shutdown(ctx)
}

// limits returns the HTTP limits of the configuration, with conservative defaults
// for those that it does not set or before it is known.
func (e *Edge) limits() httpwire.Limits {
	configured := &configuration.Limits{}
	if t := e.node.Table(); t != nil && t.Limits != nil {
		configured = t.Limits
	}
	contact := e.timing.contactTimeout.Milliseconds()
	headerTimeout := milliseconds(positiveOr(configured.HeaderTimeoutMs, contact))
	return httpwire.Limits{
		HeaderBytes:   int(positiveOr(configured.MaxHeaderBytes, 16<<10)),
		BodyBytes:     int(positiveOr(configured.MaxBodyBytes, 256<<10)),
		HeaderTimeout: headerTimeout,
		BodyTimeout:   2 * headerTimeout,
		IdleTimeout:   milliseconds(positiveOr(configured.IdleTimeoutMs, 4*contact)),
	}
}

// positiveOr returns v, or the default if v is not set.
func positiveOr(v, defaultValue int64) int64 {
	if v > 0 {
		return v
	}
	return defaultValue
}

func milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// Package gateway implements the gateway role, which serves the realtime clients of a
// deployment with topics. It accepts their connections, admits their publications and forwards
// them to the brokers, and follows the topics at the brokers to which its clients subscribe.
//
// feed.go contains the state machine of a topic, without I/O; link.go the session with a
// broker; client.go the connection of a client.
package gateway

import (
	"context"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/admission"
	"saltreel/internal/budget"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/linewire"
	"saltreel/internal/node"
	"saltreel/internal/platform"
	"saltreel/internal/ratelimit"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
	"saltreel/internal/topic"
)

// nodeRole is the role of a gateway in heartbeats, that of every node that serves clients.
const nodeRole = "edge"

// Gateway is a gateway process.
type Gateway struct {
	settings *settings.Settings
	timing   timing
	log      *log.Logger
	network  httpwire.Network
	started  time.Time

	node           *node.Node
	hub            *hub
	caller         *brokerCaller
	publishers     *publishers
	clients        clientTable
	peers          peerGateways
	leases         *ratelimit.Leases
	quotas         *admission.Quotas
	budgets        budget.Gateway
	counts         chan struct{} // semaphore for concurrent SUBCOUNT commands
	protocolErrors logLimiter

	stopping       atomic.Bool   // new clients are not accepted
	controlChanged chan struct{} // receives a value when the configuration or the placement may have changed
	serving        context.Context
	stopServing    context.CancelFunc
	background     sync.WaitGroup
}

// New returns a gateway. Run starts it.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) *Gateway {
	g := &Gateway{
		settings:       set,
		timing:         newTiming(set),
		log:            logger,
		network:        network,
		started:        time.Now(),
		node:           node.New(node.Config{Settings: set, Role: nodeRole, Network: network, Log: logger}),
		clients:        newClientTable(),
		peers:          newPeerGateways(set.NodeName),
		quotas:         admission.NewQuotas(set.ProcessorShare()),
		budgets:        budget.ForGateway(set.Limits, logger.Printf),
		counts:         make(chan struct{}, maxCounts),
		controlChanged: make(chan struct{}, 1),
	}
	g.serving, g.stopServing = context.WithCancel(context.Background())
	g.caller = &brokerCaller{node: g.node, timing: g.timing, gateway: set.NodeName, callsPerBroker: budget.CallsPerBroker(set.Limits)}
	g.hub = newHub(g.timing, g.node.Placement, logger, func(l *brokerLink) {
		g.caller.tasks.Go(func() { l.run(g.serving, g.caller) })
	}, func(f *feed) {
		g.caller.tasks.Go(func() { g.hub.readBacklog(g.serving, g.caller, f) })
	})
	g.hub.topics = g.budgets.Topics
	g.hub.linkBytesPerS = set.Limits.LinkSpeedMbps * 1e6 / 8
	g.publishers = newPublishers(g.serving, g.hub, g.caller)
	g.leases = ratelimit.NewLeases(g.node.Client, g.node.Placement, set.ContactTimeout())
	g.node.Journal.Subscribe(g.applyEvent)
	return g
}

// Reload applies the settings that can change at run time.
func (g *Gateway) Reload(s *settings.Settings) { g.node.Reload(s) }

// uptime returns the monotonic time since the start.
func (g *Gateway) uptime() time.Duration { return time.Since(g.started) }

// applyEvent handles an event distributed by the control plane.
func (g *Gateway) applyEvent(e journal.Event) {
	g.peers.applyEvent(e)
	if e.Key == distribution.KeyPlacement || e.Key == distribution.KeyConfiguration {
		select {
		case g.controlChanged <- struct{}{}:
		default:
		}
	}
}

// ready returns the reason why the process does not accept new clients, or nil if it does.
func (g *Gateway) ready() error {
	switch {
	case g.stopping.Load():
		return errors.New("stopping")
	case g.node.Table() == nil:
		return errors.New("no configuration is known yet")
	case !g.knowsBrokers():
		return errors.New("no broker is known yet")
	}
	return nil
}

// knowsBrokers reports whether there is a placement with partitions.
func (g *Gateway) knowsBrokers() bool {
	p := g.node.Placement()
	return p != nil && len(p.Partitions) > 0
}

// Run serves until ctx ends, and then redirects the clients to other gateways. It returns an
// error if a listener cannot be opened.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stopServing()
	listeners, err := platform.Listen(g.network.Listen, g.settings)
	if err != nil {
		return err
	}
	internal := rpc.NewServer(rpc.Mux{"/news": g.node.Publisher().Handle}, g.budgets.Internal, g.timing.contact)
	var tasks sync.WaitGroup
	for _, task := range []func(){
		func() { _ = internal.Serve(g.serving, listeners.Internal) },
		func() { g.accept(listeners.Clients) },
		func() { _ = platform.ServeReadiness(g.serving, listeners.Readiness, g.budgets.Readiness, g.ready) },
		func() { g.node.Run(g.serving) },
		func() { g.leases.Run(g.serving) },
		func() { g.quotas.Reap(g.serving) },
		func() { g.applyControlUpdates(g.serving) },
		func() { g.maintain(g.serving) },
	} {
		tasks.Go(task)
	}
	g.log.Printf("gateway: started")
	<-ctx.Done()
	g.log.Printf("gateway: stopping, %d clients", len(g.clients.all()))
	g.drain()
	_ = listeners.Clients.Close()
	g.stopServing()
	tasks.Wait()
	g.background.Wait()
	g.caller.tasks.Wait()
	g.log.Printf("gateway: ended")
	return nil
}

// acceptRetryDelay is the delay after a failed Accept, for instance when there are too many
// open files.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves clients until the listener is closed.
func (g *Gateway) accept(l net.Listener) {
	defer context.AfterFunc(g.serving, func() { _ = l.Close() })()
	httpwire.LimitUnacceptedBytes(l)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || g.serving.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newClientConn(g, conn)
		if c == nil {
			_ = conn.Close()
			continue
		}
		g.clients.add(c)
		g.background.Go(func() { c.serve(g.serving) })
	}
}

// applyControlUpdates applies new configurations and placements until ctx ends.
func (g *Gateway) applyControlUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.controlChanged:
		}
		if g.node.Table() == nil || !g.knowsBrokers() {
			continue
		}
		g.hub.applyPlacement()
		g.applyConfiguration(g.node.Table())
	}
}

// applyConfiguration applies a configuration. It ends the subscriptions whose space or key no
// longer exists.
func (g *Gateway) applyConfiguration(table *configuration.Table) {
	if !g.quotas.ApplyLimits(table) {
		return // already applied
	}
	for _, c := range g.clients.all() {
		for _, s := range c.currentSubscriptions() {
			g.reauthorize(s, c.secret)
		}
	}
}

// reauthorize ends a subscription that the current configuration does not allow.
func (g *Gateway) reauthorize(s *subscription, secret string) {
	if _, reason := authorize(g.node.Table(), s.topic, secret, g.settings.HasTenants()); reason != "" {
		g.hub.end(s, reason)
	}
}

// maintain reports subscriber counts and stops following unused topics, until ctx ends.
func (g *Gateway) maintain(ctx context.Context) {
	timeutil.Repeat(ctx, g.timing.countReportInterval(), func() {
		g.hub.reportCounts()
		g.hub.dropUnused()
	})
}

// maxCounts limits the concurrent SUBCOUNT commands. Further ones are rejected with RETRY.
const maxCounts = 64

// countSubscribers asks the broker of a topic for its number of subscribers.
func (g *Gateway) countSubscribers(ctx context.Context, name string) (int, error) {
	number := g.hub.partitionOf(name)
	store, address := g.hub.primaryOf(number)
	var out topic.CountResponse
	request := topic.CountRequest{Topic: name, Partition: number}
	err := g.caller.callForClient(ctx, store, address, topic.PathCount, g.timing.countCallTimeout(), request, nil, &out)
	return out.Count, err
}

// checkRate consumes one message of the tenant's rate limit, which applies across all nodes.
// It returns how long the tenant is over the limit, or 0.
func (g *Gateway) checkRate(ctx context.Context, tenant *configuration.Tenant, space string, deadline time.Time) time.Duration {
	if tenant.RatePerS <= 0 {
		return 0
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	g.quotas.AcceptedMessages.Record(tenant.Name, space, 1)
	return g.leases.Acquire(ctx, tenant)
}

// logProtocolError logs an invalid command. Logging is rate-limited because a faulty client
// may send nothing else.
func (g *Gateway) logProtocolError(c *clientConn, protocolErr *linewire.ProtocolError) {
	if n, ok := g.protocolErrors.allow(g.timing.contact); ok {
		g.log.Printf("gateway: invalid command from %s (client %q): %v (%d such commands since the last log line)", c.conn.RemoteAddr(), c.clientName, protocolErr, n)
	}
}

// logLimiter limits how often an event is logged.
type logLimiter struct {
	mu    sync.Mutex
	last  time.Time
	count int
}

// allow counts an event. It reports whether to log it, and how many events there were since
// the last log line.
func (l *logLimiter) allow(interval time.Duration) (count int, log bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if time.Since(l.last) < interval {
		return 0, false
	}
	count = l.count
	l.last, l.count = time.Now(), 0
	return count, true
}

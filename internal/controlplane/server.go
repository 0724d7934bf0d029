// Package controlplane implements the process of a core. It wires the components of
// the control plane together and serves their calls: the chain of control state
// (package chain), the store of the configuration and placement in it (configstore),
// the registry of instances and nodes (registry), the controller that reassigns
// partitions (controller), and the distribution of all of these to the nodes.
package controlplane

import (
	"context"
	"crypto/rand"
	"fmt"
	"log"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/budget"
	"saltreel/internal/chain"
	"saltreel/internal/configstore"
	"saltreel/internal/controller"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/lease"
	"saltreel/internal/membership"
	"saltreel/internal/placement"
	"saltreel/internal/registry"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// ErrDamaged is returned by Run if the state on disk was found to be damaged and was
// moved aside. A new Server then joins like a core with an empty disk.
var ErrDamaged = boltstore.ErrDamaged

// Server is the process of one core.
type Server struct {
	settings *settings.Settings
	timing   timing
	log      *log.Logger
	network  httpwire.Network
	budgets  budget.Listeners
	address  string          // internal address
	node     membership.Node // this core, as in its heartbeats; the disk is set by open

	client      *rpc.Client
	journal     *journal.Journal
	state       *boltstore.File
	grantor     *lease.Grantor
	chain       *chain.Chain
	registry    *registry.Registry
	store       *configstore.Store
	controller  *controller.Controller
	publication *publication
	publisher   *distribution.Publisher

	opened atomic.Bool     // the state on disk is loaded
	ctx    context.Context // of the background tasks
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New makes a Server. Run opens the state on disk.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Server, error) {
	incarnation := rand.Text()
	s := &Server{settings: set, timing: timing{set.ContactTimeout()}, log: logger, network: network, budgets: budget.ForClients(set.Limits, logger.Printf), address: set.InternalAddress()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.node = membership.Node{Name: set.NodeName, Role: "core", Address: s.address, Zone: set.Zone, Region: set.Region, Incarnation: incarnation}
	s.client = rpc.NewClient(&httpwire.Pool{Network: network})
	s.journal = journal.New(set.NodeName+"/"+incarnation, s.timing.journalRetention(), distribution.PrefixNode)
	s.grantor = &lease.Grantor{}
	s.state = &boltstore.File{
		Path:       filepath.Join(set.DataPath, "core.db"),
		BatchDelay: registry.TombstoneBatchDelay,
		Prepare:    s.prepareState,
		Load:       s.loadState,
		Warn:       logger.Printf,
	}
	if err := s.wire(); err != nil {
		s.cancel()
		return nil, err
	}
	return s, nil
}

// wire makes the components that refer to each other. The chain calls the others only
// after Run has started it.
func (s *Server) wire() (err error) {
	hostFailures := int(s.settings.FaultTolerance.HostFailures)
	s.publication = &publication{
		journal:         s.journal,
		log:             s.log,
		decodePlacement: func(docs chain.Documents) (placement.Placement, error) { return s.store.PlacementOf(docs) },
		onPlacement:     s.wakeController,
	}
	s.chain, err = chain.New(chain.Config{
		Address:        s.address,
		HostFailures:   hostFailures,
		ContactTimeout: s.timing.contactTimeout,
		Client:         s.client,
		Log:            s.log,
		File:           s.state,
		OnUpdate:       s.prepareUpdate,
		OnCommit:       s.publication.update,
		KnownCores:     s.knownCores,
		VoterReady:     s.voterReady,
	})
	if err != nil {
		return err
	}
	s.registry, err = registry.New(registry.Config{
		Address:           s.address,
		Seeds:             s.settings.CoreAddresses,
		Self:              func() chain.Member { return s.chain.Self },
		Chain:             s.chain,
		Client:            s.client,
		Storage:           s.state,
		Journal:           s.journal,
		HostFailures:      hostFailures,
		ContactTimeout:    s.timing.contactTimeout,
		KeepaliveInterval: settings.Milliseconds(float64(max(s.settings.KeepaliveMs, 1))),
		Log:               s.log,
		Go:                s.goBackground,
		OnNodeChanged:     s.wakeController, // the controller may be waiting for this node
	})
	if err != nil {
		return err
	}
	s.store, err = configstore.New(configstore.Config{
		Address:        s.address,
		Chain:          s.chain,
		Client:         s.client,
		HostFailures:   hostFailures,
		ContactTimeout: s.timing.contactTimeout,
		Log:            s.log,
	})
	if err != nil {
		return err
	}
	s.controller, err = controller.New(controller.Config{
		Address:        s.address,
		Chain:          s.chain,
		Registry:       s.registry,
		Proposer:       s.store,
		Placement:      s.publication.currentPlacement,
		Client:         s.client,
		Grantor:        s.grantor,
		HostFailures:   hostFailures,
		Redundancy:     redundancyOf(s.settings.FaultTolerance),
		ContactTimeout: s.timing.contactTimeout,
		Log:            s.log,
		Go:             s.goBackground,
	})
	if err != nil {
		return err
	}
	s.publisher = distribution.NewPublisher(distribution.PublisherConfig{
		Journal:      s.journal,
		MaxWait:      s.timing.watchTimeout(),
		BatchDelay:   s.timing.eventBatchDelay(),
		UpToDate:     s.registry.InContactWithQuorum,
		UpToDateWait: s.timing.upToDateWait(),
		Warming:      s.isWarming,
	})
	return nil
}

// The chain is made first, so its callbacks refer to later components through these methods.

func (s *Server) prepareUpdate(docs chain.Documents) { s.store.Prepare(docs) }
func (s *Server) knownCores() []chain.Member         { return s.registry.KnownCores() }
func (s *Server) voterReady() bool                   { return s.registry.VoterReady() }
func (s *Server) wakeController()                    { s.controller.Wake() }

func (s *Server) isWarming() bool { return s.chain.InContactFor() < s.timing.warmup() }

// redundancyOf returns how the copies of a message must be spread over failure domains.
func redundancyOf(t *settings.FaultTolerance) placement.Redundancy {
	return placement.Redundancy{Backups: int(t.HostFailures), Zones: int(t.Zones), Regions: int(t.RegionFailures)}
}

// ControlBudget returns the budget of the listener for handlers and the operator.
func (s *Server) ControlBudget() *budget.Budget { return s.budgets.Clients }

// goBackground runs a background task. Run cancels its context and waits for it before
// returning.
func (s *Server) goBackground(task func(ctx context.Context)) {
	s.tasks.Go(func() { task(s.ctx) })
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	defer func() { _ = s.state.Close() }()
	if !s.open(ctx) {
		return nil
	}
	listener, err := s.network.Listen(s.address)
	if err != nil {
		return fmt.Errorf("listen on the internal address: %w", err)
	}
	server := rpc.NewServer(s.mux(), s.budgets.Internal, s.timing.contactTimeout)
	s.goBackground(func(ctx context.Context) { _ = server.Serve(ctx, listener) })
	s.goBackground(s.registry.RunLoader)
	s.goBackground(s.chain.Run)
	s.goBackground(s.runAntiEntropy)
	s.goBackground(s.controller.Run)
	s.goBackground(func(ctx context.Context) { s.state.Recover(ctx, s.timing.diskRetryInterval()) })
	select {
	case <-ctx.Done():
	case <-s.state.Damaged():
		err = s.state.Err()
	}
	shutdown, cancel := context.WithTimeout(context.Background(), s.timing.shutdownTimeout())
	defer cancel()
	server.Shutdown(shutdown)
	s.cancel()
	s.tasks.Wait()
	return err
}

// mux returns the calls served to the other processes; docs/calls.md lists them.
func (s *Server) mux() rpc.Mux {
	return rpc.Mux{
		"/news":           s.publisher.Handle,
		"/chain/pass":     rpc.Handler(s.chain.HandleUpdate, chain.StatusCode),
		"/chain/standing": rpc.Handler(s.chain.HandleStatus, chain.StatusCode),
		"/chain/snapshot": rpc.Handler(s.chain.HandleSnapshot, chain.StatusCode),
		"/chain/adopt":    rpc.Handler(s.chain.HandleInstallView, chain.StatusCode),
		"/ballot":         rpc.Handler(s.chain.HandleVote, chain.StatusCode),
		"/duty":           rpc.Handler(s.handleLease),
		"/view":           rpc.Handler(s.handleView),
		"/exchange":       rpc.Handler(s.registry.HandleSync, registry.StatusCode, chain.StatusCode),
		"/beat":           rpc.Handler(s.handleNodeHeartbeat),
		"/suspect":        rpc.Handler(s.controller.HandleFailureReport, controller.StatusCode),
		"/in-step":        rpc.Handler(s.controller.HandleInSyncReport, controller.StatusCode),
		"/propose":        rpc.Handler(s.store.HandlePropose),
		"/read":           rpc.Handler(s.store.HandleRead, chain.StatusCode),
		"/ping":           rpc.Handler(rpc.Ping),
	}
}

func (s *Server) handleLease(_ context.Context, in *lease.Request, _ []byte) (*lease.Response, error) {
	response := s.grantor.Handle(*in)
	return &response, nil
}

func (s *Server) handleView(context.Context, *struct{}, []byte) (*chain.View, error) {
	view := s.chain.View()
	return &view, nil
}

func (s *Server) handleNodeHeartbeat(_ context.Context, n *membership.Node, _ []byte) (*struct{}, error) {
	s.registry.RecordNode(*n)
	return &struct{}{}, nil
}

// runAntiEntropy periodically records a heartbeat of this core, exchanges registry entries
// with the other cores and expires entries without heartbeats. It also logs the call
// statistics.
func (s *Server) runAntiEntropy(ctx context.Context) {
	tick := time.NewTicker(s.timing.syncInterval())
	defer tick.Stop()
	trafficLoggedAt := time.Now()
	for n := int64(1); ; n++ {
		if time.Since(trafficLoggedAt) > s.timing.trafficLogInterval() {
			trafficLoggedAt = time.Now()
			s.log.Printf("traffic: in %v: %s", s.timing.trafficLogInterval(), s.client.Traffic())
		}
		self := s.node
		self.Sequence = n
		s.registry.RecordSelf(self)
		s.registry.SyncWithPeers()
		s.registry.Expire()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// open opens the state on disk. It retries while the disk fails, and the core does not
// participate in the meantime. The result is false if ctx ended first.
func (s *Server) open(ctx context.Context) bool {
	for logged := false; ctx.Err() == nil; timeutil.Sleep(ctx, s.timing.diskRetryInterval()) {
		err := s.state.Open()
		if err == nil {
			if logged {
				s.log.Printf("core: the state is open")
			}
			s.node.Disk = s.chain.Self.Disk
			s.grantor.SuspendGrants(s.timing.leaseGrantDelay())
			s.opened.Store(true)
			return true
		}
		if !logged {
			s.log.Printf("core: waiting for the disk: %v", err)
			logged = true
		}
	}
	return false
}

// prepareState initializes the state on an empty disk. A disk that replaced a damaged
// one does not bootstrap the chain, since the other cores hold the lost state.
func (s *Server) prepareState(tx *bbolt.Tx) error {
	var initialMembers []string
	if s.settings.Bootstrap && !boltstore.WasReplaced(s.state.Path) {
		initialMembers = s.settings.CoreAddresses()
	}
	if err := s.registry.InitState(tx); err != nil {
		return err
	}
	return s.chain.InitState(tx, initialMembers)
}

// loadState reads the state on disk.
func (s *Server) loadState(tx *bbolt.Tx) (func(), error) {
	installChain, err := s.chain.Load(tx)
	if err != nil {
		return nil, err
	}
	installRegistry, err := s.registry.LoadState(tx)
	return func() {
		installChain()
		installRegistry()
	}, err
}

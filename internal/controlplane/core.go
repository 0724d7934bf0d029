// Package controlplane owns the role of a core machine: the chain of control state,
// the registry of handlers and nodes, the steward that places partitions, and
// what the other processes are told.
package controlplane

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"log"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
	"saltreel/internal/chain"
	"saltreel/internal/configstore"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/lease"
	"saltreel/internal/membership"
	"saltreel/internal/paxos"
	"saltreel/internal/placement"
	"saltreel/internal/registry"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// Core is one core machine's process.
type Server struct {
	set     *settings.Settings
	log     *log.Logger
	net     httpwire.Network
	self    string // internal address
	contact time.Duration
	node    membership.Node

	pool     *rpc.Client
	chain    *chain.Chain
	acceptor *paxos.Acceptor
	grantor  *lease.Grantor
	lease    *lease.Lease
	registry *registry.Registry
	store    *configstore.Store
	journal  *journal.Journal
	state    *boltstore.File

	mu        sync.Mutex
	placement placement.Placement
	dead      map[string]time.Time       // nodes found dead, and when
	ready     map[int]stopped            // partitions whose primary stopped
	inStep    map[placement.Replica]bool // reports for the next placement
	handing   map[string]bool            // stores asked to stop partitions
	published chain.Documents            // as last told to the nodes
	decoded   []byte                     // a placement as the chain holds it, and what it says
	decodedAs placement.Placement
	refusing  map[string]time.Time // cores whose machine said that none runs there, and when

	wake    chan struct{}
	probing map[string]time.Time // since when a node is asked whether it runs
	life    context.Context      // of what the core does on its own
	end     context.CancelFunc
	tasks   sync.WaitGroup
	opened  atomic.Bool // the state on disk is read
}

// New makes the process; Run opens the state on disk.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Server, error) {
	c := &Server{
		set: set, log: logger, net: network, self: set.Internal(), contact: set.Contact(),
		dead: map[string]time.Time{}, ready: map[int]stopped{}, inStep: map[placement.Replica]bool{},
		handing: map[string]bool{},
		wake:    make(chan struct{}, 1), probing: map[string]time.Time{},
	}
	c.life, c.end = context.WithCancel(context.Background())
	life := rand.Text()
	c.node = membership.Node{Name: set.NodeName, Role: "core", Address: c.self, Zone: set.Zone, Region: set.Region, Incarnation: life}
	c.journal = journal.New(set.NodeName+"/"+life, 16*c.contact, distribution.PrefixNode)
	c.pool = rpc.NewClient(&httpwire.Pool{Network: network})
	c.acceptor, c.grantor = &paxos.Acceptor{}, &lease.Grantor{}
	c.chain = &chain.Chain{
		Self: chain.Member{Address: c.self}, MaxFailures: int(set.FaultTolerance.HostFailures), Client: c.pool, ContactTimeout: c.contact, Log: logger,
		Acceptor: c.acceptor, OnUpdate: func(docs chain.Documents) { c.store.Prepare(docs) }, OnCommit: c.committed, KnownCores: func() []chain.Member { return c.registry.KnownCores() }, VoterReady: func() bool { return c.registry.VoterReady() },
	}
	c.state = &boltstore.File{Path: filepath.Join(set.DataPath, "core.db"), BatchDelay: registry.TombstoneBatchDelay, Prepare: c.prepareState, Load: c.loadState, Warn: logger.Printf}
	c.chain.Open(c.state)
	var err error
	c.store, err = configstore.New(configstore.Config{
		Address:        c.self,
		Chain:          c.chain,
		Client:         c.pool,
		HostFailures:   int(set.FaultTolerance.HostFailures),
		ContactTimeout: c.contact,
		Log:            logger,
	})
	if err != nil {
		return nil, err
	}
	c.registry, err = registry.New(registry.Config{
		Address:        c.self,
		Seeds:          set.Cores,
		Self:           func() chain.Member { return c.chain.Self },
		Chain:          c.chain,
		Client:         c.pool,
		Storage:        c.state,
		Journal:        c.journal,
		HostFailures:   int(set.FaultTolerance.HostFailures),
		ContactTimeout: c.contact,
		Keepalive:      settings.Ms(float64(max(set.KeepaliveMs, 1))),
		Log:            logger,
		Go:             c.goBackground,
		OnNodeChanged:  c.nudge, // the controller may wait for this one
	})
	if err != nil {
		return nil, err
	}
	c.lease = &lease.Lease{Role: "steward", Self: c.self, Duration: c.contact / 4, Call: c.callLease, Go: c.tasks.Go}
	return c, nil
}

// open opens the state on disk. While the disk refuses, this core waits and
// takes no part; it tells whether it is open before ctx ends.
func (c *Server) open(ctx context.Context) bool {
	for told := false; ctx.Err() == nil; timeutil.Sleep(ctx, c.contact/40) {
		err := c.state.Open()
		if err == nil {
			if told {
				c.log.Printf("core: the state is open")
			}
			c.node.Disk = c.chain.Self.Disk
			c.grantor.StayQuiet(c.contact / 32)
			c.opened.Store(true)
			return true
		}
		if !told {
			c.log.Printf("core: waiting for the disk: %v", err)
			told = true
		}
	}
	return false
}

// prepareState makes the state on an empty disk. A disk that is there for one
// that was damaged founds nothing: what it held is with the others.
func (c *Server) prepareState(tx *bbolt.Tx) error {
	var founders []string
	if c.set.Bootstrap && !boltstore.Replaced(c.state.Path) {
		founders = c.set.Cores()
	}
	if err := c.registry.InitState(tx); err != nil {
		return err
	}
	return c.chain.InitState(tx, founders)
}

// loadState reads the state on disk.
func (c *Server) loadState(tx *bbolt.Tx) (func(), error) {
	installChain, err := c.chain.Load(tx)
	if err != nil {
		return nil, err
	}
	installRegistry, err := c.registry.LoadState(tx)
	return func() {
		installChain()
		installRegistry()
	}, err
}

// goBackground runs a task that ends with the process at the latest.
func (c *Server) goBackground(task func(ctx context.Context)) {
	c.tasks.Go(func() { task(c.life) })
}

func (c *Server) callLease(ctx context.Context, voter string, request lease.Request) (response lease.Response, err error) {
	if voter == c.self {
		return c.grantor.Handle(request), nil
	}
	err = c.pool.Call(ctx, voter, "/duty", request, nil, &response)
	return response, err
}

// committed publishes what the tail is known to hold.
func (c *Server) committed(docs chain.Documents) {
	c.mu.Lock()
	same := bytes.Equal(c.published[configstore.KeyConfiguration], docs[configstore.KeyConfiguration]) && bytes.Equal(c.published[configstore.KeyPlacement], docs[configstore.KeyPlacement])
	c.published = docs
	c.mu.Unlock()
	if same { // a sign of life
		return
	}
	if raw := docs[configstore.KeyConfiguration]; raw != nil {
		if cur, ok := c.journal.Get(distribution.KeyConfiguration); !ok || !slices.Equal(journal.Decode[[]byte](cur), raw) {
			if conf, err := configuration.Parse(raw); err == nil {
				if c.journal.Append(journal.Event{Key: distribution.KeyConfiguration, Version: journal.Version{Major: conf.Revision}, Value: journal.Encode(raw)}) {
					c.log.Printf("core: revision %d is in force", conf.Revision)
				}
			}
		}
	}
	if raw := docs[configstore.KeyPlacement]; raw != nil {
		if p, err := c.store.PlacementOf(docs); err == nil {
			c.mu.Lock()
			newer := p.Version > c.placement.Version
			if newer {
				c.placement = p
			}
			c.mu.Unlock()
			if newer {
				c.journal.Append(journal.Event{Key: distribution.KeyPlacement, Version: journal.Version{Major: p.Version}, Value: raw})
				c.nudge()
			}
		}
	}
}

func (c *Server) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Placement is the newest placement that the chain holds.
func (c *Server) Placement() placement.Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placement
}

// ErrDamaged ends Run when the state on disk was found damaged and moved aside.
// Made anew, the core joins as one with an empty disk.
var ErrDamaged = boltstore.ErrDamaged

// Run serves until ctx ends.
func (c *Server) Run(ctx context.Context) error {
	defer c.state.Close()
	if !c.open(ctx) {
		return nil
	}
	inner, err := c.net.Listen(c.self)
	if err != nil {
		return fmt.Errorf("listen for our own processes: %w", err)
	}
	source := &distribution.Publisher{Journal: c.journal, MaxWait: c.contact / 2, BatchDelay: c.contact / 32, UpToDate: c.registry.InContactWithQuorum,
		UpToDateWait: c.contact / 16, Warming: func() bool { return c.chain.InContactFor() < c.contact/8 }}
	mux := rpc.Mux{
		"/news":           source.Handle,
		"/chain/pass":     rpc.Handler(c.chain.HandleUpdate),
		"/chain/standing": rpc.Handler(c.chain.HandleStatus),
		"/chain/adopt":    rpc.Handler(c.chain.HandleInstallView),
		"/ballot":         rpc.Handler(c.chain.HandleVote),
		"/duty": rpc.Handler(func(_ context.Context, in *lease.Request, _ []byte) (*lease.Response, error) {
			r := c.grantor.Handle(*in)
			return &r, nil
		}),
		"/view":     rpc.Handler(c.handleView),
		"/exchange": rpc.Handler(c.registry.HandleSync, registry.StatusCode),
		"/beat":     rpc.Handler(c.handleNode),
		"/suspect":  rpc.Handler(c.handleSuspect),
		"/in-step":  rpc.Handler(c.handleInStep),
		"/propose":  rpc.Handler(c.store.HandlePropose),
		"/read":     rpc.Handler(c.store.HandleRead),
		"/ping":     rpc.Handler(rpc.Ping),
	}
	server := &httpwire.Server{Handle: mux.Handle, Log: c.log}
	for _, f := range []func(context.Context){
		func(ctx context.Context) { _ = server.Serve(ctx, inner) },
		c.registry.RunLoader, c.chain.Run, c.gossip, c.steward,
		func(ctx context.Context) { c.state.Recover(ctx, c.contact/40) },
	} {
		c.tasks.Go(func() { f(c.life) })
	}
	select {
	case <-ctx.Done():
	case <-c.state.Lost():
		err = c.state.Err()
	}
	stop, cancel := context.WithTimeout(context.Background(), c.contact/8)
	defer cancel()
	server.Shutdown(stop)
	c.end()
	c.tasks.Wait()
	return err
}

func (c *Server) handleView(context.Context, *struct{}, []byte) (*chain.View, error) {
	v := c.chain.View()
	return &v, nil
}

// gossip exchanges the registry with the other cores every so often, and expires
// what sends no heartbeats.
func (c *Server) gossip(ctx context.Context) {
	tick := time.NewTicker(c.contact / 4)
	defer tick.Stop()
	logged := time.Now()
	for n := int64(1); ; n++ {
		if time.Since(logged) > 4*c.contact {
			logged = time.Now()
			c.log.Printf("traffic: in %v: %s", 4*c.contact, c.pool.Traffic())
		}
		self := c.node
		self.Sequence = n
		c.registry.RecordSelf(self)
		c.registry.SyncWithPeers()
		c.registry.Expire()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *Server) handleNode(_ context.Context, n *membership.Node, _ []byte) (*struct{}, error) {
	c.registry.RecordNode(*n)
	return &struct{}{}, nil
}

// ServeControl answers handlers and the operator; operate gets what is the
// operator's.
func (c *Server) ServeControl(operate httpwire.Handler) httpwire.Handler {
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if !c.opened.Load() {
			return httpwire.Problem(503, "the state on disk is not open")
		}
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/instances/"); ok {
			return c.handleBeat(ctx, r, id)
		}
		return operate(ctx, r)
	}
}

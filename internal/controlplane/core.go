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
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/lease"
	"saltreel/internal/membership"
	"saltreel/internal/paxos"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// Keys of the documents in the chain.
const (
	docConfiguration = "configuration"
	docPlacement     = "placement"
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
	registry *registry
	journal  *journal.Journal
	state    *boltstore.File

	mu        sync.Mutex
	placement placement.Placement
	dead      map[string]time.Time       // nodes found dead, and when
	loaded    bool                       // a majority of the voters told its registry
	behind    bool                       // it was out of touch since
	complete  int64                      // the electorate before whose time this disk keeps every leaving that was acknowledged
	ready     map[int]stopped            // partitions whose primary stopped
	inStep    map[placement.Replica]bool // reports for the next placement
	handing   map[string]bool            // stores asked to stop partitions
	sentAt    map[string]time.Time
	sent      map[string]map[string]journal.Version
	published chain.Documents // as last told to the nodes
	decoded   []byte          // a placement as the chain holds it, and what it says
	decodedAs placement.Placement
	refusing  map[string]time.Time // cores whose machine said that none runs there, and when
	spreading []Item               // what the other cores are to hear next
	kept      map[string]int64     // leavings on this disk: 1 draining, 2 gone

	wake    chan struct{}
	probing map[string]time.Time // since when a node is asked whether it runs
	cores   []nodeAge            // the other cores, as last listed
	coresAt time.Time
	life    context.Context // of what the core does on its own
	end     context.CancelFunc
	tasks   sync.WaitGroup
	opened  atomic.Bool // the state on disk is read
}

// New makes the process; Run opens the state on disk.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Server, error) {
	c := &Server{
		set: set, log: logger, net: network, self: set.Internal(), contact: set.Contact(),
		dead: map[string]time.Time{}, ready: map[int]stopped{}, inStep: map[placement.Replica]bool{},
		handing: map[string]bool{}, sentAt: map[string]time.Time{}, sent: map[string]map[string]journal.Version{}, kept: map[string]int64{},
		wake: make(chan struct{}, 1), probing: map[string]time.Time{},
	}
	c.life, c.end = context.WithCancel(context.Background())
	life := rand.Text()
	c.node = membership.Node{Name: set.NodeName, Role: "core", Address: c.self, Zone: set.Zone, Region: set.Region, Incarnation: life}
	c.journal = journal.New(set.NodeName+"/"+life, 16*c.contact, distribution.PrefixNode)
	c.registry = &registry{entries: map[string]*entry{}, journal: c.journal, late: c.contact / 2}
	c.pool = rpc.NewClient(&httpwire.Pool{Network: network})
	c.acceptor, c.grantor = &paxos.Acceptor{}, &lease.Grantor{}
	c.chain = &chain.Chain{
		Self: chain.Member{Address: c.self}, MaxFailures: int(set.FaultTolerance.HostFailures), Client: c.pool, ContactTimeout: c.contact, Log: logger,
		Acceptor: c.acceptor, OnUpdate: c.prepare, OnCommit: c.committed, KnownCores: c.others, VoterReady: c.isReady,
	}
	c.state = &boltstore.File{Path: filepath.Join(set.DataPath, "core.db"), BatchDelay: batchDelay, Prepare: c.prepareState, Load: c.loadState, Warn: logger.Printf}
	c.chain.Open(c.state)
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
	for _, b := range [][]byte{bucketLeavings, bucketComplete} {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	return c.chain.InitState(tx, founders)
}

// loadState reads the state on disk.
func (c *Server) loadState(tx *bbolt.Tx) (func(), error) {
	install, err := c.chain.Load(tx)
	if err != nil {
		return nil, err
	}
	leavings, complete, err := loadLeavings(tx)
	return func() {
		install()
		kept := map[string]int64{}
		for _, it := range leavings {
			c.registry.put(it)
			kept[it.Key] = it.Version.Major / drains
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.kept, c.complete = kept, complete
	}, err
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
	same := bytes.Equal(c.published[docConfiguration], docs[docConfiguration]) && bytes.Equal(c.published[docPlacement], docs[docPlacement])
	c.published = docs
	c.mu.Unlock()
	if same { // a sign of life
		return
	}
	if raw := docs[docConfiguration]; raw != nil {
		if cur, ok := c.journal.Get(distribution.KeyConfiguration); !ok || !slices.Equal(journal.Decode[[]byte](cur), raw) {
			if conf, err := configuration.Parse(raw); err == nil {
				if c.journal.Append(journal.Event{Key: distribution.KeyConfiguration, Version: journal.Version{Major: conf.Revision}, Value: journal.Encode(raw)}) {
					c.log.Printf("core: revision %d is in force", conf.Revision)
				}
			}
		}
	}
	if raw := docs[docPlacement]; raw != nil {
		if p, err := c.placementOf(docs); err == nil {
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
	source := distribution.NewPublisher(distribution.PublisherConfig{Journal: c.journal, MaxWait: c.contact / 2, BatchDelay: c.contact / 32, UpToDate: c.inTouch,
		UpToDateWait: c.contact / 16, Warming: func() bool { return c.chain.InContactFor() < c.contact/8 }})
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
		"/exchange": rpc.Handler(c.handleExchange),
		"/beat":     rpc.Handler(c.handleNode),
		"/suspect":  rpc.Handler(c.handleSuspect),
		"/in-step":  rpc.Handler(c.handleInStep),
		"/propose":  rpc.Handler(c.handlePropose),
		"/read":     rpc.Handler(c.handleRead),
		"/ping":     rpc.Handler(rpc.Ping),
	}
	server := &httpwire.Server{Handle: mux.Handle, Log: c.log}
	for _, f := range []func(context.Context){
		func(ctx context.Context) { _ = server.Serve(ctx, inner) },
		c.learn, c.chain.Run, c.gossip, c.steward,
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

// isLoaded tells whether a majority of the voters told this core what they know.
func (c *Server) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// others are the cores heard of lately, but this one.
func (c *Server) others() []chain.Member {
	var out []chain.Member
	for _, n := range c.registry.nodes() {
		if n.Role == "core" && n.Address != c.self && n.Disk != "" && n.age < c.contact/2 {
			out = append(out, chain.Member{Address: n.Address, Disk: n.Disk})
		}
	}
	slices.SortFunc(out, func(a, b chain.Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// peers are the addresses of the other cores: the voters, those heard of
// lately, and as long as there are none the seeds.
func (c *Server) peers() []string {
	all := c.chain.Voters()
	for _, m := range c.others() {
		all = append(all, m.Address)
	}
	if len(all) == 0 || !c.isLoaded() {
		all = append(all, c.set.Cores()...)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(p string) bool { return p == c.self })
}

// gossip exchanges the registry with the other cores and drops what is silent.
func (c *Server) gossip(ctx context.Context) {
	tick := time.NewTicker(c.contact / 4)
	defer tick.Stop()
	keepalive := settings.Ms(float64(max(c.set.KeepaliveMs, 1)))
	told := time.Now()
	for n := int64(1); ; n++ {
		if time.Since(told) > 4*c.contact {
			told = time.Now()
			c.log.Printf("traffic: in %v: %s", 4*c.contact, c.pool.Traffic())
		}
		self := c.node
		self.Sequence = n
		c.registry.beat(self)
		for _, peer := range c.peers() {
			c.tasks.Go(func() { c.exchange(ctx, peer) })
		}
		// Who was out of touch itself cannot tell that others are silent.
		if c.chain.InContactFor() > max(c.contact, 3*keepalive) {
			silent, forgotten := c.registry.expire(3*keepalive, c.contact*3/4)
			for _, key := range silent {
				c.log.Printf("core: silent and taken off the list: %s", key)
			}
			c.forget(forgotten)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *Server) exchange(ctx context.Context, peer string) {
	c.mu.Lock()
	after := c.sentAt[peer]
	sent := c.sent[peer]
	if sent == nil {
		sent = map[string]journal.Version{}
		c.sent[peer] = sent
	}
	c.mu.Unlock()
	items, now := c.registry.since(after, func(key string) journal.Version {
		c.mu.Lock()
		defer c.mu.Unlock()
		if v, ok := sent[key]; ok {
			return v
		}
		return journal.Version{Major: -1}
	})
	ctx, cancel := context.WithTimeout(ctx, c.contact/8)
	defer cancel()
	var out Exchanged
	if err := c.pool.Call(ctx, peer, "/exchange", Exchange{From: c.self, Items: items}, nil, &out); err != nil {
		c.mu.Lock()
		delete(c.sent, peer) // it may have started anew
		delete(c.sentAt, peer)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	c.sentAt[peer] = now
	for _, it := range items {
		sent[it.Key] = it.Version
	}
	for _, key := range out.Want {
		delete(sent, key)
	}
	c.mu.Unlock()
}

// spread tells all other cores of an item and does not wait for them; what is
// lost goes with the next exchange. What comes within a moment goes together:
// when many nodes start at once, each core hears of all of them.
func (c *Server) spread(it Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spreading = append(c.spreading, it); len(c.spreading) == 1 {
		c.tasks.Go(func() {
			timeutil.Sleep(c.life, c.contact/400)
			c.spreadAll()
		})
	}
}

func (c *Server) spreadAll() {
	c.mu.Lock()
	items := c.spreading
	c.spreading = nil
	c.mu.Unlock()
	for _, peer := range c.peers() {
		c.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(c.life, c.contact/8)
			defer cancel()
			_ = c.pool.Call(ctx, peer, "/exchange", Exchange{From: c.self, Items: items}, nil, nil)
		})
	}
}

func (c *Server) handleNode(_ context.Context, n *membership.Node, _ []byte) (*struct{}, error) {
	if it, changed := c.registry.beat(*n); changed {
		c.nudge()
		c.spread(it)
	}
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

// Package core owns the role of a core machine: the chain of control state,
// the registry of handlers and nodes, the steward that places partitions, and
// what the other processes are told.
package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/ballot"
	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/relay"
	"saltreel/internal/settings"
	"saltreel/internal/wire"
)

// Keys of the documents in the chain.
const (
	docConfiguration = "configuration"
	docPlacement     = "placement"
)

// Core is one core machine's process.
type Core struct {
	set     *settings.Settings
	log     *log.Logger
	net     wire.Network
	self    string // internal address
	contact time.Duration
	node    relay.Node

	pool     *wire.Pool
	chain    *chain.Chain
	voter    *ballot.Voter
	duty     *ballot.Duty
	registry *registry
	journal  *journal.Journal
	db       *bbolt.DB

	mu        sync.Mutex
	placement Placement
	heardFrom map[string]time.Time // other cores
	dead      map[string]time.Time // nodes found dead, and when
	loaded    bool                 // the registry was fetched from a peer
	ready     map[int]int64        // partitions whose primary stopped, by epoch
	handing   map[string]bool      // stores asked to stop partitions
	sentAt    map[string]time.Time
	sent      map[string]map[string]journal.Version

	wake    chan struct{}
	probing map[string]bool
	life    context.Context // of what the core does on its own
	end     context.CancelFunc
	tasks   sync.WaitGroup
}

// New opens the state on disk and makes the process.
func New(set *settings.Settings, network wire.Network, logger *log.Logger) (*Core, error) {
	c := &Core{
		set: set, log: logger, net: network, self: set.Internal(), contact: set.Contact(),
		heardFrom: map[string]time.Time{}, dead: map[string]time.Time{}, ready: map[int]int64{},
		handing: map[string]bool{}, sentAt: map[string]time.Time{}, sent: map[string]map[string]journal.Version{},
		wake: make(chan struct{}, 1), probing: map[string]bool{},
	}
	c.life, c.end = context.WithCancel(context.Background())
	life := time.Now().UnixNano()
	c.node = relay.Node{Name: set.NodeName, Role: "core", Address: c.self, Zone: set.Zone, Region: set.Region, Life: life}
	c.journal = journal.New(set.NodeName+"/"+strconv.FormatInt(life, 36), 16*c.contact)
	c.registry = &registry{entries: map[string]*entry{}, journal: c.journal}
	c.pool = &wire.Pool{Network: network, Repeat: true}
	db, err := OpenDisk(filepath.Join(set.DataPath, "core.db"))
	if err != nil {
		return nil, err
	}
	c.db = db
	c.voter = &ballot.Voter{Silent: time.Now().Add(c.contact / 4)}
	c.chain = &chain.Chain{Self: c.self, Pool: c.pool, Contact: c.contact, Log: logger, Voter: c.voter, Committed: c.committed}
	var founders []string
	if set.Bootstrap {
		founders = set.Cores()
	}
	if err := c.read(founders); err != nil {
		db.Close()
		return nil, fmt.Errorf("read %s: %w", db.Path(), err)
	}
	c.duty = &ballot.Duty{Name: "steward", Self: c.self, Lease: c.contact / 4, Call: c.callDuty}
	return c, nil
}

// OpenDisk opens a database file so that its name outlives a loss of power. A
// file that is damaged is moved aside and named in the error.
func OpenDisk(path string) (*bbolt.DB, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	db.AllocSize = 1 << 20
	if dir, err := os.Open(filepath.Dir(path)); err == nil {
		_ = dir.Sync()
		dir.Close()
	}
	return db, nil
}

// read reads the state on disk. The database panics on some kinds of damage.
func (c *Core) read(founders []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the file is damaged: %v", r)
		}
	}()
	return c.chain.Open(c.db, founders)
}

func (c *Core) callDuty(ctx context.Context, voter string, d ballot.DutyCall) (r ballot.DutyReply, err error) {
	if voter == c.self {
		return c.voter.HandleDuty(d), nil
	}
	err = c.pool.Post(ctx, voter, "/duty", d, nil, &r)
	return r, err
}

// committed publishes what the tail is known to hold.
func (c *Core) committed(docs chain.Documents) {
	if raw := docs[docConfiguration]; raw != nil {
		if cur, ok := c.journal.Get(relay.KeyConfiguration); !ok || !slices.Equal(journal.Decode[[]byte](cur), raw) {
			if conf, err := configuration.Parse(raw); err == nil {
				if c.journal.Append(journal.Event{Key: relay.KeyConfiguration, Version: journal.Version{Major: conf.Revision}, Value: journal.Encode(raw)}) {
					c.log.Printf("core: revision %d is in force", conf.Revision)
				}
			}
		}
	}
	if raw := docs[docPlacement]; raw != nil {
		var p Placement
		if json.Unmarshal(raw, &p) == nil {
			c.mu.Lock()
			newer := p.Version > c.placement.Version
			if newer {
				c.placement = p
			}
			c.mu.Unlock()
			if newer {
				c.journal.Append(journal.Event{Key: relay.KeyPlacement, Version: journal.Version{Major: p.Version}, Value: raw})
				c.nudge()
			}
		}
	}
}

func (c *Core) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Placement is the newest placement that the chain holds.
func (c *Core) Placement() Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placement
}

// Run serves until ctx ends.
func (c *Core) Run(ctx context.Context) error {
	defer c.db.Close()
	inner, err := c.net.Listen(c.self)
	if err != nil {
		return fmt.Errorf("listen for our own processes: %w", err)
	}
	source := &relay.Source{Journal: c.journal, Wait: c.contact / 2, Fresh: c.chain.Steady}
	mux := wire.Mux{
		"/news":           wire.Method(source.Handle),
		"/chain/pass":     wire.Method(c.chain.HandlePass),
		"/chain/standing": wire.Method(c.chain.HandleStanding),
		"/chain/adopt":    wire.Method(c.chain.HandleAdopt),
		"/ballot": wire.Method(func(_ context.Context, in *ballot.Call, _ []byte) (*ballot.Reply, error) {
			r, err := c.voter.Handle(*in)
			return &r, err
		}),
		"/duty": wire.Method(func(_ context.Context, in *ballot.DutyCall, _ []byte) (*ballot.DutyReply, error) {
			r := c.voter.HandleDuty(*in)
			return &r, nil
		}),
		"/voters":   wire.Method(c.handleVoters),
		"/exchange": wire.Method(c.handleExchange),
		"/beat":     wire.Method(c.handleNode),
		"/suspect":  wire.Method(c.handleSuspect),
		"/in-step":  wire.Method(c.handleInStep),
		"/propose":  wire.Method(c.handlePropose),
		"/read":     wire.Method(c.handleRead),
		"/ping":     wire.Method(Ping),
	}
	server := &wire.Server{Handle: mux.Handle, Log: c.log}
	for _, f := range []func(context.Context){
		func(ctx context.Context) { _ = server.Serve(ctx, inner) },
		c.start, c.chain.Tend, c.gossip, c.steward,
	} {
		c.tasks.Go(func() { f(c.life) })
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), c.contact/8)
	defer cancel()
	server.Drain(stop)
	c.end()
	c.tasks.Wait()
	return nil
}

// Ping answers that the process runs.
func Ping(context.Context, *struct{}, []byte) (*struct{}, error) { return &struct{}{}, nil }

// Known is what a core with an empty disk asks of its peers.
type Known struct {
	Voters []string   `json:"voters"`
	View   chain.View `json:"view"`
}

func (c *Core) handleVoters(context.Context, *struct{}, []byte) (*Known, error) {
	return &Known{c.chain.Voters(), c.chain.View()}, nil
}

// start fetches the registry from a peer, and the voters if the disk is empty.
func (c *Core) start(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		peers := c.peers()
		for _, peer := range peers {
			pctx, cancel := context.WithTimeout(ctx, c.contact/8)
			if len(c.chain.Voters()) == 0 {
				var k Known
				if c.pool.Post(pctx, peer, "/voters", struct{}{}, nil, &k) == nil && len(k.Voters) > 0 {
					if err := c.chain.Join(k.Voters, k.View); err != nil {
						c.log.Printf("core: join %s: %v", peer, err)
					}
				}
			}
			var out Exchanged
			err := c.pool.Post(pctx, peer, "/exchange", Exchange{From: c.self, All: true}, nil, &out)
			cancel()
			if err == nil {
				for _, it := range out.Items {
					c.registry.put(it)
				}
				c.mu.Lock()
				c.loaded = true
				c.mu.Unlock()
			}
		}
		c.mu.Lock()
		if time.Since(began) > c.contact || len(peers) == 0 {
			c.loaded = true
		}
		done := c.loaded && len(c.chain.Voters()) > 0
		c.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, c.contact/40)
	}
}

// peers are the other cores.
func (c *Core) peers() []string {
	all := c.chain.Voters()
	if len(all) == 0 {
		all = c.set.Cores()
	}
	var out []string
	for _, p := range all {
		if p != c.self {
			out = append(out, p)
		}
	}
	return out
}

// gossip exchanges the registry with the other cores and drops what is silent.
func (c *Core) gossip(ctx context.Context) {
	tick := time.NewTicker(c.contact / 8)
	defer tick.Stop()
	keepalive := settings.Ms(float64(max(c.set.KeepaliveMs, 1)))
	began := time.Now()
	for n := int64(1); ; n++ {
		c.registry.put(Item{Key: relay.PrefixNode + c.node.Name, Version: journal.Version{Major: c.node.Life, Minor: n}, Value: journal.Encode(c.node)})
		for _, peer := range c.peers() {
			c.tasks.Go(func() { c.exchange(ctx, peer) })
		}
		if time.Since(began) > c.contact {
			for _, key := range c.registry.expire(3*keepalive, c.contact*3/4) {
				c.log.Printf("core: silent and taken off the list: %s", key)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *Core) exchange(ctx context.Context, peer string) {
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
	if err := c.pool.Post(ctx, peer, "/exchange", Exchange{From: c.self, Items: items}, nil, &out); err != nil {
		c.mu.Lock()
		delete(c.sent, peer) // it may have started anew
		delete(c.sentAt, peer)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	c.sentAt[peer] = now
	c.heardFrom[peer] = time.Now()
	for _, it := range items {
		sent[it.Key] = it.Version
	}
	for _, key := range out.Want {
		delete(sent, key)
	}
	c.mu.Unlock()
}

// spread sends an exchange to all other cores at once. It succeeds when a
// majority of the cores holds it and every core that is not silent does.
func (c *Core) spread(ctx context.Context, ex Exchange) error {
	peers := c.peers()
	ctx, cancel := context.WithTimeout(ctx, c.contact/8)
	defer cancel()
	errs := make(chan error, len(peers))
	for _, peer := range peers {
		c.tasks.Go(func() {
			err := c.pool.Post(ctx, peer, "/exchange", ex, nil, nil)
			if err != nil {
				c.mu.Lock()
				silent := time.Since(c.heardFrom[peer]) > c.contact/4
				c.mu.Unlock()
				if !silent && !wire.Refused(err) {
					err = errors.Join(errLively, err)
				}
			}
			errs <- err
		})
	}
	held := 1
	var bad error
	for range peers {
		switch err := <-errs; {
		case err == nil:
			held++
		case errors.Is(err, errLively):
			bad = err
		}
	}
	if held*2 <= len(peers)+1 {
		return &wire.Status{Code: 503, Text: "no majority of the cores holds the news"}
	}
	if bad != nil {
		return &wire.Status{Code: 503, Text: bad.Error()}
	}
	return nil
}

var errLively = errors.New("a core that is not silent did not take the news")

func (c *Core) handleNode(_ context.Context, n *relay.Node, _ []byte) (*struct{}, error) {
	it := Item{Key: relay.PrefixNode + n.Name, Version: journal.Version{Major: n.Life, Minor: n.Sequence}, Value: journal.Encode(n)}
	if c.registry.put(it) {
		c.nudge()
		// A change is told at once; what is lost goes with the next exchange.
		c.tasks.Go(func() { _ = c.spread(c.life, Exchange{From: c.self, Items: []Item{it}}) })
	}
	return &struct{}{}, nil
}

// ServeControl answers handlers and the operator; operate gets what is the
// operator's.
func (c *Core) ServeControl(operate wire.Handler) wire.Handler {
	return func(ctx context.Context, r *wire.Request) *wire.Response {
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/instances/"); ok {
			return c.handleBeat(ctx, r, id)
		}
		return operate(ctx, r)
	}
}

func (c *Core) handleBeat(ctx context.Context, r *wire.Request, id string) *wire.Response {
	c.mu.Lock()
	loaded := c.loaded
	c.mu.Unlock()
	if !loaded || !c.chain.Steady() {
		return wire.Problem(503, "this core is not in touch with the others")
	}
	var err error
	switch r.Method {
	case http.MethodPut:
		in, bad := handler.ParseBeat(id, r.Body)
		if bad != nil {
			return wire.Problem(400, bad.Error())
		}
		err = c.beat(ctx, in)
	case http.MethodDelete:
		err = c.leave(ctx, id)
	default:
		return wire.Problem(405, "instances take PUT and DELETE")
	}
	if err != nil {
		c.log.Printf("core: beat of %s: %v", id, err)
		return answerError(err)
	}
	return wire.JSON(200, struct{}{})
}

func answerError(err error) *wire.Response {
	if code := wire.StatusOf(err); code != 0 {
		return wire.Problem(code, err.Error())
	}
	return wire.Problem(503, err.Error())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

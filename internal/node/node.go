// Package node owns what every process of the data plane does as a member of
// the system: it follows the news, relays them, and beats to its watchers.
package node

import (
	"context"
	"crypto/rand"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/placement"
	"saltreel/internal/ring"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// Node is this process among the others.
type Node struct {
	Settings *settings.Settings
	Log      *log.Logger
	Network  httpwire.Network
	Client   *rpc.Client // to our own processes
	news     *rpc.Client // to the parent, for news
	Journal  *journal.Journal
	Self     membership.Node
	Healthy  func() bool // whether to beat: a store whose disk fails is missed like a dead one

	follower *distribution.Subscriber
	table    atomic.Pointer[configuration.Table]
	place    atomic.Pointer[placement.Placement]

	mu       sync.Mutex
	steward  string // the core that took the last report
	sequence int64
	leaving  bool
	told     map[string]time.Time // suspicions reported
	toldAny  time.Time            // the last of them
	moved    chan struct{}        // closed at the next placement
	beatNow  chan struct{}
	life     context.Context // of the reports that the node sends on its own
	end      context.CancelFunc
	reports  sync.WaitGroup
}

// watchers is how many watchers a node beats to.
const watchers = 2

// New makes a node that has heard nothing yet.
func New(set *settings.Settings, role string, network httpwire.Network, logger *log.Logger) *Node {
	life := rand.Text()
	n := &Node{
		Settings: set, Log: logger, Network: network,
		Client:  rpc.NewClient(&httpwire.Pool{Network: network}),
		Journal: journal.New(set.NodeName+"/"+life, 16*set.Contact(), distribution.PrefixNode),
		Self:    membership.Node{Name: set.NodeName, Role: role, Address: set.Internal(), Zone: set.Zone, Region: set.Region, Incarnation: life},
		told:    map[string]time.Time{}, moved: make(chan struct{}), beatNow: make(chan struct{}, 1),
	}
	n.life, n.end = context.WithCancel(context.Background())
	// A parent whose machine says nothing must not keep this node from the next one.
	n.news = rpc.NewClient(&httpwire.Pool{Network: network, Opening: set.Contact() / 16})
	n.follower = distribution.NewSubscriber(distribution.SubscriberConfig{Self: n.Self, Journal: n.Journal, Client: n.news, Seeds: set.Cores(), ContactTimeout: set.Contact(), Log: logger})
	n.Journal.Fold(n.hear)
	return n
}

func (n *Node) hear(e journal.Event) {
	switch e.Key {
	case distribution.KeyConfiguration:
		c, err := configuration.Parse(journal.Decode[[]byte](e))
		if err != nil {
			n.Log.Printf("news: revision %d: %v", e.Version.Major, err)
			return
		}
		n.table.Store(configuration.NewTable(c))
		n.Log.Printf("news: revision %d", c.Revision)
	case distribution.KeyPlacement:
		p := journal.Decode[placement.Placement](e)
		n.place.Store(&p)
		n.mu.Lock()
		close(n.moved)
		n.moved = make(chan struct{})
		n.mu.Unlock()
	}
}

// Table is the newest configuration heard; nil before the first.
func (n *Node) Table() *configuration.Table { return n.table.Load() }

// Placement is the newest placement heard; nil before the first.
func (n *Node) Placement() *placement.Placement { return n.place.Load() }

// Await waits until a configuration and a placement are known; it tells whether
// they are.
func (n *Node) WaitForPlacement(ctx context.Context, most time.Duration) bool {
	known := func() bool { return n.Table() != nil && n.Placement() != nil }
	if known() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(n.Settings.Contact() / 400)
	defer tick.Stop()
	for !known() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Moved is closed when the next placement is heard.
func (n *Node) PlacementChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.moved
}

// Source answers the nodes that follow this one.
func (n *Node) Publisher() *distribution.Publisher {
	return distribution.NewPublisher(distribution.PublisherConfig{Journal: n.Journal, MaxWait: n.Settings.Contact() / 2, BatchDelay: n.Settings.Contact() / 32, UpToDate: n.follower.UpToDate})
}

// Run follows and beats until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { n.follower.Run(ctx) })
	tasks.Go(func() { n.beat(ctx) })
	tasks.Wait()
	n.mu.Lock()
	n.end() // no report starts after this
	n.mu.Unlock()
	n.reports.Wait()
}

// Reload takes over what may change while the process runs.
func (n *Node) Reload(s *settings.Settings) { n.follower.SetSeeds(s.Cores()) }

// Cores are the addresses of the cores known, or the seeds.
func (n *Node) Cores() []string {
	if out := n.follower.KnownCores(); len(out) > 0 {
		return out
	}
	return n.Settings.Cores()
}

// Leave tells the watchers from the next beat on that this node is to end.
func (n *Node) Drain() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.beatSoon()
}

// beatSoon lets the next beat go at once.
func (n *Node) beatSoon() {
	select {
	case n.beatNow <- struct{}{}:
	default:
	}
}

// beat sends heartbeats to the watchers on the ring of cores.
func (n *Node) beat(ctx context.Context) {
	every := n.Settings.Contact() / 4
	if n.Self.Role == "store" {
		every /= 4 // stores are missed sooner
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	told := time.Now()
	var heard atomic.Bool // by a watcher
	for {
		if time.Since(told) > 4*n.Settings.Contact() {
			told = time.Now()
			n.Log.Printf("traffic: in %v: %s; news: %s", 4*n.Settings.Contact(), n.Client.Traffic(), n.news.Traffic())
		}
		n.mu.Lock()
		n.sequence++
		self := n.Self
		self.Sequence, self.Draining = n.sequence, n.leaving
		n.mu.Unlock()
		watched := ring.Watchers(n.Self.Name, n.Cores(), watchers)
		if n.Healthy != nil && !n.Healthy() {
			watched = nil
		}
		for _, w := range watched {
			n.report(func() {
				bctx, cancel := context.WithTimeout(ctx, every*2)
				defer cancel()
				err := n.Client.Call(bctx, w, "/beat", self, nil, nil)
				if err == nil {
					heard.Store(true)
				} else if n.Self.Role == "store" && !heard.Load() && httpwire.ConnectionRefused(err) {
					timeutil.Sleep(ctx, n.Settings.Contact()/80) // it starts just now, as this node does
					n.beatSoon()
				}
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-n.beatNow:
		case <-tick.C:
		}
	}
}

// Suspect tells the steward that a node cannot be reached; as long as it is not
// known who that is, all cores. When much is slow at once, hundreds of nodes
// suspect dozens of others: each tells of one of them now and then, and of
// those whose machine says that nothing runs there at once.
func (n *Node) ReportFailure(name string, refused bool) {
	every := n.Settings.Contact() / 20
	n.mu.Lock()
	recent := time.Since(n.told[name]) < every || !refused && time.Since(n.toldAny) < every
	if !recent {
		n.told[name], n.toldAny = time.Now(), time.Now()
	}
	steward := n.steward
	n.mu.Unlock()
	if recent {
		return
	}
	n.follower.SuspectParent()
	tell := func(c string) bool {
		ctx, cancel := context.WithTimeout(n.life, n.Settings.Contact()/8)
		defer cancel()
		var out placement.FailureReportResponse
		err := n.Client.Call(ctx, c, "/suspect", placement.FailureReport{Node: name, Refused: refused}, nil, &out)
		return err == nil && out.Controller
	}
	all := func() {
		for _, c := range n.Cores() {
			n.report(func() {
				if tell(c) {
					n.mu.Lock()
					n.steward = c
					n.mu.Unlock()
				}
			})
		}
	}
	if steward == "" {
		all()
		return
	}
	n.report(func() {
		if !tell(steward) {
			n.mu.Lock()
			n.steward = ""
			n.mu.Unlock()
			all()
		}
	})
}

// report starts a task of the node's own, unless the node has ended.
func (n *Node) report(task func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life.Err() == nil {
		n.reports.Go(task)
	}
}

// Report tells the steward which copies are in step.
func (n *Node) ReportInSync(ctx context.Context, in placement.InSyncReport) error {
	n.mu.Lock()
	first := n.steward
	n.mu.Unlock()
	var last error
	for _, c := range append([]string{first}, n.Cores()...) {
		if c == "" {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, n.Settings.Contact()/16)
		last = n.Client.Call(cctx, c, "/in-step", in, nil, nil)
		cancel()
		if last == nil {
			n.mu.Lock()
			n.steward = c
			n.mu.Unlock()
			return nil
		}
	}
	return last
}

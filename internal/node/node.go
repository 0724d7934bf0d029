// Package node implements what all processes of the data plane have in common: a node
// watches the configuration and the placement and distributes them to other nodes,
// sends heartbeats to the cores, and reports failures to them.
package node

import (
	"context"
	"crypto/rand"
	"log"
	"sync"

	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// Config configures a node. All fields but Healthy are required.
type Config struct {
	Settings *settings.Settings
	Role     string // as heartbeats name it: "edge" or "store"
	Network  httpwire.Network
	Log      *log.Logger
	// Healthy reports whether to send heartbeats; nil: always. A store whose disk
	// fails sends none, so that it is replaced like one that is down.
	Healthy func() bool
}

// check panics if a required field is not set, which is a programming error: settings
// are validated when they are loaded.
func (c *Config) check() {
	switch {
	case c.Settings == nil:
		panic("node: Config.Settings is not set")
	case c.Role == "":
		panic("node: Config.Role is not set")
	case c.Network.Dial == nil:
		panic("node: Config.Network.Dial is not set")
	case c.Log == nil:
		panic("node: Config.Log is not set")
	}
}

// Node is this process as a member of the system. Its methods are safe for concurrent
// use.
type Node struct {
	configurationView

	Settings *settings.Settings
	Client   *rpc.Client      // for calls to other Saltreel processes
	Journal  *journal.Journal // of the configuration, the placement, nodes and handlers

	log         *log.Logger
	timing      timing
	self        membership.Node // without the fields that change between heartbeats
	healthy     func() bool
	watchClient *rpc.Client // to the parent in the distribution tree
	subscriber  *distribution.Subscriber

	heartbeats    heartbeatState
	controller    controllerAddress
	reportLimiter reportLimiter
	background    backgroundTasks
}

// New returns a node that does not know a configuration or a placement yet. It panics
// if a required field of config is not set.
func New(config Config) *Node {
	config.check()
	set := config.Settings
	timing := timing{contactTimeout: set.ContactTimeout()}
	incarnation := rand.Text()
	n := &Node{
		configurationView: newConfigurationView(config.Log, timing.placementPollInterval()),
		Settings:          set,
		Client:            rpc.NewClient(&httpwire.Pool{Network: config.Network}),
		Journal:           journal.New(set.NodeName+"/"+incarnation, timing.journalRetention(), distribution.PrefixNode),
		log:               config.Log,
		timing:            timing,
		healthy:           config.Healthy,
		watchClient:       rpc.NewClient(&httpwire.Pool{Network: config.Network, DialTimeout: timing.watchDialTimeout()}),
		heartbeats:        newHeartbeatState(),
		reportLimiter:     newReportLimiter(timing.reportInterval()),
		background:        newBackgroundTasks(),
	}
	n.self = membership.Node{
		Name: set.NodeName, Role: config.Role, Address: set.InternalAddress(),
		Zone: set.Zone, Region: set.Region, Incarnation: incarnation,
	}
	n.subscriber = n.newSubscriber()
	n.Journal.Subscribe(n.applyEvent)
	return n
}

// newSubscriber returns the subscriber that keeps the node's journal up to date.
func (n *Node) newSubscriber() *distribution.Subscriber {
	return distribution.NewSubscriber(distribution.SubscriberConfig{
		Self: n.self, Journal: n.Journal, Client: n.watchClient,
		Seeds: n.Settings.CoreAddresses(), ContactTimeout: n.timing.contactTimeout, Log: n.log,
	})
}

// Publisher returns a publisher that serves the watch requests of this node's children
// in the distribution tree.
func (n *Node) Publisher() *distribution.Publisher {
	return distribution.NewPublisher(distribution.PublisherConfig{
		Journal: n.Journal, MaxWait: n.timing.watchMaxWait(), BatchDelay: n.timing.watchBatchDelay(), UpToDate: n.subscriber.UpToDate,
	})
}

// SetDisk sets the disk ID that heartbeats contain. It must be called before Run.
func (n *Node) SetDisk(id string) { n.self.Disk = id }

// Run subscribes and sends heartbeats until ctx ends, then cancels the reports in
// flight and waits until they have ended.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { n.subscriber.Run(ctx) })
	tasks.Go(func() { n.runHeartbeats(ctx) })
	tasks.Wait()
	n.background.stop()
}

// Reload applies the settings that can change at run time: the addresses of the
// seeds.
func (n *Node) Reload(s *settings.Settings) { n.subscriber.SetSeeds(s.CoreAddresses()) }

// Cores returns the internal addresses of the known cores, or those of the seeds
// before any core is known.
func (n *Node) Cores() []string {
	if known := n.subscriber.KnownCores(); len(known) > 0 {
		return known
	}
	return n.Settings.CoreAddresses()
}

// Drain marks this node as draining in all further heartbeats and sends the next one
// at once.
func (n *Node) Drain() {
	n.heartbeats.setDraining()
	n.heartbeats.requestImmediate()
}

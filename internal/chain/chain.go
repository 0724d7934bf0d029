// Package chain replicates the control state over the cores by chain
// replication (van Renesse and Schneider, "Chain Replication for Supporting High
// Throughput and Availability", OSDI 2004): updates enter at the head, are
// committed once the tail holds them, and reads are answered by the tail. The
// order of the members is a numbered view, as in Viewstamped Replication (Oki and
// Liskov, PODC 1988). The paper has a master that reconfigures the chain; here the
// voters of each view choose the next one by single-decree Paxos.
//
// The protocol rules are implemented without locks and I/O: replica decides how an
// update is handled, contact decides whether a member is in contact with all others,
// and nextView decides which view follows. Chain drives them.
package chain

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"saltreel/internal/boltstore"
	"saltreel/internal/paxos"
	"saltreel/internal/rpc"
)

// Config configures a Chain. All fields except HostFailures are required.
type Config struct {
	Address        string        // internal address of this core
	HostFailures   int           // number of simultaneous host failures to tolerate
	ContactTimeout time.Duration // within which a failed core is detected and replaced
	Client         *rpc.Client
	Log            *log.Logger
	// File is the state file. Its owner sets Prepare to call InitState and Load to
	// call Load, and opens the file before Run.
	File *boltstore.File

	// OnUpdate is called with the documents that an update sets, concurrently with
	// forwarding it and before it is known to be committed.
	OnUpdate func(set Documents)
	// OnCommit is called with each state that the tail is known to hold, even if it
	// has not changed.
	OnCommit func(state Documents)
	// KnownCores returns the other cores with recent heartbeats, whether or not they
	// are in the view.
	KnownCores func() []Member
	// VoterReady reports whether this core holds everything that a voter must hold.
	VoterReady func() bool
}

func (c *Config) validate() error {
	switch {
	case c.Address == "":
		return errors.New("chain: the address is not set")
	case c.ContactTimeout <= 0:
		return errors.New("chain: the contact timeout must be positive")
	case c.HostFailures < 0:
		return errors.New("chain: the number of host failures must not be negative")
	case c.Client == nil || c.Log == nil || c.File == nil:
		return errors.New("chain: the client, the log or the file is not set")
	case c.OnUpdate == nil || c.OnCommit == nil || c.KnownCores == nil || c.VoterReady == nil:
		return errors.New("chain: a required callback is not set")
	}
	return nil
}

// Chain is one member of the chain. It drives the rules of replica and nextView: it
// holds the locks, calls the peers and writes to disk. Once the file is open, its
// methods are safe for concurrent use, except that Run must be called only once.
type Chain struct {
	// Self is this core. Its Disk is set when the file is opened and does not change
	// afterwards. Run and requests of peers start after that, so it needs no lock.
	Self Member

	config   Config
	timing   timing
	storage  storage
	acceptor paxos.Acceptor

	// updateLock serializes updates and view changes. Its holder may read the
	// documents of the replica without mu.
	updateLock chan struct{}

	mu            sync.Mutex
	replica       replica
	cancelForward func()        // cancels the call to the successor in flight
	viewChanged   chan struct{} // closed when the next view is entered
}

// New returns a chain. Its state is loaded when config.File is opened.
func New(config Config) (*Chain, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Chain{
		Self:        Member{Address: config.Address},
		config:      config,
		timing:      timing{config.ContactTimeout},
		storage:     storage{config.File},
		updateLock:  make(chan struct{}, 1),
		viewChanged: make(chan struct{}),
	}
	c.replica = replica{
		self:        c.Self,
		incarnation: rand.Int64(),
		docs:        Documents{},
		contact:     contact{maxGap: c.timing.contactGap()},
	}
	c.acceptor.Storage = acceptorStorage{config.File}
	return c, nil
}

// acquireUpdateLock acquires updateLock for an update or a change of view.
func (c *Chain) acquireUpdateLock(ctx context.Context) error {
	select {
	case c.updateLock <- struct{}{}:
		if err := c.storage.err(); err != nil {
			c.releaseUpdateLock()
			return err
		}
		return nil
	case <-ctx.Done():
		return errBusy(ctx)
	}
}

func (c *Chain) releaseUpdateLock() { <-c.updateLock }

// View returns the newest view known to this core.
func (c *Chain) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.view
}

// viewAndChange returns the number of the current view and a channel that is closed
// when the next view is entered.
func (c *Chain) viewAndChange() (int64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.view.Number, c.viewChanged
}

// Voters returns the addresses of the voters on views and leases.
func (c *Chain) Voters() []string { return addresses(c.View().Voters) }

// Head returns the address of the head, where updates enter, or "" if no view is
// known.
func (c *Chain) Head() string {
	if members := c.View().Members; len(members) > 0 {
		return members[0].Address
	}
	return ""
}

// Tail returns the address of the tail, which answers reads, or "" if no view is
// known.
func (c *Chain) Tail() string {
	if members := c.View().Members; len(members) > 0 {
		return members[len(members)-1].Address
	}
	return ""
}

// InContact reports whether this core is a member and has had contact with all
// members so recently that no newer view can have superseded its state.
func (c *Chain) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.inContact(time.Now())
}

// InContactFor returns how long this core has been in contact without interruption,
// or 0 if it is not in contact.
func (c *Chain) InContactFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replica.inContact(time.Now()) {
		return 0
	}
	return time.Since(c.replica.contact.continuousSince)
}

// enterViewLocked enters v if it is newer than the current view, and wakes the
// waiters for a view change. The caller holds mu.
func (c *Chain) enterViewLocked(v View) {
	if !c.replica.enterView(v) {
		return
	}
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
	c.config.Log.Printf("chain: view %v is in force", v)
}

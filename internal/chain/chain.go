// Package chain replicates the control state over the core machines by chain
// replication (van Renesse and Schneider, "Chain Replication for Supporting High
// Throughput and Availability", OSDI 2004): updates enter at the head, are
// committed once the tail holds them, and reads are answered by the tail. The
// order of the members is a numbered view, as in Viewstamped Replication (Oki and
// Liskov, PODC 1988). Where the paper has a master that repairs the chain, here
// the voters of each view choose the next one by single-decree Paxos.
//
// The rules of the protocol are functions without lock and io: replica decides
// what becomes of an update, contact when a member is in contact with all others,
// and nextView which view is to follow. Chain drives them.
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

// Config is what a Chain needs. All fields are required but MaxFailures.
type Config struct {
	Address        string        // internal address of this core
	MaxFailures    int           // how many machines may be lost at once
	ContactTimeout time.Duration // after which a machine that does not answer counts as lost
	Client         *rpc.Client
	Log            *log.Logger
	// File is the state on disk. Its owner has its Prepare call InitState and its
	// Load call Load, and opens it before Run.
	File *boltstore.File

	// OnUpdate is called, beside the forwarding, with what an update sets before
	// it is known to be committed.
	OnUpdate func(set Documents)
	// OnCommit is called with each state that the tail is known to hold, also
	// when it is the same as before.
	OnCommit func(state Documents)
	// KnownCores are the other cores heard of lately, whether in the view or not.
	KnownCores func() []Member
	// VoterReady tells whether this core knows what a voter must know.
	VoterReady func() bool
}

// validate checks that the fields are there.
func (c *Config) validate() error {
	switch {
	case c.Address == "":
		return errors.New("chain: no address")
	case c.ContactTimeout <= 0:
		return errors.New("chain: the contact timeout must be positive")
	case c.MaxFailures < 0:
		return errors.New("chain: the number of failures must not be negative")
	case c.Client == nil || c.Log == nil || c.File == nil:
		return errors.New("chain: client, log and file are needed")
	case c.OnUpdate == nil || c.OnCommit == nil || c.KnownCores == nil || c.VoterReady == nil:
		return errors.New("chain: all callbacks are needed")
	}
	return nil
}

// Chain is this core's part in the chain. It drives the rules of replica and
// nextView: it holds the locks, calls the peers and writes the disk.
type Chain struct {
	// Self is this core. It is complete once the file is open, and does not change
	// then: Run and the calls of others begin after that, so it needs no lock.
	Self Member

	config   Config
	timing   timing
	storage  storage
	acceptor paxos.Acceptor

	// updateLock is held by the one update or change of view that is under way.
	// Whoever holds it may read the replica's documents without mu.
	updateLock chan struct{}

	mu            sync.Mutex
	replica       replica
	cancelForward func()        // ends the call to the successor that is under way
	viewChanged   chan struct{} // closed when the next view is entered
}

// New makes a chain; its state is there once config.File is open.
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

// View is the newest view known here.
func (c *Chain) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.view
}

// viewAndChange is the number of the view, and what is closed when the next one
// is entered.
func (c *Chain) viewAndChange() (int64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.view.Number, c.viewChanged
}

// Voters are the addresses of the voters on views and leases.
func (c *Chain) Voters() []string { return addresses(c.View().Voters) }

// Head is the address at which updates enter; "" if no view is known.
func (c *Chain) Head() string {
	if members := c.View().Members; len(members) > 0 {
		return members[0].Address
	}
	return ""
}

// Tail is the address of the member that answers reads; "" if no view is known.
func (c *Chain) Tail() string {
	if members := c.View().Members; len(members) > 0 {
		return members[len(members)-1].Address
	}
	return ""
}

// InContact tells whether this core is a member and was lately in contact with
// all members, so that no newer view has replaced what it says.
func (c *Chain) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.inContact(time.Now())
}

// InContactFor is how long this core has been in contact without a gap; 0 if it
// is not.
func (c *Chain) InContactFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replica.inContact(time.Now()) {
		return 0
	}
	return time.Since(c.replica.contact.continuousSince)
}

// enterViewLocked takes over a view, if it is newer, and wakes those that wait
// for one.
func (c *Chain) enterViewLocked(v View) {
	if !c.replica.enterView(v) {
		return
	}
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
	c.config.Log.Printf("chain: view %v is in force", v)
}

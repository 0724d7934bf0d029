// Package registry knows the handler instances and the nodes of the system: a
// table in memory, filled by heartbeats and by anti-entropy between the cores
// (Demers et al., "Epidemic algorithms for replicated database maintenance",
// PODC 1987). Heartbeats may be lost; that an instance drains or was deregistered
// may not. So a tombstone is on the disks of a quorum of the voters before it is
// acknowledged, and a core that starts answers nothing about instances before
// it has loaded the tombstones from a quorum.
package registry

import (
	"context"
	"errors"
	"log"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/chain"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// Chain is what the registry needs of the chain of control state.
type Chain interface {
	View() chain.View
	Voters() []string
	InContact() bool
	InContactFor() time.Duration
	InstallView(ctx context.Context, view chain.View) error
}

// Caller calls the other cores; *rpc.Client is one.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Config is what a Registry is made of. All fields but Seeds, OnNodeChanged and
// HostFailures are required.
type Config struct {
	Address           string              // internal, of this core
	Seeds             func() []string     // internal addresses of cores, as long as no others are known
	Self              func() chain.Member // this core as a member of the chain, once its disk is open
	Chain             Chain
	Client            Caller
	Storage           Storage
	Journal           *journal.Journal // gets each change of an instance or node
	HostFailures      int              // how many machines may be lost at once
	ContactTimeout    time.Duration
	KeepaliveInterval time.Duration // between two heartbeats of a handler
	Log               *log.Logger
	// Go runs a task in the background, until the process ends at the latest.
	Go func(task func(ctx context.Context))
	// OnNodeChanged is called when what is known of a node has changed.
	OnNodeChanged func()
}

// Registry is one core's part of the registry. It is ready for use once
// LoadState's result has been called.
type Registry struct {
	config       Config
	timing       timing
	table        *table
	tombstones   *tombstones
	completeness completeness
	progress     syncProgress
	outbox       outbox
	cores        coreCache
}

// New makes a registry.
func New(config Config) (*Registry, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("registry: no address")
	case config.ContactTimeout <= 0 || config.KeepaliveInterval <= 0:
		return nil, errors.New("registry: the timeouts are not positive")
	case config.Self == nil || config.Chain == nil || config.Client == nil || config.Storage == nil || config.Journal == nil || config.Log == nil || config.Go == nil:
		return nil, errors.New("registry: a part is missing")
	}
	if config.Seeds == nil {
		config.Seeds = func() []string { return nil }
	}
	if config.OnNodeChanged == nil {
		config.OnNodeChanged = func() {}
	}
	timing := timing{contact: config.ContactTimeout, keepaliveInterval: config.KeepaliveInterval}
	return &Registry{
		config:     config,
		timing:     timing,
		table:      newTable(config.Journal, timing.staleHeartbeatWindow(), timing.instanceExpiry()),
		tombstones: newTombstones(config.Storage),
		progress:   newSyncProgress(),
	}, nil
}

// InitState makes the registry's part of the state on a disk that may be empty.
func (r *Registry) InitState(tx *bbolt.Tx) error {
	for _, name := range [][]byte{bucketTombstones, bucketComplete} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// LoadState reads the tombstones on disk; install puts them into memory, outside
// of the transaction. An error is damage.
func (r *Registry) LoadState(tx *bbolt.Tx) (install func(), err error) {
	entries, completeEpoch, err := readTombstones(tx)
	return func() {
		for _, entry := range entries {
			r.table.merge(entry)
		}
		r.tombstones.reset(entries)
		r.completeness.reset(completeEpoch)
	}, err
}

// RecordSelf records a heartbeat of this core itself.
func (r *Registry) RecordSelf(n membership.Node) { r.table.nodeHeartbeat(n) }

// RecordNode records a heartbeat that one of our own processes sent to this core.
func (r *Registry) RecordNode(n membership.Node) {
	if entry, changed := r.table.nodeHeartbeat(n); changed {
		r.config.OnNodeChanged()
		r.broadcast(entry)
	}
}

// Nodes lists our own processes that have not expired, by name.
func (r *Registry) Nodes() map[string]NodeStatus { return r.table.nodes() }

// OverdueStores are the names of the stores that used to send their heartbeats
// to this core and sent none for longer than after, but less than before. Each
// is named once in that time.
func (r *Registry) OverdueStores(after, before time.Duration) []string {
	return r.table.overdueStores(after, before)
}

// Expire marks instances and nodes that sent no heartbeat to any core as no
// longer there. It does nothing while this core was out of contact lately.
func (r *Registry) Expire() {
	if r.config.Chain.InContactFor() <= r.timing.contactBeforeExpiry() {
		return
	}
	expired, purged := r.table.expire(r.timing.instanceExpiry(), r.timing.nodeExpiry())
	for _, key := range expired {
		r.config.Log.Printf("core: no heartbeat, expired: %s", key)
	}
	if n, err := r.tombstones.purge(purged); err != nil {
		r.config.Log.Printf("core: forget %d tombstones: %v", n, err)
	}
}

// Package registry tracks the handler instances and the nodes of the system. It is
// an in-memory table, filled by heartbeats and by anti-entropy between the cores
// (Demers et al., "Epidemic algorithms for replicated database maintenance",
// PODC 1987). A lost heartbeat does no harm, but the fact that an instance is
// draining or deregistered must not be lost: its tombstone is on the disks of a
// quorum of the voters before it is acknowledged, and a core that starts answers
// no request about instances before it has loaded the tombstones from a quorum.
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

// Chain is the part of the control-state chain that the registry uses.
type Chain interface {
	View() chain.View
	Voters() []string
	InContact() bool
	InContactFor() time.Duration
	InstallView(ctx context.Context, view chain.View) error
}

// Caller makes calls to the other cores. *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, in any, raw []byte, out any) error
}

// Config configures a Registry. All fields but Seeds, OnNodeChanged and
// HostFailures are required.
type Config struct {
	Address           string              // internal address of this core
	Seeds             func() []string     // internal addresses of cores to contact while no others are known
	Self              func() chain.Member // this core as a chain member; valid once its disk is open
	Chain             Chain
	Client            Caller
	Storage           Storage
	Journal           *journal.Journal // receives every change of an instance or node
	HostFailures      int              // number of simultaneous host failures to tolerate
	ContactTimeout    time.Duration
	KeepaliveInterval time.Duration // interval between the heartbeats of a handler
	Log               *log.Logger
	// Go runs a background task. Its context is canceled when the process ends.
	Go func(task func(ctx context.Context))
	// OnNodeChanged is called after the record of a node has changed.
	OnNodeChanged func()
}

// Registry is one core's replica of the registry. It must not be used before the
// install function returned by LoadState has been called. After that its methods are
// safe for concurrent use, except that RunLoader must be called only once.
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

// New makes a Registry. It returns an error if a required field of config is not set.
func New(config Config) (*Registry, error) {
	switch {
	case config.Address == "":
		return nil, errors.New("registry: the address is not set")
	case config.ContactTimeout <= 0 || config.KeepaliveInterval <= 0:
		return nil, errors.New("registry: the contact timeout and the keepalive interval must be positive")
	case config.Self == nil || config.Chain == nil || config.Client == nil || config.Storage == nil || config.Journal == nil || config.Log == nil || config.Go == nil:
		return nil, errors.New("registry: a required component is not set")
	}
	if config.Seeds == nil {
		config.Seeds = func() []string { return nil }
	}
	if config.OnNodeChanged == nil {
		config.OnNodeChanged = func() {}
	}
	timing := timing{contactTimeout: config.ContactTimeout, keepaliveInterval: config.KeepaliveInterval}
	return &Registry{
		config:     config,
		timing:     timing,
		table:      newTable(config.Journal, timing.staleHeartbeatWindow(), timing.instanceExpiry()),
		tombstones: newTombstones(config.Storage),
		progress:   newSyncProgress(),
	}, nil
}

// InitState creates the buckets of the registry in a database that may be empty.
func (r *Registry) InitState(tx *bbolt.Tx) error {
	for _, name := range [][]byte{bucketTombstones, bucketComplete} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// LoadState reads the tombstones from disk. The returned install function copies
// them into memory and must be called outside of the transaction. An error means
// that the state on disk is damaged.
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

// RecordSelf records a heartbeat of this core.
func (r *Registry) RecordSelf(n membership.Node) { r.table.mergeNodeHeartbeat(n) }

// RecordNode records a heartbeat that a node sent to this core.
func (r *Registry) RecordNode(n membership.Node) {
	if entry, changed := r.table.mergeNodeHeartbeat(n); changed {
		r.config.OnNodeChanged()
		r.broadcast(entry)
	}
}

// Nodes returns the nodes that have not expired, by name.
func (r *Registry) Nodes() map[string]NodeStatus { return r.table.nodes() }

// OverdueStores returns the names of the stores that used to send their heartbeats
// to this core and whose last one is older than minAge, but not older than maxAge.
// Each store is returned at most once per interval of length minAge.
func (r *Registry) OverdueStores(minAge, maxAge time.Duration) []string {
	return r.table.overdueStores(minAge, maxAge)
}

// Expire marks as absent the instances and nodes whose heartbeats no core has
// received within their expiry time, and purges old tombstones. It does nothing
// unless this core has been in contact long enough to know of recent heartbeats.
func (r *Registry) Expire() {
	if r.config.Chain.InContactFor() <= r.timing.contactBeforeExpiry() {
		return
	}
	expired, purged := r.table.expire(r.timing.instanceExpiry(), r.timing.nodeExpiry())
	for _, key := range expired {
		r.config.Log.Printf("core: %s expired: no heartbeat received", key)
	}
	if n, err := r.tombstones.purge(purged); err != nil {
		r.config.Log.Printf("core: failed to purge %d tombstones: %v", n, err)
	}
}

// Package partition replicates the messages of a store. Each partition has a primary,
// which accepts and delivers messages, and backups, which hold the same records. This is
// primary-backup replication: an external placement names the primary of each epoch and
// fences off older ones (epochs as in Viewstamped Replication, Oki and Liskov 1988).
//
// A Manager owns all partitions of one store. The primary is implemented in accept.go,
// replicator.go, handover.go and antientropy.go, the backup in backup.go, and the lease
// under which a primary may deliver in lease.go.
package partition

import (
	"context"
	"errors"
	"log"
	"maps"
	"strconv"
	"sync"
	"time"

	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// Config configures a Manager. All fields except MaxDisk, MaxMemory and Backups must be
// set.
type Config struct {
	Self           string        // name of this node in the placement
	Dir            string        // directory of the record file
	Client         *rpc.Client   // for calls to other stores
	ContactTimeout time.Duration // all other timeouts and intervals are derived from it
	StateRetention time.Duration // how long the outcome of a message is retained
	Log            *log.Logger

	// ReportInSync reports backups that hold all records.
	ReportInSync func(ctx context.Context, in placement.InSyncReport) error
	// ReportFailure reports a store that does not answer or refuses connections.
	ReportFailure func(store string, refused bool)

	// MaxDisk and MaxMemory limit the size of the records, in bytes; 0 means no limit. A
	// store above a limit accepts no new messages.
	MaxDisk, MaxMemory int64
	// Backups is the number of other stores that must hold a message before it is
	// accepted.
	Backups int
}

func (c *Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("partition: the node name is not set")
	case c.ContactTimeout <= 0:
		return errors.New("partition: the contact timeout must be positive")
	case c.Client == nil || c.Log == nil || c.ReportInSync == nil || c.ReportFailure == nil:
		return errors.New("partition: the client, the log or a report function is not set")
	}
	return nil
}

// Manager owns the partitions of one store. Its methods are safe for concurrent use,
// except that Run must be called only once.
type Manager struct {
	config         Config
	timing         timing
	clock          clock
	storage        *storage
	previousEpochs fencingEpochs // as loaded from disk
	background     background

	mu          sync.Mutex // guards all fields below, and the partitions
	placement   placement.Placement
	partitions  []*partition
	loaded      map[int][]*Record // loaded from disk, until the placement is known
	epochs      fencingEpochs
	events      eventQueue
	replicators map[string]*replicator // by backup
	usage       usage
	handovers   int64 // number of PrepareHandover calls

	appliedBatches map[string]int64 // number of the newest applied batch, by primary
	batchApplied   chan struct{}    // closed and replaced when another batch is applied

	contacts      contactTimes // loaded from disk
	contactsSaved int64        // when contact times were last saved, in milliseconds of this store's clock
}

// background holds the background tasks of a Manager. They end with ctx.
type background struct {
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// New opens the record file in config.Dir. Run must be called next. A *DiskError means
// that the disk does not work at present and that New may be retried.
func New(config Config) (*Manager, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	storage, saved, err := openStorage(config.Dir, config.Log.Printf)
	if err != nil {
		return nil, err
	}
	m := &Manager{
		config:         config,
		timing:         timing{config.ContactTimeout},
		clock:          clock{time.Now()},
		storage:        storage,
		previousEpochs: maps.Clone(saved.epochs),
		loaded:         map[int][]*Record{},
		epochs:         saved.epochs,
		contacts:       saved.contacts,
		events:         eventQueue{ready: make(chan struct{}, 1)},
		replicators:    map[string]*replicator{},
		appliedBatches: map[string]int64{},
		batchApplied:   make(chan struct{}),
	}
	for _, r := range saved.records {
		m.loaded[r.Partition] = append(m.loaded[r.Partition], r)
	}
	m.background.ctx, m.background.stop = context.WithCancel(context.Background())
	return m, nil
}

// Run writes and replicates records and deletes expired ones until ctx ends. It returns
// the error of the last write or of closing the file.
func (m *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, m.background.stop)()
	m.background.tasks.Go(func() { m.deleteExpired(ctx) })
	m.background.tasks.Go(func() { m.monitorDisk(ctx) })
	err := m.storage.run(ctx, m.timing.writeRetry(), m.config.Log.Printf)
	m.background.tasks.Wait()
	return err
}

// Now returns this store's time in milliseconds since the Unix epoch. It is unaffected by
// steps of the wall clock while the process runs.
func (m *Manager) Now() int64 { return m.clock.now() }

// DiskID returns the identity of this store's disk. A replaced or emptied disk has a new
// identity.
func (m *Manager) DiskID() string { return m.storage.identity }

// Health returns an error if the disk is unhealthy.
func (m *Manager) Health() error {
	return m.storage.check(m.timing.stalledWrite(), m.timing.slowWrite())
}

// RecordActivity records on disk that this store is active now; see Downtime.
func (m *Manager) RecordActivity() {
	m.storage.putMeta(keyActivity, strconv.AppendInt(nil, m.Now(), 10))
}

// Downtime returns how long this store was inactive before this process started, if it is
// the primary of partition n and no other store has been primary since; otherwise 0.
func (m *Manager) Downtime(n int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) || m.storage.lastActivity.IsZero() || m.partitions[n].epoch != m.previousEpochs[n] {
		return 0
	}
	return max(0, m.clock.started.Sub(m.storage.lastActivity))
}

// IsPending reports whether this store holds the message as pending.
func (m *Manager) IsPending(n int, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions[n].records.isPending(id)
}

// Count returns the number of records and how many of them are pending.
func (m *Manager) Count() (all, pending int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.partitions {
		for _, r := range p.records.byID {
			all++
			if r.State == Pending {
				pending++
			}
		}
	}
	return all, pending
}

// HasAssignedPartitions reports whether the placement assigns any partition to this
// store.
func (m *Manager) HasAssignedPartitions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, assignment := range m.placement.Partitions {
		if assignment.HasReplica(m.config.Self) {
			return true
		}
	}
	return false
}

// hasPartitionLocked reports whether partition n is in the placement known to this store.
func (m *Manager) hasPartitionLocked(n int) bool { return n >= 0 && n < len(m.partitions) }

// isPrimaryLocked reports whether this store is the primary of partition n.
func (m *Manager) isPrimaryLocked(n int) bool {
	return m.hasPartitionLocked(n) && m.leadsLocked(m.partitions[n])
}

// leadsLocked reports whether this store is the primary of p and acts as such, that is,
// it has fetched everything it needs from its recovery sources.
func (m *Manager) leadsLocked(p *partition) bool {
	return p.primary == m.config.Self && len(p.sources) == 0
}

// leadsInLocked reports whether this store leads p in the given epoch.
func (m *Manager) leadsInLocked(p *partition, epoch int64) bool {
	return p.epoch == epoch && m.leadsLocked(p)
}

// storeLocked stores a record in memory and queues it for the disk. If done is not nil,
// it is called without mu once the record is on disk.
func (m *Manager) storeLocked(p *partition, r *Record, done func()) {
	m.usage.memoryBytes += p.records.put(r)
	m.storage.putRecord(p.number, r, done)
}

// commitLocked makes a change as the primary: it assigns the next sequence number and
// queues the record for the disk and the backups.
func (m *Manager) commitLocked(p *partition, r *Record, done func()) {
	r.Sequence, r.Epoch, r.Length = p.records.sequence+1, p.epoch, len(r.Body)
	m.storeLocked(p, r, done)
	for _, replica := range p.replicas {
		replica.unreplicated[r.ID] = r
		if r.State == Pending {
			m.wakeReplicatorLocked(replica.store)
		}
	}
}

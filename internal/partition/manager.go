// Package partition replicates the messages of a store. Each partition has a
// primary, which accepts and delivers messages, and backups, which hold the same
// records: primary-backup replication, in which a placement from outside names
// the primary of each epoch and fences the older ones (epochs as in Viewstamped
// Replication, Oki and Liskov 1988).
//
// A Manager owns all partitions of one store. The primary's side is in accept.go,
// replicator.go, handover.go and antientropy.go, the backup's in backup.go; the
// lease by which a primary may deliver is in lease.go.
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

// Config is what a Manager needs.
type Config struct {
	Self           string        // name of this node
	Dir            string        // folder of the file of records
	Client         *rpc.Client   // for calls to other stores
	ContactTimeout time.Duration // all other times are derived from it
	StateRetention time.Duration // how long the outcome of a message is retained
	Log            *log.Logger

	// ReportInSync reports backups that hold all records.
	ReportInSync func(ctx context.Context, in placement.InSyncReport) error
	// ReportFailure reports a store that does not answer, or refuses connections.
	ReportFailure func(store string, refused bool)

	// MaxDisk and MaxMemory bound the records, in bytes; 0 means no bound. A store
	// over them accepts no new messages.
	MaxDisk, MaxMemory int64
	// Backups is how many other stores must hold a message before it is accepted.
	Backups int
}

func (c *Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("partition: the name of the node is not given")
	case c.ContactTimeout <= 0:
		return errors.New("partition: the contact timeout is not positive")
	case c.Client == nil || c.Log == nil || c.ReportInSync == nil || c.ReportFailure == nil:
		return errors.New("partition: the client, the log or a report is not given")
	}
	return nil
}

// Manager owns the partitions of one store.
type Manager struct {
	config         Config
	timing         timing
	clock          clock
	storage        *storage
	previousEpochs fencingEpochs // as an earlier process left them
	background     background

	mu          sync.Mutex // guards all below, and the partitions
	placement   placement.Placement
	partitions  []*partition
	loaded      map[int][]*Record // read from disk; until the placement is known
	epochs      fencingEpochs
	events      eventQueue
	replicators map[string]*replicator // by the name of the backup
	usage       usage
	handovers   int64 // calls of Freeze

	appliedBatches map[string]int64 // the newest of each primary's batches, by its name
	batchApplied   chan struct{}    // closed and replaced when there is another one

	contacts      contactTimes // read from disk
	contactsSaved int64        // when they were last put on disk, milliseconds of this store's clock
}

// background is what a Manager does on its own: it ends with ctx.
type background struct {
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// New opens the file of records in config.Dir. Run must be called next. A
// *DiskError says that the disk does not work now, and that New may be tried again.
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

// Run writes, replicates and deletes expired records until ctx ends. It returns
// the error of the last write or of closing the file.
func (m *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, m.background.stop)()
	m.background.tasks.Go(func() { m.deleteExpired(ctx) })
	m.background.tasks.Go(func() { m.monitorDisk(ctx) })
	err := m.storage.run(ctx, m.timing.writeRetry(), m.config.Log.Printf)
	m.background.tasks.Wait()
	return err
}

// Now is this store's time in milliseconds since the Unix epoch: steps of the
// wall clock while the process runs have no effect on it.
func (m *Manager) Now() int64 { return m.clock.now() }

// DiskID identifies the disk: an empty one has a new identity.
func (m *Manager) DiskID() string { return m.storage.identity }

// Health is the error of the disk, if it is not healthy.
func (m *Manager) Health() error {
	return m.storage.check(m.timing.stalledWrite(), m.timing.slowWrite())
}

// RecordActivity notes on disk that this store is active now; see Downtime.
func (m *Manager) RecordActivity() {
	m.storage.putMeta(keyActivity, strconv.AppendInt(nil, m.Now(), 10))
}

// Downtime is how long this store was not active before this process, if it is
// the primary of partition n and no other store has been since; else 0.
func (m *Manager) Downtime(n int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) || m.storage.lastActivity.IsZero() || m.partitions[n].epoch != m.previousEpochs[n] {
		return 0
	}
	return max(0, m.clock.started.Sub(m.storage.lastActivity))
}

// IsPending reports whether a message has not ended, as far as is known here.
func (m *Manager) IsPending(n int, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions[n].records.isPending(id)
}

// Count returns how many records there are and how many of them are pending.
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

// HasAssignedPartitions reports whether the placement gives this store any partition.
func (m *Manager) HasAssignedPartitions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, assignment := range m.placement.Partitions {
		if assignment.Has(m.config.Self) {
			return true
		}
	}
	return false
}

// hasPartitionLocked reports whether partition n is in the placement known here.
func (m *Manager) hasPartitionLocked(n int) bool { return n >= 0 && n < len(m.partitions) }

// isPrimaryLocked reports whether this store is the primary of partition n.
func (m *Manager) isPrimaryLocked(n int) bool {
	return m.hasPartitionLocked(n) && m.leadsLocked(m.partitions[n])
}

// leadsLocked reports whether this store is the primary of p, and acts as such: it
// has what it had to take from other stores.
func (m *Manager) leadsLocked(p *partition) bool {
	return p.primary == m.config.Self && len(p.sources) == 0
}

// leadsInLocked reports whether this store is the primary of p in an epoch.
func (m *Manager) leadsInLocked(p *partition, epoch int64) bool {
	return p.epoch == epoch && m.leadsLocked(p)
}

// storeLocked puts a record into the partition and onto the disk; done, unless
// nil, is called without mu once it is on disk.
func (m *Manager) storeLocked(p *partition, r *Record, done func()) {
	m.usage.memoryBytes += p.records.put(r)
	m.storage.putRecord(p.number, r, done)
}

// commitLocked makes a change as the primary: it gets the next sequence number
// and goes to the disk and to the backups.
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

package partition

import (
	"cmp"
	"context"
	"log"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// Event tells the delivery what changed, in order.
type Event struct {
	Partition     int
	BecamePrimary bool      // this store leads the partition from now on, with Records
	LostPrimary   bool      // it does not lead it any more
	Records       []*Record // pending messages to deliver
}

// Set is the partitions of one store.
type Manager struct {
	Self           string // name of this node
	Client         *rpc.Client
	ContactTimeout time.Duration
	StateRetention time.Duration // how long an ended state is kept
	Log            *log.Logger
	ReportInSync   func(ctx context.Context, in placement.InSyncReport) error
	ReportFailure  func(store string, refused bool) // reports a store that does not answer
	// Bounds of what is kept, in bytes; 0 means none. A store over them takes
	// no new messages.
	MaxDisk, MaxMemory int64
	Backups            int // how many other stores must hold a message before it is taken

	storage   *storage
	events chan struct{}

	mu        sync.Mutex
	placement placement.Placement
	partitions     []*partition
	loaded    map[int][]*Record // read from disk before the placement is known
	epochs     fencingEpochs
	previousEpochs    fencingEpochs // as the last life left it
	queue     []Event
	replicators     map[string]*replicator
	ctx       context.Context // of what the set does on its own
	stop      context.CancelFunc
	started   time.Time
	memoryBytes      int64 // memory of the records, about
	full      bool
	handovers   int64 // calls that froze partitions
	tasks     sync.WaitGroup
}

// Now is the wall clock in milliseconds as it was at the start, carried on by
// the steady clock: steps of the wall clock while the process runs do not count.
func (s *Manager) Now() int64 { return s.started.Add(time.Since(s.started)).UnixMilli() }

// part is one partition on this store.
type partition struct {
	number  int
	epoch   int64
	primary string
	isBackup   bool // this store is a backup

	records  map[string]*Record
	sequence int64
	checksum   uint64
	count    int

	// At the primary:
	replicas []*replica
	unconfirmed  map[string]*pendingAccept // accepted here, not yet certain
	deliveriesStopped   bool                 // no new deliveries
	acceptsStopped   bool                 // no new messages either
	handover   int64                // which call froze it last
	changed    chan struct{}

	// At the backup:
	leaseExpires time.Time // the primary may deliver until then
	leaseBatch   int64     // the newest that granted it or gave it back
}

// replica is what the primary knows of one backup.
type replica struct {
	store, disk string
	inSync      bool               // it may succeed
	unreplicated       map[string]*Record // not yet there
	missing       []string           // older records that it lacks
	connected      bool               // it answered in this epoch
	verified    bool               // it was seen to hold the same in this epoch
	leaseReleased    bool               // it took the lease back
	leaseExpires       time.Time
	lastCompared    time.Time
	lastReported    time.Time
}

// mayLead tells whether the backup may succeed, as far as can be known here.
func (r *replica) mayBecomePrimary() bool { return r.inSync || r.connected }

func (p *partition) replica(store string) *replica {
	for _, r := range p.replicas {
		if r.store == store {
			return r
		}
	}
	return nil
}

// verified tells whether all backups were seen to hold the same.
func (p *partition) verified() bool {
	for _, r := range p.replicas {
		if !r.verified {
			return false
		}
	}
	return true
}

// Lease is how long a primary may deliver after its backup has answered.
func (s *Manager) LeaseDuration() time.Duration { return s.ContactTimeout * 3 / 20 }

// Open reads the disk.
func (s *Manager) Open(dir string) error {
	d, records, fence, err := openStorage(dir, s.Log.Printf)
	if err != nil {
		return err
	}
	s.storage, s.epochs, s.previousEpochs = d, fence, maps.Clone(fence)
	s.events = make(chan struct{}, 1)
	s.replicators = map[string]*replicator{}
	s.loaded = map[int][]*Record{}
	for _, r := range records {
		s.loaded[r.Partition] = append(s.loaded[r.Partition], r)
	}
	s.started = time.Now()
	s.ctx, s.stop = context.WithCancel(context.Background())
	return nil
}

// Identity names the disk.
func (s *Manager) DiskID() string { return s.storage.identity }

// Run writes, replicates and sweeps until ctx ends.
func (s *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.stop)()
	s.tasks.Go(func() { s.deleteExpired(ctx) })
	s.tasks.Go(func() { s.monitorDisk(ctx) })
	err := s.storage.run(ctx, s.ContactTimeout/40, s.Log.Printf)
	s.tasks.Wait()
	return err
}

// Events gives the events since the last call, and a channel that tells when
// there may be more.
func (s *Manager) Events() ([]Event, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.queue
	s.queue = nil
	return out, s.events
}

func (s *Manager) emitLocked(e Event) {
	s.queue = append(s.queue, e)
	select {
	case s.events <- struct{}{}:
	default:
	}
}

// put makes a record the newest of its id. The lock is held.
func (s *Manager) putLocked(p *partition, r *Record) {
	if old := p.records[r.ID]; old != nil {
		p.checksum ^= old.checksum()
		p.count--
		s.memoryBytes -= old.memoryBytes()
	}
	p.sequence = max(p.sequence, r.Sequence)
	if r.State == Deleted {
		delete(p.records, r.ID)
		return
	}
	p.records[r.ID] = r
	p.checksum ^= r.checksum()
	p.count++
	s.memoryBytes += r.memoryBytes()
}

// write puts a record on disk. The lock is held.
func (s *Manager) writeLocked(p *partition, r *Record, done func()) {
	c := change{key: recordKey(p.number, r.ID), done: done}
	if r.State != Deleted {
		c.value = r.encode()
	}
	s.storage.put(c)
}

// change makes a change as the primary: it gets the next sequence number and
// goes to the disk and the backup. The lock is held.
func (s *Manager) commitLocked(p *partition, r *Record, done func()) {
	p.sequence++
	r.Sequence, r.Epoch, r.Length = p.sequence, p.epoch, len(r.Body)
	s.putLocked(p, r)
	s.writeLocked(p, r, done)
	for _, x := range p.replicas {
		x.unreplicated[r.ID] = r
		if r.State == Pending {
			s.wakeReplicatorLocked(x.store)
		}
	}
}

// Place takes a new placement over.
func (s *Manager) ApplyPlacement(next placement.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version <= s.placement.Version {
		return
	}
	s.placement = next
	mine, turned := next.Stores[s.Self].Disk == s.storage.identity, false
	for i, x := range next.Partitions {
		if i >= len(s.partitions) {
			p := &partition{number: i, records: map[string]*Record{}, unconfirmed: map[string]*pendingAccept{},
				changed: make(chan struct{}), leaseExpires: s.started.Add(s.LeaseDuration()), epoch: s.epochs[i]}
			for _, r := range s.loaded[i] {
				s.putLocked(p, r)
			}
			delete(s.loaded, i)
			s.partitions = append(s.partitions, p)
		}
		p := s.partitions[i]
		if x.Epoch < p.epoch || x.Epoch == p.epoch && p.primary != "" {
			if x.Epoch == p.epoch {
				for _, b := range x.Backups {
					if r := p.replica(b.Store); r != nil {
						r.inSync = b.InSync
					}
				}
			}
			continue
		}
		if !mine {
			x.Primary, x.Backups = "", nil
		}
		s.applyAssignmentLocked(p, x)
		turned = true
	}
	if turned {
		s.writeEpochsLocked()
	}
	for _, l := range s.replicators {
		l.wake()
	}
}

// writeFence puts the newest epochs on disk, ahead of what is taken under them.
// The lock is held.
func (s *Manager) writeEpochsLocked() {
	s.storage.put(change{key: []byte("fence"), value: encodeEpochs(s.epochs), meta: true})
}

// turn changes the roles of a partition; the fence is to be written before the
// lock is given up. The lock is held.
func (s *Manager) applyAssignmentLocked(p *partition, x placement.Partition) {
	led, former := p.primary == s.Self, p.primary
	p.epoch, p.primary, p.isBackup = x.Epoch, x.Primary, x.Backup(s.Self) >= 0
	p.deliveriesStopped, p.acceptsStopped = false, false
	s.epochs[p.number] = p.epoch
	close(p.changed)
	p.changed = make(chan struct{})
	leads := p.primary == s.Self
	before := p.replicas
	p.replicas = nil
	if leads {
		for _, b := range x.Backups {
			r := &replica{store: b.Store, disk: s.placement.Stores[b.Store].Disk, inSync: b.InSync, unreplicated: map[string]*Record{}}
			known := false
			for _, old := range before {
				if led && old.store == r.store && old.disk == r.disk { // what it lacks it still lacks
					r.unreplicated, r.missing, known = old.unreplicated, old.missing, true
				}
			}
			for id := range p.unconfirmed { // what is not certain goes to a new one
				if !known {
					r.unreplicated[id] = p.records[id]
				}
			}
			p.replicas = append(p.replicas, r)
		}
	}
	switch {
	case leads && !led:
		var pending []*Record
		for _, r := range p.records {
			if r.State == Pending {
				pending = append(pending, r)
			}
		}
		slices.SortFunc(pending, func(a, b *Record) int { return cmp.Compare(a.Order, b.Order) })
		s.emitLocked(Event{Partition: p.number, BecamePrimary: true, Records: pending})
		if _, known := s.placement.Stores[former]; known && x.Backup(former) < 0 {
			s.recoverFromLocked(p, former)
		}
	case leads: // with fewer backups a message may be certain now
		for _, w := range p.unconfirmed {
			s.confirmLocked(p, w)
		}
	case led:
		p.leaseExpires = time.Time{}
		for id := range p.unconfirmed {
			delete(p.unconfirmed, id) // those who wait learn of it by the move
		}
		s.emitLocked(Event{Partition: p.number, LostPrimary: true})
	}
	for _, r := range p.replicas {
		s.startReplicatorLocked(r.store)
	}
}

// succeed takes over from a primary that was taken for dead: if it runs, it is
// told to stop, and what it has done comes here before this store may deliver.
// The lock is held.
func (s *Manager) recoverFromLocked(p *partition, former string) {
	n, epoch, granted := p.number, p.epoch, p.leaseExpires
	s.tasks.Go(func() {
		if !s.reconcile(n, epoch, former) {
			return
		}
		select { // what was under way there has ended by then
		case <-time.After(time.Until(granted) - s.ContactTimeout/40):
			s.reconcile(n, epoch, former)
		case <-s.ctx.Done():
		}
	})
}

// Leads tells whether this store may start deliveries of a partition now.
func (s *Manager) MayDeliver(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.partitions) {
		return false
	}
	p := s.partitions[n]
	now := time.Now()
	if p.primary != s.Self || p.deliveriesStopped || now.Before(p.leaseExpires) {
		return false
	}
	// Each backup that may succeed must have let this store deliver.
	for _, r := range p.replicas {
		if r.mayBecomePrimary() && !now.Before(r.leaseExpires) {
			return false
		}
	}
	return true
}

// Unended tells whether a message has not ended, as far as is known here.
func (s *Manager) IsPending(n int, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.partitions[n].records[id]
	return r != nil && r.State == Pending
}

// Mark notes on disk that this store acts just now, for what its next life may
// take as time in which it did not.
func (s *Manager) RecordActivity() {
	s.storage.put(change{key: keyActivity, value: strconv.AppendInt(nil, s.Now(), 10), meta: true})
}

// Paused is how long this store did nothing before this life, if it leads a
// partition now that nobody else has led in between; else 0.
func (s *Manager) DowntimeOf(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.partitions) || s.storage.lastActivity.IsZero() || s.partitions[n].primary != s.Self || s.partitions[n].epoch != s.previousEpochs[n] {
		return 0
	}
	return max(0, s.started.Sub(s.storage.lastActivity))
}

// Find gives the record of a message at its primary.
func (s *Manager) Find(ctx context.Context, n int, id string) (*Record, error) {
	s.mu.Lock()
	if n < 0 || n >= len(s.partitions) || s.partitions[n].primary != s.Self {
		s.mu.Unlock()
		return nil, notPrimary(n)
	}
	p := s.partitions[n]
	r := p.records[id]
	var backups []string
	for _, x := range p.replicas {
		backups = append(backups, x.store)
	}
	s.mu.Unlock()
	var last error
	for _, b := range backups {
		if r != nil {
			break
		}
		// A read mends: another copy may hold what this one lacks.
		if err := s.fetchRecords(ctx, n, b, []string{id}); err != nil {
			last = err
			continue
		}
		s.mu.Lock()
		r = p.records[id]
		s.mu.Unlock()
	}
	if r == nil && last != nil {
		return nil, last
	}
	if r == nil {
		return nil, &rpc.StatusError{Code: 404, Text: "no such message"}
	}
	return r, nil
}

// Health tells what is wrong with the disk, if anything is.
func (s *Manager) Health() error { return s.storage.health(s.ContactTimeout/16, s.ContactTimeout/50) }

// watch reports this store itself when its disk fails, and writes now and then
// while it does, so that it is noticed when the disk is well again.
func (s *Manager) monitorDisk(ctx context.Context) {
	tick := time.NewTicker(s.ContactTimeout / 40)
	defer tick.Stop()
	ill := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := s.Health()
		if err != nil {
			s.ReportFailure(s.Self, false)
			s.storage.put(change{key: []byte("probe"), value: []byte{}, meta: true})
		}
		if (err != nil) != ill {
			ill = err != nil
			s.Log.Printf("disk: ill: %v: %v", ill, err)
		}
	}
}

// measure decides whether the store is full. The lock is held.
func (s *Manager) measureLocked() {
	disk := s.storage.usedBytes()
	full := s.MaxDisk > 0 && disk > s.MaxDisk || s.MaxMemory > 0 && s.memoryBytes > s.MaxMemory
	if full != s.full {
		s.Log.Printf("store: full: %v, %d MB on disk, %d MB in memory", full, disk>>20, s.memoryBytes>>20)
	}
	s.full = full
}

// sweep forgets what is past its time.
func (s *Manager) deleteExpired(ctx context.Context) {
	tick := time.NewTicker(s.ContactTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := s.Now()
		s.mu.Lock()
		s.measureLocked()
		for _, p := range s.partitions {
			if p.primary != s.Self {
				continue
			}
			for _, r := range p.records {
				if r.State != Pending && r.Expires < now {
					s.commitLocked(p, &Record{ID: r.ID, Partition: p.number, State: Deleted}, nil)
				}
			}
		}
		s.mu.Unlock()
	}
}

// Count tells how many records there are and how many of them are pending.
func (s *Manager) Count() (all, pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		for _, r := range p.records {
			all++
			if r.State == Pending {
				pending++
			}
		}
	}
	return all, pending
}

// Holds tells whether the placement gives this store any partition.
func (s *Manager) HoldsAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.placement.Partitions {
		if x.Has(s.Self) {
			return true
		}
	}
	return false
}

// LeadsAny tells whether this store leads any partition.
func (s *Manager) IsPrimaryOfAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if p.primary == s.Self {
			return true
		}
	}
	return false
}

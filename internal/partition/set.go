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

	disk   *disk
	events chan struct{}

	mu        sync.Mutex
	placement placement.Placement
	parts     []*part
	loaded    map[int][]*Record // read from disk before the placement is known
	fence     FencingEpochs
	before    FencingEpochs // as the last life left it
	queue     []Event
	links     map[string]*link
	ctx       context.Context // of what the set does on its own
	stop      context.CancelFunc
	started   time.Time
	held      int64 // memory of the records, about
	full      bool
	freezes   int64 // calls that froze partitions
	tasks     sync.WaitGroup
}

// Now is the wall clock in milliseconds as it was at the start, carried on by
// the steady clock: steps of the wall clock while the process runs do not count.
func (s *Manager) Now() int64 { return s.started.Add(time.Since(s.started)).UnixMilli() }

// part is one partition on this store.
type part struct {
	number  int
	epoch   int64
	primary string
	backs   bool // this store is a backup

	records  map[string]*Record
	sequence int64
	digest   uint64
	count    int

	// At the primary:
	replicas []*replica
	waiting  map[string]*accepted // accepted here, not yet certain
	frozen   bool                 // no new deliveries
	closed   bool                 // no new messages either
	freeze   int64                // which call froze it last
	moved    chan struct{}

	// At the backup:
	granted time.Time // the primary may deliver until then
	batch   int64     // the newest that granted it or gave it back
}

// replica is what the primary knows of one backup.
type replica struct {
	store, disk string
	inStep      bool               // it may succeed
	dirty       map[string]*Record // not yet there
	extra       []string           // older records that it lacks
	paired      bool               // it answered in this epoch
	verified    bool               // it was seen to hold the same in this epoch
	released    bool               // it took the lease back
	lease       time.Time
	compared    time.Time
	reported    time.Time
}

// mayLead tells whether the backup may succeed, as far as can be known here.
func (r *replica) mayLead() bool { return r.inStep || r.paired }

func (p *part) replica(store string) *replica {
	for _, r := range p.replicas {
		if r.store == store {
			return r
		}
	}
	return nil
}

// verified tells whether all backups were seen to hold the same.
func (p *part) verified() bool {
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
	d, records, fence, err := openDisk(dir, s.Log.Printf)
	if err != nil {
		return err
	}
	s.disk, s.fence, s.before = d, fence, maps.Clone(fence)
	s.events = make(chan struct{}, 1)
	s.links = map[string]*link{}
	s.loaded = map[int][]*Record{}
	for _, r := range records {
		s.loaded[r.Partition] = append(s.loaded[r.Partition], r)
	}
	s.started = time.Now()
	s.ctx, s.stop = context.WithCancel(context.Background())
	return nil
}

// Identity names the disk.
func (s *Manager) DiskID() string { return s.disk.identity }

// Run writes, replicates and sweeps until ctx ends.
func (s *Manager) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.stop)()
	s.tasks.Go(func() { s.sweep(ctx) })
	s.tasks.Go(func() { s.watch(ctx) })
	err := s.disk.run(ctx, s.ContactTimeout/40, s.Log.Printf)
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

func (s *Manager) emit(e Event) {
	s.queue = append(s.queue, e)
	select {
	case s.events <- struct{}{}:
	default:
	}
}

// put makes a record the newest of its id. The lock is held.
func (s *Manager) put(p *part, r *Record) {
	if old := p.records[r.ID]; old != nil {
		p.digest ^= old.mark()
		p.count--
		s.held -= old.memory()
	}
	p.sequence = max(p.sequence, r.Sequence)
	if r.State == Forgotten {
		delete(p.records, r.ID)
		return
	}
	p.records[r.ID] = r
	p.digest ^= r.mark()
	p.count++
	s.held += r.memory()
}

// write puts a record on disk. The lock is held.
func (s *Manager) write(p *part, r *Record, done func()) {
	c := change{key: key(p.number, r.ID), done: done}
	if r.State != Forgotten {
		c.value = r.encode()
	}
	s.disk.put(c)
}

// change makes a change as the primary: it gets the next sequence number and
// goes to the disk and the backup. The lock is held.
func (s *Manager) change(p *part, r *Record, done func()) {
	p.sequence++
	r.Sequence, r.Epoch, r.Length = p.sequence, p.epoch, len(r.Body)
	s.put(p, r)
	s.write(p, r, done)
	for _, x := range p.replicas {
		x.dirty[r.ID] = r
		if r.State == Pending {
			s.wakeLink(x.store)
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
	mine, turned := next.Stores[s.Self].Disk == s.disk.identity, false
	for i, x := range next.Partitions {
		if i >= len(s.parts) {
			p := &part{number: i, records: map[string]*Record{}, waiting: map[string]*accepted{},
				moved: make(chan struct{}), granted: s.started.Add(s.LeaseDuration()), epoch: s.fence[i]}
			for _, r := range s.loaded[i] {
				s.put(p, r)
			}
			delete(s.loaded, i)
			s.parts = append(s.parts, p)
		}
		p := s.parts[i]
		if x.Epoch < p.epoch || x.Epoch == p.epoch && p.primary != "" {
			if x.Epoch == p.epoch {
				for _, b := range x.Backups {
					if r := p.replica(b.Store); r != nil {
						r.inStep = b.InSync
					}
				}
			}
			continue
		}
		if !mine {
			x.Primary, x.Backups = "", nil
		}
		s.turn(p, x)
		turned = true
	}
	if turned {
		s.writeFence()
	}
	for _, l := range s.links {
		l.nudge()
	}
}

// writeFence puts the newest epochs on disk, ahead of what is taken under them.
// The lock is held.
func (s *Manager) writeFence() {
	s.disk.put(change{key: []byte("fence"), value: encodeFence(s.fence), meta: true})
}

// turn changes the roles of a partition; the fence is to be written before the
// lock is given up. The lock is held.
func (s *Manager) turn(p *part, x placement.Partition) {
	led, former := p.primary == s.Self, p.primary
	p.epoch, p.primary, p.backs = x.Epoch, x.Primary, x.Backup(s.Self) >= 0
	p.frozen, p.closed = false, false
	s.fence[p.number] = p.epoch
	close(p.moved)
	p.moved = make(chan struct{})
	leads := p.primary == s.Self
	before := p.replicas
	p.replicas = nil
	if leads {
		for _, b := range x.Backups {
			r := &replica{store: b.Store, disk: s.placement.Stores[b.Store].Disk, inStep: b.InSync, dirty: map[string]*Record{}}
			known := false
			for _, old := range before {
				if led && old.store == r.store && old.disk == r.disk { // what it lacks it still lacks
					r.dirty, r.extra, known = old.dirty, old.extra, true
				}
			}
			for id := range p.waiting { // what is not certain goes to a new one
				if !known {
					r.dirty[id] = p.records[id]
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
		s.emit(Event{Partition: p.number, BecamePrimary: true, Records: pending})
		if _, known := s.placement.Stores[former]; known && x.Backup(former) < 0 {
			s.succeed(p, former)
		}
	case leads: // with fewer backups a message may be certain now
		for _, w := range p.waiting {
			s.settle(p, w)
		}
	case led:
		p.granted = time.Time{}
		for id := range p.waiting {
			delete(p.waiting, id) // those who wait learn of it by the move
		}
		s.emit(Event{Partition: p.number, LostPrimary: true})
	}
	for _, r := range p.replicas {
		s.startLink(r.store)
	}
}

// succeed takes over from a primary that was taken for dead: if it runs, it is
// told to stop, and what it has done comes here before this store may deliver.
// The lock is held.
func (s *Manager) succeed(p *part, former string) {
	n, epoch, granted := p.number, p.epoch, p.granted
	s.tasks.Go(func() {
		if !s.compare(n, epoch, former) {
			return
		}
		select { // what was under way there has ended by then
		case <-time.After(time.Until(granted) - s.ContactTimeout/40):
			s.compare(n, epoch, former)
		case <-s.ctx.Done():
		}
	})
}

// Leads tells whether this store may start deliveries of a partition now.
func (s *Manager) MayDeliver(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.parts) {
		return false
	}
	p := s.parts[n]
	now := time.Now()
	if p.primary != s.Self || p.frozen || now.Before(p.granted) {
		return false
	}
	// Each backup that may succeed must have let this store deliver.
	for _, r := range p.replicas {
		if r.mayLead() && !now.Before(r.lease) {
			return false
		}
	}
	return true
}

// Unended tells whether a message has not ended, as far as is known here.
func (s *Manager) IsPending(n int, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.parts[n].records[id]
	return r != nil && r.State == Pending
}

// Mark notes on disk that this store acts just now, for what its next life may
// take as time in which it did not.
func (s *Manager) RecordActivity() {
	s.disk.put(change{key: keyMark, value: strconv.AppendInt(nil, s.Now(), 10), meta: true})
}

// Paused is how long this store did nothing before this life, if it leads a
// partition now that nobody else has led in between; else 0.
func (s *Manager) DowntimeOf(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n >= len(s.parts) || s.disk.marked.IsZero() || s.parts[n].primary != s.Self || s.parts[n].epoch != s.before[n] {
		return 0
	}
	return max(0, s.started.Sub(s.disk.marked))
}

// Find gives the record of a message at its primary.
func (s *Manager) Find(ctx context.Context, n int, id string) (*Record, error) {
	s.mu.Lock()
	if n < 0 || n >= len(s.parts) || s.parts[n].primary != s.Self {
		s.mu.Unlock()
		return nil, moved(n)
	}
	p := s.parts[n]
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
		if err := s.fetch(ctx, n, b, []string{id}); err != nil {
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
func (s *Manager) Health() error { return s.disk.health(s.ContactTimeout/16, s.ContactTimeout/50) }

// watch reports this store itself when its disk fails, and writes now and then
// while it does, so that it is noticed when the disk is well again.
func (s *Manager) watch(ctx context.Context) {
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
			s.disk.put(change{key: []byte("probe"), value: []byte{}, meta: true})
		}
		if (err != nil) != ill {
			ill = err != nil
			s.Log.Printf("disk: ill: %v: %v", ill, err)
		}
	}
}

// measure decides whether the store is full. The lock is held.
func (s *Manager) measure() {
	disk := s.disk.used()
	full := s.MaxDisk > 0 && disk > s.MaxDisk || s.MaxMemory > 0 && s.held > s.MaxMemory
	if full != s.full {
		s.Log.Printf("store: full: %v, %d MB on disk, %d MB in memory", full, disk>>20, s.held>>20)
	}
	s.full = full
}

// sweep forgets what is past its time.
func (s *Manager) sweep(ctx context.Context) {
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
		s.measure()
		for _, p := range s.parts {
			if p.primary != s.Self {
				continue
			}
			for _, r := range p.records {
				if r.State != Pending && r.Expires < now {
					s.change(p, &Record{ID: r.ID, Partition: p.number, State: Forgotten}, nil)
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
	for _, p := range s.parts {
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
	for _, p := range s.parts {
		if p.primary == s.Self {
			return true
		}
	}
	return false
}

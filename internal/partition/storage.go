package partition

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"saltreel/internal/boltstore"
)

// Buckets and keys of the file. They are part of the on-disk format.
var (
	bucketRecords = []byte("records")
	bucketMeta    = []byte("meta")
	keyIdentity   = []byte("identity")
	keyEpochs     = []byte("fence")
	keyActivity   = []byte("mark")
	keyContact    = []byte("contact")
	keyProbe      = []byte("probe")
)

// storage is the record file of a store. Writes are queued, and the goroutine of run
// commits all queued writes in one transaction.
type storage struct {
	file         *boltstore.File
	identity     string
	lastActivity time.Time // last activity of an earlier process; zero if there was none

	mu         sync.Mutex
	queue      []change
	wake       chan struct{}
	writing    bool     // a dequeued batch is not yet on disk
	afterWrite []func() // called once that batch is on disk
	health     writeHealth
}

// change is one write.
type change struct {
	key, value []byte // a nil value deletes the key; a nil key writes nothing
	meta       bool   // in the meta bucket instead of the records bucket
	done       func() // called when the change is on disk; may be nil
}

// savedState is the content of the file when it is opened.
type savedState struct {
	identity     string
	lastActivity time.Time
	epochs       fencingEpochs
	contacts     contactTimes
	records      []*Record
}

// fencingEpochs holds the newest epoch seen of each partition. The epochs are persisted
// so that a restarted store does not follow a deposed primary.
type fencingEpochs map[int]int64

func (f fencingEpochs) encode() []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		panic("partition: encode epochs: " + err.Error())
	}
	return raw
}

// openStorage opens the file in dir. A damaged file is moved aside, and the replicas on
// other stores fill a new one. A file that the disk cannot read is left in place.
//
// The content of the file is loaded only once. When the file is reopened after a failed
// write, memory already holds everything in it.
func openStorage(dir string, warn func(format string, args ...any)) (*storage, *savedState, error) {
	var saved *savedState
	s := &storage{wake: make(chan struct{}, 1)}
	s.file = &boltstore.File{
		Path:    filepath.Join(dir, "store.db"),
		Prepare: prepareFile,
		Load: func(tx *bbolt.Tx) (install func(), err error) {
			if saved != nil {
				return func() {}, nil
			}
			loaded, err := loadFile(tx)
			return func() { saved = loaded }, err
		},
		Warn: warn,
	}
	if err := s.file.Open(); err != nil {
		return nil, nil, &DiskError{Err: err}
	}
	s.identity = saved.identity
	s.lastActivity = saved.lastActivity
	return s, saved, nil
}

// prepareFile creates the buckets and the identity of a new file.
func prepareFile(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucketIfNotExists(bucketRecords); err != nil {
		return err
	}
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil || meta.Get(keyIdentity) != nil {
		return err
	}
	return meta.Put(keyIdentity, []byte(rand.Text()))
}

// loadFile loads the content of the file. An error means that the content is damaged.
func loadFile(tx *bbolt.Tx) (*savedState, error) {
	saved := &savedState{epochs: fencingEpochs{}}
	if err := saved.loadMeta(tx.Bucket(bucketMeta)); err != nil {
		return nil, err
	}
	err := tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
		r, err := decodeRecord(key, value)
		if err != nil {
			return err
		}
		saved.records = append(saved.records, r)
		return nil
	})
	return saved, err
}

func (saved *savedState) loadMeta(meta *bbolt.Bucket) error {
	saved.identity = string(meta.Get(keyIdentity))
	if ms, err := strconv.ParseInt(string(meta.Get(keyActivity)), 10, 64); err == nil {
		saved.lastActivity = time.UnixMilli(ms)
	}
	if raw := meta.Get(keyEpochs); raw != nil {
		if err := json.Unmarshal(raw, &saved.epochs); err != nil {
			return fmt.Errorf("decode epochs: %w", err)
		}
	}
	if raw := meta.Get(keyContact); raw != nil {
		if err := json.Unmarshal(raw, &saved.contacts); err != nil {
			return fmt.Errorf("decode contact times: %w", err)
		}
	}
	return nil
}

// usedBytes returns the size of the file without its free pages, or 0 while the file is
// not open. All values are read within a transaction: otherwise the writer may be
// remapping the file, and reading the old mapping would crash the process.
func (s *storage) usedBytes() int64 {
	var size int64
	_ = s.file.View(func(tx *bbolt.Tx) error { // fails only while the file is not open
		stats := tx.DB().Stats()
		free := int64(stats.FreePageN+stats.PendingPageN) * int64(tx.DB().Info().PageSize)
		size = tx.Size() - free
		return nil
	})
	return size
}

// putRecord queues a record. If done is not nil, it is called when the record is on disk.
func (s *storage) putRecord(partition int, r *Record, done func()) {
	c := change{key: recordKey(partition, r.ID), done: done}
	if r.State != Deleted {
		c.value = r.encode()
	}
	s.put(c)
}

// putMeta queues a value for the meta bucket.
func (s *storage) putMeta(key, value []byte) { s.put(change{key: key, value: value, meta: true}) }

func (s *storage) put(c change) {
	s.mu.Lock()
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// afterSync calls done once everything queued before is on disk. If nothing is queued or
// being written, it calls done before it returns.
func (s *storage) afterSync(done func()) {
	s.mu.Lock()
	switch {
	case len(s.queue) > 0:
		s.queue = append(s.queue, change{done: done})
	case s.writing:
		s.afterWrite = append(s.afterWrite, done)
	default:
		defer done()
	}
	s.mu.Unlock()
}

// refusesWrites reports whether the last write failed, for example on a full disk.
func (s *storage) refusesWrites() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.lastError != nil
}

// check returns an error if the disk is unhealthy; see writeHealth.check.
func (s *storage) check(stalled, slow time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.check(time.Now(), stalled, slow)
}

// writeHealth tracks the health of the disk as observed by writes.
type writeHealth struct {
	writeStarted time.Time     // start of the current write; zero if there is none
	averageWrite time.Duration // moving average of the write time
	lastError    error         // error of the last write, if it failed
}

// check returns an error if the last write failed, if the current write has taken longer
// than stalled, or if the average write time exceeds slow.
func (h *writeHealth) check(now time.Time, stalled, slow time.Duration) error {
	var age time.Duration
	if !h.writeStarted.IsZero() {
		age = now.Sub(h.writeStarted)
	}
	switch {
	case h.lastError != nil:
		return fmt.Errorf("the disk refuses writes: %w", h.lastError)
	case age > stalled:
		return fmt.Errorf("the disk has not answered for %v", age.Round(time.Millisecond))
	case h.averageWrite > slow:
		return fmt.Errorf("the disk takes %v for a write", h.averageWrite.Round(time.Millisecond))
	}
	return nil
}

// recordWrite records that the current write has ended after the given time.
func (h *writeHealth) recordWrite(took time.Duration) {
	const weight = 4 // a single write contributes a quarter to the average
	h.writeStarted = time.Time{}
	h.averageWrite += (took - h.averageWrite) / weight
}

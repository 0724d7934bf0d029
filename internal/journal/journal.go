// Package journal keeps the events of one process in memory. Only the newest event of
// each key is relevant, so a reader needs only those to reach the same state.
// Tombstones are dropped after a retention time.
package journal

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Journal is an in-memory event log with the newest event of each key. It is safe for
// concurrent use.
type Journal struct {
	source           string
	retention        time.Duration
	deferrablePrefix string

	mu          sync.Mutex
	number      uint64 // of the last event
	latest      map[string]*Event
	log         []*Event // by number; holds superseded events until the next compaction
	digest      digest
	subscribers []func(Event)
	changed     chan struct{} // closed at the next event
	urgent      chan struct{} // closed at the next event that is not deferrable
}

// New returns an empty journal. source must differ between incarnations of a process,
// since event numbers restart. Tombstones are dropped once they are older than
// retention. Events of keys with deferrablePrefix are not urgent; with an empty prefix
// all events are.
func New(source string, retention time.Duration, deferrablePrefix string) *Journal {
	return &Journal{
		source:           source,
		retention:        retention,
		deferrablePrefix: deferrablePrefix,
		latest:           map[string]*Event{},
		changed:          make(chan struct{}),
		urgent:           make(chan struct{}),
	}
}

// Subscribe calls f for the newest event of each key and then for each new event, in
// order. The journal is locked during the calls, so f must not use it.
func (j *Journal) Subscribe(f func(Event)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.eventsAfterLocked(0) {
		f(*e)
	}
	j.subscribers = append(j.subscribers, f)
}

func (j *Journal) isUrgent(e *Event) bool {
	return j.deferrablePrefix == "" || !strings.HasPrefix(e.Key, j.deferrablePrefix)
}

// Append adds an event unless its key has the same or a newer version; it
// reports whether the event was added.
func (j *Journal) Append(e Event) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	superseded := j.latest[e.Key]
	if superseded != nil && !superseded.Version.Less(e.Version) {
		return false
	}
	j.number++
	e.number = j.number
	e.appended = time.Now()
	e.encoded = nil
	bucket := e.digestBucket()
	if superseded != nil {
		j.digest.toggle(bucket, superseded)
	}
	j.digest.toggle(bucket, &e)
	j.latest[e.Key] = &e
	j.log = append(j.log, &e)
	for _, notify := range j.subscribers {
		notify(e)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	if j.isUrgent(&e) {
		close(j.urgent)
		j.urgent = make(chan struct{})
	}
	// A limit of twice the number of keys makes the amortized cost per event constant;
	// the added constant avoids frequent compactions of a small journal.
	if len(j.log) > 2*len(j.latest)+digestBuckets {
		j.compactLocked()
	}
	return true
}

// compactLocked drops superseded events and expired tombstones.
func (j *Journal) compactLocked() {
	j.log = slices.DeleteFunc(j.log, func(e *Event) bool {
		if j.latest[e.Key] != e {
			return true
		}
		if e.IsDeleted() && time.Since(e.appended) > j.retention {
			j.digest.toggle(e.digestBucket(), e)
			delete(j.latest, e.Key)
			return true
		}
		return false
	})
}

// Get returns the newest event of a key.
func (j *Journal) Get(key string) (Event, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.latest[key]; e != nil {
		return *e, true
	}
	return Event{}, false
}

// EventsSince returns the events with a higher number that the reader wants (nil:
// all), and whether any of them is urgent. If number does not refer to this journal,
// the page holds all events except those that the reader already has according to its
// digest, if it sent one.
func (j *Journal) EventsSince(source string, number uint64, readerDigest []byte, wants func(Event) bool) (page Page, urgent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sameSource := source == j.source && number <= j.number
	if !sameSource {
		number = 0
	}
	page = Page{Source: j.source, Number: j.number}
	for _, e := range j.eventsAfterLocked(number) {
		if !sameSource && j.digest.agrees(readerDigest, e) {
			continue
		}
		if wants != nil && !wants(*e) {
			continue
		}
		if e.encoded == nil {
			e.encoded = Encode(*e)
		}
		urgent = urgent || j.isUrgent(e)
		page.Events = append(page.Events, *e)
	}
	return page, urgent
}

// Changes returns channels that are closed at the next event and at the next urgent
// event. A reader must call it before EventsSince, so that it misses no event.
func (j *Journal) Changes() (changed, urgent <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed, j.urgent
}

// NotEmpty reports whether there is any event.
func (j *Journal) NotEmpty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.latest) > 0
}

// Digest returns a summary of this journal's events, so that another journal can omit
// them from a page.
func (j *Journal) Digest() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.digest.encode()
}

// eventsAfterLocked returns the events with a higher number that are the newest of
// their key, in order.
func (j *Journal) eventsAfterLocked(number uint64) (events []*Event) {
	start, _ := slices.BinarySearchFunc(j.log, number+1, func(e *Event, n uint64) int { return cmp.Compare(e.number, n) })
	for _, e := range j.log[start:] {
		if j.latest[e.Key] == e {
			events = append(events, e)
		}
	}
	return events
}

// Apply appends the events of a page.
func (j *Journal) Apply(page Page) {
	for _, e := range page.Events {
		j.Append(e)
	}
}

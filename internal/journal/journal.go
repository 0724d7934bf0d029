// Package journal holds the events of one process in memory. Of each key only the
// newest event counts, so a reader that lacks some needs only the newest of each
// key to have the same state. Tombstones are dropped after a retention time.
package journal

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Journal is the events of one process.
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

// New makes an empty journal. Source must differ between incarnations of a
// process, since numbers start anew. Tombstones are dropped once they are older
// than retention. Events of keys with deferrablePrefix are not urgent; with an
// empty prefix all events are.
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

// Subscribe calls f for all events that there are and then for each new one, in
// order, with the journal locked: f must not call it.
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
	// Twice the keys keeps the cost for each event constant; the constant keeps
	// a small journal from being compacted all the time.
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

// EventsSince returns the events with a higher number that a reader wants (nil: all),
// and whether any of them is urgent. If source is another journal's, number says
// nothing: then the page holds all events except those that the reader's digest,
// if it sent one, shows to be there.
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

// Changes returns channels that are closed at the next event, and at the next
// urgent one. A reader asks for them before it looks for events, so that it
// misses none.
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

// Digest summarizes what this journal holds, so that another one can leave it
// out of a page.
func (j *Journal) Digest() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.digest.encode()
}

// eventsAfterLocked are the events with a higher number that are the newest of
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

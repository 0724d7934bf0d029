// Package journal owns the events of one process: they are appended in
// memory, and views are folded from them. Of each key only the newest event
// is kept, so a reader with a gap gets the whole view.
package journal

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Version orders the events of one key. It goes forward only.
type Version struct {
	Major int64 `json:"major"`
	Minor int64 `json:"minor,omitempty"`
}

// Less tells whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Major < w.Major || v.Major == w.Major && v.Minor < w.Minor
}

// Event sets the value of a key; a null value says that the key is gone.
type Event struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
	Scope   string          `json:"scope,omitempty"` // whom it concerns; empty for all
	number  uint64
	at      time.Time
	encoded []byte // once somebody has asked for it
}

// Gone tells whether the event takes its key away.
func (e Event) IsDeleted() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// bucket is where the digest counts a key: the few large values by themselves,
// those of a kind (kind/name) elsewhere. mark is what an event adds to it.
func (e Event) bucket() int {
	h := hash(e.Key, Version{})
	if strings.Contains(e.Key, "/") {
		return int(single + h%(buckets-single))
	}
	return int(h % single)
}
func (e Event) mark() uint64 { return hash(e.Key, e.Version) }

func hash(key string, v Version) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte(key), uint64(v.Major)), uint64(v.Minor)))
	return h.Sum64()
}

// buckets is into how many parts the digest divides the keys; the first of them
// are for keys without a kind.
const (
	buckets = 256
	single  = 16
)

// Journal is the events of one process.
type Journal struct {
	source string
	keep   time.Duration // how long the keys that are gone are remembered

	mu      sync.Mutex
	number  uint64
	latest  map[string]*Event
	log     []*Event // by number; those that are not the newest of their key are passed over
	digest  [buckets]uint64
	folds   []func(Event)
	patient string
	changed chan struct{}
	urgent  chan struct{}
}

// New makes a journal. Source must differ between lives of a process. Keys with
// the prefix patient can wait a little: they do not close Urgent.
func New(source string, keep time.Duration, patient string) *Journal {
	return &Journal{source: source, keep: keep, patient: patient, latest: map[string]*Event{}, changed: make(chan struct{}), urgent: make(chan struct{})}
}

// Fold calls f for all events there are and then for each new one, in order.
// f must not append.
func (j *Journal) Fold(f func(Event)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.since(0) {
		f(*e)
	}
	j.folds = append(j.folds, f)
}

func (j *Journal) can(e *Event) bool { return j.patient != "" && strings.HasPrefix(e.Key, j.patient) }

// Append adds an event unless its key holds a version as new; it tells
// whether the event was new.
func (j *Journal) Append(e Event) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	old := j.latest[e.Key]
	if old != nil && !old.Version.Less(e.Version) {
		return false
	}
	j.number++
	e.number, e.at, e.encoded = j.number, time.Now(), nil
	at := e.bucket()
	if old != nil {
		j.digest[at] ^= old.mark()
	}
	j.digest[at] ^= e.mark()
	j.latest[e.Key] = &e
	j.log = append(j.log, &e)
	for _, f := range j.folds {
		f(e)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	if !j.can(&e) {
		close(j.urgent)
		j.urgent = make(chan struct{})
	}
	if len(j.log) > 2*len(j.latest)+buckets {
		j.compact()
	}
	return true
}

// compact drops the events that are not the newest of their key, and the keys
// that are gone for long. The lock is held.
func (j *Journal) compact() {
	j.log = slices.DeleteFunc(j.log, func(e *Event) bool {
		if j.latest[e.Key] != e {
			return true
		}
		if e.IsDeleted() && time.Since(e.at) > j.keep {
			j.digest[e.bucket()] ^= e.mark()
			delete(j.latest, e.Key)
			return true
		}
		return false
	})
}

// Get gives the newest event of a key.
func (j *Journal) Get(key string) (Event, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.latest[key]; e != nil {
		return *e, true
	}
	return Event{}, false
}

// Page is what a reader gets: the events after the number it knew.
type Page struct {
	Source string  `json:"source"`
	Number uint64  `json:"number"`
	Events []Event `json:"events"`
}

// Encode is the page as JSON; each event is encoded once for all readers.
func (p Page) Encode() []byte {
	out := append(strconv.AppendUint(append(append([]byte(`{"source":`), Encode(p.Source)...), `,"number":`...), p.Number, 10), `,"events":[`...)
	for i, e := range p.Events {
		if i > 0 {
			out = append(out, ',')
		}
		if e.encoded == nil {
			e.encoded = Encode(e)
		}
		out = append(out, e.encoded...)
	}
	return append(out, "]}"...)
}

// Oldest is when the first of the events was appended.
func (p Page) Oldest() time.Time { return p.Events[0].at }

// Since gives the events after a number that a reader wants, or all when the
// source is another, and whether any of them is urgent. For a reader of another
// source, what its digest shows that it has is left out.
func (j *Journal) Since(source string, number uint64, digest []byte, wants func(Event) bool) (p Page, urgent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := source == j.source && number <= j.number
	if !known {
		number = 0
	}
	p = Page{Source: j.source, Number: j.number}
	for _, e := range j.since(number) {
		if at := e.bucket(); !known && len(digest) == 8*buckets && binary.BigEndian.Uint64(digest[8*at:]) == j.digest[at] {
			continue
		}
		if wants != nil && !wants(*e) {
			continue
		}
		if e.encoded == nil {
			e.encoded = Encode(*e)
		}
		urgent = urgent || !j.can(e)
		p.Events = append(p.Events, *e)
	}
	return p, urgent
}

// Changes gives channels that are closed at the next event, and at the next
// urgent one. Those who wait ask for them before they look.
func (j *Journal) Changes() (changed, urgent <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed, j.urgent
}

// Holds tells whether there is any event.
func (j *Journal) NotEmpty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.latest) > 0
}

// Digest tells what this journal holds, for another one to leave it out.
func (j *Journal) Digest() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]byte, 0, 8*buckets)
	for _, d := range j.digest {
		out = binary.BigEndian.AppendUint64(out, d)
	}
	return out
}

func (j *Journal) since(number uint64) (out []*Event) {
	from, _ := slices.BinarySearchFunc(j.log, number+1, func(e *Event, n uint64) int { return cmp.Compare(e.number, n) })
	for _, e := range j.log[from:] {
		if j.latest[e.Key] == e {
			out = append(out, e)
		}
	}
	return out
}

// Load appends the events of a page.
func (j *Journal) Load(p Page) {
	for _, e := range p.Events {
		j.Append(e)
	}
}

// Decode reads the value of an event; a value that cannot be read is zero.
func Decode[T any](e Event) T {
	var v T
	if !e.IsDeleted() {
		_ = json.Unmarshal(e.Value, &v)
	}
	return v
}

// Encode makes the value of an event.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("journal: a value cannot be encoded: " + err.Error())
	}
	return raw
}

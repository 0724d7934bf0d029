// Package journal owns the events of one process: they are appended in
// memory, and views are folded from them. Of each key only the newest event
// is kept, so a reader with a gap gets the whole view.
package journal

import (
	"encoding/json"
	"sort"
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
	number  uint64
	at      time.Time
}

// Gone tells whether the event takes its key away.
func (e Event) Gone() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// Journal is the events of one process.
type Journal struct {
	source string
	keep   time.Duration // how long the keys that are gone are remembered

	mu      sync.Mutex
	number  uint64
	latest  map[string]Event
	folds   []func(Event)
	changed chan struct{}
}

// New makes a journal. Source must differ between lives of a process.
func New(source string, keep time.Duration) *Journal {
	return &Journal{source: source, keep: keep, latest: map[string]Event{}, changed: make(chan struct{})}
}

// Fold calls f for all events there are and then for each new one, in order.
// f must not append.
func (j *Journal) Fold(f func(Event)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.since(0) {
		f(e)
	}
	j.folds = append(j.folds, f)
}

// Append adds an event unless its key holds a version as new; it tells
// whether the event was new.
func (j *Journal) Append(e Event) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	old, ok := j.latest[e.Key]
	if ok && !old.Version.Less(e.Version) {
		return false
	}
	j.number++
	e.number, e.at = j.number, time.Now()
	j.latest[e.Key] = e
	for _, f := range j.folds {
		f(e)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	if j.number%256 == 0 {
		for k, old := range j.latest {
			if old.Gone() && time.Since(old.at) > j.keep {
				delete(j.latest, k)
			}
		}
	}
	return true
}

// Get gives the newest event of a key.
func (j *Journal) Get(key string) (Event, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.latest[key]
	return e, ok
}

// Page is what a reader gets: the events after the number it knew.
type Page struct {
	Source string  `json:"source"`
	Number uint64  `json:"number"`
	Events []Event `json:"events"`
}

// Since gives the events after a number, or all when the source is another,
// and a channel that is closed at the next event.
func (j *Journal) Since(source string, number uint64) (Page, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if source != j.source || number > j.number {
		number = 0
	}
	return Page{j.source, j.number, j.since(number)}, j.changed
}

func (j *Journal) since(number uint64) []Event {
	var out []Event
	for _, e := range j.latest {
		if e.number > number {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].number < out[b].number })
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
	if !e.Gone() {
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

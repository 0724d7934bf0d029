package core

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/relay"
)

// entry is what the cores know in memory of one handler or one of our nodes.
type entry struct {
	version journal.Version
	changed journal.Version // when the value last changed but for the numbers of each beat
	value   json.RawMessage // null once gone
	seen    time.Time
	told    time.Time // when this core last changed or saw it, for exchanges
	lonely  bool      // other cores may not know the value yet
}

// registry holds the handlers and nodes. Each core hears some beats itself and
// gets the rest from exchanges with the other cores.
type registry struct {
	mu      sync.Mutex
	entries map[string]*entry
	journal *journal.Journal
}

// Item is an entry in an exchange. Value is left out where it did not change.
type Item struct {
	Key     string          `json:"key"`
	Version journal.Version `json:"version"`
	AgeMs   int64           `json:"age"`
	Value   json.RawMessage `json:"value,omitempty"`
	Changed journal.Version `json:"changed"` // when the value last changed, as the sender knows
}

// goneMinor is the minor version of an entry that is gone for good.
const goneMinor = 1 << 40

// put merges an entry; it tells whether it was newer than what was held.
func (r *registry) put(it Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	seen := now.Add(-time.Duration(it.AgeMs) * time.Millisecond)
	e := r.entries[it.Key]
	if e == nil {
		if it.Value == nil {
			return false
		}
		e = &entry{}
		r.entries[it.Key] = e
	}
	if e.version.Minor >= goneMinor {
		return false
	}
	if seen.After(e.seen) && !it.Version.Less(e.version) {
		e.seen, e.told = seen, now
	}
	if !e.version.Less(it.Version) {
		return false
	}
	e.version = it.Version
	if it.Value == nil {
		return false
	}
	changed := !sameValue(e.value, it.Value)
	e.value, e.told = it.Value, now
	if e.changed.Less(it.Changed) {
		e.changed = it.Changed
	}
	if changed {
		e.changed = it.Version
		r.journal.Append(journal.Event{Key: it.Key, Version: it.Version, Value: it.Value})
	}
	return changed
}

// sameValue compares two values but for the numbers that each beat changes.
func sameValue(a, b json.RawMessage) bool {
	if a == nil || b == nil || string(a) == "null" || string(b) == "null" {
		return string(a) == string(b)
	}
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	for _, k := range []string{"call-seq", "sequence", "warmup-left-ms"} {
		delete(x, k)
		delete(y, k)
	}
	if len(x) != len(y) {
		return false
	}
	for k := range x {
		if x[k] != y[k] {
			return false
		}
	}
	return true
}

// since lists the entries seen or changed after a moment, and the moment now.
// Those that did not change after the version that was sent carry no value.
func (r *registry) since(after time.Time, sent func(key string) journal.Version) ([]Item, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []Item
	for k, e := range r.entries {
		if e.told.After(after) {
			it := Item{Key: k, Version: e.version, AgeMs: now.Sub(e.seen).Milliseconds(), Changed: e.changed}
			if sent(k).Less(e.changed) {
				it.Value = e.value
			}
			out = append(out, it)
		}
	}
	return out, now
}

// get gives the value and the age of an entry.
func (r *registry) get(key string) (json.RawMessage, journal.Version, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil || string(e.value) == "null" {
		return nil, journal.Version{}, 0, false
	}
	return e.value, e.version, time.Since(e.seen), true
}

// nodes lists our own processes that are not gone, with the age of their last beat.
func (r *registry) nodes() map[string]nodeAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]nodeAge{}
	for k, e := range r.entries {
		if name, ok := strings.CutPrefix(k, relay.PrefixNode); ok && string(e.value) != "null" {
			var n relay.Node
			if json.Unmarshal(e.value, &n) == nil {
				out[name] = nodeAge{n, time.Since(e.seen)}
			}
		}
	}
	return out
}

type nodeAge struct {
	relay.Node
	age time.Duration
}

// expire takes away what has been silent for longer than the bounds.
func (r *registry) expire(instances, nodes time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	now := time.Now()
	for k, e := range r.entries {
		bound := nodes
		if strings.HasPrefix(k, relay.PrefixInstance) {
			bound = instances
		}
		silent := now.Sub(e.seen)
		if string(e.value) == "null" {
			if silent > 16*bound {
				delete(r.entries, k)
			}
			continue
		}
		if silent > bound {
			e.version.Minor++
			e.value, e.changed = json.RawMessage("null"), e.version
			r.journal.Append(journal.Event{Key: k, Version: e.version, Value: e.value})
			out = append(out, k)
		}
	}
	return out
}

// Exchange is what cores tell each other every so often.
type Exchange struct {
	From  string `json:"from"`
	Items []Item `json:"items,omitempty"`
	All   bool   `json:"all,omitempty"` // asks for everything back
}

// Exchanged answers an exchange.
type Exchanged struct {
	Items []Item   `json:"items,omitempty"`
	Want  []string `json:"want,omitempty"` // keys whose value is not known here
}

// lacks tells whether an item without its value says more than is known here.
func (r *registry) lacks(it Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[it.Key]
	return it.Value == nil && (e == nil || e.changed.Less(it.Changed))
}

func (c *Core) handleExchange(_ context.Context, in *Exchange, _ []byte) (*Exchanged, error) {
	out := &Exchanged{}
	for _, it := range in.Items {
		if c.registry.lacks(it) {
			out.Want = append(out.Want, it.Key)
			continue
		}
		c.registry.put(it)
	}
	if in.All {
		out.Items, _ = c.registry.since(time.Time{}, func(string) journal.Version { return journal.Version{Major: -1} })
	}
	return out, nil
}

// beat takes a handler's beat; it returns once it is safe to acknowledge.
func (c *Core) beat(ctx context.Context, in handler.Instance) error {
	it := Item{Key: relay.PrefixInstance + in.ID, Version: journal.Version{Major: in.CallSeq}, Value: journal.Encode(in)}
	return c.share(ctx, it)
}

// leave takes a handler away for good.
func (c *Core) leave(ctx context.Context, id string) error {
	key := relay.PrefixInstance + id
	_, v, _, ok := c.registry.get(key)
	if !ok {
		return nil
	}
	return c.share(ctx, Item{Key: key, Version: journal.Version{Major: v.Major, Minor: goneMinor}, Value: json.RawMessage("null")})
}

// share merges an item here and, where it says something new, at every other
// core that answers, and at a majority in any case.
func (c *Core) share(ctx context.Context, it Item) error {
	if c.registry.put(it) {
		c.registry.lonely(it.Key, true)
	} else if !c.registry.lonely(it.Key, true) {
		c.registry.lonely(it.Key, false)
		return nil
	}
	if err := c.spread(ctx, Exchange{From: c.self, Items: []Item{it}}); err != nil {
		return err
	}
	c.registry.lonely(it.Key, false)
	return nil
}

// lonely marks whether an entry may be known here alone, and tells what held before.
func (r *registry) lonely(key string, yes bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil {
		return false
	}
	before := e.lonely
	e.lonely = yes
	return before
}

package controlplane

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/distribution"
	"saltreel/internal/handler"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// entry is what the cores know in memory of one handler or one of our nodes.
type entry struct {
	version journal.Version
	changed journal.Version // when the value last changed but for the numbers of each beat
	value   json.RawMessage // null once gone
	node    membership.Node // the value, where it is one of our own processes
	seen    time.Time
	told    time.Time // when this core last heard it itself or learned a change, for exchanges
	heard   time.Time // when it last beat to this core
	missed  time.Time // when this core last reported its silence
	settled int64     // 1 once it is sure that the draining lasts, 2 that the end does
	former  string    // the life of the node before this one
	ended   time.Time // when the next was seen
	over    []string  // the lives that this core itself heard the next one of, newest last
}

// registry holds the handlers and nodes. Each core hears some beats itself and
// gets the rest from exchanges with the other cores.
type registry struct {
	mu      sync.Mutex
	entries map[string]*entry
	journal *journal.Journal
	late    time.Duration // how long what others told of a life that is over holds
}

// formerLives is how many lives that are over are known of each node: a link
// that was cut may bring a beat of any of them, however late.
const formerLives = 8

// Item is an entry in an exchange. Value is left out where it did not change.
type Item struct {
	Key     string          `json:"key"`
	Version journal.Version `json:"version"`
	AgeMs   int64           `json:"age"`
	Value   json.RawMessage `json:"value,omitempty"`
	Changed journal.Version `json:"changed"` // when the value last changed, as the sender knows
}

// Leaving is for good: the versions of a handler that drains are above all of
// one that is ready, and those of one that is gone above all others. So no late
// beat and no old picture brings an instance back, wherever the news are merged.
const (
	drains = int64(1) << 60
	gone   = int64(1) << 61
)

// leaving tells whether an item must outlive its cores before it is acknowledged.
func (it Item) leaving() bool {
	return it.Version.Major >= drains && strings.HasPrefix(it.Key, distribution.PrefixInstance)
}

// hear merges what a node or handler itself said to this core.
func (r *registry) hear(it Item) bool {
	changed := r.put(it)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[it.Key]; e != nil {
		e.heard = time.Now()
		e.told = e.heard
	}
	return changed
}

// beat takes what one of our own processes says to this core. A life that is
// not known is newer than the one that is: the order of lives is that in which
// the watchers see them, and rests on nobody's time of day. The clock only
// keeps a core that just started above what it said before.
func (r *registry) beat(n membership.Node) (Item, bool) {
	it := Item{Key: distribution.PrefixNode + n.Name, Value: journal.Encode(n)}
	r.mu.Lock()
	it.Version = journal.Version{Major: time.Now().UnixMilli(), Minor: n.Sequence}
	if e := r.entries[it.Key]; e != nil {
		switch {
		case e.node.Incarnation == n.Incarnation:
			it.Version.Major = e.version.Major
		case e.former == n.Incarnation && time.Since(e.ended) < r.late,
			slices.Contains(e.over, n.Incarnation) && time.Since(e.seen) < r.late: // a late beat, while the next life is heard
			r.mu.Unlock()
			return it, false
		default:
			it.Version.Major = max(it.Version.Major, e.version.Major+1)
			if e.node.Incarnation != "" {
				e.over = append(e.over, e.node.Incarnation)
				e.over = e.over[max(0, len(e.over)-formerLives):]
			}
		}
	}
	r.mu.Unlock()
	return it, r.hear(it)
}

// silent lists the stores that used to beat to this core and have been silent
// for longer than a bound, each once in that time.
func (r *registry) silent(bound, most time.Duration) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for k, e := range r.entries {
		name, ok := strings.CutPrefix(k, distribution.PrefixNode)
		if ok && e.node.Role == "store" && !e.heard.IsZero() && now.Sub(e.heard) > bound && now.Sub(e.heard) < most && now.Sub(e.missed) > bound {
			e.missed = now
			out = append(out, name)
		}
	}
	return out
}

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
	if seen.After(e.seen) && !it.Version.Less(e.version) {
		e.seen = seen
	}
	if !e.version.Less(it.Version) {
		return false
	}
	e.version = it.Version
	if it.Value == nil {
		return false
	}
	changed := !sameValue(e.value, it.Value)
	e.value = it.Value
	if strings.HasPrefix(it.Key, distribution.PrefixNode) {
		before := e.node.Incarnation
		e.node = membership.Node{}
		_ = json.Unmarshal(it.Value, &e.node)
		if e.node.Incarnation != "" && before != e.node.Incarnation {
			e.former, e.ended = before, now
		}
	}
	if e.changed.Less(it.Changed) {
		e.changed = it.Changed
	}
	if changed {
		e.changed, e.told = it.Version, now
		r.journal.Append(journal.Event{Key: it.Key, Version: it.Version, Value: it.Value, Scope: e.node.Scope()})
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
		if name, ok := strings.CutPrefix(k, distribution.PrefixNode); ok && string(e.value) != "null" {
			out[name] = nodeAge{e.node, time.Since(e.seen)}
		}
	}
	return out
}

type nodeAge struct {
	membership.Node
	age time.Duration
}

// expire takes away what has been silent for longer than the bounds, and
// forgets what has been gone for much longer.
func (r *registry) expire(instances, nodes time.Duration) (out, forgotten []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for k, e := range r.entries {
		bound := nodes
		if strings.HasPrefix(k, distribution.PrefixInstance) {
			bound = instances
		}
		silent := now.Sub(e.seen)
		if string(e.value) == "null" {
			if silent > 16*bound {
				delete(r.entries, k)
				forgotten = append(forgotten, k)
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
	return out, forgotten
}

// Exchange is what cores tell each other every so often.
type Exchange struct {
	From  string `json:"from"`
	Items []Item `json:"items,omitempty"`
	Ask   string `json:"ask,omitempty"` // for what is to come back, if anything
	// View is what the asker knows, with Ask: the one asked is in it, or in a
	// newer one, before it answers.
	View *chain.View `json:"view,omitempty"`
	// Keep asks to keep the items as a voter of an electorate, and to refuse
	// when the one asked is not a voter of that one.
	Keep *int64 `json:"keep,omitempty"`
}

// What an exchange may ask for.
const (
	askAll      = "all"
	askLeavings = "leavings"
)

// Exchanged answers an exchange.
type Exchanged struct {
	Disk     string      `json:"disk"` // of the core that answers: what it kept is on that one
	Items    []Item      `json:"items,omitempty"`
	Want     []string    `json:"want,omitempty"` // keys whose value is not known here
	View     *chain.View `json:"view,omitempty"` // with Ask
	Complete int64       `json:"complete,omitempty"`
}

// lacks tells whether an item without its value says more than is known here:
// also where this core heard nothing for so long that it took the entry off,
// while another one still hears it.
func (r *registry) lacks(it Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[it.Key]
	return it.Value == nil && (e == nil || e.changed.Less(it.Changed) || string(e.value) == "null" && e.version.Less(it.Version))
}

func (c *Server) handleExchange(ctx context.Context, in *Exchange, _ []byte) (*Exchanged, error) {
	out := &Exchanged{Disk: c.chain.Self.Disk}
	if in.View != nil {
		if err := c.chain.InstallView(ctx, *in.View); err != nil {
			return nil, err
		}
	}
	if in.Keep != nil {
		return out, c.keepFor(*in.Keep, in.Items)
	}
	known := in.Items[:0]
	for _, it := range in.Items {
		if c.registry.lacks(it) {
			out.Want = append(out.Want, it.Key)
		} else {
			known = append(known, it)
		}
	}
	if err := c.take(known); err != nil {
		return nil, err
	}
	if in.Ask != "" {
		// The view comes first: what is kept for it later is not promised to be among the items.
		view := c.chain.View()
		c.mu.Lock()
		out.View, out.Complete = &view, c.complete
		c.mu.Unlock()
		out.Items, _ = c.registry.since(time.Time{}, func(string) journal.Version { return journal.Version{Major: -1} })
		if in.Ask == askLeavings {
			out.Items = slices.DeleteFunc(out.Items, func(it Item) bool { return !it.leaving() })
		}
	}
	return out, nil
}

// take merges what a peer tells; leavings are on disk when it returns.
func (c *Server) take(items []Item) error {
	var leavings []Item
	for _, it := range items {
		if c.registry.put(it) && strings.HasPrefix(it.Key, distribution.PrefixNode) {
			c.nudge() // the steward may wait for this one
		}
		if it.leaving() && it.Value != nil {
			leavings = append(leavings, it)
		}
	}
	return c.keep(leavings)
}

// beat takes a handler's beat; it returns once it is safe to acknowledge.
func (c *Server) beat(ctx context.Context, in handler.Instance) error {
	v := journal.Version{Major: in.CallSeq}
	if in.State != handler.Ready {
		v.Major += drains
	}
	it := Item{Key: distribution.PrefixInstance + in.ID, Version: v, Value: journal.Encode(in)}
	if it.leaving() {
		return c.depart(ctx, it)
	}
	if c.registry.hear(it) {
		c.spread(it)
	}
	return nil
}

// leave takes a handler away for good, whether it is known here or not.
func (c *Server) leave(ctx context.Context, id string) error {
	return c.depart(ctx, Item{Key: distribution.PrefixInstance + id, Version: journal.Version{Major: gone}, Value: json.RawMessage("null")})
}

// depart makes a leaving last. Once it does, repeated beats cost nothing.
func (c *Server) depart(ctx context.Context, it Item) error {
	c.registry.hear(it)
	if c.registry.settled(it, false) {
		return nil
	}
	if err := c.settle(ctx, it); err != nil {
		return err
	}
	c.registry.settled(it, true)
	c.spread(it)
	return nil
}

// settled tells whether a leaving like this one is known to last; with now, it
// is from here on.
func (r *registry) settled(it Item, now bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[it.Key]
	if e == nil {
		return false
	}
	rank := it.Version.Major / drains
	if now {
		e.settled = max(e.settled, rank)
	}
	return e.settled >= rank
}

package registry

import (
	"strings"
	"sync"
	"time"

	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// table holds the records of all instances and nodes in memory, and appends
// each change to the journal. Each core receives some heartbeats itself and gets
// the rest from the other cores by anti-entropy.
type table struct {
	journal        *journal.Journal
	staleWindow    time.Duration // how long heartbeats of earlier incarnations are ignored
	sessionTimeout time.Duration // without heartbeats, after which a sender arrives anew

	mu      sync.Mutex
	records map[string]*record
}

func newTable(events *journal.Journal, staleWindow, sessionTimeout time.Duration) *table {
	return &table{journal: events, staleWindow: staleWindow, sessionTimeout: sessionTimeout, records: map[string]*record{}}
}

// sessionStart is when the first of the heartbeats came that an instance sends to this core
// without a gap; the zero time if there is none.
func (t *table) sessionStart(key string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		return r.sessionStart
	}
	return time.Time{}
}

// merge merges an entry that another core sent; it says whether the value changed.
func (t *table) merge(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeLocked(in, time.Now())
}

func (t *table) mergeLocked(in Entry, now time.Time) bool {
	r := t.records[in.Key]
	if r == nil {
		if in.Value == nil {
			return false
		}
		r = &record{}
		t.records[in.Key] = r
	}
	changed := r.merge(in, now)
	if changed {
		t.journal.Append(journal.Event{Key: in.Key, Version: in.Version, Value: in.Value, Scope: r.node.Scope()})
	}
	return changed
}

// heartbeat merges an entry made of a heartbeat that this core itself received.
func (t *table) heartbeat(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heartbeatLocked(in, time.Now())
}

func (t *table) heartbeatLocked(in Entry, now time.Time) bool {
	changed := t.mergeLocked(in, now)
	if r := t.records[in.Key]; r != nil {
		r.recordHeartbeat(now, t.sessionTimeout)
	}
	return changed
}

// nodeHeartbeat merges a heartbeat of one of our own processes. It gives the
// entry made of it, and whether its value changed.
func (t *table) nodeHeartbeat(n membership.Node) (Entry, bool) {
	in := Entry{Key: distribution.PrefixNode + n.Name, Value: journal.Encode(n)}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	r := t.records[in.Key]
	version, current := r.heartbeatVersion(n, now, t.staleWindow)
	in.Version = version
	if !current {
		return in, false
	}
	if r != nil {
		r.recordReplaced(n.Incarnation)
	}
	return in, t.heartbeatLocked(in, now)
}

// overdueStores are the names of the stores that used to send their heartbeats
// to this core and sent none for longer than after, but less than before. Each
// is named once in that time.
func (t *table) overdueStores(after, before time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []string
	for key, r := range t.records {
		name, ok := strings.CutPrefix(key, distribution.PrefixNode)
		if ok && r.isOverdue(now, after, before) {
			r.reportedAt = now
			out = append(out, name)
		}
	}
	return out
}

// updatedSince lists the entries received or changed after a moment, and gives
// the moment now. Those that did not change since the version that the receiver
// has carry no value.
func (t *table) updatedSince(after time.Time, sentVersion func(key string) journal.Version) ([]Entry, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []Entry
	for key, r := range t.records {
		if !r.updated.After(after) {
			continue
		}
		entry := r.entry(key)
		if !sentVersion(key).Less(r.changed) {
			entry.Value = nil
		}
		out = append(out, entry)
	}
	return out, now
}

// unsent is the version of what a receiver never got.
var unsent = journal.Version{Major: -1}

// all lists all entries with their values.
func (t *table) all() []Entry {
	entries, _ := t.updatedSince(time.Time{}, func(string) journal.Version { return unsent })
	return entries
}

// NodeStatus is a node as its newest heartbeat describes it, and how long ago
// any core received that.
type NodeStatus struct {
	membership.Node
	Age      time.Duration
	LastSeen time.Time // the moment Age ago
}

// nodes lists our own processes that have not expired, by name.
func (t *table) nodes() map[string]NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]NodeStatus{}
	for key, r := range t.records {
		if name, ok := strings.CutPrefix(key, distribution.PrefixNode); ok && !isNull(r.value) {
			out[name] = NodeStatus{Node: r.node, Age: time.Since(r.lastSeen), LastSeen: r.lastSeen}
		}
	}
	return out
}

// expire marks what had no heartbeat for longer than its expiry as no longer
// there, and forgets what has not been there for much longer. It gives the keys
// of both.
func (t *table) expire(instanceExpiry, nodeExpiry time.Duration) (expired, purged []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for key, r := range t.records {
		expiry := nodeExpiry
		if isInstance(key) {
			expiry = instanceExpiry
		}
		switch r.expiryAction(now, expiry) {
		case expiryPurge:
			delete(t.records, key)
			purged = append(purged, key)
		case expiryExpire:
			r.expire()
			t.journal.Append(journal.Event{Key: key, Version: r.version, Value: r.value})
			expired = append(expired, key)
		case expiryNone:
		}
	}
	return expired, purged
}

// needsValue says whether an entry came without a value that this core does
// not know.
func (t *table) needsValue(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[in.Key].needsValue(in)
}

// isConfirmed says whether a tombstone of this stage is known to be on the
// disks of a quorum.
func (t *table) isConfirmed(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[in.Key]
	return r != nil && r.confirmedStage >= in.stage()
}

// confirm notes that a tombstone is on the disks of a quorum.
func (t *table) confirm(in Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[in.Key]; r != nil {
		r.confirmedStage = max(r.confirmedStage, in.stage())
	}
}

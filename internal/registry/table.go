package registry

import (
	"strings"
	"sync"
	"time"

	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// table holds the records of all instances and nodes in memory and appends every
// change to the journal. Each core receives some of the heartbeats itself and the
// others from the other cores by anti-entropy.
type table struct {
	journal        *journal.Journal
	staleWindow    time.Duration // how long heartbeats of earlier incarnations are ignored
	sessionTimeout time.Duration // a longer gap between heartbeats begins a new session

	mu      sync.Mutex
	records map[string]*record
}

func newTable(events *journal.Journal, staleWindow, sessionTimeout time.Duration) *table {
	return &table{journal: events, staleWindow: staleWindow, sessionTimeout: sessionTimeout, records: map[string]*record{}}
}

// sessionStart returns the time of the first heartbeat in the current session of an
// instance with this core, or the zero time if there is none. A session is a run of
// heartbeats without a gap longer than sessionTimeout.
func (t *table) sessionStart(key string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		return r.sessionStart
	}
	return time.Time{}
}

// merge merges an entry that another core sent and reports whether the value
// changed.
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

// mergeHeartbeat merges an entry built from a heartbeat that this core received itself.
func (t *table) mergeHeartbeat(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeHeartbeatLocked(in, time.Now())
}

func (t *table) mergeHeartbeatLocked(in Entry, now time.Time) bool {
	changed := t.mergeLocked(in, now)
	if r := t.records[in.Key]; r != nil {
		r.recordHeartbeat(now, t.sessionTimeout)
	}
	return changed
}

// mergeNodeHeartbeat merges a heartbeat of a node. It returns the entry built from it and
// reports whether the value changed.
func (t *table) mergeNodeHeartbeat(n membership.Node) (Entry, bool) {
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
	return in, t.mergeHeartbeatLocked(in, now)
}

// overdueStores returns the names of the stores that used to send their heartbeats
// to this core and whose last one is older than minAge, but not older than maxAge.
// Each store is returned at most once per interval of length minAge.
func (t *table) overdueStores(minAge, maxAge time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []string
	for key, r := range t.records {
		name, ok := strings.CutPrefix(key, distribution.PrefixNode)
		if ok && r.isOverdue(now, minAge, maxAge) {
			r.reportedAt = now
			out = append(out, name)
		}
	}
	return out
}

// updatedSince returns the entries received or changed after the given time, and
// the current time. Entries whose value has not changed since the version that was
// sent to the receiver carry no value.
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

// unsent is the version that stands for a key that was never sent to a receiver.
var unsent = journal.Version{Major: -1}

// all returns all entries with their values.
func (t *table) all() []Entry {
	entries, _ := t.updatedSince(time.Time{}, func(string) journal.Version { return unsent })
	return entries
}

// NodeStatus is a node as described by its newest heartbeat, and how long ago any
// core received that heartbeat.
type NodeStatus struct {
	membership.Node
	Age      time.Duration
	LastSeen time.Time // the time of that heartbeat
}

// nodes returns the nodes that have not expired, by name.
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

// expire marks records as absent whose last heartbeat is older than their expiry
// time, and purges records that have been absent for much longer. It returns the
// keys of both.
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

// needsValue reports whether an entry came without its value, and this core does
// not have that value.
func (t *table) needsValue(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[in.Key].needsValue(in)
}

// isConfirmed reports whether a tombstone of this or a later stage is known to be on
// the disks of a quorum.
func (t *table) isConfirmed(in Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[in.Key]
	return r != nil && r.confirmedStage >= in.stage()
}

// confirm records that a tombstone is on the disks of a quorum.
func (t *table) confirm(in Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[in.Key]; r != nil {
		r.confirmedStage = max(r.confirmedStage, in.stage())
	}
}

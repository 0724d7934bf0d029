package registry

import (
	"encoding/json"
	"slices"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// record is the state of one handler instance or node at this core. Its methods
// implement the merge rules; the caller provides the time, where a rule depends on
// it, and the locking.
type record struct {
	version        journal.Version
	changed        journal.Version // version of the last change of the value, per-heartbeat counters aside
	value          json.RawMessage // null if expired or deregistered
	node           membership.Node // the decoded value of a node
	lastSeen       time.Time       // time of the newest heartbeat that any core received
	updated        time.Time       // when this core last received a heartbeat or a change; used by anti-entropy
	lastHeartbeat  time.Time       // time of the newest heartbeat that this core received itself
	sessionStart   time.Time       // time of the first heartbeat of the current session with this core
	reportedAt     time.Time       // when this core last reported the heartbeat as overdue
	confirmedStage stage           // highest stage known to be on the disks of a quorum

	previousIncarnation  string
	replacedAt           time.Time // when the current incarnation was first seen
	replacedIncarnations []string  // incarnations whose successor sent a heartbeat to this core, newest last
}

// maxReplacedIncarnations bounds how many replaced incarnations of a node are
// remembered. A link that recovers may deliver heartbeats of any of them, after any
// delay.
const maxReplacedIncarnations = 8

// recordHeartbeat records a heartbeat that this core received itself. A heartbeat
// after a gap longer than sessionTimeout begins a new session.
func (r *record) recordHeartbeat(now time.Time, sessionTimeout time.Duration) {
	if now.Sub(r.lastHeartbeat) > sessionTimeout {
		r.sessionStart = now
	}
	r.lastHeartbeat = now
	r.updated = now
}

// entry returns the record as an entry to send to another core.
func (r *record) entry(key string) Entry {
	return Entry{Key: key, Version: r.version, AgeMs: time.Since(r.lastSeen).Milliseconds(), Value: r.value, Changed: r.changed}
}

// merge merges an entry of another core, or one built from a heartbeat, and reports
// whether the value changed.
func (r *record) merge(in Entry, now time.Time) (changed bool) {
	seen := now.Add(-time.Duration(in.AgeMs) * time.Millisecond)
	if seen.After(r.lastSeen) && !in.Version.Less(r.version) {
		r.lastSeen = seen
	}
	if !r.version.Less(in.Version) {
		return false
	}
	r.version = in.Version
	if in.Value == nil {
		return false
	}
	changed = !sameValue(r.value, in.Value)
	r.value = in.Value
	if isNode(in.Key) {
		r.decodeNode(now)
	}
	if r.changed.Less(in.Changed) {
		r.changed = in.Changed
	}
	if changed {
		r.changed = in.Version
		r.updated = now
	}
	return changed
}

func (r *record) decodeNode(now time.Time) {
	before := r.node.Incarnation
	r.node = membership.Node{}
	_ = json.Unmarshal(r.value, &r.node) // the value null of an expired node gives the zero node
	if r.node.Incarnation != "" && before != r.node.Incarnation {
		r.previousIncarnation = before
		r.replacedAt = now
	}
}

// heartbeatVersion returns the version of a heartbeat that a node sent to this core,
// and false if the heartbeat is stale, that is, of an earlier incarnation. An
// unknown incarnation succeeds the current one: incarnations are ordered by when
// the cores first see them, not by any clock. The clock only ensures that a core
// that has just started assigns higher versions than before its restart.
func (r *record) heartbeatVersion(n membership.Node, now time.Time, staleWindow time.Duration) (journal.Version, bool) {
	version := journal.Version{Major: now.UnixMilli(), Minor: n.Sequence}
	if r == nil {
		return version, true
	}
	if r.node.Incarnation == n.Incarnation {
		version.Major = r.version.Major
		return version, true
	}
	if r.isStale(n.Incarnation, now, staleWindow) {
		return version, false
	}
	version.Major = max(version.Major, r.version.Major+1)
	return version, true
}

// isStale reports whether an incarnation precedes the current one. The previous
// incarnation counts as stale for the window after the current one was first seen, and
// the replaced ones count as stale while the newest heartbeat is within the window.
func (r *record) isStale(incarnation string, now time.Time, window time.Duration) bool {
	if r.previousIncarnation == incarnation && now.Sub(r.replacedAt) < window {
		return true
	}
	return slices.Contains(r.replacedIncarnations, incarnation) && now.Sub(r.lastSeen) < window
}

// recordReplaced records that a successor of the current incarnation sent a
// heartbeat to this core.
func (r *record) recordReplaced(successor string) {
	if r.node.Incarnation == "" || r.node.Incarnation == successor {
		return
	}
	r.replacedIncarnations = append(r.replacedIncarnations, r.node.Incarnation)
	r.replacedIncarnations = r.replacedIncarnations[max(0, len(r.replacedIncarnations)-maxReplacedIncarnations):]
}

// needsValue reports whether an entry without a value is newer than this record, so
// that its value must be requested. That includes a record that expired here, where
// no heartbeats arrived, while another core still receives them.
func (r *record) needsValue(in Entry) bool {
	if in.Value != nil {
		return false
	}
	return r == nil || r.changed.Less(in.Changed) || isNull(r.value) && r.version.Less(in.Version)
}

// expiryAction is what to do with a record after a time without heartbeats.
type expiryAction int

const (
	expiryNone   expiryAction = iota
	expiryExpire              // treat it as absent until the next heartbeat
	expiryPurge               // delete the record
)

func (r *record) expiryAction(now time.Time, expiry time.Duration) expiryAction {
	age := now.Sub(r.lastSeen)
	switch {
	case age <= expiry: // the common case
		return expiryNone
	case !isNull(r.value):
		return expiryExpire
	case age > tombstoneRetentionPeriods*expiry:
		return expiryPurge
	}
	return expiryNone
}

func (r *record) expire() {
	r.version.Minor++
	r.value = nullValue
	r.changed = r.version
}

// isOverdue reports whether a store that used to send its heartbeats to this core
// should be reported as overdue: its last heartbeat is older than minAge, but not
// older than maxAge, and it was not reported within the last interval of minAge.
func (r *record) isOverdue(now time.Time, minAge, maxAge time.Duration) bool {
	if r.node.Role != "store" || r.lastHeartbeat.IsZero() {
		return false
	}
	age := now.Sub(r.lastHeartbeat)
	return age > minAge && age < maxAge && now.Sub(r.reportedAt) > minAge
}

// sameValue compares two values except for the counters that change with each heartbeat.
func sameValue(a, b json.RawMessage) bool {
	if a == nil || b == nil || isNull(a) || isNull(b) {
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

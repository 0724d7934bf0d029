package registry

import (
	"encoding/json"
	"slices"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/membership"
)

// record is what this core knows of one handler instance or node. Its methods
// are the rules of merging; they look at no clock and take no lock.
type record struct {
	version        journal.Version
	changed        journal.Version // when the value last changed but for the numbers of each heartbeat
	value          json.RawMessage // null once it has expired or is deregistered
	node           membership.Node // the decoded value of a node
	lastSeen       time.Time       // newest heartbeat that any core received
	updated        time.Time       // when this core last received a heartbeat or a change, for anti-entropy
	lastHeartbeat  time.Time       // newest heartbeat that this core received itself
	sessionStart   time.Time       // the first of those without a gap before lastHeartbeat
	reportedAt     time.Time       // when this core last reported the heartbeat as overdue
	confirmedStage stage           // the stage known to be on the disks of a quorum

	previousIncarnation  string
	replacedAt           time.Time // when the current incarnation was first seen
	replacedIncarnations []string  // those whose successor sent heartbeats to this core, newest last
}

// maxReplacedIncarnations is how many ended incarnations of a node are known: a
// link that was cut may deliver a heartbeat of any of them, however late.
const maxReplacedIncarnations = 8

// recordHeartbeat notes a heartbeat that this core received itself. After a gap longer
// than expiry the sender counts as arriving here anew.
func (r *record) recordHeartbeat(now time.Time, sessionTimeout time.Duration) {
	if now.Sub(r.lastHeartbeat) > sessionTimeout {
		r.sessionStart = now
	}
	r.lastHeartbeat = now
	r.updated = now
}

// entry is the record as it is sent to another core.
func (r *record) entry(key string) Entry {
	return Entry{Key: key, Version: r.version, AgeMs: time.Since(r.lastSeen).Milliseconds(), Value: r.value, Changed: r.changed}
}

// merge merges an entry of another core, or one made of a heartbeat. The result
// says whether the value changed.
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
	_ = json.Unmarshal(r.value, &r.node) // null, once it has expired, is the zero node
	if r.node.Incarnation != "" && before != r.node.Incarnation {
		r.previousIncarnation = before
		r.replacedAt = now
	}
}

// heartbeatVersion is the version of a heartbeat that a node sent to this core,
// and false for a stale one, of an earlier incarnation. An incarnation that is
// not known succeeds the one that is: their order is that in which the cores
// see them, and does not depend on anyone's clock. The clock only lifts a core
// that just started above what it said before.
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

// isStale says whether an incarnation is an earlier one than the current, as
// long as heartbeats of the current one are recent.
func (r *record) isStale(incarnation string, now time.Time, window time.Duration) bool {
	if r.previousIncarnation == incarnation && now.Sub(r.replacedAt) < window {
		return true
	}
	return slices.Contains(r.replacedIncarnations, incarnation) && now.Sub(r.lastSeen) < window
}

// recordReplaced remembers that a successor of the current incarnation sent a
// heartbeat to this core.
func (r *record) recordReplaced(successor string) {
	if r.node.Incarnation == "" || r.node.Incarnation == successor {
		return
	}
	r.replacedIncarnations = append(r.replacedIncarnations, r.node.Incarnation)
	r.replacedIncarnations = r.replacedIncarnations[max(0, len(r.replacedIncarnations)-maxReplacedIncarnations):]
}

// needsValue says whether an entry without its value is newer than what is
// known here: also where this core received nothing for so long that the record
// expired, while another core still receives heartbeats.
func (r *record) needsValue(in Entry) bool {
	if in.Value != nil {
		return false
	}
	return r == nil || r.changed.Less(in.Changed) || isNull(r.value) && r.version.Less(in.Version)
}

// expiryAction is what becomes of a record that had no heartbeat for a while.
type expiryAction int

const (
	expiryNone   expiryAction = iota
	expiryExpire              // it counts as not there until the next heartbeat
	expiryPurge               // the record itself is dropped
)

func (r *record) expiryAction(now time.Time, expiry time.Duration) expiryAction {
	age := now.Sub(r.lastSeen)
	switch {
	case age <= expiry: // by far the most
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

// isOverdue says whether a store that used to send its heartbeats to this core
// is to be reported: it sent none for longer than after, though not for as long
// as before, and was not reported lately.
func (r *record) isOverdue(now time.Time, after, before time.Duration) bool {
	if r.node.Role != "store" || r.lastHeartbeat.IsZero() {
		return false
	}
	age := now.Sub(r.lastHeartbeat)
	return age > after && age < before && now.Sub(r.reportedAt) > after
}

// sameValue compares two values but for the numbers that each heartbeat changes.
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

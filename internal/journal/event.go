package journal

import (
	"encoding/json"
	"time"
)

// Version orders the events of one key; Major takes precedence over Minor. Their
// meaning is up to the owner of the key.
type Version struct {
	Major int64 `json:"major"`
	Minor int64 `json:"minor,omitempty"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Major < w.Major || v.Major == w.Major && v.Minor < w.Minor
}

// Event sets the value of a key. A null or empty value is a tombstone.
type Event struct {
	Key      string          `json:"key"`
	Version  Version         `json:"version"`
	Value    json.RawMessage `json:"value"`
	Scope    string          `json:"scope,omitempty"` // the zone that receives it; empty for all
	number   uint64          // its position in the journal
	appended time.Time
	encoded  []byte // cached JSON; set when a reader first requests the event
}

// IsDeleted reports whether the event is a tombstone, that is, deletes its key.
func (e Event) IsDeleted() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// Decode decodes the JSON value of an event. It returns the zero value for a tombstone
// or malformed JSON; fields of another type than that of T are left zero.
func Decode[T any](e Event) T {
	var v T
	if !e.IsDeleted() {
		_ = json.Unmarshal(e.Value, &v) // the part that could be decoded is used
	}
	return v
}

// Encode encodes the value of an event as JSON. It panics for a type that JSON cannot
// represent, which is a programming error.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("journal: a value cannot be encoded: " + err.Error())
	}
	return raw
}

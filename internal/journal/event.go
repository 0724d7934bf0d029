package journal

import (
	"encoding/json"
	"time"
)

// Version orders the events of one key; Major decides before Minor. What the
// two count is up to the owner of the key.
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
	Scope    string          `json:"scope,omitempty"` // whom it concerns; empty for all
	number   uint64          // its position in the journal
	appended time.Time
	encoded  []byte // as JSON, once a reader has asked for it
}

// IsDeleted reports whether the event is a tombstone, that is, deletes its key.
func (e Event) IsDeleted() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// Decode reads the value of an event as JSON. The value of a tombstone, or one
// that cannot be read, is the zero value.
func Decode[T any](e Event) T {
	var v T
	if !e.IsDeleted() {
		_ = json.Unmarshal(e.Value, &v) // what can be read of it is all there is
	}
	return v
}

// Encode makes the value of an event. It panics for a type that JSON cannot
// express, which is an error of the program.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("journal: a value cannot be encoded: " + err.Error())
	}
	return raw
}

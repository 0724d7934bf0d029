package partition

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"

	"saltreel/internal/ring"
)

// State is the processing state of a message. Of two records of a message, the one with
// the higher state wins, so a message that has ended never becomes pending again.
type State int

// The states of a message, in the order of their precedence.
const (
	Pending    State = iota
	DeadLetter       // undeliverable: refused by the handler, out of attempts, expired or without a route
	Complete
	Deleted // the record was deleted; replicas that receive this state remove theirs
)

// Record is a message as held by a store. Records are shared between goroutines and
// immutable: a change creates a new one.
type Record struct {
	ID        string   `json:"id"`
	Sequence  int64    `json:"q"`           // sequence number of the last change
	Epoch     int64    `json:"e"`           // epoch of the last change
	Order     int64    `json:"o,omitempty"` // order among the messages of its partition
	State     State    `json:"st,omitempty"`
	Tenant    string   `json:"t,omitempty"`
	Method    string   `json:"m,omitempty"`
	Target    string   `json:"u,omitempty"`
	Host      string   `json:"h,omitempty"`
	Type      string   `json:"c,omitempty"` // content type
	OrderKey  string   `json:"k,omitempty"`
	Due       int64    `json:"d,omitempty"`  // wall clock, ms
	Expires   int64    `json:"x,omitempty"`  // end of the retention of the message, the entry or the outcome; wall clock, ms
	Revision  int64    `json:"r,omitempty"`  // revision of the configuration under which it was accepted
	Seal      string   `json:"s,omitempty"`  // of the handler that completed it
	Topic     string   `json:"tp,omitempty"` // of a log entry
	Publisher string   `json:"pb,omitempty"` // of a log entry: the client
	Number    int64    `json:"pn,omitempty"` // of a log entry: the number assigned by the client
	Previous  Position `json:"pv,omitzero"`  // of a log entry: position of the preceding entry of the topic
	Length    int      `json:"n,omitempty"`  // length of the body, which follows the JSON
	Body      []byte   `json:"-"`
	Partition int      `json:"-"`
}

// supersedes reports whether r replaces old.
func (r *Record) supersedes(old *Record) bool {
	if old == nil {
		return true
	}
	if r.State != old.State {
		return r.State > old.State
	}
	return r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.Sequence > old.Sequence
}

// outcome returns the record that remains of a message that has ended. A dead letter
// retains its body, since it may be requested.
func (r *Record) outcome(state State, seal string, expires int64) *Record {
	if state != DeadLetter {
		return &Record{ID: r.ID, Partition: r.Partition, State: state, Tenant: r.Tenant, Seal: seal, Expires: expires}
	}
	dead := *r
	dead.State, dead.Seal, dead.Expires = state, seal, expires
	return &dead
}

// checksum returns the contribution of a record to the checksum of its partition, to
// which it is added by exclusive or. It covers the identifier and the state: records that
// agree in both need no reconciliation.
func (r *Record) checksum() uint64 {
	if r.State == Deleted {
		return 0
	}
	return ring.Hash(r.ID, strconv.Itoa(int(r.State)))
}

// recordOverhead is the estimated memory of a record without its body, in bytes.
const recordOverhead = 400

// memoryBytes returns the estimated memory that a record occupies.
func (r *Record) memoryBytes() int64 { return recordOverhead + int64(len(r.Body)) }

// shiftTimes converts the times of a record from another store's clock to this store's
// clock.
func (r *Record) shiftTimes(ms int64) {
	if r.Due != 0 {
		r.Due += ms
	}
	if r.Expires != 0 {
		r.Expires += ms
	}
}

// recordKey returns the key of a record on disk.
func recordKey(partition int, id string) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(partition)), id...)
}

// encode returns the value of the record on disk: one line of JSON followed by the body.
func (r *Record) encode() []byte {
	header, err := json.Marshal(r)
	if err != nil {
		panic("partition: encode record: " + err.Error())
	}
	return append(append(header, '\n'), r.Body...)
}

func decodeRecord(key, value []byte) (*Record, error) {
	if len(key) < 3 {
		return nil, fmt.Errorf("decode record: key %x is too short", key)
	}
	header, body, ok := bytes.Cut(value, []byte{'\n'})
	r := &Record{Partition: int(binary.BigEndian.Uint16(key))}
	if err := json.Unmarshal(header, r); err != nil {
		return nil, fmt.Errorf("decode record %q: %w", key[2:], err)
	}
	if !ok {
		return nil, fmt.Errorf("decode record %q: no newline after the JSON header", key[2:])
	}
	if r.Length != len(body) || r.ID != string(key[2:]) {
		return nil, fmt.Errorf("decode record %q: identifier or body length does not match", key[2:])
	}
	r.Body = bytes.Clone(body)
	return r, nil
}

// recordSet holds the records that a store has of one partition.
type recordSet struct {
	byID     map[string]*Record
	sequence int64  // the highest sequence number seen
	checksum uint64 // of all records; equal sets have equal checksums
	count    int
}

func newRecordSet() recordSet { return recordSet{byID: map[string]*Record{}} }

// put stores r as the record of its identifier, or removes that record if r is a
// deletion. It returns the increase in memory use, in bytes.
func (s *recordSet) put(r *Record) (growth int64) {
	if old := s.byID[r.ID]; old != nil {
		s.checksum ^= old.checksum()
		s.count--
		growth -= old.memoryBytes()
	}
	s.sequence = max(s.sequence, r.Sequence)
	if r.State == Deleted {
		delete(s.byID, r.ID)
		return growth
	}
	s.byID[r.ID] = r
	s.checksum ^= r.checksum()
	s.count++
	return growth + r.memoryBytes()
}

// isPending reports whether the message is present and pending.
func (s *recordSet) isPending(id string) bool {
	r := s.byID[id]
	return r != nil && r.State == Pending
}

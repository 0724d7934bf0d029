// Package partition owns the messages that a store holds: their records on
// disk and in memory, the copies at a backup, epochs, leases and repair.
package partition

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"

	"saltreel/internal/ring"
)

// State is how far a message is. Later states win where two copies differ.
type State int

// The states of a message.
const (
	Pending State = iota
	Dead
	Complete
	Deleted // past its time; the record goes away
)

// Record is a message as a store holds it. Records that are shared between
// goroutines do not change: a change makes a new one.
type Record struct {
	ID        string `json:"id"`
	Sequence  int64  `json:"q"`           // of the last change
	Epoch     int64  `json:"e"`           // under which it was made
	Order     int64  `json:"o,omitempty"` // the place among the messages of its partition
	State     State  `json:"st,omitempty"`
	Tenant    string `json:"t,omitempty"`
	Method    string `json:"m,omitempty"`
	Target    string `json:"u,omitempty"`
	Host      string `json:"h,omitempty"`
	Type      string `json:"c,omitempty"` // content type
	OrderKey  string `json:"k,omitempty"`
	Due       int64  `json:"d,omitempty"` // wall clock, ms
	Expires   int64  `json:"x,omitempty"` // end of retention, or of the time that an ended state is kept
	Revision  int64  `json:"r,omitempty"` // configuration under which it was accepted
	Seal      string `json:"s,omitempty"`
	Length    int    `json:"n,omitempty"` // of the body, which travels behind the JSON
	Body      []byte `json:"-"`
	Partition int    `json:"-"`
}

// newer tells whether r is to replace old.
func (r *Record) supersedes(old *Record) bool {
	if old == nil {
		return true
	}
	if r.State != old.State {
		return r.State > old.State
	}
	return r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.Sequence > old.Sequence
}

// ended is the record that remains of a message that has ended. The body of a
// dead letter is kept: it may be asked for.
func (r *Record) outcome(state State, seal string, expires int64) *Record {
	n := *r
	n.State, n.Seal, n.Expires = state, seal, expires
	if state != Dead {
		n = Record{ID: r.ID, Partition: r.Partition, State: state, Tenant: r.Tenant, Seal: seal, Expires: expires}
	}
	return &n
}

// mark is a record's share of the digest of its partition.
func (r *Record) checksum() uint64 {
	if r.State == Deleted {
		return 0
	}
	return ring.Hash(r.ID, strconv.Itoa(int(r.State)))
}

// memory estimates what a record takes.
func (r *Record) memoryBytes() int64 { return 400 + int64(len(r.Body)) }

// shift moves the times of a record from another machine's clock to this one's.
func (r *Record) shiftTimes(ms int64) {
	if r.Due != 0 {
		r.Due += ms
	}
	if r.Expires != 0 {
		r.Expires += ms
	}
}

func recordKey(partition int, id string) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(partition)), id...)
}

func (r *Record) encode() []byte {
	front, err := json.Marshal(r)
	if err != nil {
		panic("partition: a record cannot be encoded: " + err.Error())
	}
	return append(append(front, '\n'), r.Body...)
}

func decodeRecord(k, v []byte) (*Record, error) {
	if len(k) < 3 {
		return nil, fmt.Errorf("record key %x is too short", k)
	}
	front, body, ok := bytes.Cut(v, []byte{'\n'})
	r := &Record{Partition: int(binary.BigEndian.Uint16(k))}
	if err := json.Unmarshal(front, r); err != nil || !ok {
		return nil, fmt.Errorf("record %q cannot be read: %v", k[2:], err)
	}
	if r.Length != len(body) || r.ID != string(k[2:]) {
		return nil, fmt.Errorf("record %q is damaged", k[2:])
	}
	r.Body = bytes.Clone(body)
	return r, nil
}

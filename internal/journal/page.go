package journal

import (
	"strconv"
	"time"
)

// Page is the part of a journal that a reader receives: the newest event of each key
// with a number above the reader's last one.
type Page struct {
	Source string  `json:"source"` // of the journal
	Number uint64  `json:"number"` // of the journal's last event
	Events []Event `json:"events"`
}

// Encode returns the page as JSON. Events returned by EventsSince are encoded once for
// all readers.
func (p Page) Encode() []byte {
	out := append([]byte(`{"source":`), Encode(p.Source)...)
	out = append(out, `,"number":`...)
	out = strconv.AppendUint(out, p.Number, 10)
	out = append(out, `,"events":[`...)
	for i, e := range p.Events {
		if i > 0 {
			out = append(out, ',')
		}
		if e.encoded == nil {
			e.encoded = Encode(e)
		}
		out = append(out, e.encoded...)
	}
	return append(out, "]}"...)
}

// eventOverhead is an estimate of the encoded size in bytes of an event without its
// value.
const eventOverhead = 128

// EncodedSize returns an estimate of the size in bytes of the encoded page.
func (p Page) EncodedSize() int {
	size := 0
	for _, e := range p.Events {
		size += eventOverhead + len(e.Key) + len(e.Value)
	}
	return size
}

// Oldest returns when the first event of the page was appended. The page must not be
// empty.
func (p Page) Oldest() time.Time { return p.Events[0].appended }

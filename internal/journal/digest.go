package journal

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
)

// digest summarizes which versions a journal holds: keys are hashed into buckets, and
// the value of a bucket is the XOR of the hashes of its events. Two journals with equal
// buckets need not exchange the events in them.
type digest [digestBuckets]uint64

// The first digestSingleBuckets buckets are reserved for keys that are not of the form
// kind/name. These are few and have large values, which must not be resent because one
// of the many other keys in the same bucket differs.
const (
	digestBuckets       = 256
	digestSingleBuckets = 16
	digestBytes         = 8 * digestBuckets
)

// digestBucket returns the bucket of the event's key.
func (e Event) digestBucket() int {
	h := hash(e.Key, Version{})
	if strings.Contains(e.Key, "/") {
		return int(digestSingleBuckets + h%(digestBuckets-digestSingleBuckets))
	}
	return int(h % digestSingleBuckets)
}

// toggle adds an event to its bucket, or removes it if the bucket includes it.
func (d *digest) toggle(bucket int, e *Event) { d[bucket] ^= hash(e.Key, e.Version) }

// agrees reports whether another journal's encoded digest has the same value in the
// bucket of the event.
func (d *digest) agrees(encoded []byte, e *Event) bool {
	if len(encoded) != digestBytes {
		return false
	}
	bucket := e.digestBucket()
	return binary.BigEndian.Uint64(encoded[8*bucket:]) == d[bucket]
}

func (d *digest) encode() []byte {
	out := make([]byte, 0, digestBytes)
	for _, bucket := range d {
		out = binary.BigEndian.AppendUint64(out, bucket)
	}
	return out
}

// hash is part of the protocol between processes: all versions must compute it alike.
func hash(key string, v Version) uint64 {
	raw := []byte(key)
	raw = binary.BigEndian.AppendUint64(raw, uint64(v.Major))
	raw = binary.BigEndian.AppendUint64(raw, uint64(v.Minor))
	h := fnv.New64a()
	_, _ = h.Write(raw) // never fails
	return h.Sum64()
}

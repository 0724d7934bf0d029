package broker

import (
	"context"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// publicationKey identifies a publication by topic, publisher and message number.
type publicationKey struct {
	topic, publisher string
	number           int64
}

func publicationKeyOf(r *partition.Record) publicationKey {
	return publicationKey{r.Topic, r.Publisher, r.Number}
}

// refusals records the numbers whose publishers were told that they are not stored and never
// will be: an attempt still in flight must not store them. Entries are kept in memory for as
// long as a number may be retransmitted; a broker that takes over the partition does not know
// them. It has no lock of its own: Broker.mu guards it.
type refusals struct {
	refused    map[publicationKey]time.Time // time of the refusal
	publishing map[publicationKey]int       // number of calls in progress that may store it
}

func newRefusals() refusals {
	return refusals{refused: map[publicationKey]time.Time{}, publishing: map[publicationKey]int{}}
}

// deleteBefore deletes the refusals older than the given time.
func (r *refusals) deleteBefore(before time.Time) {
	for key, since := range r.refused {
		if since.Before(before) {
			delete(r.refused, key)
		}
	}
}

// beginPublish returns the records that may be stored, and for each of the given records
// whether it was refused.
func (b *Broker) beginPublish(records []*partition.Record) (accepting []*partition.Record, refused []bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		_, isRefused := b.refusals.refused[publicationKeyOf(r)]
		refused = append(refused, isRefused)
		if !isRefused {
			accepting = append(accepting, r)
			b.refusals.publishing[publicationKeyOf(r)]++
		}
	}
	return accepting, refused
}

// endPublish marks the end of a call that stored these records.
func (b *Broker) endPublish(records []*partition.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		key := publicationKeyOf(r)
		if b.refusals.publishing[key]--; b.refusals.publishing[key] == 0 {
			delete(b.refusals.publishing, key)
		}
	}
}

// handleRefuse refuses a number permanently, unless it is stored or a call in progress may
// store it.
func (b *Broker) handleRefuse(_ context.Context, in *topic.RefuseRequest, _ []byte) (*topic.RefuseResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.topics.isReady(in.Partition) {
		return nil, errNotReady
	}
	key := publicationKey{in.Topic, in.Publisher, in.Number}
	if b.refusals.publishing[key] > 0 || b.config.Partitions.HoldsNumber(in.Partition, in.Topic, in.Publisher, in.Number) {
		return &topic.RefuseResponse{}, nil
	}
	b.refusals.refused[key] = time.Now()
	return &topic.RefuseResponse{Refused: true}, nil
}

package broker

import (
	"context"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/topic"
)

// publicationKey is a publisher's publicationKey on a topic.
type publicationKey struct {
	topic, publisher string
	number           int64
}

func publicationKeyOf(r *partition.Record) publicationKey {
	return publicationKey{r.Topic, r.Publisher, r.Number}
}

// refusals are the numbers whose publishers were told that they are not and will not be
// stored: a try of one that is still on its way must not store it. They are kept in memory,
// for as long as a number may come again; a broker that takes over does not know them. It has
// no lock: the Broker's mu guards it.
type refusals struct {
	refused    map[publicationKey]time.Time // since when
	publishing map[publicationKey]int       // calls that may store it
}

func newRefusals() refusals {
	return refusals{refused: map[publicationKey]time.Time{}, publishing: map[publicationKey]int{}}
}

// deleteBefore forgets the numbers that were refused before a time.
func (r *refusals) deleteBefore(before time.Time) {
	for n, since := range r.refused {
		if since.Before(before) {
			delete(r.refused, n)
		}
	}
}

// beginPublish returns the records that may be stored, and of all which were refused.
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

// endPublish notes that a call stores these records no more.
func (b *Broker) endPublish(records []*partition.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		n := publicationKeyOf(r)
		if b.refusals.publishing[n]--; b.refusals.publishing[n] == 0 {
			delete(b.refusals.publishing, n)
		}
	}
}

// handleRefuse refuses a number for good, unless it is stored or may be just now.
func (b *Broker) handleRefuse(_ context.Context, in *topic.RefuseRequest, _ []byte) (*topic.RefuseResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.topics.isReady(in.Partition) {
		return nil, errNotReady
	}
	n := publicationKey{in.Topic, in.Publisher, in.Number}
	if b.refusals.publishing[n] > 0 || b.config.Partitions.HoldsNumber(in.Partition, in.Topic, in.Publisher, in.Number) {
		return &topic.RefuseResponse{}, nil
	}
	b.refusals.refused[n] = time.Now()
	return &topic.RefuseResponse{Refused: true}, nil
}

package placement

import (
	"cmp"
	"slices"
)

// A message is accepted once all replicas of its partition in the current epoch have it on disk.
// Each replica therefore holds every message that was accepted while it was a replica,
// even if it was never in sync, and keeps it after it is removed from the replica set.
// After the loss of all in-sync replicas, the remaining stores may still hold all
// messages between them. Until all replicas are in sync again, the placement records
// what each such store holds as spans of epochs. (Compare the eligible leader replicas
// of Apache Kafka, KIP-966, where a single replica must hold everything.)

// Span states that a store holds all messages that were accepted in a range of epochs.
type Span struct {
	Store   string `json:"store"`
	From    int64  `json:"from"`              // first epoch; 0: from the first message on
	Through int64  `json:"through,omitempty"` // last epoch, inclusive; 0: the store is still a replica
}

// isOpen reports whether the store is still a replica.
func (s Span) isOpen() bool { return s.Through == 0 }

// covers reports whether the span includes an epoch.
func (s Span) covers(epoch int64) bool { return s.From <= epoch && (s.isOpen() || s.Through >= epoch) }

// completeFrom returns the first epoch from which a replica holds every accepted message.
func (p *Partition) completeFrom(store string) int64 {
	if p.IsUpToDate(store) {
		return 0
	}
	for _, s := range p.Spans {
		if s.Store == store && s.isOpen() {
			return s.From
		}
	}
	return p.Epoch
}

// lastAcceptedEpoch returns the last epoch in which a message may have been accepted,
// given the number of backups that this requires.
func (p *Partition) lastAcceptedEpoch(neededBackups int) int64 {
	if len(p.Backups) < neededBackups {
		return p.Epoch - 1
	}
	return p.Epoch
}

// nextSpans returns the spans of the partition once its replicas are those of next, in
// the epoch after this one.
func (p *Partition) nextSpans(next *Partition, neededBackups int) []Span {
	last := p.lastAcceptedEpoch(neededBackups)
	var spans []Span
	for _, s := range p.Spans {
		if s.isOpen() {
			continue
		}
		if s.Through >= last { // no message has been accepted since the store was removed
			s.Through = p.Epoch
		}
		spans = append(spans, s)
	}
	for _, store := range p.stores() {
		span := Span{Store: store, From: p.completeFrom(store)}
		if !next.HasReplica(store) {
			span.Through = p.Epoch
		}
		spans = append(spans, span)
	}
	for _, store := range next.stores() {
		if !p.HasReplica(store) {
			spans = append(spans, Span{Store: store, From: next.Epoch})
		}
	}
	return spans
}

// stores returns the primary followed by the backups.
func (p *Partition) stores() []string {
	stores := []string{p.Primary}
	for _, backup := range p.Backups {
		stores = append(stores, backup.Store)
	}
	return stores
}

// pruneSpans merges the spans and removes those that are no longer needed: all of them
// once the primary and enough backups hold every message, otherwise those of replicas
// that do. It reports whether the number of spans changed.
func (p *Partition) pruneSpans(neededBackups int) (changed bool) {
	before := len(p.Spans)
	if p.InSync(neededBackups) {
		p.Spans = nil
		return before > 0
	}
	p.Spans = slices.DeleteFunc(mergeSpans(p.Spans), func(s Span) bool {
		return s.isOpen() && p.IsUpToDate(s.Store)
	})
	if len(p.Spans) == 0 {
		p.Spans = nil
	}
	return len(p.Spans) != before
}

// mergeSpans returns the spans sorted by store and first epoch, with overlapping and
// adjacent spans of the same store merged.
func mergeSpans(spans []Span) []Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Store, b.Store), cmp.Compare(a.From, b.From))
	})
	var merged []Span
	for _, s := range sorted {
		if len(merged) > 0 {
			previous := &merged[len(merged)-1]
			if previous.Store == s.Store && (previous.isOpen() || s.From <= previous.Through+1) {
				previous.Through = laterThrough(previous.Through, s.Through)
				continue
			}
		}
		merged = append(merged, s)
	}
	return merged
}

// laterThrough returns the later of two values of Span.Through, where 0 is open-ended.
func laterThrough(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// removeLostSpans removes the spans of former replicas whose disk is lost.
func (p *Partition) removeLostSpans(lost func(store string) bool) (changed bool) {
	before := len(p.Spans)
	p.Spans = slices.DeleteFunc(p.Spans, func(s Span) bool { return !s.isOpen() && lost(s.Store) })
	return len(p.Spans) != before
}

// coveringStores selects usable current and former replicas that together hold every
// accepted message, ordered by the epochs that they contribute. It returns nil if no
// such set exists.
func (p *Partition) coveringStores(usable func(store string) bool, neededBackups int) []string {
	var candidates []Span
	for _, store := range p.stores() {
		candidates = append(candidates, Span{Store: store, From: p.completeFrom(store)})
	}
	candidates = append(candidates, p.Spans...)
	candidates = slices.DeleteFunc(candidates, func(s Span) bool { return !usable(s.Store) })
	var chosen []string
	last := p.lastAcceptedEpoch(neededBackups)
	for epoch := int64(0); epoch <= last; {
		best := longestSpanCovering(candidates, epoch)
		if best < 0 {
			return nil
		}
		if store := candidates[best].Store; !slices.Contains(chosen, store) {
			chosen = append(chosen, store)
		}
		if candidates[best].isOpen() {
			break
		}
		epoch = candidates[best].Through + 1
	}
	return chosen
}

// longestSpanCovering returns the index of the span that covers an epoch and extends
// furthest beyond it, or -1 if none covers it.
func longestSpanCovering(spans []Span, epoch int64) int {
	best := -1
	for i, s := range spans {
		switch {
		case !s.covers(epoch):
		case best < 0, s.isOpen() && !spans[best].isOpen(), !spans[best].isOpen() && s.Through > spans[best].Through:
			best = i
		}
	}
	return best
}

// MarkInSync records that a replica holds every accepted message: a backup that has
// become in sync, or a primary that has copied the records of its sources. It reports
// whether this changed the partition.
func (p *Partition) MarkInSync(store string) bool {
	at := p.BackupIndex(store)
	switch {
	case p.Primary == store && len(p.Sources) > 0:
	case at >= 0 && !p.Backups[at].InSync:
		p.Backups[at].InSync = true
	default:
		return false
	}
	p.Sources = nil // a backup can be in sync only with a primary that holds everything
	return true
}

package placement

import (
	"cmp"
	"slices"
)

// A message is accepted once it is on the disks of all replicas that its partition has
// in that epoch. So each replica holds what was accepted while it was one, also if it
// was never in sync, and after it has left: what a failure takes away from all replicas
// in sync may still lie on the others together. Until all replicas are in sync again the
// placement remembers the others, as spans of epochs. (Apache Kafka remembers them as
// eligible leader replicas, KIP-966; there one replica alone must hold everything.)

// Span says that a store holds all messages that were accepted in some epochs.
type Span struct {
	Store   string `json:"store"`
	From    int64  `json:"from"`              // the first epoch; 0: from the first message on
	Through int64  `json:"through,omitempty"` // the last epoch; 0: the store is a replica still
}

// isOpen reports whether the store is a replica still.
func (s Span) isOpen() bool { return s.Through == 0 }

// covers reports whether the span holds what was accepted in an epoch.
func (s Span) covers(epoch int64) bool { return s.From <= epoch && (s.isOpen() || s.Through >= epoch) }

// completeFrom is the first epoch from which on a replica holds everything that was accepted.
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

// lastAcceptedEpoch is the last epoch in which a message may have been accepted, given
// how many backups that needs.
func (p *Partition) lastAcceptedEpoch(neededBackups int) int64 {
	if len(p.Backups) < neededBackups {
		return p.Epoch - 1
	}
	return p.Epoch
}

// nextSpans is what is to be remembered once the partition has other replicas, in the
// epoch after this one.
func (p *Partition) nextSpans(next *Partition, neededBackups int) []Span {
	last := p.lastAcceptedEpoch(neededBackups)
	var spans []Span
	for _, s := range p.Spans {
		if s.isOpen() {
			continue
		}
		if s.Through >= last { // nothing was accepted since
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

// stores lists the primary and the backups.
func (p *Partition) stores() []string {
	stores := []string{p.Primary}
	for _, backup := range p.Backups {
		stores = append(stores, backup.Store)
	}
	return stores
}

// pruneSpans forgets what need not be remembered: all spans once the primary and enough
// backups hold everything, else those of replicas that do.
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

// mergeSpans returns the spans in order, those of one store that overlap or follow one
// another as one.
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

// laterThrough is the later of two ends of spans.
func laterThrough(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// removeLostSpans removes the spans of a store whose disk is lost.
func (p *Partition) removeLostSpans(lost func(store string) bool) (changed bool) {
	before := len(p.Spans)
	p.Spans = slices.DeleteFunc(p.Spans, func(s Span) bool { return !s.isOpen() && lost(s.Store) })
	return len(p.Spans) != before
}

// coveringStores chooses, among the usable stores, replicas and former ones that together hold
// everything that was accepted, in the order of the epochs. It is nil if there are none.
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

// longestSpanCovering is the index of the span that covers an epoch and most of those after it,
// or -1.
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

// MarkInSync notes that a replica holds everything that was accepted: a backup that is
// in sync, or the primary that has taken it from its sources. It reports whether that
// was not known.
func (p *Partition) MarkInSync(store string) bool {
	at := p.BackupIndex(store)
	switch {
	case p.Primary == store && len(p.Sources) > 0:
	case at >= 0 && !p.Backups[at].InSync:
		p.Backups[at].InSync = true
	default:
		return false
	}
	p.Sources = nil // a backup is in sync with a complete primary only
	return true
}

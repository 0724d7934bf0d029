package partition

import "time"

// A primary delivers only while it holds a lease of every backup, since any may become
// primary, also one that has to take what it lacks from others first: each answer to a
// batch grants one (Gray and Cheriton, "Leases", 1989).
// A backup that becomes primary waits until the lease that it granted has ended.

// batchesPerIncarnation is how many batches a replicator may number before it
// counts as another incarnation of the sender: its numbers begin with a random
// multiple of it.
const batchesPerIncarnation = int64(1) << 28

// sameIncarnation reports whether two batches are of one incarnation of the sender.
func sameIncarnation(a, b int64) bool { return a/batchesPerIncarnation == b/batchesPerIncarnation }

// isStaleBatch reports whether a batch was sent before another one that was
// applied. Of batches of two incarnations nobody can say; they count as in order.
func isStaleBatch(number, applied int64) bool {
	return sameIncarnation(number, applied) && number < applied
}

// grantedLease is the lease that a backup has granted to its primary.
type grantedLease struct {
	expires time.Time // the primary may deliver until then
	batch   int64     // the newest batch that renewed or released it
}

// apply renews or releases the lease as a batch asks. Only the incarnation that
// holds a lease releases it, and not by a batch from before its last renewal: its
// holder may deliver by the later one.
func (l *grantedLease) apply(batch int64, release bool, expires time.Time) {
	switch {
	case isStaleBatch(batch, l.batch):
	case !release:
		l.expires, l.batch = expires, batch
	case sameIncarnation(batch, l.batch):
		l.expires, l.batch = time.Time{}, batch
	}
}

// end forgets the lease of a former primary, after this store itself was primary.
func (l *grantedLease) end() { l.expires = time.Time{} }

// MayDeliver reports whether this store may start deliveries of partition n now.
func (m *Manager) MayDeliver(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return false
	}
	return m.partitions[n].mayDeliver(time.Now(), m.timing.deliveryMargin())
}

// mayDeliver reports whether the primary may deliver: no handover has stopped it,
// the lease that it granted before it became primary has ended, and each backup has
// granted it one of which more than margin is left.
func (p *partition) mayDeliver(now time.Time, margin time.Duration) bool {
	if p.handover.deliveriesStopped || now.Before(p.granted.expires) {
		return false
	}
	for _, r := range p.replicas {
		if r.leaseExpires.Sub(now) <= margin {
			return false
		}
	}
	return true
}

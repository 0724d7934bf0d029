package partition

import "time"

// A primary delivers only while it holds a lease from every backup (Gray and Cheriton,
// "Leases", 1989), since any backup may become primary, even one that must first fetch
// missing records from others. Each response to a batch grants a lease. A backup that
// becomes primary waits until the lease that it granted has expired.
//
// In an epoch with fewer backups than a message needs, a primary does not deliver: its
// leases would end with it and those few backups, and if none of them ever returned,
// nobody could tell when another store may deliver. Such an epoch is incomplete; the
// placement may replace all of its replicas (placement.Plan). A primary that was no
// backup in the last complete epoch first fences off all stores from which it recovers:
// they grant no lease in earlier epochs from then on. It then waits for one lease.

// batchesPerIncarnation is the number of batch numbers available to one incarnation of a
// sender. The numbers of an incarnation start at a random multiple of it.
const batchesPerIncarnation = int64(1) << 28

// sameIncarnation reports whether two batch numbers belong to the same incarnation of the
// sender.
func sameIncarnation(a, b int64) bool { return a/batchesPerIncarnation == b/batchesPerIncarnation }

// isStaleBatch reports whether a batch was sent before another one that was applied.
// Batches of different incarnations cannot be ordered and are treated as in order.
func isStaleBatch(number, applied int64) bool {
	return sameIncarnation(number, applied) && number < applied
}

// grantedLease is the lease that a backup has granted to its primary.
type grantedLease struct {
	expires time.Time // until when the primary may deliver
	batch   int64     // the newest batch that renewed or released it
}

// apply renews or releases the lease as requested by a batch. Only the incarnation that
// holds a lease can release it, and only with a batch that is not older than the last
// renewal: the holder may deliver under the newer one.
func (l *grantedLease) apply(batch int64, release bool, expires time.Time) {
	switch {
	case isStaleBatch(batch, l.batch):
	case !release:
		l.expires, l.batch = expires, batch
	case sameIncarnation(batch, l.batch):
		l.expires, l.batch = time.Time{}, batch
	}
}

// extend makes the lease of a former primary expire no earlier than the given time.
func (l *grantedLease) extend(expires time.Time) {
	if expires.After(l.expires) {
		l.expires = expires
	}
}

// end clears the lease of a former primary after this store itself was primary.
func (l *grantedLease) end() { l.expires = time.Time{} }

// MayDeliver reports whether this store may start deliveries of partition n now.
func (m *Manager) MayDeliver(n int) bool { return m.holdsLeases(n, m.config.Backups) }

// HoldsLeases is MayDeliver without a minimum of backups. It is enough for what needs no
// more than one owner at a time while messages can be accepted: in an incomplete epoch
// none can, and a successor may hold its own leases beside this store.
func (m *Manager) HoldsLeases(n int) bool { return m.holdsLeases(n, 0) }

func (m *Manager) holdsLeases(n, neededBackups int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return false
	}
	return m.partitions[n].mayDeliver(time.Now(), m.timing.deliveryMargin(), neededBackups)
}

// mayDeliver reports whether the primary may deliver: no handover has stopped its
// deliveries, the leases of former primaries have expired, and each of at least
// neededBackups backups has granted it a lease with more than margin left.
func (p *partition) mayDeliver(now time.Time, margin time.Duration, neededBackups int) bool {
	if p.handover.deliveriesStopped || now.Before(p.granted.expires) || len(p.replicas) < neededBackups {
		return false
	}
	for _, r := range p.replicas {
		if r.leaseExpires.Sub(now) <= margin {
			return false
		}
	}
	return true
}

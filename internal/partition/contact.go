package partition

import (
	"encoding/json"
	"time"
)

// The outcome of a message is deleted once it has been retained for
// Config.StateRetention. A replica that was away for longer may hold the message as
// pending while nobody knows any more that it has ended. So each store notes when it
// was last in contact with the other replicas of a partition. One that was not for
// too long is outdated: what it holds as pending and the primary lacks has ended, or
// was never confirmed, and is deleted instead of taken over. What was confirmed is at
// the primary, which was in sync when it became primary.

// contactTimes is when a store was last in contact, by partition: in milliseconds of
// its clock.
type contactTimes map[int]int64

func (c contactTimes) encode() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic("partition: the times of contact cannot be encoded: " + err.Error())
	}
	return raw
}

// replicaContact is the contact of this store with the other replicas of one
// partition.
type replicaContact struct {
	last     int64 // milliseconds of this store's clock
	outdated bool
}

// check notes whether the last contact was too long ago.
func (c *replicaContact) check(now int64, limit time.Duration) {
	if limit > 0 && now-c.last > limit.Milliseconds() {
		c.outdated = true
	}
}

// renew notes a contact now.
func (c *replicaContact) renew(now int64, limit time.Duration) {
	c.check(now, limit)
	c.last = now
}

// outdatedAfter is how long a replica may be out of contact and still hold nothing
// that the others have forgotten. Half of the retention leaves room for clocks that
// run or are set differently, and for the age of the times on disk.
func (m *Manager) outdatedAfter() time.Duration { return m.config.StateRetention / 2 }

// contactSaveInterval is how old the times of contact on disk may be.
func (m *Manager) contactSaveInterval() time.Duration { return m.config.StateRetention / 8 }

// renewContactLocked notes that this store exchanged records of the partition with
// another replica just now.
func (m *Manager) renewContactLocked(p *partition) {
	p.contact.renew(m.Now(), m.outdatedAfter())
}

// isOutdatedLocked reports whether this store may hold messages of the partition as
// pending that have ended.
func (m *Manager) isOutdatedLocked(p *partition) bool {
	p.contact.check(m.Now(), m.outdatedAfter())
	return p.contact.outdated && !m.leadsLocked(p)
}

// saveContactsLocked puts the times of contact on disk.
func (m *Manager) saveContactsLocked() {
	m.contactsSaved = m.Now()
	times := contactTimes{}
	for _, p := range m.partitions {
		times[p.number] = p.contact.last
	}
	m.storage.putMeta(keyContact, times.encode())
}

// deleteStalePendingLocked deletes, at the replicas, the messages that an outdated one
// holds as pending and this primary does not have. It returns how many there are.
func (m *Manager) deleteStalePendingLocked(p *partition, remote map[string]State) (deleted int) {
	for id, state := range remote {
		if state == Pending && !isEntryID(id) && p.records.byID[id] == nil {
			m.commitLocked(p, &Record{ID: id, Partition: p.number, State: Deleted}, nil)
			deleted++
		}
	}
	return deleted
}

// dropPendingMessages removes the deferred messages that are pending.
func dropPendingMessages(states map[string]State) {
	for id, state := range states {
		if state == Pending && !isEntryID(id) {
			delete(states, id)
		}
	}
}

package partition

import (
	"encoding/json"
	"time"
)

// The outcome of a message is deleted after Config.StateRetention. A replica that was out
// of contact for longer may hold the message as pending when no other store remembers
// that it has ended. Each store therefore records when it last exchanged records of a
// partition with another replica. A replica whose last contact is too old is outdated:
// messages that it holds as pending and that the primary lacks have either ended or were
// never confirmed, so they are deleted instead of being taken over. The primary holds
// every confirmed message, since it was in sync when it became primary.

// contactTimes is the time of a store's last contact for each partition, in milliseconds
// of its own clock.
type contactTimes map[int]int64

func (c contactTimes) encode() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic("partition: encode contact times: " + err.Error())
	}
	return raw
}

// replicaContact is the contact of this store with the other replicas of one partition.
type replicaContact struct {
	last     int64 // milliseconds of this store's clock
	outdated bool
}

// check marks the replica as outdated if the last contact is older than limit. A limit of
// 0 disables the check.
func (c *replicaContact) check(now int64, limit time.Duration) {
	if limit > 0 && now-c.last > limit.Milliseconds() {
		c.outdated = true
	}
}

// renew records a contact at time now.
func (c *replicaContact) renew(now int64, limit time.Duration) {
	c.check(now, limit)
	c.last = now
}

// outdatedAfter is the longest time without contact after which a replica is still sure
// to hold no message that the others have forgotten. Half of the retention leaves room
// for clock differences and for the age of the contact times on disk.
func (m *Manager) outdatedAfter() time.Duration { return m.config.StateRetention / 2 }

// contactSaveInterval is the maximum age of the contact times on disk.
func (m *Manager) contactSaveInterval() time.Duration { return m.config.StateRetention / 8 }

// renewContactLocked records that this store has just exchanged records of the partition
// with another replica.
func (m *Manager) renewContactLocked(p *partition) {
	p.contact.renew(m.Now(), m.outdatedAfter())
}

// isOutdatedLocked reports whether this store may hold messages of the partition as
// pending that have ended.
func (m *Manager) isOutdatedLocked(p *partition) bool {
	p.contact.check(m.Now(), m.outdatedAfter())
	return p.contact.outdated && !m.leadsLocked(p)
}

// saveContactsLocked queues the contact times for the disk.
func (m *Manager) saveContactsLocked() {
	m.contactsSaved = m.Now()
	times := contactTimes{}
	for _, p := range m.partitions {
		times[p.number] = p.contact.last
	}
	m.storage.putMeta(keyContact, times.encode())
}

// deleteStalePendingLocked deletes the pending messages of an outdated replica that this
// primary does not have. It returns their number.
func (m *Manager) deleteStalePendingLocked(p *partition, remote map[string]State) (deleted int) {
	for id, state := range remote {
		if state == Pending && !isEntryID(id) && p.records.byID[id] == nil {
			m.commitLocked(p, &Record{ID: id, Partition: p.number, State: Deleted}, nil)
			deleted++
		}
	}
	return deleted
}

// dropPendingMessages removes pending deferred messages from states.
func dropPendingMessages(states map[string]State) {
	for id, state := range states {
		if state == Pending && !isEntryID(id) {
			delete(states, id)
		}
	}
}

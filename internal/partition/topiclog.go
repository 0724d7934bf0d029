package partition

import (
	"maps"
	"slices"
	"strings"
)

// A partition holds two kinds of messages. A deferred message has a state and ends. A
// message of a topic is an entry of the partition's log: it never changes and is deleted
// when its retention is over. Both are replicated by the same rules with one exception:
// the primary alone decides which log entries exist. An entry that a replica holds and
// the primary lacks has expired or was confirmed by no primary, so the replica deletes
// it, whereas a deferred message would be taken over.

// entryIDPrefix is the prefix of the identifiers of log entries. No deferred message has
// it, since an attempt id contains no space.
const entryIDPrefix = " log/"

// entryID returns the identifier of the log entry at a position.
func entryID(at Position) string { return entryIDPrefix + at.String() }

func isEntryID(id string) bool { return strings.HasPrefix(id, entryIDPrefix) }

// IsEntry reports whether the record is a log entry.
func (r *Record) IsEntry() bool { return r.Topic != "" }

// Position returns the position of a log entry.
func (r *Record) Position() Position { return Position{r.Epoch, r.Order} }

// publisherTopic identifies a publisher on one topic. Its numbers increase along the log.
type publisherTopic struct{ publisher, topic string }

// publication identifies a published message. A repeated number denotes the same message.
type publication struct {
	publisherTopic
	number int64
}

func (r *Record) publisherTopic() publisherTopic { return publisherTopic{r.Publisher, r.Topic} }

func (r *Record) publication() publication { return publication{r.publisherTopic(), r.Number} }

// topicLog is the log of a partition at its primary. It is guarded by the Manager's mu.
type topicLog struct {
	entries       []*Record // in the order of their positions
	byPublication map[publication]*Record
	highestNumber map[publisherTopic]int64 // highest number of each publisher and topic in entries
	lastPosition  map[string]Position      // last position of each topic, even if its entry has been deleted
	floors        topicFloors

	recovery      logRecovery
	releasedCount int      // number of entries released to the consumer
	lastReleased  Position // position of the last released entry
}

// logRecovery tracks the conditions under which a new primary may release entries: each
// replica that may succeed it must hold exactly the entries found here.
//
// The entries up to the last one that the former primary released are known to be on
// enough disks. The entries after it are requeued and wait for the disks of all replicas
// like new ones (unconfirmed). If the last released position is unknown, all replicas
// must hold all entries.
type logRecovery struct {
	onDisk       bool // the entries found are on this store's disk
	tailRequeued bool // the entries after the last released one were requeued
	done         bool
}

// isDone reports whether a primary with these replicas may release entries.
func (l *logRecovery) isDone(replicas []*replica, backups int) bool {
	if l.done {
		return true
	}
	if !l.onDisk || len(replicas) < backups {
		return false
	}
	for _, r := range replicas {
		if !r.verified && (r.inSync || !l.tailRequeued) {
			return false
		}
	}
	l.done = true
	return true
}

// newTopicLog creates the log of a new primary from the records that it holds. The
// numbers of a publisher on a topic must increase along the log. They do not if a primary
// lost entries that were not on its own disk, restarted, and accepted them again while a
// replica still held the first ones. The repeated entries are returned so that they can
// be deleted. They were never delivered: a primary delivers nothing until its replicas
// hold exactly the entries that it holds.
func newTopicLog(records *recordSet) (l *topicLog, duplicates []*Record) {
	l = &topicLog{
		byPublication: map[publication]*Record{},
		highestNumber: map[publisherTopic]int64{},
		lastPosition:  map[string]Position{},
		floors:        newTopicFloors(records),
	}
	maps.Copy(l.lastPosition, l.floors)
	var found []*Record
	for _, r := range records.byID {
		if r.IsEntry() {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *Record) int { return a.Position().Compare(b.Position()) })
	for _, r := range found {
		if l.isSuperseded(r) {
			duplicates = append(duplicates, r)
			continue
		}
		l.append(r)
	}
	return l, duplicates
}

// append adds an entry at the end of the log.
func (l *topicLog) append(r *Record) {
	l.entries = append(l.entries, r)
	l.byPublication[r.publication()] = r
	l.highestNumber[r.publisherTopic()] = r.Number
	l.lastPosition[r.Topic] = r.Position()
}

// find returns the entry of the same publication as r, or nil if there is none.
func (l *topicLog) find(r *Record) *Record { return l.byPublication[r.publication()] }

// HoldsNumber reports whether this store leads partition n and holds a publisher's number
// on a topic, confirmed or not.
func (m *Manager) HoldsNumber(n int, topic, publisher string, number int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return false
	}
	return m.partitions[n].log.byPublication[publication{publisherTopic{publisher, topic}, number}] != nil
}

// isSuperseded reports whether the log holds an equal or higher number of the same
// publisher and topic as r.
func (l *topicLog) isSuperseded(r *Record) bool {
	newest, ok := l.highestNumber[r.publisherTopic()]
	return ok && r.Number <= newest
}

// release returns the entries that have become deliverable since the last call: in order,
// up to the first unconfirmed one.
func (l *topicLog) release(isUnconfirmed func(id string) bool) []*Record {
	first := l.releasedCount
	for l.releasedCount < len(l.entries) && !isUnconfirmed(l.entries[l.releasedCount].ID) {
		l.lastReleased = l.entries[l.releasedCount].Position()
		l.releasedCount++
	}
	return l.entries[first:l.releasedCount:l.releasedCount]
}

// releasedThrough returns the position of the last released entry.
func (l *topicLog) releasedThrough() Position {
	if l == nil {
		return Position{}
	}
	return l.lastReleased
}

// EntriesAfter returns the entries after a position. entries must be in order.
func EntriesAfter(entries []*Record, p Position) []*Record {
	first, _ := slices.BinarySearchFunc(entries, p, func(r *Record, p Position) int {
		if r.Position().After(p) {
			return 1
		}
		return -1
	})
	return entries[first:]
}

// maxIdleTopics limits the number of topics without entries whose last position is kept
// in memory.
const maxIdleTopics = 1 << 17

// removeDeleted drops the entries that are no longer in the record set.
func (l *topicLog) removeDeleted(records *recordSet) {
	var remaining []*Record
	released := l.releasedCount
	for i, r := range l.entries {
		if records.byID[r.ID] != nil {
			remaining = append(remaining, r)
			continue
		}
		if i < l.releasedCount {
			released--
		}
		delete(l.byPublication, r.publication())
		if l.highestNumber[r.publisherTopic()] == r.Number {
			delete(l.highestNumber, r.publisherTopic())
		}
	}
	l.entries, l.releasedCount = remaining, released
	if len(l.lastPosition) > maxIdleTopics+len(l.entries) {
		clear(l.lastPosition)
		maps.Copy(l.lastPosition, l.floors)
		for _, r := range l.entries {
			l.lastPosition[r.Topic] = r.Position()
		}
	}
}

// initTopicLogLocked creates the log of a partition that this store has begun to lead.
func (m *Manager) initTopicLogLocked(p *partition) {
	log, duplicates := newTopicLog(&p.records)
	p.log = log
	for _, r := range duplicates {
		m.commitLocked(p, &Record{ID: r.ID, Partition: p.number, State: Deleted}, nil)
	}
	var tail []*pendingAccept
	if p.released != (Position{}) {
		log.recovery.tailRequeued = true
		for _, r := range EntriesAfter(log.entries, p.released) {
			tail = append(tail, p.requeueAccept(r))
		}
	}
	// afterSync may call its argument at once, while mu is held, so another goroutine has
	// to lock mu.
	m.storage.afterSync(func() {
		m.background.tasks.Go(func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if p.log == log {
				m.handleLogOnDiskLocked(p, tail)
			}
		})
	})
}

// requeueAccept makes an entry wait again for the disks of this store and all replicas.
func (p *partition) requeueAccept(r *Record) *pendingAccept {
	accept := &pendingAccept{record: r, onBackupDisk: map[string]bool{}, done: make(chan struct{})}
	p.unconfirmed[r.ID] = accept
	for _, replica := range p.replicas {
		replica.unreplicated[r.ID] = r
	}
	return accept
}

// handleLogOnDiskLocked records that the entries found here, including the requeued ones,
// are on this store's disk.
func (m *Manager) handleLogOnDiskLocked(p *partition, tail []*pendingAccept) {
	p.log.recovery.onDisk = true
	for _, accept := range tail {
		accept.onLocalDisk = true
		m.confirmLocked(p, accept)
	}
	m.releaseEntriesLocked(p)
}

// releaseEntriesLocked passes the entries that enough disks hold to the consumer.
// Therefore no cursor refers to an entry that a failover may lose.
func (m *Manager) releaseEntriesLocked(p *partition) {
	log := p.log
	if log == nil {
		return
	}
	if !log.recovery.done {
		if !log.recovery.isDone(p.replicas, m.config.Backups) {
			return
		}
		m.events.push(Event{Partition: p.number, LogReady: true, Floors: maps.Clone(log.floors)})
	}
	entries := log.release(func(id string) bool { return p.unconfirmed[id] != nil })
	if len(entries) > 0 {
		m.events.push(Event{Partition: p.number, Entries: entries})
	}
}

// deleteExtraneousEntriesLocked deletes the entries that a replica holds and this
// primary lacks: they have expired, or were never confirmed and never will be.
func (m *Manager) deleteExtraneousEntriesLocked(p *partition, remote map[string]State) (deleted int) {
	for id, state := range remote {
		if isEntryID(id) && state != Deleted && p.records.byID[id] == nil {
			m.commitLocked(p, &Record{ID: id, Partition: p.number, State: Deleted}, nil)
			deleted++
		}
	}
	return deleted
}

package partition

import (
	"maps"
	"slices"
	"strings"
)

// A partition holds messages of two kinds. A deferred message has a state and
// ends. A message of a topic is an entry of the partition's log: it never changes
// and is deleted once its retention is over. The rules of replication are the
// same for both, but for one: the primary alone decides which entries there are.
// One that a replica holds and the primary lacks was confirmed by no primary, so
// it is deleted there, where a deferred message would be taken over.

// entryIDPrefix begins the identifiers of log entries. No deferred message has
// such a one: an attempt id holds no space.
const entryIDPrefix = " log/"

// entryID is the identifier of the log entry at a position.
func entryID(at Position) string { return entryIDPrefix + at.String() }

func isEntryID(id string) bool { return strings.HasPrefix(id, entryIDPrefix) }

// IsEntry reports whether the record is an entry of the log.
func (r *Record) IsEntry() bool { return r.Topic != "" }

// Position is the place of a log entry.
func (r *Record) Position() Position { return Position{r.Epoch, r.Order} }

// publisherTopic is a publisher on one topic. Its numbers rise along the log.
type publisherTopic struct{ publisher, topic string }

// publication identifies what a publisher published: a number that comes again is
// the same message.
type publication struct {
	publisherTopic
	number int64
}

func (r *Record) publisherTopic() publisherTopic { return publisherTopic{r.Publisher, r.Topic} }

func (r *Record) publication() publication { return publication{r.publisherTopic(), r.Number} }

// topicLog is the log of a partition at its primary. It has no lock: the Manager's
// mu guards it.
type topicLog struct {
	entries       []*Record // by position
	byPublication map[publication]*Record
	highestNumber map[publisherTopic]int64 // the highest number in entries
	lastPosition  map[string]Position      // of each topic; also if the entry is deleted by now
	floors        topicFloors

	recovery      logRecovery
	releasedCount int      // how many of entries have gone to the consumer
	lastReleased  Position // of the last of them
}

// logRecovery is what a new primary waits for until it releases entries: each
// replica that may succeed it holds the entries found here, and no more.
//
// The entries up to the last that the former primary released were on enough disks.
// Those behind it are accepted anew, and wait for the disks of all replicas like
// new ones (unconfirmed). Where nothing is known of releases, all replicas have to
// hold all.
type logRecovery struct {
	onDisk       bool // this store's disk has the entries found
	tailRequeued bool // those behind the last released one are accepted anew
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

// newTopicLog makes the log of a new primary from the records that it holds. The
// numbers of a publisher on a topic must rise along it. They don't where a primary
// lost entries that no disk of its own had, restarted and accepted them again
// while a replica still held the first ones: those that repeat are returned, to
// be deleted. What was delivered is never among them: a primary delivers nothing
// until its replicas hold what it holds and no more.
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

// append adds an entry behind all others.
func (l *topicLog) append(r *Record) {
	l.entries = append(l.entries, r)
	l.byPublication[r.publication()] = r
	l.highestNumber[r.publisherTopic()] = r.Number
	l.lastPosition[r.Topic] = r.Position()
}

// find returns the entry of the same publication as r; nil if there is none.
func (l *topicLog) find(r *Record) *Record { return l.byPublication[r.publication()] }

// HoldsNumber reports whether this store leads partition n and has a publisher's number on a
// topic, confirmed or not.
func (m *Manager) HoldsNumber(n int, topic, publisher string, number int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryLocked(n) {
		return false
	}
	return m.partitions[n].log.byPublication[publication{publisherTopic{publisher, topic}, number}] != nil
}

// isSuperseded reports whether the publisher's numbers on the topic have passed
// that of r, or reached it.
func (l *topicLog) isSuperseded(r *Record) bool {
	newest, ok := l.highestNumber[r.publisherTopic()]
	return ok && r.Number <= newest
}

// release returns the entries that may be delivered and were not returned before:
// in order, up to the first that waits for disks.
func (l *topicLog) release(isUnconfirmed func(id string) bool) []*Record {
	first := l.releasedCount
	for l.releasedCount < len(l.entries) && !isUnconfirmed(l.entries[l.releasedCount].ID) {
		l.lastReleased = l.entries[l.releasedCount].Position()
		l.releasedCount++
	}
	return l.entries[first:l.releasedCount:l.releasedCount]
}

// releasedThrough is the position of the last entry that was released.
func (l *topicLog) releasedThrough() Position {
	if l == nil {
		return Position{}
	}
	return l.lastReleased
}

// EntriesAfter returns those of entries, which are in order, that are after a
// position.
func EntriesAfter(entries []*Record, p Position) []*Record {
	first, _ := slices.BinarySearchFunc(entries, p, func(r *Record, p Position) int {
		if r.Position().After(p) {
			return 1
		}
		return -1
	})
	return entries[first:]
}

// maxIdleTopics bounds the topics without entries whose last position is known.
const maxIdleTopics = 1 << 17

// removeDeleted drops the entries that the record set has no more.
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

// initTopicLogLocked makes the log of a partition that this store leads from
// now on.
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
	m.storage.afterSync(func() {
		m.background.tasks.Go(func() { // the caller of afterSync may hold mu
			m.mu.Lock()
			defer m.mu.Unlock()
			if p.log == log {
				m.handleLogOnDiskLocked(p, tail)
			}
		})
	})
}

// requeueAccept has an entry wait for the disks of this store and of all replicas.
func (p *partition) requeueAccept(r *Record) *pendingAccept {
	accept := &pendingAccept{record: r, onBackupDisk: map[string]bool{}, done: make(chan struct{})}
	p.unconfirmed[r.ID] = accept
	for _, replica := range p.replicas {
		replica.unreplicated[r.ID] = r
	}
	return accept
}

// handleLogOnDiskLocked notes that this disk has the entries that were found here,
// those that are accepted anew among them.
func (m *Manager) handleLogOnDiskLocked(p *partition, tail []*pendingAccept) {
	p.log.recovery.onDisk = true
	for _, accept := range tail {
		accept.onLocalDisk = true
		m.confirmLocked(p, accept)
	}
	m.releaseEntriesLocked(p)
}

// releaseEntriesLocked gives the entries that enough disks hold to the consumer.
// So no cursor names what a failover may lose.
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

// deleteUnconfirmedEntriesLocked deletes the entries that a replica holds and this
// primary lacks: nobody confirmed them, and nobody will.
func (m *Manager) deleteUnconfirmedEntriesLocked(p *partition, remote map[string]State) (deleted int) {
	for id, state := range remote {
		if isEntryID(id) && state != Deleted && p.records.byID[id] == nil {
			m.commitLocked(p, &Record{ID: id, Partition: p.number, State: Deleted}, nil)
			deleted++
		}
	}
	return deleted
}

package broker

import (
	"slices"
	"time"

	"saltreel/internal/partition"
)

// topicLog is the messages of one topic that may be delivered.
type topicLog struct {
	partition    int
	entries      []*partition.Record // in order
	floor        partition.Position  // messages up to here were deleted
	emptySinceMs int64               // when the last of entries was deleted, in ms; 0 while there are any
	followers    map[*session]bool
	subscribers  map[*session]int // at the gateways, where there are any
}

// end is the position of the last message; of the last that was deleted if there
// is none.
func (t *topicLog) end() partition.Position {
	if len(t.entries) == 0 {
		return t.floor
	}
	return t.entries[len(t.entries)-1].Position()
}

// count is the number of subscribers at all gateways.
func (t *topicLog) count() int {
	total := 0
	for _, n := range t.subscribers {
		total += n
	}
	return total
}

// isUnused reports whether nothing is known of the topic that is needed.
func (t *topicLog) isUnused() bool {
	return len(t.entries) == 0 && len(t.followers) == 0 && len(t.subscribers) == 0
}

// topicTable is the topics of the partitions that this store is primary of. It has
// no lock: the Broker's mu guards it.
type topicTable struct {
	ready  map[int]bool // by partition that is led here: its entries are complete
	byName map[string]*topicLog
}

func newTopicTable() topicTable {
	return topicTable{ready: map[int]bool{}, byName: map[string]*topicLog{}}
}

// setReady notes that a partition is led here, and whether all its entries up to
// now have been appended or come next.
func (t *topicTable) setReady(number int, ready bool) { t.ready[number] = ready }

// isReady reports whether a partition is led here with all its entries.
func (t *topicTable) isReady(number int) bool { return t.ready[number] }

// remove forgets a partition that is led here no longer.
func (t *topicTable) remove(number int) {
	delete(t.ready, number)
	for name, log := range t.byName {
		if log.partition == number {
			delete(t.byName, name)
		}
	}
}

// get returns the log of a topic; an empty one if there is none yet.
func (t *topicTable) get(number int, name string) *topicLog {
	log := t.byName[name]
	if log == nil {
		log = &topicLog{partition: number, followers: map[*session]bool{}, subscribers: map[*session]int{}}
		t.byName[name] = log
	}
	return log
}

// setFloors notes up to where messages of topics were deleted before this store led
// the partition.
func (t *topicTable) setFloors(number int, floors map[string]partition.Position, now int64) {
	for name, floor := range floors {
		log := t.get(number, name)
		log.floor, log.emptySinceMs = floor, now
	}
}

// append adds a message to its topic.
func (t *topicTable) append(number int, r *partition.Record) *topicLog {
	log := t.get(number, r.Topic)
	if len(log.entries) == 0 && r.Previous.After(log.floor) {
		log.floor = r.Previous // deleted before this store led the partition
	}
	log.entries = append(log.entries, r)
	log.emptySinceMs = 0
	return log
}

// unfollow notes that a session follows a topic no longer, and has no subscribers.
func (t *topicTable) unfollow(name string, s *session) {
	if log := t.byName[name]; log != nil {
		delete(log.followers, s)
		delete(log.subscribers, s)
	}
}

// emptyTopicRetention is how long the floor of a topic without messages is known. A cursor
// from before that counts as one that has missed nothing.
const emptyTopicRetention = time.Hour

// deleteExpired drops the messages that are past their retention, and the topics
// that have been without any for long.
func (t *topicTable) deleteExpired(now int64) {
	for name, log := range t.byName {
		log.deleteExpired(now)
		if log.isUnused() && now-log.emptySinceMs > emptyTopicRetention.Milliseconds() {
			delete(t.byName, name)
		}
	}
}

func (t *topicLog) deleteExpired(now int64) {
	expired := 0
	for expired < len(t.entries) && t.entries[expired].Expires < now {
		t.floor = t.entries[expired].Position()
		expired++
	}
	t.entries = slices.Delete(t.entries, 0, expired)
	if expired > 0 && len(t.entries) == 0 {
		t.emptySinceMs = now
	}
}

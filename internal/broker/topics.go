package broker

import (
	"slices"
	"time"

	"saltreel/internal/partition"
)

// topicLog holds the deliverable messages of one topic.
type topicLog struct {
	partition    int
	entries      []*partition.Record // in order
	floor        partition.Position  // messages up to this position were deleted
	emptySinceMs int64               // since when there are no entries, if any were deleted; otherwise 0
	followers    map[*session]bool
	subscribers  map[*session]int // number of subscribers by session; no zero entries
}

// end returns the position of the last message, or of the last deleted one if there is none.
func (t *topicLog) end() partition.Position {
	if len(t.entries) == 0 {
		return t.floor
	}
	return t.entries[len(t.entries)-1].Position()
}

// count returns the number of subscribers at all gateways.
func (t *topicLog) count() int {
	total := 0
	for _, n := range t.subscribers {
		total += n
	}
	return total
}

// isUnused reports whether the topic has no messages, followers or subscribers.
func (t *topicLog) isUnused() bool {
	return len(t.entries) == 0 && len(t.followers) == 0 && len(t.subscribers) == 0
}

// topicTable holds the topics of the partitions whose primary is this store. It has no lock of
// its own: Broker.mu guards it.
type topicTable struct {
	ready  map[int]bool // partitions led here; true once their entries are complete
	byName map[string]*topicLog
}

func newTopicTable() topicTable {
	return topicTable{ready: map[int]bool{}, byName: map[string]*topicLog{}}
}

// setReady records that a partition is led here, and whether all its entries so far have been
// appended or come next.
func (t *topicTable) setReady(number int, ready bool) { t.ready[number] = ready }

// isReady reports whether a partition is led here and its entries are complete.
func (t *topicTable) isReady(number int) bool { return t.ready[number] }

// remove deletes the topics of a partition that is no longer led here.
func (t *topicTable) remove(number int) {
	delete(t.ready, number)
	for name, log := range t.byName {
		if log.partition == number {
			delete(t.byName, name)
		}
	}
}

// get returns the log of a topic and creates it if necessary.
func (t *topicTable) get(number int, name string) *topicLog {
	log := t.byName[name]
	if log == nil {
		log = &topicLog{partition: number, followers: map[*session]bool{}, subscribers: map[*session]int{}}
		t.byName[name] = log
	}
	return log
}

// setFloors sets the positions up to which messages were deleted before this store became the
// primary.
func (t *topicTable) setFloors(number int, floors map[string]partition.Position, now int64) {
	for name, floor := range floors {
		log := t.get(number, name)
		log.floor, log.emptySinceMs = floor, now
	}
}

// append appends a message to the log of its topic.
func (t *topicTable) append(number int, r *partition.Record) *topicLog {
	log := t.get(number, r.Topic)
	if len(log.entries) == 0 && r.Previous.After(log.floor) {
		log.floor = r.Previous // deleted before this store became the primary
	}
	log.entries = append(log.entries, r)
	log.emptySinceMs = 0
	return log
}

// unfollow removes a session and its subscribers from a topic.
func (t *topicTable) unfollow(name string, s *session) {
	if log := t.byName[name]; log != nil {
		delete(log.followers, s)
		delete(log.subscribers, s)
	}
}

// emptyTopicRetention is how long the floor of a topic without messages is kept. After that,
// an older cursor is treated as one that has missed nothing.
const emptyTopicRetention = time.Hour

// deleteExpired deletes expired messages, and unused topics whose retention has passed.
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

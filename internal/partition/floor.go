package partition

import (
	"strings"
	"time"
)

// The floor of a topic is the position of its last deleted entry. While a topic has
// entries, the floor is Record.Previous of the first of them. For a topic without entries,
// the floor is a separate record in the partition and is replicated like all others, so
// that a cursor from before a deletion is recognized after any failover and restart.

// floorIDPrefix is the prefix of the identifiers of floors. No message identifier has it.
const floorIDPrefix = " floor/"

// floorRetention is how long the floor of a topic without entries is retained. After
// that, an older cursor is treated as one that has missed nothing.
const floorRetention = time.Hour

// floorID returns the identifier of a floor. It encodes the whole content of the record,
// since records are compared only by identifier and state.
func floorID(topic string, at Position) string { return floorIDPrefix + at.String() + "/" + topic }

// parseFloorID parses the identifier of a floor; ok is false for other records.
func parseFloorID(id string) (topic string, at Position, ok bool) {
	text, isFloor := strings.CutPrefix(id, floorIDPrefix)
	position, topic, hasTopic := strings.Cut(text, "/")
	at, err := ParsePosition(position)
	return topic, at, isFloor && hasTopic && err == nil
}

// topicFloors maps topics to their floors, as recorded in a partition. It is maintained
// by the primary.
type topicFloors map[string]Position

// newTopicFloors collects the floors among records.
func newTopicFloors(records *recordSet) topicFloors {
	floors := topicFloors{}
	for id := range records.byID {
		if topic, at, ok := parseFloorID(id); ok && at.After(floors[topic]) {
			floors[topic] = at
		}
	}
	return floors
}

// remove deletes the floor whose record has the given identifier. It ignores the
// identifiers of other records.
func (f topicFloors) remove(id string) {
	if topic, at, ok := parseFloorID(id); ok && f[topic] == at {
		delete(f, topic)
	}
}

// emptiedTopics returns the topics that have no entry after their expired ones, each with
// the position of its last entry.
func (l *topicLog) emptiedTopics(now int64) map[string]Position {
	emptied := map[string]Position{}
	for _, r := range l.entries { // in order
		switch {
		case r.Expires < now:
			emptied[r.Topic] = r.Position()
		case len(emptied) > 0:
			delete(emptied, r.Topic)
		}
	}
	return emptied
}

// raiseFloorsLocked records the floors of the topics that become empty when the expired
// entries are deleted. It must be called before the deletion, so that the backups receive
// the floors first.
func (m *Manager) raiseFloorsLocked(p *partition, now int64) {
	for topic, at := range p.log.emptiedTopics(now) {
		previous, known := p.log.floors[topic]
		p.log.floors[topic] = at
		m.commitLocked(p, &Record{
			ID: floorID(topic, at), Partition: p.number, State: Complete, Expires: now + floorRetention.Milliseconds(),
		}, nil)
		if known {
			m.commitLocked(p, &Record{ID: floorID(topic, previous), Partition: p.number, State: Deleted}, nil)
		}
	}
}

package partition

import (
	"strings"
	"time"
)

// The floor of a topic is the position of its last entry that was deleted. As long as
// the topic has entries, the first of them names the one before it. For one that has
// none, the floor is a record of its own in the partition, replicated like all others:
// so a cursor from before a deletion is known as such after any failover and restart.

// floorIDPrefix begins the identifiers of floors. No message has such a one.
const floorIDPrefix = " floor/"

// floorRetention is how long the floor of a topic without entries is kept. A cursor
// from before that counts as one that has missed nothing.
const floorRetention = time.Hour

// floorID is the identifier of a floor. It holds all that the record says: records are
// compared by their identifiers and states.
func floorID(topic string, at Position) string { return floorIDPrefix + at.String() + "/" + topic }

// parseFloorID reads the identifier of a floor; ok is false for other records.
func parseFloorID(id string) (topic string, at Position, ok bool) {
	text, isFloor := strings.CutPrefix(id, floorIDPrefix)
	position, topic, hasTopic := strings.Cut(text, "/")
	at, err := ParsePosition(position)
	return topic, at, isFloor && hasTopic && err == nil
}

// topicFloors is the floors among the records of a partition, at its primary.
type topicFloors map[string]Position // by topic

// newTopicFloors finds the floors among records.
func newTopicFloors(records *recordSet) topicFloors {
	floors := topicFloors{}
	for id := range records.byID {
		if topic, at, ok := parseFloorID(id); ok && at.After(floors[topic]) {
			floors[topic] = at
		}
	}
	return floors
}

// remove forgets a floor whose record is deleted; other records are none.
func (f topicFloors) remove(id string) {
	if topic, at, ok := parseFloorID(id); ok && f[topic] == at {
		delete(f, topic)
	}
}

// emptiedTopics are the topics that have no entry behind the expired ones, with the
// position of their last entry.
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

// raiseFloorsLocked records the floors of the topics that a deletion of the expired
// entries leaves empty. It comes before the deletion, and so at the backups as well.
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

package partition

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/placement"
)

func TestFloorIdentifiers(t *testing.T) {
	for _, topic := range []string{"t", "a/b", "", " floor/1-1/x"} {
		at := Position{3, 1 << 33}
		if got, read, ok := parseFloorID(floorID(topic, at)); !ok || got != topic || read != at {
			t.Errorf("%q is parsed as %q, %v, %v", topic, got, read, ok)
		}
	}
	for _, id := range []string{"", "t", "1-1/t", floorIDPrefix, floorIDPrefix + "1-1", floorIDPrefix + "x/t", entryID(Position{1, 1})} {
		if topic, at, ok := parseFloorID(id); ok {
			t.Errorf("%q is parsed as the floor %v of %q", id, at, topic)
		}
	}
}

// The floor of a topic must be recorded once when its last entry is deleted, and be found
// by the next primary.
func TestFloorIsRaisedWhenATopicBecomesEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startPrimary(t)
		p := m.partitions[0]
		accept := func(topic string, number int64, retention time.Duration) Position {
			t.Helper()
			r := &Record{Topic: topic, Publisher: "p", Number: number, Expires: m.Now() + retention.Milliseconds()}
			if err := m.Accept(t.Context(), 0, r); err != nil {
				t.Fatal(err)
			}
			return r.Position()
		}
		floors := func() topicFloors {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.deleteExpiredLocked(p, m.Now())
			if recorded := newTopicFloors(&p.records); !maps.Equal(recorded, p.log.floors) {
				t.Errorf("recorded floors %v, floors in memory %v", recorded, p.log.floors)
			}
			return maps.Clone(p.log.floors)
		}
		accept("a", 1, time.Second)
		last := accept("a", 2, time.Second)
		accept("b", 1, time.Second)
		accept("b", 2, time.Minute)
		time.Sleep(2 * time.Second)
		if got := floors(); !maps.Equal(got, topicFloors{"a": last}) {
			t.Errorf("floors %v", got)
		}
		last = accept("a", 3, time.Second)
		time.Sleep(2 * time.Second)
		if got := floors(); !maps.Equal(got, topicFloors{"a": last}) {
			t.Errorf("floors after the next message expired: %v", got)
		}
		_, _ = m.Events()
		assign(m, 3, placement.Partition{Epoch: 7, Primary: "other", Backups: []placement.Backup{{Store: "me"}}})
		assign(m, 4, placement.Partition{Epoch: 8, Primary: "me"})
		synctest.Wait()
		events, _ := m.Events()
		i := slices.IndexFunc(events, func(e Event) bool { return e.LogReady })
		if i < 0 || !maps.Equal(events[i].Floors, topicFloors{"a": last}) || p.log.lastPosition["a"] != last {
			t.Errorf("the next primary sends %+v; last position of the topic %v", events, p.log.lastPosition["a"])
		}
		time.Sleep(floorRetention + time.Second)
		if got := floors(); got["a"] != (Position{}) {
			t.Errorf("floors after their retention: %v", got)
		}
	})
}

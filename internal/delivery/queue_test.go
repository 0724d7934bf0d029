package delivery

import (
	"testing"
	"time"

	"saltreel/internal/partition"
)

func TestServiceQueueOrder(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d * time.Millisecond) }
	for name, c := range map[string]struct {
		messages []message // with the IDs a, b, c, ...
		want     string
	}{
		"earliest startBy first": {[]message{{startBy: at(30)}, {startBy: at(10)}, {startBy: at(20)}}, "bca"},
		"priority first":         {[]message{{priority: 2, startBy: at(10)}, {priority: 1, startBy: at(20)}}, "ba"},
		"late last":              {[]message{{startBy: at(-10), overdueAt: at(10)}, {startBy: at(10)}}, "ba"},
		"oldest late first":      {[]message{{startBy: at(-10), eligibleSince: at(-50), overdueAt: at(10)}, {startBy: at(-20), eligibleSince: at(-90), overdueAt: at(10)}}, "ba"},
		"overdue before late":    {[]message{{startBy: at(-10), eligibleSince: at(-50), overdueAt: at(10)}, {startBy: at(-20), eligibleSince: at(-90), overdueAt: at(-1)}}, "ba"},
		"not due":                {[]message{{due: at(1)}, {startBy: at(10)}}, "b"},
	} {
		q := &serviceQueue{}
		for i := range c.messages {
			m := &c.messages[i]
			m.record = &partition.Record{ID: string(rune('a' + i))}
			q.schedule(m)
		}
		q.releaseDue(now)
		var got []*message
		for m := q.pop(now); m != nil; m = q.pop(now) {
			got = append(got, m)
		}
		if ids(got) != c.want || q.dueCount() != 0 {
			t.Errorf("%s: order %s, %d left", name, ids(got), q.dueCount())
		}
	}
}

func TestOverdueMessagePrecedesOthers(t *testing.T) {
	now := time.Now()
	q := &serviceQueue{}
	late := &message{record: &partition.Record{ID: "late"}, startBy: now.Add(-time.Second), overdueAt: now.Add(time.Second)}
	q.requeue(late)
	q.requeue(&message{record: &partition.Record{ID: "fresh"}, startBy: now.Add(time.Hour)})
	if m := q.pop(now); m.record.ID != "fresh" {
		t.Fatalf("%s is first, want fresh", m.record.ID)
	}
	q.requeue(&message{record: &partition.Record{ID: "fresh"}, startBy: now.Add(time.Hour)})
	if m := q.pop(now.Add(2 * time.Second)); m != late {
		t.Errorf("%s precedes the overdue message", m.record.ID)
	}
}

func TestReleaseDueDropsFinishedMessages(t *testing.T) {
	q := &serviceQueue{}
	q.schedule(&message{finished: true})
	if q.releaseDue(time.Now()); q.dueCount() != 0 || len(q.scheduled) != 0 {
		t.Errorf("%d due, %d scheduled", q.dueCount(), len(q.scheduled))
	}
}

func TestTimeUntilNextDue(t *testing.T) {
	now := time.Now()
	q := &serviceQueue{}
	if got := q.timeUntilNextDue(now, time.Second); got != time.Second {
		t.Errorf("empty queue: %v, want 1s", got)
	}
	q.schedule(&message{due: now.Add(time.Minute)})
	q.schedule(&message{due: now.Add(time.Millisecond)})
	if got := q.timeUntilNextDue(now, time.Second); got != time.Millisecond {
		t.Errorf("next message due in %v, want 1ms", got)
	}
}

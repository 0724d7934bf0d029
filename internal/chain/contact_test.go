package chain

import (
	"testing"
	"time"
)

// answeredUpdateAt is an update that a member answers, received receivedMs after the
// start.
type answeredUpdateAt struct {
	head, number, committedThrough int64
	receivedMs                     int
}

func TestContactByAnsweredUpdates(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name    string
		updates []answeredUpdateAt
		nowMs   int
		current bool
		sinceMs int // -1: never
	}{
		{name: "no update", nowMs: 0, sinceMs: -1},
		{name: "one update proves no contact", updates: []answeredUpdateAt{{7, 1, 0, 0}}, nowMs: 1, sinceMs: -1},
		{name: "an update proves contact at the one before", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 1, 100}}, nowMs: 101, current: true, sinceMs: 0},
		{name: "a proof expires", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 1, 100}}, nowMs: 1000, sinceMs: 0},
		{name: "a proof counts from the arrival of the committed update", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 1, 999}}, nowMs: 1001, sinceMs: 0},
		{name: "proofs without a gap", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 1, 900}, {7, 3, 2, 1800}}, nowMs: 1801, current: true, sinceMs: 0},
		{name: "proofs with a gap", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 1, 1100}, {7, 3, 2, 1200}}, nowMs: 1201, current: true, sinceMs: 1100},
		{name: "a failed update between", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 0, 100}, {7, 3, 1, 200}}, nowMs: 201, current: true, sinceMs: 0},
		{name: "a number of another incarnation", updates: []answeredUpdateAt{{7, 1, 0, 0}, {8, 2, 1, 100}}, nowMs: 101, sinceMs: -1},
		{name: "a duplicate", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 1, 0, 50}, {7, 2, 1, 100}}, nowMs: 101, current: true, sinceMs: 50},
		{name: "an update no longer remembered", updates: []answeredUpdateAt{{7, 1, 0, 0}, {7, 2, 0, 1}, {7, 3, 0, 2}, {7, 4, 0, 3}, {7, 5, 0, 4}, {7, 6, 1, 5}}, nowMs: 6, sinceMs: -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := contact{maxGap: time.Second}
			for _, u := range test.updates {
				c.recordAnswer(StreamPosition{u.head, u.number}, u.committedThrough, at(u.receivedMs))
			}
			if got := c.current(at(test.nowMs)); got != test.current {
				t.Errorf("in contact: %v", got)
			}
			want := time.Time{}
			if test.sinceMs >= 0 {
				want = at(test.sinceMs)
			}
			if !c.continuousSince.Equal(want) {
				t.Errorf("in contact since %v, want %v", c.continuousSince, want)
			}
		})
	}
}

func TestContactIsNotProvedAcrossViews(t *testing.T) {
	c := contact{maxGap: time.Second}
	start := time.Unix(1000, 0)
	c.recordAnswer(StreamPosition{7, 1}, 0, start)
	c.resetAnswers()
	c.recordAnswer(StreamPosition{7, 2}, 1, start)
	if c.current(start) {
		t.Error("in contact by an answer of the previous view")
	}
	c.confirm(start)
	c.confirm(start.Add(-time.Hour)) // an older proof changes nothing
	if !c.current(start) || !c.continuousSince.Equal(start) {
		t.Errorf("in contact since %v", c.continuousSince)
	}
}

package edge

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestStalledPrimaries(t *testing.T) {
	const retention = 100 * time.Millisecond
	for _, test := range []struct {
		name      string
		epoch     int64 // queried; the stalled one is 5
		after     time.Duration
		answered  bool // the primary responded before the query
		partition int  // queried; the stalled one is 1
		want      bool
	}{
		{"just now", 5, 0, false, 1, true},
		{"just before it is forgotten", 5, retention - 1, false, 1, true},
		{"forgotten", 5, retention, false, 1, false},
		{"answered since", 5, 0, true, 1, false},
		{"in a newer epoch", 6, 0, false, 1, false},
		{"another partition", 5, 0, false, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStalledPrimaries(retention)
				s.add(1, 5)
				time.Sleep(test.after)
				if test.answered {
					s.clear(1)
				}
				if got := s.contains(test.partition, test.epoch); got != test.want {
					t.Errorf("stalled: %v, want %v", got, test.want)
				}
			})
		})
	}
}

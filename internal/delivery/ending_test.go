package delivery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/partition"
)

// A process that ends begins nothing that may take longer, and reads no answer after its end: the
// outcome would be lost with it, and the success would run again elsewhere.
func TestEndBy(t *testing.T) {
	const timeout = 500 * time.Millisecond // of the routes of newScheduler
	for name, c := range map[string]struct {
		work     time.Duration // of the handler
		begins   time.Duration // from then on messages are due
		attempts int
		finished int
	}{
		"ends in time":            {100 * time.Millisecond, 0, 1, 1},
		"ends just in time":       {timeout - 10*time.Millisecond, time.Second - timeout, 1, 1},
		"may not end in time":     {time.Millisecond, time.Second - timeout + 50*time.Millisecond, 0, 0},
		"after the process's end": {time.Millisecond, 2 * time.Second, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := record("m", "", 1)
			r.Due = time.Now().Add(c.begins).UnixMilli()
			p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{r}})
			h := &fakeHandler{work: c.work}
			s := schedulerOf(t, p, h)
			s.SetShutdownDeadline(time.Now().Add(time.Second))
			runScheduler(t, s, 3*time.Second)
			if len(h.attempts) != c.attempts || len(p.outcomes()) != c.finished {
				t.Errorf("%s: %d attempts, %q", name, len(h.attempts), p.outcomes())
			}
		})
	}
}

func TestDeliveryInFlightIsBrokenOffAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{record("m", "", 1)}})
		h := &fakeHandler{work: 400 * time.Millisecond}
		s := schedulerOf(t, p, h)
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { s.SetShutdownDeadline(began.Add(200 * time.Millisecond)) })
		runScheduler(t, s, 150*time.Millisecond)
		if took := time.Since(began); took > 210*time.Millisecond {
			t.Errorf("the scheduler ended after %v", took)
		}
		time.Sleep(time.Second)
		if tried := h.tried(); !slices.Equal(tried, []string{"m"}) || len(p.outcomes()) != 0 {
			t.Errorf("%q was tried, outcomes %q", tried, p.outcomes())
		}
	})
}

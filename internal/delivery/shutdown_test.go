package delivery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/partition"
)

// Guards against messages that are executed twice after a shutdown: the outcome of a delivery that
// outlasts the process is lost, and the next primary delivers the message again. A delivery
// that may exceed the shutdown deadline must not start, and no response is read after it.
func TestShutdownDeadline(t *testing.T) {
	const timeout = 500 * time.Millisecond // of the routes of newScheduler
	for name, c := range map[string]struct {
		work     time.Duration // processing time of the handler
		due      time.Duration // when the message is due
		attempts int
		finished int
	}{
		"completes in time":       {100 * time.Millisecond, 0, 1, 1},
		"completes just in time":  {timeout - 10*time.Millisecond, time.Second - timeout, 1, 1},
		"may exceed the deadline": {time.Millisecond, time.Second - timeout + 50*time.Millisecond, 0, 0},
		"due after the deadline":  {time.Millisecond, 2 * time.Second, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := record("m", "", 1)
			r.Due = time.Now().Add(c.due).UnixMilli()
			p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{r}})
			h := &fakeHandler{work: c.work}
			s := newSchedulerWith(t, p, h)
			s.SetShutdownDeadline(time.Now().Add(time.Second))
			runScheduler(t, s, 3*time.Second)
			if len(h.attempts) != c.attempts || len(p.outcomes()) != c.finished {
				t.Errorf("%s: %d attempts, outcomes %q", name, len(h.attempts), p.outcomes())
			}
		})
	}
}

func TestDeliveryInFlightIsCanceledAtShutdownDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePartitions(partition.Event{BecamePrimary: true, Records: []*partition.Record{record("m", "", 1)}})
		h := &fakeHandler{work: 400 * time.Millisecond}
		s := newSchedulerWith(t, p, h)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { s.SetShutdownDeadline(start.Add(200 * time.Millisecond)) })
		runScheduler(t, s, 150*time.Millisecond)
		if took := time.Since(start); took > 210*time.Millisecond {
			t.Errorf("the scheduler stopped after %v", took)
		}
		time.Sleep(time.Second)
		if attempted := h.attempted(); !slices.Equal(attempted, []string{"m"}) || len(p.outcomes()) != 0 {
			t.Errorf("attempts %q, outcomes %q", attempted, p.outcomes())
		}
	})
}

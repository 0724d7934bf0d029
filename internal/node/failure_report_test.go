package node

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestReportLimiter(t *testing.T) {
	const interval = 100 * time.Millisecond
	type report struct {
		after   time.Duration // since the previous report
		node    string
		refused bool
		allowed bool
	}
	for _, test := range []struct {
		name    string
		reports []report
	}{
		{"the same node once in an interval", []report{
			{0, "a", false, true}, {interval / 2, "a", false, false}, {interval / 2, "a", false, true},
		}},
		{"one node in an interval", []report{
			{0, "a", false, true}, {interval / 2, "b", false, false}, {interval / 2, "b", false, true},
		}},
		{"a refused connection is reported at once", []report{
			{0, "a", false, true}, {0, "b", true, true}, {0, "c", true, true},
		}},
		{"a refused connection of the same node is not", []report{
			{0, "a", true, true}, {interval / 2, "a", true, false}, {interval / 2, "a", true, true},
		}},
		{"a refused connection counts for the others", []report{
			{0, "a", true, true}, {interval / 2, "b", false, false},
		}},
		{"a report that was dropped does not count", []report{
			{0, "a", false, true}, {interval * 3 / 4, "b", false, false}, {interval / 4, "b", false, true},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rate := newReportLimiter(interval)
				for i, r := range test.reports {
					time.Sleep(r.after)
					if got := rate.allow(r.node, r.refused); got != r.allowed {
						t.Errorf("report %d, of %s: allowed %v, want %v", i, r.node, got, r.allowed)
					}
				}
			})
		})
	}
}

func TestBackgroundStartsNothingAfterStop(t *testing.T) {
	b := newBackgroundTasks()
	ran := make(chan struct{}, 2)
	b.start(func() {
		<-b.ctx.Done() // stop cancels it and waits
		ran <- struct{}{}
	})
	b.stop()
	if len(ran) != 1 {
		t.Error("stop did not wait for the task")
	}
	b.start(func() { ran <- struct{}{} })
	b.tasks.Wait()
	if len(ran) != 1 {
		t.Error("a task started after stop")
	}
}

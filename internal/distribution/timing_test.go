package distribution

import (
	"testing"
	"time"
)

// The intervals of a subscriber must be consistent with each other for any contact
// timeout.
func TestTiming(t *testing.T) {
	for _, contactTimeout := range []time.Duration{100 * time.Millisecond, 4 * time.Second, time.Minute} {
		timing := timing{contactTimeout}
		if timing.pollWait() >= timing.pollTimeout() {
			t.Errorf("%v: a poll is canceled before its wait is over", contactTimeout)
		}
		if 2*timing.pollWait() >= timing.maxResponseAge() || timing.maxResponseAge() >= contactTimeout {
			t.Errorf("%v: up to date for %v with polls of %v", contactTimeout, timing.maxResponseAge(), timing.pollWait())
		}
		if timing.failedParentBackoff() <= timing.pollTimeout() {
			t.Errorf("%v: a parent is asked again before another one could answer", contactTimeout)
		}
		now := time.Now()
		for range 100 {
			if wait := timing.reselectTime(now).Sub(now); wait <= contactTimeout*3/16 || wait > contactTimeout/4 {
				t.Fatalf("%v: the next choice is after %v", contactTimeout, wait)
			}
			if delay := timing.retryDelay(); delay < contactTimeout/80 || delay >= contactTimeout/40 {
				t.Fatalf("%v: the next attempt is after %v", contactTimeout, delay)
			}
		}
	}
}

// Package quota limits what each tenant uses on this node: sensors measure its
// rate, the throttle time brings the rate back to the limit, and a delay queue
// holds requests for so long.
//
// The design is that of Apache Kafka's client quotas; the source is "Kafka
// Internals 19 · Quotas, Throttling & Client Metrics". docs/design.md says what
// is taken from it and what differs.
package quota

import (
	"sync"
	"time"
)

// A sensor has NumSamples windows of the length Window: ten complete ones and the
// current one.
const (
	NumSamples = 11
	Window     = time.Second
)

// Sensor measures a rate: the sum of the samples that have not expired divided
// by the time that they span.
type Sensor struct {
	mu       sync.Mutex
	samples  [NumSamples]sample // a ring
	current  int                // index of the newest sample
	started  bool               // a value was recorded
	lastUsed time.Time
}

// sample is the sum of the values of one window.
type sample struct {
	start  time.Time
	sum    float64
	active bool // it has begun and has not expired
}

// record adds a value, which is negative to cancel an earlier one.
func (s *Sensor) record(value float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
	if !s.started {
		s.started = true
		s.samples[0] = sample{start: now, active: true}
	}
	current := &s.samples[s.current]
	if !current.active || now.Sub(current.start) >= Window {
		s.current = (s.current + 1) % NumSamples
		current = &s.samples[s.current]
		*current = sample{start: now, active: true}
	}
	current.sum += value
}

// Rate returns the rate a second. The span counts as at least Samples-1
// windows, so that a new sensor does not show an absurd rate.
func (s *Sensor) Rate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	oldest := now
	for i := range s.samples {
		sample := &s.samples[i]
		if sample.active && now.Sub(sample.start) >= NumSamples*Window {
			sample.active = false
		}
		if !sample.active {
			continue
		}
		sum += sample.sum
		if sample.start.Before(oldest) {
			oldest = sample.start
		}
	}
	span := now.Sub(oldest)
	if complete := int(span / Window); complete < NumSamples-1 {
		span += time.Duration(NumSamples-1-complete) * Window
	}
	return sum / span.Seconds()
}

// idle reports whether a sensor that was used has not been for longer than d.
func (s *Sensor) idle(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && now.Sub(s.lastUsed) > d
}

// minBound avoids a division by zero for a limit of 0.
const minBound = 1e-3

// MaxThrottleTime is the longest throttle time: after it a sensor has forgotten what it
// observed, so nothing asks for a longer one.
const MaxThrottleTime = NumSamples * Window

// ThrottleTime returns the time X that brings an observed rate O back to its bound T
// over a window W: O·W/(W+X) = T. It is 0 within the bound, and at most MaxThrottleTime.
func ThrottleTime(observed, bound float64) time.Duration {
	if observed <= bound {
		return 0
	}
	x := (observed - bound) / max(bound, minBound) * float64(Window)
	return time.Duration(min(x, float64(MaxThrottleTime)))
}

// Package quota enforces the quotas of tenants on one node. Sensors measure the rate of
// each tenant, the throttle time brings the rate back to its limit, and a delay queue
// holds throttled requests for that time.
//
// The design follows the client quotas of Apache Kafka as described in "Kafka Internals
// 19 · Quotas, Throttling & Client Metrics". docs/design.md lists what is adopted and
// what differs.
package quota

import (
	"sync"
	"time"
)

// A sensor has NumSamples windows of length Window: ten complete windows and the current
// one.
const (
	NumSamples = 11
	Window     = time.Second
)

// Sensor measures a rate over a sliding window: the sum of the unexpired samples divided
// by the time span that they cover. The zero value is ready for use, also concurrently.
type Sensor struct {
	mu       sync.Mutex
	samples  [NumSamples]sample // ring buffer
	current  int                // index of the newest sample
	started  bool               // at least one value was recorded
	lastUsed time.Time
}

// sample is the sum of the values recorded in one window.
type sample struct {
	start  time.Time
	sum    float64
	active bool // started and not expired
}

// record adds a value; a negative value reverts an earlier one.
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

// Rate returns the rate per second. The span is padded to at least NumSamples-1 windows:
// otherwise the first values of a new sensor would give an excessive rate.
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

// idle reports whether the last value was recorded longer than d ago. A sensor without
// any value is not idle.
func (s *Sensor) idle(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && now.Sub(s.lastUsed) > d
}

// minLimit avoids a division by zero when the limit is 0.
const minLimit = 1e-3

// MaxThrottleTime is the upper bound of the throttle time: by then all samples of the
// sensor have expired, so a longer delay has no use.
const MaxThrottleTime = NumSamples * Window

// ThrottleTime returns the delay X that brings an observed rate O back to the limit T
// over a window W: O·W/(W+X) = T. It is 0 if the rate is within the limit, and at most
// MaxThrottleTime.
func ThrottleTime(observed, limit float64) time.Duration {
	if observed <= limit {
		return 0
	}
	x := (observed - limit) / max(limit, minLimit) * float64(Window)
	return time.Duration(min(x, float64(MaxThrottleTime)))
}

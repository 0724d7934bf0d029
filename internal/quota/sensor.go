// Package quota owns admission: sensors that measure what each tenant uses on
// this node, the throttle time that brings it back to its limit, and the holds
// that last so long. The design is the one cited in docs/design.md.
package quota

import (
	"sync"
	"time"
)

// Samples and Window are the shape of a sensor: ten whole windows and the
// current one.
const (
	Samples = 11
	Window  = time.Second
)

// Sensor is a sampled rate: the sum over the live windows by the time that
// they span.
type Sensor struct {
	mu      sync.Mutex
	samples [Samples]sample
	current int
	began   bool
	used    time.Time
}

type sample struct {
	start time.Time
	sum   float64
	live  bool
}

// record adds a value, which may be negative to take one back.
func (s *Sensor) record(v float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = now
	if !s.began {
		s.began = true
		s.samples[0] = sample{start: now, live: true}
	}
	c := &s.samples[s.current]
	if !c.live || now.Sub(c.start) >= Window {
		s.current = (s.current + 1) % Samples
		c = &s.samples[s.current]
		*c = sample{start: now, live: true}
	}
	c.sum += v
}

// Rate is the use a second. The span counts as at least Samples-1 windows, so
// that a fresh sensor does not show an absurd rate.
func (s *Sensor) Rate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, oldest := 0.0, now
	for i := range s.samples {
		c := &s.samples[i]
		if c.live && now.Sub(c.start) >= Samples*Window {
			c.live = false
		}
		if c.live {
			sum += c.sum
			if c.start.Before(oldest) {
				oldest = c.start
			}
		}
	}
	span := now.Sub(oldest)
	if whole := int(span / Window); whole < Samples-1 {
		span += time.Duration(Samples-1-whole) * Window
	}
	return sum / span.Seconds()
}

// Throttle is the X that brings an observed rate back to its bound:
// O·W/(W+X) = T.
func Throttle(observed, bound float64) time.Duration {
	if observed <= bound {
		return 0
	}
	x := (observed - bound) / max(bound, 1e-3) * float64(Window)
	return time.Duration(min(x, float64(Idle)))
}

package quota

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Type says what a quota counts.
type Type string

// The types of quota.
const (
	RequestBytes     Type = "request-bytes"  // bytes of requests
	DeliveryBytes    Type = "delivery-bytes" // bytes sent to handlers
	RequestTime      Type = "request-time"   // seconds of processing
	AcceptedMessages Type = "accepted"       // accepted messages
)

// Default stands for any tenant or route in the key of a limit.
const Default = "*"

// Entity is what a limit or a sensor is for. An empty route stands for all
// routes together.
type Entity struct{ Tenant, Route string }

// SensorExpiration is the time without use after which a sensor is removed.
const SensorExpiration = time.Hour

// sweepInterval is the time between two searches for idle sensors.
const sweepInterval = SensorExpiration / 60

// Manager owns the limits, the sensors and the delay queue of one type. Its
// methods may be called by any goroutine.
type Manager struct {
	Type Type

	mu      sync.Mutex
	limits  map[Entity]float64
	sensors map[Entity]*Sensor
	swept   time.Time // when idle sensors were last removed

	queue delayQueue // has its own lock
}

// NewManager returns a manager without limits.
func NewManager(t Type) *Manager {
	return &Manager{
		Type:    t,
		limits:  map[Entity]float64{},
		sensors: map[Entity]*Sensor{},
		queue:   delayQueue{wake: make(chan struct{}, 1)},
	}
}

// SetLimit sets the limit of an entity, a second. Its sensor is unaffected.
func (m *Manager) SetLimit(e Entity, perSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits[e] = perSecond
}

// RemoveLimit removes the limit of an entity.
func (m *Manager) RemoveLimit(e Entity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.limits, e)
}

// SetLimits sets all limits at once; the manager owns the map from then on. The
// sensors are unaffected.
func (m *Manager) SetLimits(limits map[Entity]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = limits
}

// resolve returns the most specific limit of a tenant on a route, and the
// entity whose sensor measures it.
func (m *Manager) resolve(tenant, route string) (Entity, float64, bool) {
	for _, try := range [...]struct{ limit, sensor Entity }{
		{Entity{tenant, route}, Entity{tenant, route}},
		{Entity{tenant, Default}, Entity{tenant, route}},
		{Entity{tenant, ""}, Entity{tenant, ""}},
		{Entity{Default, ""}, Entity{tenant, ""}},
	} {
		if bound, ok := m.limits[try.limit]; ok {
			return try.sensor, bound, true
		}
	}
	return Entity{}, 0, false
}

// sensor returns the sensor of a tenant on a route with its limit, and adds it
// if there is none; nil if there is no limit.
func (m *Manager) sensor(tenant, route string, now time.Time) (*Sensor, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.limits) == 0 {
		return nil, 0
	}
	entity, bound, ok := m.resolve(tenant, route)
	if !ok {
		return nil, 0
	}
	if now.Sub(m.swept) > sweepInterval {
		m.swept = now
		maps.DeleteFunc(m.sensors, func(_ Entity, s *Sensor) bool { return s.idle(now, SensorExpiration) })
	}
	s := m.sensors[entity]
	if s == nil {
		s = &Sensor{}
		m.sensors[entity] = s
	}
	return s, bound
}

// Record records a use and then checks the limit: it returns the throttle time,
// 0 within the limit.
func (m *Manager) Record(tenant, route string, value float64) time.Duration {
	now := time.Now()
	s, bound := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	s.record(value, now)
	return ThrottleTime(s.Rate(now), bound)
}

// Rate returns the measured rate a second; 0 if there is no limit.
func (m *Manager) Rate(tenant, route string) float64 {
	now := time.Now()
	s, _ := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	return s.Rate(now)
}

// Unrecord cancels the record of something that did not happen.
func (m *Manager) Unrecord(tenant, route string, value float64) {
	now := time.Now()
	if s, _ := m.sensor(tenant, route, now); s != nil {
		s.record(-value, now)
	}
}

// MaxInWindow returns the most that an idle tenant may use at once without being
// throttled; false if there is no limit.
func (m *Manager) MaxInWindow(tenant, route string) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, bound, ok := m.resolve(tenant, route)
	return bound * (NumSamples - 1) * Window.Seconds(), ok
}

// Hold adds a hold and returns a channel that the reaper closes after d, or
// after a window if d is longer.
func (m *Manager) Hold(d time.Duration) <-chan struct{} {
	h := &hold{until: time.Now().Add(min(d, Window)), released: make(chan struct{})}
	m.queue.add(h)
	return h.released
}

// Held returns the number of holds.
func (m *Manager) Held() int { return m.queue.len() }

// Reap releases the holds when they are due; only it does. It runs until ctx
// ends and then releases all.
func (m *Manager) Reap(ctx context.Context) {
	for ctx.Err() == nil {
		if h := m.queue.poll(ctx, Window); h != nil {
			close(h.released)
		}
	}
	for _, h := range m.queue.removeAll() {
		close(h.released)
	}
}

package quota

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Type is the resource that a quota limits.
type Type string

// Quota types.
const (
	RequestBytes     Type = "request-bytes"  // bytes of client requests
	DeliveryBytes    Type = "delivery-bytes" // bytes sent to handlers
	RequestTime      Type = "request-time"   // seconds of request processing
	AcceptedMessages Type = "accepted"       // number of accepted messages
)

// Default is the wildcard for the tenant or the route of an Entity that has a limit.
const Default = "*"

// Entity identifies what a limit applies to or a sensor measures. An empty route means
// all routes of the tenant together.
type Entity struct{ Tenant, Route string }

// SensorExpiration is how long a sensor may be unused before it is removed.
const SensorExpiration = time.Hour

// sweepInterval is the minimum time between two scans for expired sensors.
const sweepInterval = SensorExpiration / 60

// Manager holds the limits, the sensors and the delay queue of one quota type. It is
// safe for concurrent use.
type Manager struct {
	Type Type

	mu        sync.Mutex
	limits    map[Entity]float64
	sensors   map[Entity]*Sensor
	lastSweep time.Time // last scan for expired sensors

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

// SetLimit sets the limit of an entity in units per second. Its sensor keeps its
// samples.
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

// SetLimits replaces all limits; the manager takes ownership of the map. The sensors
// keep their samples.
func (m *Manager) SetLimits(limits map[Entity]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = limits
}

// resolve returns the most specific limit that applies to a tenant on a route, and the
// entity whose sensor it is checked against.
func (m *Manager) resolve(tenant, route string) (Entity, float64, bool) {
	for _, candidate := range [...]struct{ limit, sensor Entity }{
		{Entity{tenant, route}, Entity{tenant, route}},
		{Entity{tenant, Default}, Entity{tenant, route}},
		{Entity{tenant, ""}, Entity{tenant, ""}},
		{Entity{Default, ""}, Entity{tenant, ""}},
	} {
		if perSecond, ok := m.limits[candidate.limit]; ok {
			return candidate.sensor, perSecond, true
		}
	}
	return Entity{}, 0, false
}

// sensor returns the sensor and the limit that apply to a tenant on a route, and creates
// the sensor if necessary. It returns nil if there is no limit.
func (m *Manager) sensor(tenant, route string, now time.Time) (*Sensor, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.limits) == 0 {
		return nil, 0
	}
	entity, limit, ok := m.resolve(tenant, route)
	if !ok {
		return nil, 0
	}
	if now.Sub(m.lastSweep) > sweepInterval {
		m.lastSweep = now
		maps.DeleteFunc(m.sensors, func(_ Entity, s *Sensor) bool { return s.idle(now, SensorExpiration) })
	}
	s := m.sensors[entity]
	if s == nil {
		s = &Sensor{}
		m.sensors[entity] = s
	}
	return s, limit
}

// Record adds a value to the sensor of a tenant on a route, then checks the limit. It
// returns the throttle time, which is 0 if the rate is within the limit.
func (m *Manager) Record(tenant, route string, value float64) time.Duration {
	now := time.Now()
	s, limit := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	s.record(value, now)
	return ThrottleTime(s.Rate(now), limit)
}

// Rate returns the measured rate per second, or 0 if there is no limit.
func (m *Manager) Rate(tenant, route string) float64 {
	now := time.Now()
	s, _ := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	return s.Rate(now)
}

// Unrecord reverts a Record call for an operation that did not take place.
func (m *Manager) Unrecord(tenant, route string, value float64) {
	now := time.Now()
	if s, _ := m.sensor(tenant, route, now); s != nil {
		s.record(-value, now)
	}
}

// MaxInWindow returns how much a tenant without recent use may use at once without being
// throttled, and false if there is no limit.
func (m *Manager) MaxInWindow(tenant, route string) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, limit, ok := m.resolve(tenant, route)
	return limit * (NumSamples - 1) * Window.Seconds(), ok
}

// Throttle queues a request for the throttle time d, at most Window, and returns a
// channel that Reap closes when that time is over.
func (m *Manager) Throttle(d time.Duration) <-chan struct{} {
	r := &throttledRequest{releaseAt: time.Now().Add(min(d, Window)), released: make(chan struct{})}
	m.queue.add(r)
	return r.released
}

// NumThrottled returns the number of requests in the delay queue.
func (m *Manager) NumThrottled() int { return m.queue.len() }

// Reap releases throttled requests when they are due, until ctx is done; it then
// releases all that remain. Each channel is closed once, since only Reap closes them.
func (m *Manager) Reap(ctx context.Context) {
	for ctx.Err() == nil {
		if r := m.queue.poll(ctx, Window); r != nil {
			close(r.released)
		}
	}
	for _, r := range m.queue.removeAll() {
		close(r.released)
	}
}

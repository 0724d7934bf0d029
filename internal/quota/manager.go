package quota

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Type is what a quota counts.
type Type string

// The types of quota.
const (
	RequestBytes  Type = "request-bytes"
	DeliveryBytes Type = "delivery-bytes"
	RequestTime   Type = "request-time"
	Accepted      Type = "accepted"
)

// Default stands for any tenant or route in the key of a limit.
const Default = "*"

// Entity names what a limit is for. An empty route means all of them together.
type Entity struct{ Tenant, Route string }

// Idle is how long a sensor is kept without use.
const Idle = time.Hour

// Manager keeps the sensors and the holds of one type.
type Manager struct {
	Type Type

	mu      sync.Mutex
	limits  map[Entity]float64
	sensors map[Entity]*Sensor
	swept   time.Time

	queue delayQueue
}

// NewManager makes a manager without limits.
func NewManager(t Type) *Manager {
	return &Manager{Type: t, limits: map[Entity]float64{}, sensors: map[Entity]*Sensor{}, queue: delayQueue{wake: make(chan struct{}, 1)}}
}

// Limit sets the bound of an entity. What was used is kept.
func (m *Manager) Limit(e Entity, perSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits[e] = perSecond
}

// Unlimit takes the bound of an entity away.
func (m *Manager) Unlimit(e Entity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.limits, e)
}

// Replace sets all limits at once. What was used is kept.
func (m *Manager) Replace(limits map[Entity]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = limits
}

// resolve finds the most specific limit and the entity whose sensor counts.
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

func (m *Manager) sensor(tenant, route string, now time.Time) (*Sensor, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.limits) == 0 {
		return nil, 0
	}
	e, bound, ok := m.resolve(tenant, route)
	if !ok {
		return nil, 0
	}
	if now.Sub(m.swept) > Idle/60 {
		m.swept = now
		for k, s := range m.sensors {
			s.mu.Lock()
			idle := s.began && now.Sub(s.used) > Idle
			s.mu.Unlock()
			if idle {
				delete(m.sensors, k)
			}
		}
	}
	s := m.sensors[e]
	if s == nil {
		s = &Sensor{}
		m.sensors[e] = s
	}
	return s, bound
}

// Record counts a use and then checks it: the result is the throttle time X,
// 0 within the limit.
func (m *Manager) Record(tenant, route string, value float64) time.Duration {
	now := time.Now()
	s, bound := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	s.record(value, now)
	return Throttle(s.Rate(now), bound)
}

// Rate is what was observed of late, a second.
func (m *Manager) Rate(tenant, route string) float64 {
	now := time.Now()
	s, _ := m.sensor(tenant, route, now)
	if s == nil {
		return 0
	}
	return s.Rate(now)
}

// Unrecord takes back what was recorded for something that did not happen.
func (m *Manager) Unrecord(tenant, route string, value float64) {
	now := time.Now()
	if s, _ := m.sensor(tenant, route, now); s != nil {
		s.record(-value, now)
	}
}

// MaxInWindow is the most that may be used at once without a sure throttle.
func (m *Manager) MaxInWindow(tenant, route string) (float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, bound, ok := m.resolve(tenant, route)
	return bound * (Samples - 1) * Window.Seconds(), ok
}

// Hold gives a channel that the reaper closes, once, after d, or after a
// window where d is longer.
func (m *Manager) Hold(d time.Duration) <-chan struct{} {
	h := &held{until: time.Now().Add(min(d, Window)), released: make(chan struct{})}
	m.queue.add(h)
	return h.released
}

// Held is how many holds there are.
func (m *Manager) Held() int {
	m.queue.mu.Lock()
	defer m.queue.mu.Unlock()
	return len(m.queue.list)
}

// Reap is the reaper of this type: the only one that releases holds. It runs
// until ctx ends and then releases all.
func (m *Manager) Reap(ctx context.Context) {
	for ctx.Err() == nil {
		if h := m.queue.poll(ctx, Window); h != nil {
			close(h.released)
		}
	}
	m.queue.mu.Lock()
	defer m.queue.mu.Unlock()
	for _, h := range m.queue.list {
		close(h.released)
	}
	m.queue.list = nil
}

// held is one hold on the delay queue.
type held struct {
	until    time.Time
	released chan struct{}
}

// delayQueue gives its entries out once their time has come, oldest first.
type delayQueue struct {
	mu   sync.Mutex
	list heldHeap
	wake chan struct{}
}

func (q *delayQueue) add(h *held) {
	q.mu.Lock()
	heap.Push(&q.list, h)
	first := q.list[0] == h
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// poll waits for the next entry that is due, for at most the time given.
func (q *delayQueue) poll(ctx context.Context, most time.Duration) *held {
	end := time.Now().Add(most)
	for {
		q.mu.Lock()
		now := time.Now()
		if len(q.list) > 0 && !q.list[0].until.After(now) {
			h := heap.Pop(&q.list).(*held)
			q.mu.Unlock()
			return h
		}
		until := end
		if len(q.list) > 0 && q.list[0].until.Before(end) {
			until = q.list[0].until
		}
		q.mu.Unlock()
		if !now.Before(end) {
			return nil
		}
		t := time.NewTimer(until.Sub(now))
		select {
		case <-t.C:
		case <-q.wake:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}

type heldHeap []*held

func (h heldHeap) Len() int           { return len(h) }
func (h heldHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h heldHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *heldHeap) Push(x any)        { *h = append(*h, x.(*held)) }
func (h *heldHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

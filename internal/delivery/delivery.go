// Package delivery owns the scheduling at a primary: what is due, in which
// order, to which handler, how fast, and when again after a failure.
package delivery

import (
	"container/heap"
	"context"
	"log"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
	"saltreel/internal/settings"
)

// Scheduler delivers the messages of the partitions that this store leads.
type Scheduler struct {
	Set      *partition.Manager
	Pool     *httpwire.Pool // to handlers
	Settings *settings.Settings
	Log      *log.Logger
	Table    func() *configuration.Table
	Bytes    *quota.Manager // delivery bytes

	mu       sync.Mutex
	services map[string]*service
	targets  map[string]map[string]*target // service, instance
	parts    map[int]*part
	wake     chan struct{}
	tasks    sync.WaitGroup

	flight sync.Mutex
	flying map[int]int // deliveries under way, by partition
}

// part is the messages of one partition.
type part struct {
	items map[string]*item
	lines map[string]*line
}

// line is the messages that share a tenant and an order key: only the first
// may run.
type line struct{ items []*item }

// item is a message to deliver.
type item struct {
	record   *partition.Record
	part     *part
	line     *line
	due      time.Time // by the steady clock
	since    time.Time // when it could first have run
	attempts int       // answered with 500
	tries    int
	running  bool
	queued   bool
	ended    bool
	priority int32
	service  *service
	last     string    // the instance of the last try
	target   time.Time // when it is to start at the latest to be in time
	patience time.Time // from then on it goes before all others
}

// Init makes the maps; it is called once.
func (s *Scheduler) Init() {
	s.services, s.targets, s.parts = map[string]*service{}, map[string]map[string]*target{}, map[int]*part{}
	s.wake, s.flying = make(chan struct{}, 1), map[int]int{}
}

func (s *Scheduler) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Idle tells whether no delivery of a partition is under way.
func (s *Scheduler) Idle(n int) bool {
	s.flight.Lock()
	defer s.flight.Unlock()
	return s.flying[n] == 0
}

func (s *Scheduler) fly(n, by int) {
	s.flight.Lock()
	s.flying[n] += by
	s.flight.Unlock()
}

// Run schedules until ctx ends, then waits for the deliveries under way.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		events, more := s.Set.Events()
		next := s.step(ctx, events)
		timer.Reset(next)
		select {
		case <-ctx.Done():
			s.tasks.Wait()
			return
		case <-more:
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// step takes events in, starts what can be started, and tells when to look again.
func (s *Scheduler) step(ctx context.Context, events []partition.Event) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, e := range events {
		if e.BecamePrimary || e.LostPrimary {
			if p := s.parts[e.Partition]; p != nil {
				for _, it := range p.items {
					it.ended = true
				}
			}
			delete(s.parts, e.Partition)
		}
		if e.LostPrimary {
			continue
		}
		p := s.parts[e.Partition]
		if p == nil {
			p = &part{map[string]*item{}, map[string]*line{}}
			s.parts[e.Partition] = p
		}
		for _, r := range e.Records {
			s.add(p, r, now)
		}
	}
	next := s.Settings.Contact() / 4
	if ctx.Err() == nil {
		for _, svc := range s.services {
			next = min(next, s.pump(ctx, svc, now))
		}
	}
	return max(next, time.Millisecond)
}

func (s *Scheduler) add(p *part, r *partition.Record, now time.Time) {
	if p.items[r.ID] != nil {
		return
	}
	it := &item{record: r, part: p, due: now.Add(time.Duration(r.Due-s.Set.Now()) * time.Millisecond)}
	if it.due.Before(now) {
		it.due = now
	}
	it.since = it.due
	p.items[r.ID] = it
	if r.OrderKey != "" {
		k := r.Tenant + "\x00" + r.OrderKey
		l := p.lines[k]
		if l == nil {
			l = &line{}
			p.lines[k] = l
		}
		it.line = l
		at := len(l.items)
		for at > 0 && l.items[at-1].record.Order > r.Order && !l.items[at-1].running {
			at--
		}
		l.items = append(l.items, nil)
		copy(l.items[at+1:], l.items[at:])
		l.items[at] = it
		if l.items[0] != it {
			return
		}
	}
	s.enqueue(it)
}

// enqueue puts an item on the queue of its service.
func (s *Scheduler) enqueue(it *item) {
	if it.ended || it.running || it.queued {
		return
	}
	name := ""
	if t := s.Table(); t != nil {
		if r := t.Route(it.record.Host, it.record.Target); r != nil {
			name, it.priority = r.Service, r.Priority
			it.target = it.since.Add(time.Duration(r.StartTargetMs) * time.Millisecond)
			it.patience = it.since.Add(settings.Seconds(r.RetentionS / 2))
		}
	}
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, filled: time.Now()}
		s.services[name] = svc
	}
	it.service, it.queued = svc, true
	heap.Push(&svc.later, it)
}

// close ends an item and lets the next of its line go.
func (s *Scheduler) close(it *item) {
	it.ended = true
	delete(it.part.items, it.record.ID)
	if l := it.line; l != nil {
		for i, x := range l.items {
			if x == it {
				l.items = append(l.items[:i], l.items[i+1:]...)
				break
			}
		}
		if len(l.items) == 0 {
			delete(it.part.lines, it.record.Tenant+"\x00"+it.record.OrderKey)
		} else {
			s.enqueue(l.items[0])
		}
	}
}

// pump starts the deliveries of one service that can be started now.
func (s *Scheduler) pump(ctx context.Context, svc *service, now time.Time) time.Duration {
	contact := s.Settings.Contact()
	next := contact / 4
	for len(svc.later) > 0 && !svc.later[0].due.After(now) {
		it := heap.Pop(&svc.later).(*item)
		if it.ended {
			continue
		}
		heap.Push(&svc.ready, it)
	}
	if len(svc.later) > 0 {
		next = min(next, svc.later[0].due.Sub(now))
	}
	if len(svc.ready)+len(svc.late) == 0 {
		return next
	}
	table := s.Table()
	if table == nil {
		return contact / 200
	}
	conf := table.Service(svc.name)
	var aside []*item
	blocked := 0
	for it := svc.next(now); it != nil; it = svc.next(now) {
		if it.ended {
			continue
		}
		if table.Revision < it.record.Revision || !s.mayFly(it) {
			aside = append(aside, it)
			next = min(next, contact/400)
			continue
		}
		if !s.Set.IsPending(it.record.Partition, it.record.ID) { // another copy knew how it ended
			s.land(it)
			s.close(it)
			continue
		}
		route := table.Route(it.record.Host, it.record.Target)
		if route == nil || it.record.Expires > 0 && it.record.Expires < s.Set.Now() {
			s.land(it)
			s.Set.Finish(it.record.Partition, it.record.ID, partition.Dead, "")
			s.close(it)
			continue
		}
		if route.Service != svc.name {
			s.land(it)
			it.queued = false
			s.enqueue(it)
			next = 0
			continue
		}
		if svc.paced = conf.RatePerS > 0; svc.paced && !s.token(svc, conf, now) {
			s.land(it)
			aside = append(aside, it)
			next = min(next, time.Duration((1-svc.tokens)/conf.RatePerS*float64(time.Second)))
			break
		}
		t, wait := s.choose(svc, conf, it, now)
		if t == nil {
			s.land(it)
			if svc.paced {
				svc.tokens++
			}
			aside = append(aside, it)
			next = min(next, wait)
			if blocked++; blocked > 4 {
				break
			}
			continue
		}
		size := float64(len(it.record.Body))
		if x := s.Bytes.Record(it.record.Tenant, route.Name, size); x > 0 {
			// Over the tenant's limit: nothing goes out, its size is taken back,
			// and it waits for the throttle time.
			s.Bytes.Unrecord(it.record.Tenant, route.Name, size)
			s.land(it)
			if svc.paced {
				svc.tokens++
			}
			it.due = now.Add(x)
			heap.Push(&svc.later, it)
			next = min(next, x)
			continue
		}
		it.queued, it.running, it.last = false, true, t.ID
		it.tries++
		t.busy++
		s.tasks.Go(func() { s.attempt(ctx, it, t, route) })
	}
	for _, it := range aside {
		heap.Push(&svc.ready, it)
	}
	return next
}

// mayFly counts a delivery as under way if it may start; land counts it off.
func (s *Scheduler) mayFly(it *item) bool {
	s.fly(it.record.Partition, 1)
	if s.Set.MayDeliver(it.record.Partition) {
		return true
	}
	s.fly(it.record.Partition, -1)
	return false
}

func (s *Scheduler) land(it *item) { s.fly(it.record.Partition, -1) }

// token takes one from the bucket that paces a service. A new one is empty.
func (s *Scheduler) token(svc *service, conf *configuration.Service, now time.Time) bool {
	// Half of what the ceiling allows beyond the rate is kept for arrivals
	// that bunch on the way.
	rate := conf.RatePerS * (1 + (s.Settings.Timers.OriginOvershoot-1)/4)
	burst := max(1, conf.RatePerS/20)
	svc.tokens = min(burst, svc.tokens+rate*now.Sub(svc.filled).Seconds())
	svc.filled = now
	if svc.tokens < 1 {
		return false
	}
	svc.tokens--
	return true
}

// attempt makes one delivery and draws the consequences.
func (s *Scheduler) attempt(ctx context.Context, it *item, t *target, route *configuration.Route) {
	r := it.record
	timeout := time.Duration(route.TimeoutMs) * time.Millisecond
	began := time.Now()
	// A delivery under way ends in its own time, even when the process stops.
	res := handler.Deliver(context.WithoutCancel(ctx), s.Pool, handler.Delivery{
		Address: t.Address, Instance: t.ID, ID: r.ID, Tenant: r.Tenant, OrderKey: r.OrderKey,
		Method: r.Method, Target: r.Target, Host: r.Host, Type: r.Type, Body: r.Body, Timeout: timeout,
	})
	if res.Outcome != handler.Done && res.Outcome != handler.Refused && res.Outcome != handler.Failed {
		s.Log.Printf("delivery: %s to %s: %v %d after %v: %v", r.ID, t.Address, res.Outcome, res.Status, time.Since(began).Round(time.Millisecond), res.Err)
	}
	dead := false
	switch res.Outcome {
	case handler.Done:
		s.Set.Finish(r.Partition, r.ID, partition.Complete, res.Seal)
	case handler.Refused:
		dead = true
	case handler.Failed:
		dead = it.attempts+1 >= int(route.MaxAttempts)
	}
	if dead {
		s.Set.Finish(r.Partition, r.ID, partition.Dead, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.nudge()
	defer s.land(it)
	now := time.Now()
	t.busy--
	it.running = false
	if !res.Kept {
		s.judge(t, it.service, res.Outcome, now)
	}
	if it.ended {
		return
	}
	if res.Outcome == handler.Done || dead {
		s.close(it)
		return
	}
	if res.Outcome == handler.Failed {
		it.attempts++
	}
	it.due = now.Add(s.backoff(it, res.Outcome, route))
	s.enqueue(it)
}

// Pending tells how many messages wait here.
func (s *Scheduler) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.parts {
		n += len(p.items)
	}
	return n
}

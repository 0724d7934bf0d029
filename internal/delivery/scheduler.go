// Package delivery schedules the messages of the partitions that a store is
// primary of: what is due, in which order, to which endpoint of its service, how
// fast, and when again after a failure. Endpoints that fail are ejected for a
// while, as the outlier detection of Envoy does it.
package delivery

import (
	"context"
	"errors"
	"log"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
	"saltreel/internal/settings"
)

// Partitions is what the scheduler needs of the partitions of its store.
type Partitions interface {
	// Events returns the changes since the last call, in order, and a channel
	// that receives when there may be more.
	Events() ([]partition.Event, <-chan struct{})
	// Now is the wall clock in milliseconds, without its steps.
	Now() int64
	// MayDeliver reports whether deliveries of a partition may start here now.
	MayDeliver(partition int) bool
	// IsPending reports whether a message has not ended, as far as is known here.
	IsPending(partition int, id string) bool
	// Finish records how a message ended.
	Finish(partition int, id string, state partition.State, seal string)
}

// Config is what a Scheduler needs; all fields must be set.
type Config struct {
	Partitions    Partitions
	Pool          *httpwire.Pool // to the endpoints
	Settings      *settings.Settings
	Log           *log.Logger
	Table         func() *configuration.Table // the newest configuration; nil before the first
	DeliveryBytes *quota.Manager              // delivery bytes
}

func (c *Config) check() error {
	if c.Partitions == nil || c.Pool == nil || c.Settings == nil || c.Log == nil || c.Table == nil || c.DeliveryBytes == nil {
		return errors.New("delivery: the configuration of the scheduler is incomplete")
	}
	if c.Settings.Contact() <= 0 {
		return errors.New("delivery: the contact timeout must be above 0")
	}
	return nil
}

// Scheduler delivers the messages of the partitions that this store is primary of.
type Scheduler struct {
	config         Config
	timing         timing
	inFlight       inFlightCounter
	wake           chan struct{}
	attemptTasks   sync.WaitGroup
	cancelAttempts context.CancelFunc // ends answering
	// attemptCtx is the context of all attempts: it ends when no answer is to be read any more.
	attemptCtx context.Context

	mu               sync.Mutex
	shutdownDeadline time.Time                // when the process is to end; zero while it is not
	queues           map[string]*serviceQueue // by service
	endpoints        endpointTable
	appliedTable     *configuration.Table // the configuration that the queues and endpoints follow
	partitions       map[int]*partitionMessages
}

// New makes a scheduler without messages.
func New(config Config) (*Scheduler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	answering, breakOff := context.WithCancel(context.Background())
	return &Scheduler{
		attemptCtx:     answering,
		cancelAttempts: breakOff,
		config:         config,
		timing:         timing{config.Settings.Contact()},
		wake:           make(chan struct{}, 1),
		queues:         map[string]*serviceQueue{},
		endpoints:      endpointTable{},
		partitions:     map[int]*partitionMessages{},
	}, nil
}

// wakeUp makes Run look at the queues soon.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetShutdownDeadline says when the process is to end: deliveries that may take longer begin no more,
// and those in flight then are broken off, so that no answer is read any more.
func (s *Scheduler) SetShutdownDeadline(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdownDeadline = end
	time.AfterFunc(time.Until(end), s.cancelAttempts)
}

// fitsBeforeShutdownLocked reports whether a delivery that begins now ends before the process.
func (s *Scheduler) fitsBeforeShutdownLocked(route *configuration.Route, now time.Time) bool {
	return s.shutdownDeadline.IsZero() || !now.Add(routeTimeout(route)).After(s.shutdownDeadline)
}

// Idle reports whether no delivery of a partition is in flight.
func (s *Scheduler) Idle(partition int) bool { return s.inFlight.count(partition) == 0 }

// Run schedules until ctx ends, then waits for the deliveries in flight: until EndBy at
// the longest.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		events, more := s.config.Partitions.Events()
		timer.Reset(s.step(ctx, events))
		select {
		case <-ctx.Done():
			s.attemptTasks.Wait()
			return
		case <-more:
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// step applies events, starts what can be started, and returns when to look again.
func (s *Scheduler) step(ctx context.Context, events []partition.Event) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.reconcileLocked()
	for _, e := range events {
		s.applyPartitionEventLocked(e, now)
	}
	next := s.timing.maxPollInterval()
	if ctx.Err() == nil {
		for _, q := range s.queues {
			next = min(next, s.dispatchLocked(q, now))
		}
	}
	return max(next, time.Millisecond)
}

// applyPartitionEventLocked follows the role of this store in a partition, and
// takes over new messages.
func (s *Scheduler) applyPartitionEventLocked(e partition.Event, now time.Time) {
	if e.BecamePrimary || e.LostPrimary {
		if p := s.partitions[e.Partition]; p != nil {
			p.finishAll()
		}
		delete(s.partitions, e.Partition)
	}
	if e.LostPrimary {
		return
	}
	p := s.partitions[e.Partition]
	if p == nil {
		p = newPartitionMessages()
		s.partitions[e.Partition] = p
	}
	for _, r := range e.Records {
		s.addLocked(p, r, now)
	}
}

// addLocked takes over one message; one that is known already is ignored.
func (s *Scheduler) addLocked(p *partitionMessages, r *partition.Record, now time.Time) {
	if p.byID[r.ID] != nil {
		return
	}
	due := now.Add(time.Duration(r.Due-s.config.Partitions.Now()) * time.Millisecond)
	if due.Before(now) {
		due = now
	}
	m := &message{record: r, partition: p, due: due, eligibleSince: due}
	if p.add(m) {
		s.enqueueLocked(m)
	}
}

// enqueueLocked puts a message on the queue of its service.
func (s *Scheduler) enqueueLocked(m *message) {
	if m.finished || m.running || m.queued {
		return
	}
	service := ""
	if table := s.config.Table(); table != nil {
		if route := table.Route(m.record.Host, m.record.Target); route != nil {
			service = route.Service
			m.applyRoute(route)
		}
	}
	q := s.queues[service]
	if q == nil {
		q = newServiceQueue(service, time.Now())
		s.queues[service] = q
	}
	m.queue = q
	m.queued = true
	q.schedule(m)
}

// finishLocked removes a message and lets the next of its order key go.
func (s *Scheduler) finishLocked(m *message) {
	m.finished = true
	if next := m.partition.remove(m); next != nil {
		s.enqueueLocked(next)
	}
}

// Pending returns how many messages wait here.
func (s *Scheduler) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.partitions {
		n += len(p.byID)
	}
	return n
}

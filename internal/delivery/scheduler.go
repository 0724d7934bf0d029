// Package delivery schedules the deliveries of messages in the partitions that a store is
// primary of: when and in which order messages are sent, to which endpoint of their service,
// at which rate, and when they are retried after a failure. Failing endpoints are ejected
// for a time, similar to the outlier detection of Envoy.
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

// Partitions is the interface of the scheduler to the partitions of its store.
type Partitions interface {
	// Events returns the changes since the last call, in order, and a channel
	// that receives when there may be more.
	Events() ([]partition.Event, <-chan struct{})
	// Now returns wall-clock time in milliseconds, unaffected by clock steps.
	Now() int64
	// MayDeliver reports whether this store may start deliveries of a partition now.
	MayDeliver(partition int) bool
	// IsPending reports whether a message is not finished, as far as this store knows.
	IsPending(partition int, id string) bool
	// Finish records the final state of a message.
	Finish(partition int, id string, state partition.State, seal string)
}

// Config configures a Scheduler. All fields must be set.
type Config struct {
	Partitions    Partitions
	Pool          *httpwire.Pool // connections to the endpoints
	Settings      *settings.Settings
	Log           *log.Logger
	Table         func() *configuration.Table // returns the newest configuration, or nil before the first one is known
	DeliveryBytes *quota.Manager              // quota of bytes sent to handlers
}

func (c *Config) check() error {
	if c.Partitions == nil || c.Pool == nil || c.Settings == nil || c.Log == nil || c.Table == nil || c.DeliveryBytes == nil {
		return errors.New("delivery: a required component is not set")
	}
	if c.Settings.ContactTimeout() <= 0 {
		return errors.New("delivery: the contact timeout must be positive")
	}
	return nil
}

// Scheduler delivers the messages of the partitions that this store is primary of. Its
// methods are safe for concurrent use, except that Run must be called only once.
type Scheduler struct {
	config         Config
	timing         timing
	inFlight       inFlightCounter
	wake           chan struct{}
	attemptTasks   sync.WaitGroup
	cancelAttempts context.CancelFunc // cancels attemptCtx
	// attemptCtx is the context of all attempts. It is canceled at the shutdown deadline.
	attemptCtx context.Context

	mu               sync.Mutex
	shutdownDeadline time.Time                // zero unless the process is shutting down
	queues           map[string]*serviceQueue // by service
	endpoints        endpointTable
	appliedTable     *configuration.Table // configuration that queues and endpoints are reconciled with
	partitions       map[int]*partitionMessages
}

// New returns a scheduler without messages.
func New(config Config) (*Scheduler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	attemptCtx, cancelAttempts := context.WithCancel(context.Background())
	return &Scheduler{
		attemptCtx:     attemptCtx,
		cancelAttempts: cancelAttempts,
		config:         config,
		timing:         timing{config.Settings.ContactTimeout()},
		wake:           make(chan struct{}, 1),
		queues:         map[string]*serviceQueue{},
		endpoints:      endpointTable{},
		partitions:     map[int]*partitionMessages{},
	}, nil
}

// wakeUp makes Run start another step.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetShutdownDeadline sets when the process ends. Deliveries that may take longer are not
// started, and those in flight at the deadline are canceled, so that no response is read
// after it: its outcome could not be recorded any more.
func (s *Scheduler) SetShutdownDeadline(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdownDeadline = deadline
	time.AfterFunc(time.Until(deadline), s.cancelAttempts)
}

// fitsBeforeShutdownLocked reports whether a delivery that starts now ends before the shutdown
// deadline, even if it times out.
func (s *Scheduler) fitsBeforeShutdownLocked(route *configuration.Route, now time.Time) bool {
	return s.shutdownDeadline.IsZero() || !now.Add(routeTimeout(route)).After(s.shutdownDeadline)
}

// Idle reports whether no delivery of a partition is in flight.
func (s *Scheduler) Idle(partition int) bool { return s.inFlight.count(partition) == 0 }

// Run schedules deliveries until ctx is done, then waits for those in flight, until the
// shutdown deadline at the latest.
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

// step applies events, starts the deliveries that can start, and returns the time until the
// next step.
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

// applyPartitionEventLocked applies a change of the role of this store in a partition, and adds
// new messages.
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

// addLocked adds one message, unless it is already known.
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

// enqueueLocked schedules a message in the queue of its service.
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

// finishLocked removes a message and enqueues the next one of its order key.
func (s *Scheduler) finishLocked(m *message) {
	m.finished = true
	if next := m.partition.remove(m); next != nil {
		s.enqueueLocked(next)
	}
}

// Pending returns the number of messages that are not finished.
func (s *Scheduler) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.partitions {
		n += len(p.byID)
	}
	return n
}

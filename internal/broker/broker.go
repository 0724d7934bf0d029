// Package broker implements the workload of a store that holds topics. The broker of a topic
// is the primary of its partition: it accepts published messages, orders them, and sends each
// message once to every gateway that follows the topic. A message is sent only after the
// required number of disks have stored it.
//
// The partitions own the messages. All state in this package is derived from their events and
// from requests of the gateways, and can be lost without harm.
package broker

import (
	"context"
	"errors"
	"log"
	"sync"
	"time"

	"saltreel/internal/journal"
	"saltreel/internal/partition"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/store"
	"saltreel/internal/topic"
)

// Partitions is the interface to the partitions of the store.
type Partitions interface {
	// Events returns the changes since the last call, in order, and a channel that receives a
	// value when there may be more.
	Events() ([]partition.Event, <-chan struct{})
	// Now returns the wall clock in milliseconds, corrected for clock steps.
	Now() int64
	// AcceptAll stores messages of a partition in order.
	AcceptAll(ctx context.Context, n int, records []*partition.Record) []error
	// HoldsNumber reports whether a publisher's message number on a topic is stored.
	HoldsNumber(n int, topic, publisher string, number int64) bool
}

// Config configures a Broker. All fields are required.
type Config struct {
	Partitions     Partitions
	Log            *log.Logger
	ContactTimeout time.Duration
	Retransmit     time.Duration // how long a client may retransmit a message number
}

func (c *Config) check() error {
	switch {
	case c.Partitions == nil || c.Log == nil:
		return errors.New("broker: the partitions or the log is not set")
	case c.ContactTimeout <= 0:
		return errors.New("broker: the contact timeout must be positive")
	case c.Retransmit <= 0:
		return errors.New("broker: the retransmission period must be positive")
	}
	return nil
}

// Broker serves the topics of the partitions whose primary is this store.
type Broker struct {
	config Config
	timing timing

	mu       sync.Mutex // guards the fields below
	topics   topicTable
	sessions map[string]*session // by gateway name
	refusals refusals
}

// New returns a broker without topics.
func New(config Config) (*Broker, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Broker{
		config:   config,
		timing:   timing{config.ContactTimeout, config.Retransmit},
		topics:   newTopicTable(),
		sessions: map[string]*session{},
		refusals: newRefusals(),
	}, nil
}

// NewWorkload returns the broker as the workload of a store.
func NewWorkload(config store.WorkloadConfig) (store.Workload, error) {
	return New(Config{
		Partitions:     config.Partitions,
		Log:            config.Log,
		ContactTimeout: config.Settings.ContactTimeout(),
		Retransmit:     settings.Seconds(config.Settings.Timers.RetransmitS),
	})
}

// Calls implements store.Workload.
func (b *Broker) Calls() rpc.Mux {
	return rpc.Mux{
		"/topics/publish": rpc.Handler(b.handlePublish, statusCode),
		"/topics/follow":  rpc.RawHandler(b.handleFollow, statusCode),
		"/topics/poll":    rpc.RawHandler(b.handlePoll, statusCode),
		"/topics/read":    rpc.RawHandler(b.handleRead, statusCode),
		"/topics/refuse":  rpc.Handler(b.handleRefuse, statusCode),
		"/topics/count":   rpc.Handler(b.handleCount, statusCode),
	}
}

// ApplyEvent implements store.Workload. A broker depends only on its partitions.
func (b *Broker) ApplyEvent(journal.Event) {}

// SetShutdownDeadline implements store.Workload. A broker has no long-running work to
// finish.
func (b *Broker) SetShutdownDeadline(time.Time) {}

// Idle implements store.Workload. The only work in flight for a partition is accepts, for
// which the handover itself waits.
func (b *Broker) Idle(int) bool { return true }

// Run implements store.Workload. When ctx ends, it ends all sessions, so that the gateways
// learn that the partitions are no longer led here.
func (b *Broker) Run(ctx context.Context) {
	ticker := time.NewTicker(b.timing.sweepInterval())
	defer ticker.Stop()
	for {
		events, more := b.config.Partitions.Events()
		b.applyEvents(events)
		select {
		case <-ctx.Done():
			b.endSessions()
			return
		case <-more:
		case <-ticker.C:
			b.sweep()
		}
	}
}

func (b *Broker) applyEvents(events []partition.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		b.applyEventLocked(e)
	}
}

func (b *Broker) applyEventLocked(e partition.Event) {
	switch {
	case e.BecamePrimary:
		b.topics.setReady(e.Partition, false)
	case e.LostPrimary:
		b.topics.remove(e.Partition)
		for _, s := range b.sessions {
			s.addLostPartition(e.Partition)
		}
	case e.LogReady:
		b.topics.setReady(e.Partition, true)
		b.topics.setFloors(e.Partition, e.Floors, b.config.Partitions.Now())
	}
	for _, r := range e.Entries {
		t := b.topics.append(e.Partition, r)
		for s := range t.followers {
			s.enqueue(r)
		}
	}
}

// sweep deletes expired messages, refusals and sessions.
func (b *Broker) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.topics.deleteExpired(b.config.Partitions.Now())
	b.refusals.deleteBefore(time.Now().Add(-b.timing.extraRetention()))
	for gateway, s := range b.sessions {
		if s.isExpired(time.Now(), b.timing.sessionTimeout()) {
			b.config.Log.Printf("broker: session of gateway %s ended with %d undelivered messages", gateway, len(s.outbox))
			b.endSessionLocked(gateway)
		}
	}
}

func (b *Broker) endSessions() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for gateway := range b.sessions {
		b.endSessionLocked(gateway)
	}
}

// endSessionLocked removes the session of a gateway. A pending poll, or otherwise the next
// one, tells the gateway.
func (b *Broker) endSessionLocked(gateway string) {
	s := b.sessions[gateway]
	if s == nil {
		return
	}
	delete(b.sessions, gateway)
	for name := range s.topics {
		b.topics.unfollow(name, s)
	}
	s.end()
}

// statusCode maps the errors of the broker RPCs to HTTP status codes.
func statusCode(err error) int {
	switch {
	case errors.Is(err, topic.ErrTruncated):
		return 400
	case errors.Is(err, errNotReady):
		return 421
	}
	return partition.StatusCode(err)
}

var errNotReady = errors.New("the topic is not led here, or not yet")

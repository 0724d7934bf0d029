// Package broker is the workload of a store of topics. The broker of a topic is the
// primary of its partition: it accepts what is published there, keeps the order,
// and sends each message once to every gateway that follows the topic. A message is
// sent only when as many disks hold it as must.
//
// The partitions own the messages; all state here follows from their events and
// from what the gateways ask for, and is lost without harm.
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

// Partitions is what a broker needs of the partitions of its store.
type Partitions interface {
	// Events returns the changes since the last call, in order, and a channel
	// that receives when there may be more.
	Events() ([]partition.Event, <-chan struct{})
	// Now is the wall clock in milliseconds, without its steps.
	Now() int64
	// AcceptAll stores messages of a partition in their order.
	AcceptAll(ctx context.Context, n int, records []*partition.Record) []error
	// HoldsNumber reports whether a publisher's number on a topic is stored.
	HoldsNumber(n int, topic, publisher string, number int64) bool
}

// Config is what a Broker needs; all fields are required.
type Config struct {
	Partitions     Partitions
	Log            *log.Logger
	ContactTimeout time.Duration
	Retransmit     time.Duration // how long a client may send a number again
}

func (c *Config) check() error {
	switch {
	case c.Partitions == nil || c.Log == nil:
		return errors.New("broker: the partitions or the log are not given")
	case c.ContactTimeout <= 0:
		return errors.New("broker: the contact timeout is not positive")
	case c.Retransmit <= 0:
		return errors.New("broker: the time of retransmissions is not positive")
	}
	return nil
}

// Broker is the topics whose partitions this store is primary of.
type Broker struct {
	config Config
	timing timing

	mu       sync.Mutex // guards all below
	topics   topicTable
	sessions map[string]*session // by gateway
	refusals refusals
}

// New makes a broker without topics.
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

// NewWorkload makes the broker of a store.
func NewWorkload(host store.WorkloadConfig) (store.Workload, error) {
	return New(Config{
		Partitions:     host.Partitions,
		Log:            host.Log,
		ContactTimeout: host.Settings.ContactTimeout(),
		Retransmit:     settings.Seconds(host.Settings.Timers.RetransmitS),
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

// ApplyEvent implements store.Workload: a broker needs nothing but its partitions.
func (b *Broker) ApplyEvent(journal.Event) {}

// SetShutdownDeadline implements store.Workload: nothing here takes long.
func (b *Broker) SetShutdownDeadline(time.Time) {}

// Idle implements store.Workload: nothing of a partition is in flight but accepts,
// which a handover waits for itself.
func (b *Broker) Idle(int) bool { return true }

// Run implements store.Workload. When ctx ends, all gateways are told that the
// partitions are led here no longer.
func (b *Broker) Run(ctx context.Context) {
	ticker := time.NewTicker(b.timing.sweep())
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
			s.losePartition(e.Partition)
		}
	case e.LogReady:
		b.topics.setReady(e.Partition, true)
		b.topics.setFloors(e.Partition, e.Floors, b.config.Partitions.Now())
	}
	for _, r := range e.Entries {
		t := b.topics.append(e.Partition, r)
		for s := range t.followers {
			s.push(r)
		}
	}
}

// sweep drops what is past its time.
func (b *Broker) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.topics.deleteExpired(b.config.Partitions.Now())
	b.refusals.forget(time.Now().Add(-b.timing.extraRetention()))
	for gateway, s := range b.sessions {
		if s.isAbandoned(time.Now(), b.timing.sessionTimeout()) {
			b.config.Log.Printf("broker: the session of %s ended: %d messages wait for its next poll", gateway, len(s.outbox))
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

// endSessionLocked forgets the session of a gateway, which finds out by its next
// poll, or by the one that waits.
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

// statusCode maps the errors of a broker's calls to statuses.
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

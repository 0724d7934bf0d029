// Package store implements the store process: it stores partitions, accepts messages
// for those that it is primary of, and serves the calls of the system's other
// processes. A Workload defines how the messages are processed: this package
// implements that of deferred messages, package broker that of topics.
package store

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"sync"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/node"
	"saltreel/internal/partition"
	"saltreel/internal/ratelimit"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// Workload processes the messages of the partitions that a store is primary of.
type Workload interface {
	// Calls returns the handlers of the workload's calls. docs/calls.md lists them.
	Calls() rpc.Mux
	// Run consumes the events of the partitions until ctx ends, then waits for the
	// operations in flight.
	Run(ctx context.Context)
	// SetShutdownDeadline sets the time at which the process ends. Operations that may
	// take longer are not started any more, and those in flight then are canceled.
	SetShutdownDeadline(end time.Time)
	// ApplyEvent applies an event that the control plane distributes.
	ApplyEvent(e journal.Event)
	// Idle reports whether a partition has no operations in flight, so that it can be
	// handed over.
	Idle(partition int) bool
}

// WorkloadConfig holds the parts of a store that a Workload may use.
type WorkloadConfig struct {
	Settings   *settings.Settings
	Log        *log.Logger
	Network    httpwire.Network
	Node       *node.Node
	Partitions *partition.Manager
}

// Store is a store process.
type Store struct {
	settings   *settings.Settings
	timing     timing
	log        *log.Logger
	network    httpwire.Network
	node       *node.Node
	partitions *partition.Manager
	workload   Workload
	limiter    *ratelimit.Limiter
}

// New opens the disk and returns a store of deferred messages. If the disk does not
// work, New retries until ctx ends.
func New(ctx context.Context, set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Store, error) {
	return NewWithWorkload(ctx, set, network, logger, newMessages)
}

// NewWithWorkload is like New, but with the given workload.
func NewWithWorkload(ctx context.Context, set *settings.Settings, network httpwire.Network, logger *log.Logger, newWorkload func(WorkloadConfig) (Workload, error)) (*Store, error) {
	s := &Store{
		settings: set,
		timing:   newTiming(set),
		log:      logger,
		network:  network,
	}
	s.node = node.New(node.Config{
		Settings: set,
		Role:     "store",
		Network:  network,
		Log:      logger,
		Healthy:  func() bool { return s.partitions.Health() == nil },
	})
	if err := s.openPartitionsWithRetry(ctx); err != nil {
		return nil, err
	}
	workload, err := newWorkload(WorkloadConfig{Settings: set, Log: logger, Network: network, Node: s.node, Partitions: s.partitions})
	if err != nil {
		return nil, err
	}
	s.workload = workload
	if err := s.newLimiter(); err != nil {
		return nil, err
	}
	s.node.Journal.Subscribe(s.applyEvent)
	return s, nil
}

// openPartitionsWithRetry opens the partitions. It retries disk errors until ctx ends.
func (s *Store) openPartitionsWithRetry(ctx context.Context) error {
	for logged := false; ; timeutil.Sleep(ctx, s.timing.diskRetryInterval()) {
		err := s.openPartitions()
		var disk *partition.DiskError
		switch {
		case err == nil && logged:
			s.log.Printf("store: the disk works")
		case errors.As(err, &disk) && ctx.Err() == nil:
			if !logged {
				s.log.Printf("store: waiting for the disk: %v", err)
				logged = true
			}
			continue
		}
		return err
	}
}

// openPartitions loads the partitions from disk and sets the node's disk ID.
func (s *Store) openPartitions() error {
	set := s.settings
	partitions, err := partition.New(partition.Config{
		Self:           set.NodeName,
		Dir:            set.DataPath,
		Client:         s.node.Client,
		ContactTimeout: set.ContactTimeout(),
		Log:            s.log,
		StateRetention: settings.Seconds(set.Timers.StatusTtlS) + set.ContactTimeout(),
		ReportInSync:   s.node.ReportInSync,
		ReportFailure:  s.node.ReportFailure,
		Backups:        int(set.FaultTolerance.HostFailures),
		MaxDisk:        set.Limits.DiskMb << 20 * 2 / 5, // leaves room for a second file: the file is rewritten after a failed write
		MaxMemory:      set.Limits.MemoryMb << 20 / 3,
	})
	if err != nil {
		return err
	}
	s.partitions = partitions
	s.node.SetDisk(s.partitions.DiskID())
	return nil
}

func (s *Store) newLimiter() error {
	limiter, err := ratelimit.NewLimiter(ratelimit.LimiterConfig{
		Allowance:         s.settings.Timers.QuotaAllowance / 2,
		ReconcileInterval: s.timing.limiterReconcileInterval(),
		Table:             s.node.Table,
		Partitions:        s.partitionCount,
		IsOwner:           s.partitions.HoldsLeases,
		Downtime:          s.partitions.Downtime,
		RecordActivity:    s.partitions.RecordActivity,
	})
	s.limiter = limiter
	return err
}

// applyEvent applies an event that the control plane distributes.
func (s *Store) applyEvent(e journal.Event) {
	if e.Key == distribution.KeyPlacement {
		s.partitions.ApplyPlacement(*s.node.Placement()) // the node subscribed earlier and has decoded it
	}
	s.workload.ApplyEvent(e)
}

// partitionCount returns the number of partitions; 0 before the placement is known.
func (s *Store) partitionCount() int {
	if p := s.node.Placement(); p != nil {
		return len(p.Partitions)
	}
	return 0
}

// calls returns the handlers of the calls that a store serves, including those of its
// workload. docs/calls.md lists them.
func (s *Store) calls() rpc.Mux {
	publisher := s.node.Publisher()
	calls := rpc.Mux{
		"/news":     publisher.Handle,
		"/ping":     rpc.Handler(s.handlePing, statusCode),
		"/copy":     rpc.Handler(s.partitions.HandleBatch, statusCode),
		"/digest":   rpc.Handler(s.partitions.HandleDigest, statusCode),
		"/fetch":    rpc.RawHandler(s.partitions.HandleFetch, statusCode),
		"/grant":    rpc.Handler(s.limiter.Handle, statusCode),
		"/handover": rpc.Handler(s.handleHandover, statusCode),
	}
	maps.Copy(calls, s.workload.Calls())
	return calls
}

// Run serves until ctx ends, hands over its partitions, responds to the calls that
// were read, and returns. After a permanent disk failure it hands nothing over.
func (s *Store) Run(ctx context.Context) error {
	listener, err := s.network.Listen(s.settings.InternalAddress())
	if err != nil {
		return fmt.Errorf("listen on the internal address: %w", err)
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	server := rpc.NewServer(s.calls(), budget.ForStore(s.settings.Limits, s.log.Printf), s.settings.ContactTimeout())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(serving, listener) })
	tasks.Go(func() { s.node.Run(serving) })
	tasks.Go(func() { s.limiter.Run(serving) })
	partitionsDone := make(chan error, 1)
	tasks.Go(func() { partitionsDone <- s.partitions.Run(serving) })
	delivering, stopDeliveries := context.WithCancel(serving)
	defer stopDeliveries()
	deliveriesDone := s.startDeliveries(delivering)
	s.log.Printf("store: started, disk %s", s.partitions.DiskID())
	select {
	case <-ctx.Done():
		s.drain()
	case err := <-partitionsDone:
		s.log.Printf("store: stopping: %v", err)
		s.workload.SetShutdownDeadline(time.Now().Add(s.timing.deliveryDrainTimeout()))
		partitionsDone <- err
	}
	stopDeliveries()
	s.finishDeliveries(deliveriesDone)
	s.shutdown(server)
	stopServing()
	tasks.Wait()
	s.log.Printf("store: ended")
	return <-partitionsDone
}

// startDeliveries runs the workload until ctx ends. The channel is closed when no
// delivery is in flight any more.
func (s *Store) startDeliveries(ctx context.Context) (deliveriesDone <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.workload.Run(ctx)
	}()
	return done
}

// finishDeliveries waits for the deliveries in flight and for the replication of their
// outcomes to the backups. Deliveries that exceed the shutdown deadline are canceled
// and repeated by the next primary: no response is read whose outcome would be lost
// with this process.
func (s *Store) finishDeliveries(deliveriesDone <-chan struct{}) {
	<-deliveriesDone
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.flushTimeout())
	defer cancel()
	if err := s.partitions.Flush(ctx); err != nil {
		s.log.Printf("store: %v", err)
	}
}

// drain announces the shutdown of this store, and waits until the controller has
// reassigned all its partitions to other stores or the drain timeout expires.
func (s *Store) drain() {
	s.node.Drain()
	deadline := time.Now().Add(s.timing.drainTimeout())
	s.workload.SetShutdownDeadline(deadline.Add(s.timing.deliveryDrainTimeout()))
	for s.partitions.HasAssignedPartitions() && time.Now().Before(deadline) {
		time.Sleep(s.timing.drainPollInterval())
	}
	all, pending := s.partitions.Count()
	s.log.Printf("store: stopping, holds partitions: %v, %d records, %d pending", s.partitions.HasAssignedPartitions(), all, pending)
}

// shutdown lets the server respond to the calls that it has read.
func (s *Store) shutdown(server *httpwire.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.shutdownTimeout())
	defer cancel()
	server.Shutdown(ctx)
}

// Reload applies the settings that can change at run time.
func (s *Store) Reload(set *settings.Settings) { s.node.Reload(set) }

// Package store is the process of a storage machine: it holds partitions of the
// messages, accepts messages for those that it is primary of, delivers them, and
// answers the calls of the system's other processes about them.
package store

import (
	"context"
	"errors"
	"fmt"
	"log"
	"sync"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/delivery"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/node"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
	"saltreel/internal/ratelimit"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/timeutil"
)

// Store is the process of one storage machine.
type Store struct {
	settings      *settings.Settings
	timing        timing
	log           *log.Logger
	network       httpwire.Network
	node          *node.Node
	partitions    *partition.Manager
	scheduler     *delivery.Scheduler
	deliveryBytes *quota.Manager
	limiter       *ratelimit.Limiter
}

// New opens the disk and makes the process. While the disk does not work, it tries
// again until ctx ends.
func New(ctx context.Context, set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Store, error) {
	s := &Store{
		settings:      set,
		timing:        timing{contactTimeout: set.Contact(), grace: settings.Seconds(set.Timers.GraceS)},
		log:           logger,
		network:       network,
		deliveryBytes: quota.NewManager(quota.DeliveryBytes),
	}
	s.node = node.New(node.Config{
		Settings: set,
		Role:     "store",
		Network:  network,
		Log:      logger,
		Healthy:  func() bool { return s.partitions.Health() == nil },
	})
	if err := s.waitForDisk(ctx); err != nil {
		return nil, err
	}
	if err := s.newScheduler(); err != nil {
		return nil, err
	}
	if err := s.newLimiter(); err != nil {
		return nil, err
	}
	s.node.Journal.Subscribe(s.applyEvent)
	return s, nil
}

// waitForDisk opens the partitions, as soon as the disk works.
func (s *Store) waitForDisk(ctx context.Context) error {
	for logged := false; ; timeutil.Sleep(ctx, s.timing.diskRetry()) {
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

// openPartitions reads the disk, whose health and identity are the node's.
func (s *Store) openPartitions() error {
	set := s.settings
	partitions, err := partition.New(partition.Config{
		Self:           set.NodeName,
		Dir:            set.DataPath,
		Client:         s.node.Client,
		ContactTimeout: set.Contact(),
		Log:            s.log,
		StateRetention: settings.Seconds(set.Timers.StatusTtlS) + set.Contact(),
		ReportInSync:   s.node.ReportInSync,
		ReportFailure:  s.node.ReportFailure,
		Backups:        int(set.FaultTolerance.HostFailures),
		MaxDisk:        set.Limits.DiskMb << 20 * 2 / 5, // the file is written anew after a failed write
		MaxMemory:      set.Limits.MemoryMb << 20 / 3,
	})
	if err != nil {
		return err
	}
	s.partitions = partitions
	s.node.SetDisk(s.partitions.DiskID())
	return nil
}

func (s *Store) newScheduler() error {
	scheduler, err := delivery.New(delivery.Config{
		Partitions: s.partitions,
		Pool:       &httpwire.Pool{Network: s.network, DialTimeout: s.timing.dial()},
		Settings:   s.settings,
		Log:        s.log,
		Table:      s.node.Table,
		Bytes:      s.deliveryBytes,
	})
	s.scheduler = scheduler
	return err
}

func (s *Store) newLimiter() error {
	limiter, err := ratelimit.NewLimiter(ratelimit.LimiterConfig{
		Allowance:      s.settings.Timers.QuotaAllowance / 2,
		Interval:       s.timing.limiterInterval(),
		Table:          s.node.Table,
		Partitions:     s.partitionCount,
		IsOwner:        s.partitions.MayDeliver,
		Downtime:       s.partitions.DowntimeOf,
		RecordActivity: s.partitions.RecordActivity,
	})
	s.limiter = limiter
	return err
}

// applyEvent follows what the control plane distributes.
func (s *Store) applyEvent(e journal.Event) {
	switch e.Key {
	case distribution.KeyPlacement:
		s.partitions.ApplyPlacement(*s.node.Placement()) // which the node has just decoded
	case distribution.KeyConfiguration:
		if t := s.node.Table(); t != nil {
			s.deliveryBytes.SetLimits(ByteLimits(t))
		}
	}
	s.scheduler.ApplyEvent(e)
}

// ByteLimits returns the limits of tenants in bytes a second: what their rates
// allow in messages of the largest size.
func ByteLimits(t *configuration.Table) map[quota.Entity]float64 {
	out := map[quota.Entity]float64{}
	for _, tenant := range t.TenantTable {
		if tenant.RatePerS > 0 && t.Limits.GetMaxBodyBytes() > 0 {
			out[quota.Entity{Tenant: tenant.Name}] = tenant.RatePerS * float64(t.Limits.MaxBodyBytes)
		}
	}
	return out
}

// partitionCount is how many partitions there are; 0 before the placement is known.
func (s *Store) partitionCount() int {
	if p := s.node.Placement(); p != nil {
		return len(p.Partitions)
	}
	return 0
}

// calls are the calls that a store serves. docs/calls.md lists them.
func (s *Store) calls() rpc.Mux {
	source := s.node.Publisher()
	return rpc.Mux{
		"/news":     source.Handle,
		"/ping":     rpc.Handler(s.handlePing, statusCode),
		"/copy":     rpc.Handler(s.partitions.HandleBatch, statusCode),
		"/digest":   rpc.Handler(s.partitions.HandleDigest, statusCode),
		"/fetch":    rpc.RawHandler(s.partitions.HandleFetch, statusCode),
		"/accept":   rpc.Handler(s.handleAccept, statusCode),
		"/status":   rpc.Handler(s.handleStatus, statusCode),
		"/body":     s.handleBody,
		"/grant":    rpc.Handler(s.limiter.Handle, statusCode),
		"/handover": rpc.Handler(s.handleHandover, statusCode),
	}
}

// Run serves until ctx ends, hands its partitions over, answers the calls that it
// has read, and returns. If the disk fails for good, it hands nothing over.
func (s *Store) Run(ctx context.Context) error {
	listener, err := s.network.Listen(s.settings.InternalAddress())
	if err != nil {
		return fmt.Errorf("listen for our own processes: %w", err)
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	server := &httpwire.Server{Handle: s.calls().Handle}
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(serving, listener) })
	tasks.Go(func() { s.node.Run(serving) })
	tasks.Go(func() { s.deliveryBytes.Reap(serving) })
	tasks.Go(func() { s.limiter.Run(serving) })
	written := make(chan error, 1)
	tasks.Go(func() { written <- s.partitions.Run(serving) })
	delivering, stopDeliveries := context.WithCancel(serving)
	defer stopDeliveries()
	delivered := s.startDeliveries(delivering)
	s.log.Printf("store: started, disk %s", s.partitions.DiskID())
	select {
	case <-ctx.Done():
		s.drain()
	case err := <-written:
		s.log.Printf("store: stopping: %v", err)
		written <- err
	}
	stopDeliveries()
	s.waitForDeliveries(delivered)
	s.shutdown(server)
	stopServing()
	tasks.Wait()
	s.log.Printf("store: ended")
	return <-written
}

// startDeliveries delivers until ctx ends. The channel is closed when no delivery
// is in flight any more, which may be later than the end of the process.
func (s *Store) startDeliveries(ctx context.Context) (delivered <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.scheduler.Run(ctx)
	}()
	return done
}

// waitForDeliveries waits for the deliveries in flight, so that their outcomes
// reach the disk and the backups. Those that take longer are made again by the
// next primary.
func (s *Store) waitForDeliveries(delivered <-chan struct{}) {
	select {
	case <-delivered:
	case <-time.After(s.timing.deliveries()):
	}
}

// drain announces that this store ends, and waits until the controller has given
// all its partitions to other stores, or the time for it is over.
func (s *Store) drain() {
	s.node.Drain()
	deadline := time.Now().Add(s.timing.drain())
	for s.partitions.HoldsAny() && time.Now().Before(deadline) {
		time.Sleep(s.timing.drainPoll())
	}
	all, pending := s.partitions.Count()
	s.log.Printf("store: stopping, holds partitions: %v, %d records, %d pending", s.partitions.HoldsAny(), all, pending)
}

// shutdown lets the server answer what it has read.
func (s *Store) shutdown(server *httpwire.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.shutdown())
	defer cancel()
	server.Shutdown(ctx)
}

// Reload applies those settings that may change while the process runs.
func (s *Store) Reload(set *settings.Settings) { s.node.Reload(set) }

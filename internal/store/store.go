// Package store owns the role of a storage machine, and what other processes
// say to it.
package store

import (
	"context"
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
	"saltreel/internal/placement"
	"saltreel/internal/quota"
	"saltreel/internal/ring"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// Store is one storage machine's process.
type Store struct {
	set     *settings.Settings
	log     *log.Logger
	network httpwire.Network
	node    *node.Node
	parts   *partition.Manager
	deliver *delivery.Scheduler
	bytes   *quota.Manager
	meters  *meters
}

// New opens the disk and makes the process.
func New(set *settings.Settings, network httpwire.Network, logger *log.Logger) (*Store, error) {
	s := &Store{set: set, log: logger, network: network}
	s.node = node.New(node.Config{Settings: set, Role: "store", Network: network, Log: logger, Healthy: func() bool { return s.parts.Health() == nil }})
	s.parts = &partition.Manager{
		Self: set.NodeName, Client: s.node.Client, ContactTimeout: set.Contact(), Log: logger,
		StateRetention: settings.Seconds(set.Timers.StatusTtlS) + set.Contact(), ReportInSync: s.node.ReportInSync, ReportFailure: s.node.ReportFailure,
		Backups: int(set.FaultTolerance.HostFailures),
		MaxDisk: set.Limits.DiskMb << 20 * 3 / 4, MaxMemory: set.Limits.MemoryMb << 20 / 3,
	}
	if err := s.parts.Open(set.DataPath); err != nil {
		return nil, err
	}
	s.node.SetDisk(s.parts.DiskID())
	s.bytes = quota.NewManager(quota.DeliveryBytes)
	s.deliver = &delivery.Scheduler{
		Set: s.parts, Settings: set, Log: logger, Table: s.node.Table, Bytes: s.bytes,
		Pool: &httpwire.Pool{Network: network, Opening: set.Contact() / 16},
	}
	s.deliver.Init()
	s.meters = &meters{share: set.Timers.QuotaAllowance / 2, leads: s.parts.MayDeliver, paused: s.parts.DowntimeOf, mark: s.parts.RecordActivity, table: s.node.Table, tenants: map[string]*meter{}}
	s.node.Journal.Fold(s.hear)
	return s, nil
}

func (s *Store) hear(e journal.Event) {
	switch e.Key {
	case distribution.KeyPlacement:
		s.parts.ApplyPlacement(*s.node.Placement()) // which the node has just decoded
	case distribution.KeyConfiguration:
		if t := s.node.Table(); t != nil {
			s.bytes.Replace(ByteLimits(t))
		}
	}
	s.deliver.Hear(e)
}

// ByteLimits are the bounds of bytes: what a tenant's rate allows in messages
// of the largest size.
func ByteLimits(t *configuration.Table) map[quota.Entity]float64 {
	out := map[quota.Entity]float64{}
	for _, x := range t.TenantTable {
		if x.RatePerS > 0 && t.Limits.GetMaxBodyBytes() > 0 {
			out[quota.Entity{Tenant: x.Name}] = x.RatePerS * float64(t.Limits.MaxBodyBytes)
		}
	}
	return out
}

// Run serves until ctx ends, hands its partitions over, and returns.
func (s *Store) Run(ctx context.Context) error {
	l, err := s.network.Listen(s.set.Internal())
	if err != nil {
		return fmt.Errorf("listen for our own processes: %w", err)
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	source := s.node.Publisher()
	mux := rpc.Mux{
		"/news":     source.Handle,
		"/ping":     rpc.Handler(s.handlePing),
		"/copy":     rpc.Handler(s.parts.HandleBatch),
		"/digest":   rpc.Handler(s.parts.HandleDigest),
		"/fetch":    s.parts.HandleFetch,
		"/accept":   rpc.Handler(s.handleAccept),
		"/status":   rpc.Handler(s.handleStatus),
		"/body":     s.handleBody,
		"/grant":    rpc.Handler(s.meters.handle),
		"/handover": rpc.Handler(s.handleHandover),
	}
	server := &httpwire.Server{Handle: mux.Handle, Log: s.log}
	var tasks sync.WaitGroup
	deliveries, stopDeliveries := context.WithCancel(life)
	tasks.Go(func() { _ = server.Serve(life, l) })
	tasks.Go(func() { s.node.Run(life) })
	tasks.Go(func() { s.deliver.Run(deliveries) })
	tasks.Go(func() { s.bytes.Reap(life) })
	tasks.Go(func() { s.meters.tend(life, s.set.Contact()/16, s.partitions) })
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- s.parts.Run(life) })
	s.log.Printf("store: started, disk %s", s.parts.DiskID())
	select {
	case <-ctx.Done():
	case err := <-failed:
		stopDeliveries()
		end()
		return err
	}
	// Leave in order: the steward hands every partition to another store.
	s.node.Drain()
	grace := settings.Seconds(s.set.Timers.GraceS)
	deadline := time.Now().Add(grace * 3 / 4)
	for s.parts.HoldsAny() && time.Now().Before(deadline) {
		time.Sleep(s.set.Contact() / 200)
	}
	all, pending := s.parts.Count()
	s.log.Printf("store: stopping, holds partitions: %v, %d records, %d pending", s.parts.HoldsAny(), all, pending)
	stopDeliveries()
	stop, cancel := context.WithTimeout(context.Background(), grace/16)
	defer cancel()
	server.Shutdown(stop)
	end()
	tasks.Wait()
	return <-failed
}

// handlePing answers that the process runs and its disk works.
func (s *Store) handlePing(context.Context, *struct{}, []byte) (*struct{}, error) {
	if err := s.parts.Health(); err != nil {
		return nil, &rpc.StatusError{Code: 503, Text: err.Error()}
	}
	return &struct{}{}, nil
}

// partitions is how many there are, 0 before the placement is known.
func (s *Store) partitions() int {
	if p := s.node.Placement(); p != nil {
		return len(p.Partitions)
	}
	return 0
}

// Accept hands a message to the primary of its partition; the body stands
// behind it.
type AcceptRequest struct {
	Partition int              `json:"partition"`
	Message   partition.Record `json:"message"`
	DelayMs   int64            `json:"delay,omitempty"`
	WaitMs    int64            `json:"wait"` // how long the edge waits
}

// Accepted says that two disks hold the message.
type AcceptResponse struct{}

func (s *Store) handleAccept(ctx context.Context, in *AcceptRequest, raw []byte) (*AcceptResponse, error) {
	r := in.Message
	now := s.parts.Now()
	r.Body = raw
	r.Due = now + in.DelayMs
	if t := s.node.Table(); t != nil {
		if route := t.Route(r.Host, r.Target); route != nil && route.RetentionS > 0 {
			// The client sent it a little earlier; it is kept a little longer, so
			// that a time of day that jumps over a restart ends nothing too soon.
			r.Expires = now + (settings.Seconds(route.RetentionS) + s.set.Contact()).Milliseconds()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	return &AcceptResponse{}, s.parts.Accept(ctx, in.Partition, &r)
}

// Ask asks for a message of a tenant.
type MessageQuery struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
	Tenant    string `json:"tenant"`
	Host      string `json:"host"`
}

// Status tells how far it is.
type MessageStatus struct {
	State partition.State `json:"state"`
	Seal  string          `json:"seal,omitempty"`
}

func (s *Store) find(ctx context.Context, in *MessageQuery) (*partition.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, s.set.Contact()/4)
	defer cancel()
	r, err := s.parts.Find(ctx, in.Partition, in.ID)
	if err != nil {
		return nil, err
	}
	if r.Tenant != in.Tenant {
		return nil, &rpc.StatusError{Code: 404, Text: "no such message"}
	}
	return r, nil
}

func (s *Store) handleStatus(ctx context.Context, in *MessageQuery, _ []byte) (*MessageStatus, error) {
	r, err := s.find(ctx, in)
	if err != nil {
		return nil, err
	}
	return &MessageStatus{r.State, r.Seal}, nil
}

func (s *Store) handleBody(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	var rec *partition.Record
	res := rpc.Handler(func(ctx context.Context, in *MessageQuery, _ []byte) (_ *struct{}, err error) {
		rec, err = s.find(ctx, in)
		return &struct{}{}, err
	})(ctx, r)
	if rec == nil {
		return res
	}
	if rec.State == partition.Complete {
		return httpwire.Problem(410, "the message is complete; its body is gone")
	}
	return &httpwire.Response{Status: 200, Body: rec.Body}
}

func (s *Store) handleHandover(ctx context.Context, in *placement.HandoverRequest, _ []byte) (*placement.HandoverRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.set.Contact()*3/4)
	defer cancel()
	return &placement.HandoverRequest{Partitions: s.parts.Freeze(ctx, in.Partitions, s.deliver.Idle)}, nil
}

// MeterPartition is the partition whose primary meters a tenant.
func LimiterPartition(tenant string, partitions int) int {
	return int(ring.Hash("meter", tenant) % uint64(partitions))
}

// Reload takes over what may change while the process runs.
func (s *Store) Reload(set *settings.Settings) { s.node.Reload(set) }

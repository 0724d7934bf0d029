package store

import (
	"context"
	"sync"
	"time"

	"saltreel/internal/admission"
	"saltreel/internal/delivery"
	"saltreel/internal/distribution"
	"saltreel/internal/httpwire"
	"saltreel/internal/journal"
	"saltreel/internal/node"
	"saltreel/internal/partition"
	"saltreel/internal/quota"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// AcceptRequest asks the primary of a partition to accept a message; the body of the
// message follows the JSON.
type AcceptRequest struct {
	Partition int              `json:"partition"`
	Message   partition.Record `json:"message"`
	DelayMs   int64            `json:"delay,omitempty"`
	WaitMs    int64            `json:"wait"` // how long the edge waits
}

// AcceptResponse confirms that the required number of disks hold the message.
type AcceptResponse struct{}

// MessageQuery requests the state or the body of a message of a tenant.
type MessageQuery struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
	Tenant    string `json:"tenant"`
	Host      string `json:"host"`
}

// MessageStatus is the processing state of a message.
type MessageStatus struct {
	State partition.State `json:"state"`
	Seal  string          `json:"seal,omitempty"` // of its handler, once it is complete
}

// messages is the workload of deferred messages: it accepts them, delivers them to
// handlers, and serves queries about them.
type messages struct {
	timing        timing
	node          *node.Node
	partitions    *partition.Manager
	scheduler     *delivery.Scheduler
	deliveryBytes *quota.Manager
}

func newMessages(config WorkloadConfig) (Workload, error) {
	m := &messages{
		timing:        newTiming(config.Settings),
		node:          config.Node,
		partitions:    config.Partitions,
		deliveryBytes: quota.NewManager(quota.DeliveryBytes),
	}
	scheduler, err := delivery.New(delivery.Config{
		Partitions:    config.Partitions,
		Pool:          &httpwire.Pool{Network: config.Network, DialTimeout: m.timing.dialTimeout()},
		Settings:      config.Settings,
		Log:           config.Log,
		Table:         config.Node.Table,
		DeliveryBytes: m.deliveryBytes,
	})
	m.scheduler = scheduler
	return m, err
}

// Calls implements Workload.
func (m *messages) Calls() rpc.Mux {
	return rpc.Mux{
		"/accept": rpc.Handler(m.handleAccept, statusCode),
		"/status": rpc.Handler(m.handleStatus, statusCode),
		"/body":   m.handleBody,
	}
}

// Run implements Workload.
func (m *messages) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.deliveryBytes.Reap(ctx) })
	m.scheduler.Run(ctx)
	tasks.Wait()
}

// SetShutdownDeadline implements Workload.
func (m *messages) SetShutdownDeadline(end time.Time) { m.scheduler.SetShutdownDeadline(end) }

// ApplyEvent implements Workload.
func (m *messages) ApplyEvent(e journal.Event) {
	if t := m.node.Table(); e.Key == distribution.KeyConfiguration && t != nil {
		m.deliveryBytes.SetLimits(admission.ByteLimits(t))
	}
	m.scheduler.ApplyEvent(e)
}

// Idle implements Workload.
func (m *messages) Idle(partition int) bool { return m.scheduler.Idle(partition) }

func (m *messages) handleAccept(ctx context.Context, in *AcceptRequest, raw []byte) (*AcceptResponse, error) {
	r := in.Message
	now := m.partitions.Now()
	r.Body = raw
	r.Due = now + in.DelayMs
	if retention := m.retention(&r); retention > 0 {
		r.Expires = now + retention.Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	return &AcceptResponse{}, m.partitions.Accept(ctx, in.Partition, &r)
}

// retention returns how long a message is retained from now on; 0 if its route sets
// no retention. The contact timeout is added because the client sent the message
// earlier, and so that a wall clock that jumps across a restart does not end the
// retention too early.
func (m *messages) retention(r *partition.Record) time.Duration {
	table := m.node.Table()
	if table == nil {
		return 0
	}
	route := table.Route(r.Host, r.Target)
	if route == nil || route.RetentionS <= 0 {
		return 0
	}
	return settings.Seconds(route.RetentionS) + m.timing.contactTimeout
}

// find returns a message if the tenant of the query sent it.
func (m *messages) find(ctx context.Context, in *MessageQuery) (*partition.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.lookupTimeout())
	defer cancel()
	r, err := m.partitions.Find(ctx, in.Partition, in.ID)
	if err != nil {
		return nil, err
	}
	if r.Tenant != in.Tenant {
		return nil, ErrUnknownMessage
	}
	return r, nil
}

func (m *messages) handleStatus(ctx context.Context, in *MessageQuery, _ []byte) (*MessageStatus, error) {
	r, err := m.find(ctx, in)
	if err != nil {
		return nil, err
	}
	return &MessageStatus{r.State, r.Seal}, nil
}

// handleBody responds with the raw body of the message instead of JSON.
func (m *messages) handleBody(ctx context.Context, request *httpwire.Request) *httpwire.Response {
	var body []byte
	response := rpc.Handler(func(ctx context.Context, in *MessageQuery, _ []byte) (*struct{}, error) {
		r, err := m.find(ctx, in)
		if err != nil {
			return nil, err
		}
		if r.State == partition.Complete {
			return nil, ErrBodyDeleted
		}
		body = r.Body
		return &struct{}{}, nil
	}, statusCode)(ctx, request)
	if response.Status == 200 {
		response.Body = body
	}
	return response
}

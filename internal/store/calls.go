package store

import (
	"context"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// AcceptRequest hands a message to the primary of its partition; the body follows
// the JSON.
type AcceptRequest struct {
	Partition int              `json:"partition"`
	Message   partition.Record `json:"message"`
	DelayMs   int64            `json:"delay,omitempty"`
	WaitMs    int64            `json:"wait"` // how long the edge waits
}

// AcceptResponse says that enough disks hold the message.
type AcceptResponse struct{}

// MessageQuery asks for a message of a tenant.
type MessageQuery struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
	Tenant    string `json:"tenant"`
	Host      string `json:"host"`
}

// MessageStatus says how far a message is.
type MessageStatus struct {
	State partition.State `json:"state"`
	Seal  string          `json:"seal,omitempty"` // of its handler, once it is complete
}

// handlePing answers that the process runs and its disk works.
func (s *Store) handlePing(context.Context, *struct{}, []byte) (*struct{}, error) {
	if err := s.partitions.Health(); err != nil {
		return nil, &UnhealthyError{Err: err}
	}
	return &struct{}{}, nil
}

func (s *Store) handleAccept(ctx context.Context, in *AcceptRequest, raw []byte) (*AcceptResponse, error) {
	r := in.Message
	now := s.partitions.Now()
	r.Body = raw
	r.Due = now + in.DelayMs
	if retention := s.retention(&r); retention > 0 {
		r.Expires = now + retention.Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	return &AcceptResponse{}, s.partitions.Accept(ctx, in.Partition, &r)
}

// retention is how long a message is retained from now on; 0 if its route does
// not say. The client sent it a little earlier, and a time of day that jumps over
// a restart may not end it too soon, so the contact timeout is added.
func (s *Store) retention(r *partition.Record) time.Duration {
	table := s.node.Table()
	if table == nil {
		return 0
	}
	route := table.Route(r.Host, r.Target)
	if route == nil || route.RetentionS <= 0 {
		return 0
	}
	return settings.Seconds(route.RetentionS) + s.timing.contactTimeout
}

// find returns a message to the tenant that sent it.
func (s *Store) find(ctx context.Context, in *MessageQuery) (*partition.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.lookup())
	defer cancel()
	r, err := s.partitions.Find(ctx, in.Partition, in.ID)
	if err != nil {
		return nil, err
	}
	if r.Tenant != in.Tenant {
		return nil, ErrNoSuchMessage
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

// handleBody answers with the body itself instead of JSON.
func (s *Store) handleBody(ctx context.Context, request *httpwire.Request) *httpwire.Response {
	var body []byte
	response := rpc.Handler(func(ctx context.Context, in *MessageQuery, _ []byte) (*struct{}, error) {
		r, err := s.find(ctx, in)
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

// handleHandover stops partitions so that their backups may become primary, and
// answers with those that have stopped.
func (s *Store) handleHandover(ctx context.Context, in *placement.HandoverRequest, _ []byte) (*placement.HandoverRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.handover())
	defer cancel()
	return &placement.HandoverRequest{Partitions: s.partitions.Freeze(ctx, in.Partitions, s.scheduler.Idle)}, nil
}

package store

import (
	"context"

	"saltreel/internal/placement"
)

// handlePing succeeds if the process runs and its disk works.
func (s *Store) handlePing(context.Context, *struct{}, []byte) (*struct{}, error) {
	if err := s.partitions.Health(); err != nil {
		return nil, &UnhealthyError{Err: err}
	}
	return &struct{}{}, nil
}

// handleHandover stops partitions so that their backups can become primary, and
// returns those that have stopped.
func (s *Store) handleHandover(ctx context.Context, in *placement.HandoverRequest, _ []byte) (*placement.HandoverRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.handoverTimeout())
	defer cancel()
	return &placement.HandoverRequest{Partitions: s.partitions.PrepareHandover(ctx, in.Partitions, s.workload.Idle)}, nil
}

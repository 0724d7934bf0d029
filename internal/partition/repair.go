package partition

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// Digest asks a copy what it holds.
type DigestRequest struct {
	From   string `json:"from"`
	Partition int    `json:"n"`
	Epoch  int64  `json:"e"`
}

// Digested lists it: the ids by state.
type DigestResponse struct {
	IDs map[State][]string `json:"ids"`
}

// HandleDigest tells what is held here of a partition.
func (s *Manager) HandleDigest(_ context.Context, in *DigestRequest, _ []byte) (*DigestResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Partition < 0 || in.Partition >= len(s.partitions) {
		return nil, notPrimary(in.Partition)
	}
	// The news may come later: whoever asks under a newer epoch leads it.
	if p := s.partitions[in.Partition]; in.From != "" && p.epoch < in.Epoch && p.primary == s.Self {
		s.applyAssignmentLocked(p, placement.Partition{Epoch: in.Epoch, Primary: in.From})
		s.writeEpochsLocked()
	}
	out := &DigestResponse{IDs: map[State][]string{}}
	for id, r := range s.partitions[in.Partition].records {
		out.IDs[r.State] = append(out.IDs[r.State], id)
	}
	return out, nil
}

// compare finds in what the copies of a partition differ and mends both; of a
// store that is no backup it only takes what it lacks. It tells whether the
// other one answered.
func (s *Manager) reconcile(n int, epoch int64, backup string) bool {
	s.mu.Lock()
	p := s.partitions[n]
	addr := s.placement.Stores[backup].Address
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, s.ContactTimeout/2)
	defer cancel()
	var out DigestResponse
	if err := s.Client.Call(ctx, addr, "/digest", DigestRequest{s.Self, n, epoch}, nil, &out); err != nil {
		s.Log.Printf("repair: partition %d: %v", n, err)
		return false
	}
	theirs := map[string]State{}
	for state, ids := range out.IDs {
		for _, id := range ids {
			theirs[id] = state
		}
	}
	var wanted []string
	s.mu.Lock()
	if p.epoch != epoch || p.primary != s.Self {
		s.mu.Unlock()
		return true
	}
	more := 0
	if to := p.replica(backup); to != nil {
		more = p.queueMissing(to, theirs)
	}
	for id, state := range theirs {
		if r := p.records[id]; r == nil || r.State < state {
			wanted = append(wanted, id)
		}
	}
	s.wakeReplicatorLocked(backup)
	s.mu.Unlock()
	if more+len(wanted) > 0 {
		s.Log.Printf("repair: partition %d: %d records to %s, %d from it", n, more, backup, len(wanted))
	}
	if len(wanted) > 0 {
		if err := s.fetchRecords(ctx, n, backup, wanted); err != nil {
			s.Log.Printf("repair: partition %d: %v", n, err)
		}
	}
	return true
}

// lacking puts on a backup's list what it does not have, pending messages first.
func (p *partition) queueMissing(to *replica, theirs map[string]State) int {
	queued := map[string]bool{}
	for _, id := range to.missing {
		queued[id] = true
	}
	var pending, rest []string
	for id, r := range p.records {
		state, ok := theirs[id]
		if (!ok || state < r.State) && !queued[id] && to.unreplicated[id] == nil {
			if r.State == Complete {
				rest = append(rest, id)
			} else {
				pending = append(pending, id)
			}
		}
	}
	to.missing = append(append(to.missing, pending...), rest...)
	return len(pending) + len(rest)
}

// Fetch asks a copy for records.
type FetchRequest struct {
	Partition int      `json:"n"`
	IDs    []string `json:"ids"`
}

// HandleFetch gives the records asked for, as one share with bodies.
func (s *Manager) HandleFetch(_ context.Context, r *httpwire.Request) *httpwire.Response {
	var in FetchRequest
	if err := json.Unmarshal(r.Body, &in); err != nil {
		return httpwire.Problem(400, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Partition < 0 || in.Partition >= len(s.partitions) {
		return httpwire.Problem(421, "no such partition here")
	}
	sh := PartitionBatch{Partition: in.Partition, Now: s.Now()}
	var raw []byte
	for _, id := range in.IDs {
		if x := s.partitions[in.Partition].records[id]; x != nil && len(raw) < 4*maxBatchBytes {
			sh.Records = append(sh.Records, x)
			raw = append(raw, x.Body...)
		}
	}
	front, err := json.Marshal(sh)
	if err != nil {
		return httpwire.Problem(500, err.Error())
	}
	return &httpwire.Response{Status: 200, Body: append(append(front, '\n'), raw...)}
}

// fetch takes records from a backup and makes them the primary's own.
func (s *Manager) fetchRecords(ctx context.Context, n int, backup string, ids []string) error {
	s.mu.Lock()
	p := s.partitions[n]
	epoch, addr := p.epoch, s.placement.Stores[backup].Address
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.ContactTimeout/8)
	defer cancel()
	body, err := json.Marshal(FetchRequest{n, ids})
	if err != nil {
		return err
	}
	a, err := s.Client.Send(ctx, addr, "/fetch", body)
	if err != nil {
		return fmt.Errorf("fetch: %w", err)
	}
	if a.Status != 200 {
		return &httpwire.Error{Step: "fetch", Peer: addr, Sent: true, Err: &rpc.StatusError{Code: a.Status, Text: string(a.Body)}}
	}
	front, raw := rpc.SplitBody(a.Body)
	var sh PartitionBatch
	if err := json.Unmarshal(front, &sh); err != nil {
		return &httpwire.Error{Step: "decode fetch", Peer: addr, Sent: true, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.epoch != epoch || p.primary != s.Self {
		return notPrimary(n)
	}
	for _, r := range sh.Records {
		if r.Length > len(raw) {
			return &httpwire.Error{Step: "decode fetch", Peer: addr, Sent: true, Err: fmt.Errorf("the bodies are cut short")}
		}
		r.Partition = n
		r.shiftTimes(s.Now() - sh.Now)
		r.Body, raw = slices.Clone(raw[:r.Length]), raw[r.Length:]
		old := p.records[r.ID]
		if old != nil && r.State <= old.State {
			continue
		}
		s.commitLocked(p, r, nil)
		if r.State == Pending {
			s.emitLocked(Event{Partition: n, Records: []*Record{r}})
		}
	}
	return nil
}

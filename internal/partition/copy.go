package partition

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
	"saltreel/internal/rpc"
)

// link sends what a backup lacks, one batch at a time, and renews the leases
// of the partitions that it backs up. It is woken for messages; outcomes, for
// which nobody waits, go with the next of them or with the next lease: a call
// for each would be most of the calls in a large fleet.
type replicator struct {
	peer   string
	wakeup   chan struct{}
	lastBatch int64 // of the last batch
}

// lives is how many batches a link may number before it counts as another life
// of the sender: its number begins with a random part.
const batchesPerIncarnation = int64(1) << 28

// late tells whether a batch was sent before another one that was taken. Of
// batches of two lives nobody can tell; they count as in order.
func isStaleBatch(number, taken int64) bool { return number/batchesPerIncarnation == taken/batchesPerIncarnation && number < taken }

func (l *replicator) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

func (s *Manager) wakeReplicatorLocked(peer string) {
	if l := s.replicators[peer]; l != nil {
		l.wake()
	}
}

// startLink begins to send to a peer. The lock is held.
func (s *Manager) startReplicatorLocked(peer string) {
	if s.replicators[peer] != nil {
		s.replicators[peer].wake()
		return
	}
	l := &replicator{peer: peer, wakeup: make(chan struct{}, 1), lastBatch: rand.Int64N(1<<20) * batchesPerIncarnation}
	s.replicators[peer] = l
	l.wake()
	s.tasks.Go(func() { s.runReplicator(l) })
}

// Batch is what a primary sends to a backup. The bodies stand behind it in the
// order of the records.
type BatchRequest struct {
	From   string           `json:"from"`
	Number int64            `json:"no"`  // rises with each batch of a life of the sender
	Now    int64            `json:"now"` // the sender's clock: machines may not agree on the time
	Partitions  []PartitionBatch `json:"parts"`
}

// Share is one partition's part of a batch.
type PartitionBatch struct {
	Partition  int       `json:"n"`
	Epoch   int64     `json:"e"`
	Now     int64     `json:"now,omitempty"`
	Records []*Record `json:"r,omitempty"`
	ReleaseLease bool      `json:"release,omitempty"` // the primary gives its lease back
}

// Copied answers a batch.
type BatchResponse struct {
	Partitions []PartitionResult `json:"parts"`
}

// CopiedShare tells how one partition's part was taken.
type PartitionResult struct {
	Partition int    `json:"n"`
	Stale  bool   `json:"stale,omitempty"` // a newer epoch is known here
	Checksum uint64 `json:"d"`
	Count  int    `json:"c"`
}

// batchBytes bounds a batch, so that its memory is bounded too.
const maxBatchBytes = 256 << 10

type sentPartition struct {
	partition       *partition
	replica      *replica
	epoch   int64
	records []*Record
	checksum  uint64
	count   int
	complete   bool // nothing was left out
	release bool
}

func (s *Manager) runReplicator(l *replicator) {
	beat := time.NewTicker(s.LeaseDuration() / 4)
	defer beat.Stop()
	var failed time.Time
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-l.wakeup:
		case <-beat.C:
		}
		if !failed.IsZero() && time.Since(failed) < s.LeaseDuration()/16 {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(s.LeaseDuration() / 16):
			}
		}
		batch, raw, sent, addr := s.nextBatch(l.peer)
		if len(sent) == 0 {
			continue
		}
		l.lastBatch++
		batch.Number = l.lastBatch
		began := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, s.LeaseDuration())
		var out BatchResponse
		soon := time.AfterFunc(s.ContactTimeout/40, func() { s.ReportFailure(l.peer, false) })
		err := s.Client.Call(ctx, addr, "/copy", batch, raw, &out)
		soon.Stop()
		cancel()
		if err != nil {
			if failed.IsZero() && s.ctx.Err() == nil {
				s.Log.Printf("copy: %s: %v", l.peer, err)
			}
			failed = time.Now()
			s.ReportFailure(l.peer, httpwire.ConnectionRefused(err))
			l.wake()
			continue
		}
		failed = time.Time{}
		s.handleResponse(l, began, sent, out)
	}
}

// collect makes the next batch for a peer.
func (s *Manager) nextBatch(peer string) (BatchRequest, []byte, []sentPartition, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := BatchRequest{From: s.Self, Now: s.Now()}
	raw := []byte{}
	var sent []sentPartition
	for _, p := range s.partitions {
		x := p.replica(peer)
		if p.primary != s.Self || x == nil {
			continue
		}
		// Bytes between regions are dear: a partition with nothing to send is
		// left out until its lease is to be renewed.
		quiet := len(x.unreplicated)+len(x.missing) == 0 && x.connected && (!p.acceptsStopped || x.leaseReleased)
		if quiet && time.Until(x.leaseExpires) > s.LeaseDuration()*3/4 {
			continue
		}
		sh := PartitionBatch{Partition: p.number, Epoch: p.epoch, ReleaseLease: p.acceptsStopped}
		ss := sentPartition{partition: p, replica: x, epoch: p.epoch, complete: true, release: p.acceptsStopped}
		for _, r := range x.unreplicated {
			sh.Records = append(sh.Records, r)
		}
		slices.SortFunc(sh.Records, func(a, b *Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
		size := int64(len(raw))
		for i, r := range sh.Records {
			if i > 0 && size > maxBatchBytes {
				sh.Records, ss.complete = sh.Records[:i], false
				break
			}
			size += r.memoryBytes()
		}
		for len(x.missing) > 0 && size < maxBatchBytes {
			if r := p.records[x.missing[0]]; r != nil && x.unreplicated[r.ID] == nil {
				sh.Records = append(sh.Records, r)
				size += r.memoryBytes()
			}
			x.missing = x.missing[1:]
		}
		for _, r := range sh.Records {
			raw = append(raw, r.Body...)
		}
		ss.complete = ss.complete && len(x.missing) == 0
		ss.records, ss.checksum, ss.count = sh.Records, p.checksum, p.count
		b.Partitions = append(b.Partitions, sh)
		sent = append(sent, ss)
	}
	return b, raw, sent, s.placement.Stores[peer].Address
}

// sent takes the answer to a batch.
func (s *Manager) handleResponse(l *replicator, began time.Time, sent []sentPartition, out BatchResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := map[int]PartitionResult{}
	for _, a := range out.Partitions {
		answers[a.Partition] = a
	}
	var report placement.InSyncReport
	for _, x := range sent {
		p, to := x.partition, x.replica
		a, ok := answers[p.number]
		if !ok || p.epoch != x.epoch || p.replica(to.store) != to {
			continue
		}
		if a.Stale {
			if to.connected {
				s.Log.Printf("copy: partition %d: %s knows a newer epoch than %d", p.number, l.peer, p.epoch)
			}
			to.leaseExpires, to.connected = time.Time{}, false
			continue
		}
		to.connected = true
		for _, r := range x.records {
			if to.unreplicated[r.ID] == r {
				delete(to.unreplicated, r.ID)
			}
			if w := p.unconfirmed[r.ID]; w != nil {
				w.onBackupDisk[to.disk] = true
				s.confirmLocked(p, w)
			}
		}
		if to.leaseReleased = x.release; p.acceptsStopped {
			to.leaseExpires = time.Time{}
		} else {
			to.leaseExpires = began.Add(s.LeaseDuration())
		}
		switch {
		case x.complete && a.Checksum == x.checksum && a.Count == x.count:
			to.verified = true
			if !to.inSync && time.Since(to.lastReported) > s.ContactTimeout/8 {
				report.Replicas = append(report.Replicas, placement.Replica{Partition: p.number, Epoch: p.epoch, Store: to.store})
				to.lastReported = time.Now()
			}
		case x.complete && time.Since(to.lastCompared) > s.ContactTimeout/8:
			to.lastCompared = time.Now()
			n, epoch := p.number, p.epoch
			s.tasks.Go(func() { s.reconcile(n, epoch, to.store) })
		}
		if len(to.unreplicated) > 0 || len(to.missing) > 0 {
			l.wake()
		}
	}
	if len(report.Replicas) > 0 {
		s.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.ContactTimeout/4)
			defer cancel()
			if err := s.ReportInSync(ctx, report); err != nil && s.ctx.Err() == nil {
				s.Log.Printf("copy: report of partitions in step: %v", err)
			}
		})
	}
}

// HandleCopy takes a batch as the backup; it answers once all is on disk.
func (s *Manager) HandleBatch(ctx context.Context, b *BatchRequest, raw []byte) (*BatchResponse, error) {
	out := &BatchResponse{}
	done := make(chan struct{})
	s.mu.Lock()
	for _, x := range b.Partitions {
		bodies := 0
		for _, r := range x.Records {
			bodies += r.Length
		}
		if bodies > len(raw) {
			s.mu.Unlock()
			return nil, &rpc.StatusError{Code: 400, Text: "the bodies are cut short"}
		}
		mine := raw[:bodies]
		raw = raw[bodies:]
		if x.Partition < 0 || x.Partition >= len(s.partitions) || s.partitions[x.Partition].epoch > x.Epoch {
			out.Partitions = append(out.Partitions, PartitionResult{Partition: x.Partition, Stale: true})
			continue
		}
		p := s.partitions[x.Partition]
		if p.epoch < x.Epoch { // the news come later than the batch
			s.applyAssignmentLocked(p, placement.Partition{Epoch: x.Epoch, Primary: b.From, Backups: []placement.Backup{{Store: s.Self}}})
			s.writeEpochsLocked()
		}
		if p.primary != b.From || !p.isBackup {
			out.Partitions = append(out.Partitions, PartitionResult{Partition: x.Partition, Stale: true})
			continue
		}
		for _, r := range x.Records {
			r.Partition = p.number
			r.shiftTimes(s.Now() - b.Now)
			r.Body, mine = slices.Clone(mine[:r.Length]), mine[r.Length:]
			if !r.supersedes(p.records[r.ID]) {
				continue
			}
			s.putLocked(p, r)
			s.writeLocked(p, r, nil)
		}
		// A lease is given back by the life that has it, and not by a batch from
		// before it was granted: its holder may deliver by the later one.
		switch {
		case isStaleBatch(b.Number, p.leaseBatch):
		case !x.ReleaseLease:
			p.leaseExpires, p.leaseBatch = time.Now().Add(s.LeaseDuration()), b.Number
		case b.Number/batchesPerIncarnation == p.leaseBatch/batchesPerIncarnation:
			p.leaseExpires, p.leaseBatch = time.Time{}, b.Number
		}
		out.Partitions = append(out.Partitions, PartitionResult{Partition: p.number, Checksum: p.checksum, Count: p.count})
	}
	// Also what came with an earlier batch, or from another primary: the digest
	// tells of it, and a message that a digest shows may be answered with 202.
	s.storage.afterSync(func() { close(done) })
	s.mu.Unlock()
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func encodeEpochs(f fencingEpochs) []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		panic("partition: the fence cannot be encoded: " + err.Error())
	}
	return raw
}

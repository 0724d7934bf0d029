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
type link struct {
	peer   string
	wake   chan struct{}
	number int64 // of the last batch
}

// lives is how many batches a link may number before it counts as another life
// of the sender: its number begins with a random part.
const lives = int64(1) << 28

// late tells whether a batch was sent before another one that was taken. Of
// batches of two lives nobody can tell; they count as in order.
func late(number, taken int64) bool { return number/lives == taken/lives && number < taken }

func (l *link) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (s *Manager) wakeLink(peer string) {
	if l := s.links[peer]; l != nil {
		l.nudge()
	}
}

// startLink begins to send to a peer. The lock is held.
func (s *Manager) startLink(peer string) {
	if s.links[peer] != nil {
		s.links[peer].nudge()
		return
	}
	l := &link{peer: peer, wake: make(chan struct{}, 1), number: rand.Int64N(1<<20) * lives}
	s.links[peer] = l
	l.nudge()
	s.tasks.Go(func() { s.send(l) })
}

// Batch is what a primary sends to a backup. The bodies stand behind it in the
// order of the records.
type BatchRequest struct {
	From   string           `json:"from"`
	Number int64            `json:"no"`  // rises with each batch of a life of the sender
	Now    int64            `json:"now"` // the sender's clock: machines may not agree on the time
	Parts  []PartitionBatch `json:"parts"`
}

// Share is one partition's part of a batch.
type PartitionBatch struct {
	Number  int       `json:"n"`
	Epoch   int64     `json:"e"`
	Now     int64     `json:"now,omitempty"`
	Records []*Record `json:"r,omitempty"`
	Release bool      `json:"release,omitempty"` // the primary gives its lease back
}

// Copied answers a batch.
type BatchResponse struct {
	Parts []PartitionResult `json:"parts"`
}

// CopiedShare tells how one partition's part was taken.
type PartitionResult struct {
	Number int    `json:"n"`
	Stale  bool   `json:"stale,omitempty"` // a newer epoch is known here
	Digest uint64 `json:"d"`
	Count  int    `json:"c"`
}

// batchBytes bounds a batch, so that its memory is bounded too.
const batchBytes = 256 << 10

type sentShare struct {
	p       *part
	to      *replica
	epoch   int64
	records []*Record
	digest  uint64
	count   int
	whole   bool // nothing was left out
	release bool
}

func (s *Manager) send(l *link) {
	beat := time.NewTicker(s.LeaseDuration() / 4)
	defer beat.Stop()
	var failed time.Time
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-l.wake:
		case <-beat.C:
		}
		if !failed.IsZero() && time.Since(failed) < s.LeaseDuration()/16 {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(s.LeaseDuration() / 16):
			}
		}
		batch, raw, sent, addr := s.collect(l.peer)
		if len(sent) == 0 {
			continue
		}
		l.number++
		batch.Number = l.number
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
			l.nudge()
			continue
		}
		failed = time.Time{}
		s.sent(l, began, sent, out)
	}
}

// collect makes the next batch for a peer.
func (s *Manager) collect(peer string) (BatchRequest, []byte, []sentShare, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := BatchRequest{From: s.Self, Now: s.Now()}
	raw := []byte{}
	var sent []sentShare
	for _, p := range s.parts {
		x := p.replica(peer)
		if p.primary != s.Self || x == nil {
			continue
		}
		// Bytes between regions are dear: a partition with nothing to send is
		// left out until its lease is to be renewed.
		quiet := len(x.dirty)+len(x.extra) == 0 && x.paired && (!p.closed || x.released)
		if quiet && time.Until(x.lease) > s.LeaseDuration()*3/4 {
			continue
		}
		sh := PartitionBatch{Number: p.number, Epoch: p.epoch, Release: p.closed}
		ss := sentShare{p: p, to: x, epoch: p.epoch, whole: true, release: p.closed}
		for _, r := range x.dirty {
			sh.Records = append(sh.Records, r)
		}
		slices.SortFunc(sh.Records, func(a, b *Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
		size := int64(len(raw))
		for i, r := range sh.Records {
			if i > 0 && size > batchBytes {
				sh.Records, ss.whole = sh.Records[:i], false
				break
			}
			size += r.memory()
		}
		for len(x.extra) > 0 && size < batchBytes {
			if r := p.records[x.extra[0]]; r != nil && x.dirty[r.ID] == nil {
				sh.Records = append(sh.Records, r)
				size += r.memory()
			}
			x.extra = x.extra[1:]
		}
		for _, r := range sh.Records {
			raw = append(raw, r.Body...)
		}
		ss.whole = ss.whole && len(x.extra) == 0
		ss.records, ss.digest, ss.count = sh.Records, p.digest, p.count
		b.Parts = append(b.Parts, sh)
		sent = append(sent, ss)
	}
	return b, raw, sent, s.placement.Stores[peer].Address
}

// sent takes the answer to a batch.
func (s *Manager) sent(l *link, began time.Time, sent []sentShare, out BatchResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := map[int]PartitionResult{}
	for _, a := range out.Parts {
		answers[a.Number] = a
	}
	var report placement.InSyncReport
	for _, x := range sent {
		p, to := x.p, x.to
		a, ok := answers[p.number]
		if !ok || p.epoch != x.epoch || p.replica(to.store) != to {
			continue
		}
		if a.Stale {
			if to.paired {
				s.Log.Printf("copy: partition %d: %s knows a newer epoch than %d", p.number, l.peer, p.epoch)
			}
			to.lease, to.paired = time.Time{}, false
			continue
		}
		to.paired = true
		for _, r := range x.records {
			if to.dirty[r.ID] == r {
				delete(to.dirty, r.ID)
			}
			if w := p.waiting[r.ID]; w != nil {
				w.remote[to.disk] = true
				s.settle(p, w)
			}
		}
		if to.released = x.release; p.closed {
			to.lease = time.Time{}
		} else {
			to.lease = began.Add(s.LeaseDuration())
		}
		switch {
		case x.whole && a.Digest == x.digest && a.Count == x.count:
			to.verified = true
			if !to.inStep && time.Since(to.reported) > s.ContactTimeout/8 {
				report.Replicas = append(report.Replicas, placement.Replica{Partition: p.number, Epoch: p.epoch, Store: to.store})
				to.reported = time.Now()
			}
		case x.whole && time.Since(to.compared) > s.ContactTimeout/8:
			to.compared = time.Now()
			n, epoch := p.number, p.epoch
			s.tasks.Go(func() { s.compare(n, epoch, to.store) })
		}
		if len(to.dirty) > 0 || len(to.extra) > 0 {
			l.nudge()
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
	for _, x := range b.Parts {
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
		if x.Number < 0 || x.Number >= len(s.parts) || s.parts[x.Number].epoch > x.Epoch {
			out.Parts = append(out.Parts, PartitionResult{Number: x.Number, Stale: true})
			continue
		}
		p := s.parts[x.Number]
		if p.epoch < x.Epoch { // the news come later than the batch
			s.turn(p, placement.Partition{Epoch: x.Epoch, Primary: b.From, Backups: []placement.Backup{{Store: s.Self}}})
			s.writeFence()
		}
		if p.primary != b.From || !p.backs {
			out.Parts = append(out.Parts, PartitionResult{Number: x.Number, Stale: true})
			continue
		}
		for _, r := range x.Records {
			r.Partition = p.number
			r.shift(s.Now() - b.Now)
			r.Body, mine = slices.Clone(mine[:r.Length]), mine[r.Length:]
			if !r.newer(p.records[r.ID]) {
				continue
			}
			s.put(p, r)
			s.write(p, r, nil)
		}
		// A lease is given back by the life that has it, and not by a batch from
		// before it was granted: its holder may deliver by the later one.
		switch {
		case late(b.Number, p.batch):
		case !x.Release:
			p.granted, p.batch = time.Now().Add(s.LeaseDuration()), b.Number
		case b.Number/lives == p.batch/lives:
			p.granted, p.batch = time.Time{}, b.Number
		}
		out.Parts = append(out.Parts, PartitionResult{Number: p.number, Digest: p.digest, Count: p.count})
	}
	// Also what came with an earlier batch, or from another primary: the digest
	// tells of it, and a message that a digest shows may be answered with 202.
	s.disk.synced(func() { close(done) })
	s.mu.Unlock()
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func encodeFence(f FencingEpochs) []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		panic("partition: the fence cannot be encoded: " + err.Error())
	}
	return raw
}

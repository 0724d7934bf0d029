package partition

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"saltreel/internal/core"
	"saltreel/internal/wire"
)

// link sends what a backup lacks, one batch at a time, and renews the leases
// of the partitions that it backs up. It is woken for messages; outcomes, for
// which nobody waits, go with the next of them or with the next lease: a call
// for each would be most of the calls in a large fleet.
type link struct {
	peer string
	wake chan struct{}
}

func (l *link) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (s *Set) wakeLink(peer string) {
	if l := s.links[peer]; l != nil {
		l.nudge()
	}
}

// startLink begins to send to a peer. The lock is held.
func (s *Set) startLink(peer string) {
	if s.links[peer] != nil {
		s.links[peer].nudge()
		return
	}
	l := &link{peer: peer, wake: make(chan struct{}, 1)}
	s.links[peer] = l
	l.nudge()
	s.tasks.Go(func() { s.send(l) })
}

// Batch is what a primary sends to a backup. The bodies stand behind it in the
// order of the records.
type Batch struct {
	From  string  `json:"from"`
	Now   int64   `json:"now"` // the sender's clock: machines may not agree on the time
	Parts []Share `json:"parts"`
}

// Share is one partition's part of a batch.
type Share struct {
	Number  int       `json:"n"`
	Epoch   int64     `json:"e"`
	Now     int64     `json:"now,omitempty"`
	Records []*Record `json:"r,omitempty"`
	Release bool      `json:"release,omitempty"` // the primary gives its lease back
}

// Copied answers a batch.
type Copied struct {
	Parts []CopiedShare `json:"parts"`
}

// CopiedShare tells how one partition's part was taken.
type CopiedShare struct {
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

func (s *Set) send(l *link) {
	beat := time.NewTicker(s.Lease() / 4)
	defer beat.Stop()
	var failed time.Time
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-l.wake:
		case <-beat.C:
		}
		if !failed.IsZero() && time.Since(failed) < s.Lease()/16 {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(s.Lease() / 16):
			}
		}
		batch, raw, sent, addr := s.collect(l.peer)
		if len(sent) == 0 {
			continue
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, s.Lease())
		var out Copied
		soon := time.AfterFunc(s.Contact/40, func() { s.Suspect(l.peer, false) })
		err := s.Pool.Post(ctx, addr, "/copy", batch, raw, &out)
		soon.Stop()
		cancel()
		if err != nil {
			if failed.IsZero() && s.ctx.Err() == nil {
				s.Log.Printf("copy: %s: %v", l.peer, err)
			}
			failed = time.Now()
			s.Suspect(l.peer, wire.Refused(err))
			l.nudge()
			continue
		}
		failed = time.Time{}
		s.sent(l, began, sent, out)
	}
}

// collect makes the next batch for a peer.
func (s *Set) collect(peer string) (Batch, []byte, []sentShare, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Batch{From: s.Self, Now: s.Now()}
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
		if quiet && time.Until(x.lease) > s.Lease()*3/4 {
			continue
		}
		sh := Share{Number: p.number, Epoch: p.epoch, Release: p.closed}
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
func (s *Set) sent(l *link, began time.Time, sent []sentShare, out Copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := map[int]CopiedShare{}
	for _, a := range out.Parts {
		answers[a.Number] = a
	}
	var report core.InStep
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
			to.lease = began.Add(s.Lease())
		}
		switch {
		case x.whole && a.Digest == x.digest && a.Count == x.count:
			to.verified = true
			if !to.inStep && time.Since(to.reported) > s.Contact/8 {
				report.Copies = append(report.Copies, core.Copy{Partition: p.number, Epoch: p.epoch, Store: to.store})
				to.reported = time.Now()
			}
		case x.whole && time.Since(to.compared) > s.Contact/8:
			to.compared = time.Now()
			n, epoch := p.number, p.epoch
			s.tasks.Go(func() { s.compare(n, epoch, to.store) })
		}
		if len(to.dirty) > 0 || len(to.extra) > 0 {
			l.nudge()
		}
	}
	if len(report.Copies) > 0 {
		s.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.Contact/4)
			defer cancel()
			if err := s.Report(ctx, report); err != nil && s.ctx.Err() == nil {
				s.Log.Printf("copy: report of partitions in step: %v", err)
			}
		})
	}
}

// HandleCopy takes a batch as the backup; it answers once all is on disk.
func (s *Set) HandleCopy(ctx context.Context, b *Batch, raw []byte) (*Copied, error) {
	out := &Copied{}
	done := make(chan struct{})
	s.mu.Lock()
	for _, x := range b.Parts {
		bodies := 0
		for _, r := range x.Records {
			bodies += r.Length
		}
		if bodies > len(raw) {
			s.mu.Unlock()
			return nil, &wire.Status{Code: 400, Text: "the bodies are cut short"}
		}
		mine := raw[:bodies]
		raw = raw[bodies:]
		if x.Number < 0 || x.Number >= len(s.parts) || s.parts[x.Number].epoch > x.Epoch {
			out.Parts = append(out.Parts, CopiedShare{Number: x.Number, Stale: true})
			continue
		}
		p := s.parts[x.Number]
		if p.epoch < x.Epoch { // the news come later than the batch
			s.turn(p, core.Partition{Epoch: x.Epoch, Primary: b.From, Backups: []core.Backup{{Store: s.Self}}})
		}
		if p.primary != b.From || !p.backs {
			out.Parts = append(out.Parts, CopiedShare{Number: x.Number, Stale: true})
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
		if x.Release {
			p.granted = time.Time{}
		} else {
			p.granted = time.Now().Add(s.Lease())
		}
		out.Parts = append(out.Parts, CopiedShare{Number: p.number, Digest: p.digest, Count: p.count})
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

// Digest asks a copy what it holds.
type Digest struct {
	From   string `json:"from"`
	Number int    `json:"n"`
	Epoch  int64  `json:"e"`
}

// Digested lists it: the ids by state.
type Digested struct {
	IDs map[State][]string `json:"ids"`
}

// HandleDigest tells what is held here of a partition.
func (s *Set) HandleDigest(_ context.Context, in *Digest, _ []byte) (*Digested, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Number < 0 || in.Number >= len(s.parts) {
		return nil, moved(in.Number)
	}
	// The news may come later: whoever asks under a newer epoch leads it.
	if p := s.parts[in.Number]; in.From != "" && p.epoch < in.Epoch && p.primary == s.Self {
		s.turn(p, core.Partition{Epoch: in.Epoch, Primary: in.From})
	}
	out := &Digested{IDs: map[State][]string{}}
	for id, r := range s.parts[in.Number].records {
		out.IDs[r.State] = append(out.IDs[r.State], id)
	}
	return out, nil
}

// compare finds in what the copies of a partition differ and mends both; of a
// store that is no backup it only takes what it lacks. It tells whether the
// other one answered.
func (s *Set) compare(n int, epoch int64, backup string) bool {
	s.mu.Lock()
	p := s.parts[n]
	addr := s.placement.Stores[backup].Address
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, s.Contact/2)
	defer cancel()
	var out Digested
	if err := s.Pool.Post(ctx, addr, "/digest", Digest{s.Self, n, epoch}, nil, &out); err != nil {
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
		more = p.lacking(to, theirs)
	}
	for id, state := range theirs {
		if r := p.records[id]; r == nil || r.State < state {
			wanted = append(wanted, id)
		}
	}
	s.wakeLink(backup)
	s.mu.Unlock()
	if more+len(wanted) > 0 {
		s.Log.Printf("repair: partition %d: %d records to %s, %d from it", n, more, backup, len(wanted))
	}
	if len(wanted) > 0 {
		if err := s.fetch(ctx, n, backup, wanted); err != nil {
			s.Log.Printf("repair: partition %d: %v", n, err)
		}
	}
	return true
}

// lacking puts on a backup's list what it does not have, pending messages first.
func (p *part) lacking(to *replica, theirs map[string]State) int {
	queued := map[string]bool{}
	for _, id := range to.extra {
		queued[id] = true
	}
	var pending, rest []string
	for id, r := range p.records {
		state, ok := theirs[id]
		if (!ok || state < r.State) && !queued[id] && to.dirty[id] == nil {
			if r.State == Complete {
				rest = append(rest, id)
			} else {
				pending = append(pending, id)
			}
		}
	}
	to.extra = append(append(to.extra, pending...), rest...)
	return len(pending) + len(rest)
}

// Fetch asks a copy for records.
type Fetch struct {
	Number int      `json:"n"`
	IDs    []string `json:"ids"`
}

// HandleFetch gives the records asked for, as one share with bodies.
func (s *Set) HandleFetch(_ context.Context, r *wire.Request) *wire.Response {
	var in Fetch
	if err := json.Unmarshal(r.Body, &in); err != nil {
		return wire.Problem(400, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Number < 0 || in.Number >= len(s.parts) {
		return wire.Problem(421, "no such partition here")
	}
	sh := Share{Number: in.Number, Now: s.Now()}
	var raw []byte
	for _, id := range in.IDs {
		if x := s.parts[in.Number].records[id]; x != nil && len(raw) < 4*batchBytes {
			sh.Records = append(sh.Records, x)
			raw = append(raw, x.Body...)
		}
	}
	front, err := json.Marshal(sh)
	if err != nil {
		return wire.Problem(500, err.Error())
	}
	return &wire.Response{Status: 200, Body: append(append(front, '\n'), raw...)}
}

// fetch takes records from a backup and makes them the primary's own.
func (s *Set) fetch(ctx context.Context, n int, backup string, ids []string) error {
	s.mu.Lock()
	p := s.parts[n]
	epoch, addr := p.epoch, s.placement.Stores[backup].Address
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.Contact/8)
	defer cancel()
	body, err := json.Marshal(Fetch{n, ids})
	if err != nil {
		return err
	}
	a, err := s.Pool.Do(ctx, addr, &wire.Call{Method: "POST", Target: "/fetch", Host: addr, Body: body})
	if err != nil {
		return fmt.Errorf("fetch: %w", err)
	}
	if a.Status != 200 {
		return &wire.Error{Step: "fetch", Peer: addr, Sent: true, Err: &wire.Status{Code: a.Status, Text: string(a.Body)}}
	}
	front, raw := wire.Split(a.Body)
	var sh Share
	if err := json.Unmarshal(front, &sh); err != nil {
		return &wire.Error{Step: "decode fetch", Peer: addr, Sent: true, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.epoch != epoch || p.primary != s.Self {
		return moved(n)
	}
	for _, r := range sh.Records {
		if r.Length > len(raw) {
			return &wire.Error{Step: "decode fetch", Peer: addr, Sent: true, Err: fmt.Errorf("the bodies are cut short")}
		}
		r.Partition = n
		r.shift(s.Now() - sh.Now)
		r.Body, raw = slices.Clone(raw[:r.Length]), raw[r.Length:]
		old := p.records[r.ID]
		if old != nil && r.State <= old.State {
			continue
		}
		s.change(p, r, nil)
		if r.State == Pending {
			s.emit(Event{Partition: n, Records: []*Record{r}})
		}
	}
	return nil
}

// Freeze stops the deliveries of partitions, waits until those under way have
// ended, stops taking messages, and gives back the partitions whose backups
// hold everything. If no new placement comes, all goes on as before.
func (s *Set) Freeze(ctx context.Context, want map[int]int64, idle func(n int) bool) map[int]int64 {
	out := map[int]int64{}
	s.mu.Lock()
	for n, epoch := range want {
		if n < len(s.parts) && s.parts[n].epoch == epoch && s.parts[n].primary == s.Self {
			s.parts[n].frozen = true
		} else {
			delete(want, n)
		}
	}
	s.mu.Unlock()
	step := s.Contact / 800
	for len(want) > 0 && ctx.Err() == nil {
		s.mu.Lock()
		for n, epoch := range want {
			p := s.parts[n]
			switch {
			case p.epoch != epoch:
				delete(want, n)
			case !p.closed && idle(n):
				p.closed = true
				for _, r := range p.replicas {
					s.wakeLink(r.store)
				}
			case p.closed && p.given():
				out[n] = epoch
				delete(want, n)
			}
		}
		s.mu.Unlock()
		if len(want) == 0 || len(out) > 0 && len(want) > 0 && s.patience(want) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(step):
		}
	}
	s.thaw(out, s.Contact/4) // longer than the steward relies on it
	s.thaw(want, 0)
	return out
}

// given tells whether all backups that may succeed hold everything and took
// the lease back. One that answered may be in step by now, though the news of
// it are still on their way here.
func (p *part) given() bool {
	for _, r := range p.replicas {
		if r.mayLead() && (len(r.dirty) > 0 || !r.released) {
			return false
		}
	}
	return true
}

// patience tells whether what is left is far from ready: some deliveries take
// long, and the partitions that are ready do not wait for them.
func (s *Set) patience(want map[int]int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range want {
		if s.parts[n].closed {
			return false
		}
	}
	return true
}

// thaw lets partitions go on that are still led here after a while.
func (s *Set) thaw(list map[int]int64, after time.Duration) {
	if len(list) == 0 {
		return
	}
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for n, epoch := range list {
			if p := s.parts[n]; p.epoch == epoch && p.frozen {
				p.frozen, p.closed = false, false
				for _, r := range p.replicas {
					r.released = false
				}
				close(p.moved)
				p.moved = make(chan struct{})
			}
		}
	})
}

func encodeFence(f Fence) []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		panic("partition: the fence cannot be encoded: " + err.Error())
	}
	return raw
}

package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/ring"
	"saltreel/internal/rpc"
	"saltreel/internal/store"
)

// Errors of a forward.
var (
	// errNotTaken: it is certain that no store took the message or ever will.
	errNotTaken = errors.New("no store could take the message")
	// errUnclear: a store may have taken it.
	errUnclear = errors.New("no store answered in time")
	// errTaken: the id belongs to a message of another tenant.
	errTaken = errors.New("the attempt id is in use")
)

// candidates are the partitions that may take a message, the nearest first.
// Where only one may, it is alone in the list.
func (e *Edge) candidates(p *placement.Placement, route *configuration.Route, service *configuration.Service, r *partition.Record) []int {
	n := len(p.Partitions)
	if n == 0 {
		return nil
	}
	if service != nil && service.RatePerS > 0 { // one node paces all of it
		return []int{int(ring.Hash("service", service.Name) % uint64(n))}
	}
	if route.InOrder && r.OrderKey != "" {
		return []int{int(ring.Hash("order", r.Tenant, r.OrderKey) % uint64(n))}
	}
	var out [4][]int
	for i := range n {
		at := (i + int(ring.Hash(r.ID)%uint64(n))) % n
		s := p.Stores[p.Partitions[at].Primary]
		switch {
		case len(p.Partitions[at].Backups) < int(e.set.FaultTolerance.HostFailures):
			out[3] = append(out[3], at)
		case s.Zone == e.set.Zone:
			out[0] = append(out[0], at)
		case s.Region == e.set.Region:
			out[1] = append(out[1], at)
		default:
			out[2] = append(out[2], at)
		}
	}
	return append(append(append(out[0], out[1]...), out[2]...), out[3]...)
}

// forward brings a message to two disks. It returns the partition that has it.
func (e *Edge) forward(ctx context.Context, route *configuration.Route, service *configuration.Service, r *partition.Record, delay time.Duration, received time.Time) (int, error) {
	contact := e.set.Contact()
	fixed := -1 // once a store may have taken it, no other partition may
	avoid := map[string]bool{}
	declined := map[int]bool{} // partitions that can take nothing now
	var last error
	for {
		p := e.node.Placement()
		if p == nil {
			return 0, errNotTaken
		}
		moved := e.node.PlacementChanged()
		at := fixed
		if at < 0 {
			list := e.candidates(p, route, service, r)
			if len(list) == 0 {
				return 0, errNotTaken
			}
			at = list[0]
			for _, c := range list {
				if !avoid[p.Partitions[c].Primary] && !e.hanging(c, p) {
					at = c
					break
				}
			}
		}
		primary := p.Partitions[at].Primary
		addr := p.Stores[primary].Address
		tctx, cancel := context.WithTimeout(ctx, contact/5)
		stop := e.attend(tctx, cancel, at, p)
		left := delay - time.Since(received)
		wait := contact / 6
		if d, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(d))
		}
		err := e.node.Client.Call(tctx, addr, "/accept", store.AcceptRequest{Partition: at, Message: *r, DelayMs: max(0, left.Milliseconds()+1), WaitMs: wait.Milliseconds()}, r.Body, nil)
		stop()
		cancel()
		if err == nil {
			e.hang(at, 0)
			return at, nil
		}
		last = err
		code := rpc.StatusCode(err)
		if code == 409 {
			return 0, errTaken
		}
		if code == 421 || code == 503 || httpwire.NotSent(err) {
			avoid[primary] = true
			if code == 503 {
				declined[at] = true
			}
			if fixed < 0 && e.all(declined, route, service, r) {
				return 0, fmt.Errorf("%w: %w", errNotTaken, last) // waiting would not help
			}
			if httpwire.NotSent(err) {
				e.node.ReportFailure(primary, httpwire.ConnectionRefused(err))
			}
		} else {
			fixed = at
			if code == 0 {
				e.node.ReportFailure(primary, false)
			}
		}
		if len(avoid) >= len(p.Stores) {
			clear(avoid)
		}
		pause := contact / 200
		if fixed < 0 && len(avoid) > 0 && len(e.candidates(p, route, service, r)) > 1 {
			pause = 0
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-moved:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			if fixed >= 0 {
				return 0, fmt.Errorf("%w: %w", errUnclear, last)
			}
			return 0, fmt.Errorf("%w: %w", errNotTaken, last)
		}
	}
}

// all tells whether every store that may take a message has declined.
func (e *Edge) all(declined map[int]bool, route *configuration.Route, service *configuration.Service, r *partition.Record) bool {
	p := e.node.Placement()
	stores := map[string]bool{}
	for at := range declined {
		stores[p.Partitions[at].Primary] = true
	}
	for _, at := range e.candidates(p, route, service, r) {
		if !stores[p.Partitions[at].Primary] {
			return false
		}
	}
	return true
}

// attend watches over a call to the primary of a partition: it reports a store
// that does not answer soon, and gives the call up once another store leads.
func (e *Edge) attend(ctx context.Context, giveUp context.CancelFunc, at int, p *placement.Placement) (stop func()) {
	done := make(chan struct{})
	go func() {
		soon := time.NewTimer(e.set.Contact() / 40)
		defer soon.Stop()
		for {
			moved := e.node.PlacementChanged()
			if now := e.node.Placement(); now.Partitions[at].Primary != p.Partitions[at].Primary {
				giveUp()
				return
			}
			select {
			case <-moved:
			case <-soon.C:
				e.hang(at, p.Partitions[at].Epoch)
				e.node.ReportFailure(p.Partitions[at].Primary, false)
			case <-done:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(done) }
}

// hang notes that a partition does not answer in this epoch; epoch 0 that it does.
func (e *Edge) hang(at int, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch == 0 {
		delete(e.hangs, at)
	} else {
		e.hangs[at] = hang{epoch, time.Now()}
	}
}

// hang is a partition that did not answer.
type hang struct {
	epoch int64
	at    time.Time
}

// hanging tells whether fresh messages had better go elsewhere.
func (e *Edge) hanging(at int, p *placement.Placement) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.hangs[at]
	return ok && h.epoch == p.Partitions[at].Epoch && time.Since(h.at) < e.set.Contact()/4
}

// ask brings a question about a message to the primary that has it.
func (e *Edge) ask(ctx context.Context, path string, q store.MessageQuery) (*httpwire.Answer, error) {
	contact := e.set.Contact()
	body := encode(q)
	var last error
	for {
		p := e.node.Placement()
		if p == nil || q.Partition < 0 || q.Partition >= len(p.Partitions) {
			return nil, &rpc.StatusError{Code: 404, Text: "no such message"}
		}
		moved := e.node.PlacementChanged()
		primary := p.Partitions[q.Partition].Primary
		addr := p.Stores[primary].Address
		tctx, cancel := context.WithTimeout(ctx, contact/6)
		a, err := e.node.Client.Send(tctx, addr, path, body)
		cancel()
		switch {
		case err == nil && (a.Status == 200 || a.Status == 404 || a.Status == 410):
			return a, nil
		case err != nil:
			last = err
			e.node.ReportFailure(primary, httpwire.ConnectionRefused(err))
		default:
			last = &rpc.StatusError{Code: a.Status, Text: string(a.Body)}
		}
		timer := time.NewTimer(contact / 80)
		select {
		case <-timer.C:
		case <-moved:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, last
		}
	}
}

// Package ballot owns the votes of the core: one-shot ballots that choose one
// value for a decree for good, and the rounds that give a duty to one holder
// for as long as its lease runs.
package ballot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Number orders the tries to settle one decree.
type Number struct {
	Round int64  `json:"round"`
	Who   string `json:"who"`
}

// Less orders by round, then by name.
func (n Number) Less(m Number) bool {
	return n.Round < m.Round || n.Round == m.Round && n.Who < m.Who
}

// Vote is what a voter keeps on disk of one decree.
type Vote struct {
	Promised Number          `json:"promised"`
	Accepted Number          `json:"accepted"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Disk keeps votes; Save returns once they would outlive a loss of power.
type Disk interface {
	LoadVote(decree int64) (Vote, error)
	SaveVote(decree int64, v Vote) error
}

// Call is a step of a one-shot ballot. With a value it asks to accept it.
type Call struct {
	Decree int64           `json:"decree"`
	Number Number          `json:"number"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// Reply is a voter's answer.
type Reply struct {
	Granted bool `json:"granted"`
	Vote    Vote `json:"vote"`
}

// Voter votes for one machine.
type Voter struct {
	Disk Disk

	mu     sync.Mutex
	duties map[string]grant
	Silent time.Time // no duty is granted before: an earlier life may have. What a holder writes
	// is fenced by its term and version, so a short while will do.
}

type grant struct {
	holder string
	term   int64
	until  time.Time
}

// Handle takes a step of a one-shot ballot.
func (v *Voter) Handle(c Call) (Reply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	vote, err := v.Disk.LoadVote(c.Decree)
	if err != nil {
		return Reply{}, err
	}
	if c.Number.Less(vote.Promised) {
		return Reply{false, vote}, nil
	}
	before := vote
	vote.Promised = c.Number
	if c.Value != nil {
		vote.Accepted, vote.Value = c.Number, c.Value
	}
	if err := v.Disk.SaveVote(c.Decree, vote); err != nil {
		return Reply{}, err
	}
	if c.Value == nil {
		return Reply{true, before}, nil
	}
	return Reply{true, vote}, nil
}

// Accepted tells whether this voter has accepted any value for a decree.
func (v *Voter) Accepted(decree int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	vote, err := v.Disk.LoadVote(decree)
	return err != nil || vote.Value != nil
}

// ErrLost says that no majority took part.
var ErrLost = errors.New("no majority of the voters")

// tries is how often a round that others are ahead of is tried with a higher
// number: the voters tell what they have promised.
const tries = 3

// Choose settles a decree: it returns the value chosen, which is another's
// where one may have been chosen before. Who must differ for each call, also
// over lives of the process: a number that was used before may not come again.
func Choose(ctx context.Context, decree int64, who string, round int64, value json.RawMessage, voters []string,
	call func(ctx context.Context, voter string, c Call) (Reply, error)) (json.RawMessage, error) {
	yes := func(r Reply) bool { return r.Granted }
	n := Number{round, who}
	granted, best := 0, Number{}
	for try := 0; try < tries && granted*2 <= len(voters) && ctx.Err() == nil; try++ {
		n.Round, granted = round, 0
		for _, r := range ask(ctx, voters, Call{Decree: decree, Number: n}, yes, call) {
			round = max(round, r.Vote.Promised.Round+1)
			if r.Granted {
				granted++
				if r.Vote.Value != nil && (best == Number{} || best.Less(r.Vote.Accepted)) {
					best, value = r.Vote.Accepted, r.Vote.Value
				}
			}
		}
	}
	if granted*2 <= len(voters) {
		return nil, fmt.Errorf("prepare decree %d: %w", decree, ErrLost)
	}
	granted = 0
	for _, r := range ask(ctx, voters, Call{Decree: decree, Number: n, Value: value}, yes, call) {
		if r.Granted {
			granted++
		}
	}
	if granted*2 <= len(voters) {
		return nil, fmt.Errorf("accept decree %d: %w", decree, ErrLost)
	}
	return value, nil
}

// ask calls all voters at once. It returns the answers there were once a
// majority has granted the call, or all have answered.
func ask[C, R any](ctx context.Context, voters []string, c C, granted func(R) bool, call func(context.Context, string, C) (R, error)) []R {
	got := make(chan *R, len(voters))
	for _, voter := range voters {
		go func() {
			r, err := call(ctx, voter, c)
			if err != nil {
				got <- nil
				return
			}
			got <- &r
		}()
	}
	var out []R
	yes := 0
	for range voters {
		r := <-got
		if r == nil {
			continue
		}
		out = append(out, *r)
		if granted(*r) {
			if yes++; yes*2 > len(voters) {
				break
			}
		}
	}
	return out
}

// DutyCall asks for a duty, or for more time with it.
type DutyCall struct {
	Duty    string `json:"duty"`
	Holder  string `json:"holder"`
	Term    int64  `json:"term"`
	LeaseMs int64  `json:"lease-ms"`
}

// DutyReply tells who holds the duty as far as the voter knows.
type DutyReply struct {
	Granted bool   `json:"granted"`
	Holder  string `json:"holder"`
	Term    int64  `json:"term"`
}

// HandleDuty votes on a duty. A vacant duty goes to the first that asks with a
// higher term; the holder may renew.
func (v *Voter) HandleDuty(c DutyCall) DutyReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.duties == nil {
		v.duties = map[string]grant{}
	}
	now := time.Now()
	g := v.duties[c.Duty]
	vacant := now.After(g.until) && now.After(v.Silent)
	renewal := g.holder == c.Holder && g.term == c.Term && now.Before(g.until)
	if !renewal && !(vacant && c.Term > g.term) {
		return DutyReply{false, g.holder, g.term}
	}
	v.duties[c.Duty] = grant{c.Holder, c.Term, now.Add(time.Duration(c.LeaseMs) * time.Millisecond)}
	return DutyReply{true, c.Holder, c.Term}
}

// Vacant tells whether a duty is free, as far as this voter knows.
func (v *Voter) Vacant(duty string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().After(v.duties[duty].until)
}

// Duty is one process's part in the rounds for a duty.
type Duty struct {
	Name, Self string
	Voters     []string
	Lease      time.Duration
	Call       func(ctx context.Context, voter string, c DutyCall) (DutyReply, error)
	// Go runs what a round leaves to be done; nil: in a goroutine of its own.
	Go func(f func())

	mu    sync.Mutex
	term  int64
	until time.Time
	seen  int64
}

// Held tells whether this process holds the duty, and under which term.
func (d *Duty) Held() (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, time.Now().Before(d.until)
}

// Left is how long this process still holds the duty, and whether it does.
func (d *Duty) Left() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Until(d.until)
	return left, left > 0
}

// Round asks once: to renew the duty if it is held, else to win it. Floor is
// the highest term known from elsewhere.
func (d *Duty) Round(ctx context.Context, floor int64) {
	began := time.Now()
	term, held := d.Held()
	if !held {
		d.mu.Lock()
		d.seen = max(d.seen, floor, d.term)
		term = d.seen + 1
		d.mu.Unlock()
	}
	rctx, cancel := context.WithTimeout(ctx, d.Lease/2)
	defer cancel()
	granted := 0
	replies := ask(rctx, d.Voters, DutyCall{d.Name, d.Self, term, d.Lease.Milliseconds()}, func(r DutyReply) bool { return r.Granted }, d.Call)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range replies {
		if r.Granted {
			granted++
		}
		d.seen = max(d.seen, r.Term)
	}
	if granted*2 > len(d.Voters) {
		// A little less than was granted, for clocks that run apart.
		d.term, d.until = term, began.Add(d.Lease*9/10)
	} else if !held && granted > 0 {
		// Lost: those that granted it may grant it to another at once.
		run := d.Go
		if run == nil {
			run = func(f func()) { go f() }
		}
		for _, voter := range d.Voters {
			run(func() {
				ctx, cancel := context.WithTimeout(ctx, d.Lease/2)
				defer cancel()
				_, _ = d.Call(ctx, voter, DutyCall{d.Name, d.Self, term, 0})
			})
		}
	}
}

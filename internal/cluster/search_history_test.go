package cluster

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// configurationWrite is one configuration of an operator: the same bytes, sent
// once or more. It takes effect at most once. Times are ticks of the history.
type configurationWrite struct {
	name              string
	ifMatch, revision int64
	body              []byte
	firstSent         int64
	acknowledged      int64 // the first 200; 0 without one
	acknowledgedAt    time.Time
	rejections        []invocation
}

// invocation is one call, by the ticks at which it began and ended.
type invocation struct {
	begin, end int64
	status     int
}

// configurationRead is what a GET was answered.
type configurationRead struct {
	invocation
	writeName string // of the write read; empty before the first
	core      string
}

// history is all that operators and readers were answered. It counts ticks, so
// that what happens at one time of the simulated clock has an order too.
type history struct {
	mu       sync.Mutex
	lastTick int64
	writes   []*configurationWrite
	byBytes  map[string]*configurationWrite
	reads    []configurationRead
}

// tick returns the next tick.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastTick++
	return h.lastTick
}

// operation is one of the model: a write, a read, a rejection, or the end of the
// history.
type operation struct {
	name              string
	ifMatch, revision int64
	read              bool
	rejected          bool
	end               bool
	status            int
	core              string
}

// register is the state of the model: the configuration in force.
type register struct {
	revision int64
	name     string
	ended    bool
}

// registerModel is a register with a revision. A write takes effect only if the
// one that it builds on is in force. A write whose outcome is unknown is an
// operation that never returns: it takes effect at any time, or comes after the
// end and has none. A rejection is an operation without effect, and right only
// where another revision was in force.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		current, o := state.(register), input.(operation)
		switch {
		case o.end:
			return true, register{current.revision, current.name, true}
		case current.ended:
			return o.status == 0, current
		case o.read:
			return current.name == o.name, current
		case o.rejected:
			return current.revision != o.ifMatch, current
		}
		return current.revision == o.ifMatch, register{o.revision, o.name, false}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// check returns what is wrong with the history: that it is not linearizable; ""
// if nothing is.
func (h *history) check() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	add := func(o operation, call, ret int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: o, Call: call, Return: ret})
	}
	for _, o := range h.writes {
		op := operation{name: o.name, ifMatch: o.ifMatch, revision: o.revision}
		switch {
		case o.acknowledged > 0:
			op.status = 200
			add(op, o.firstSent, o.acknowledged)
		case len(o.rejections) == 0:
			add(op, o.firstSent, math.MaxInt64)
		}
		for _, r := range o.rejections {
			add(operation{name: o.name, ifMatch: o.ifMatch, rejected: true, status: r.status}, r.begin, r.end)
		}
	}
	for _, r := range h.reads {
		add(operation{name: r.writeName, read: true, core: r.core}, r.begin, r.end)
	}
	h.lastTick++
	add(operation{end: true}, h.lastTick, math.MaxInt64)
	// The history is bounded and few calls overlap; a minute is far more than it
	// takes.
	switch porcupine.CheckOperationsTimeout(registerModel, ops, time.Minute) {
	case porcupine.Illegal:
		return "no order explains the writes and reads:\n" + h.textLocked()
	case porcupine.Unknown:
		return "the history is too long to be checked:\n" + h.textLocked()
	}
	return ""
}

// textLocked lists the history.
func (h *history) textLocked() string {
	var b strings.Builder
	for _, o := range h.writes {
		fmt.Fprintf(&b, "  %s: %d on %d, sent at %d, ", o.name, o.revision, o.ifMatch, o.firstSent)
		if o.acknowledged > 0 {
			fmt.Fprintf(&b, "acknowledged at %d", o.acknowledged)
		}
		for _, r := range o.rejections {
			fmt.Fprintf(&b, " rejected with %d from %d to %d", r.status, r.begin, r.end)
		}
		fmt.Fprintln(&b)
	}
	for _, r := range h.reads {
		fmt.Fprintf(&b, "  %s read at %s from %d to %d\n", r.writeName, r.core, r.begin, r.end)
	}
	return b.String()
}

package cluster

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// order is one configuration of an operator: the same bytes, sent once or more.
// It takes effect at most once.
type configurationWrite struct {
	name              string
	ifMatch, revision int64
	body              []byte
	firstSent         int64 // the moment of the first send
	acknowledged      int64 // the moment of the first 200; 0 without one
	acknowledgedAt    time.Time
	rejections        []invocation // definite refusals
}

// sending is one call, by the moments at which it began and ended.
type invocation struct {
	begin, end int64
	status     int
}

// reading is what a GET told.
type configurationRead struct {
	invocation
	writeName string // of the order read; empty before the first
	core      string
}

// history is all that operators and readers saw. Moments are counted, so that
// what happens at one time of the simulated clock has an order too.
type history struct {
	mu         sync.Mutex
	lastMoment int64
	writes     []*configurationWrite
	byBytes    map[string]*configurationWrite
	reads      []configurationRead
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastMoment++
	return h.lastMoment
}

// operation is one of the model: an order, a reading, or the end of all.
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

// model is a register with a revision. An order is in force only if the one
// that it builds on was. An order with no clear answer is an operation that
// never returns: it takes effect at any time, or comes behind the end and has
// none. A refusal is an operation without effect, and right only where another
// revision was current.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		now, o := state.(register), input.(operation)
		switch {
		case o.end:
			return true, register{now.revision, now.name, true}
		case now.ended:
			return o.status == 0, now
		case o.read:
			return now.name == o.name, now
		case o.rejected:
			return now.revision != o.ifMatch, now
		}
		return now.revision == o.ifMatch, register{o.revision, o.name, false}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// check tells what is wrong with the history; "" if nothing is.
func (h *history) check() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	add := func(o operation, from, to int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: o, Call: from, Return: to})
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
	h.lastMoment++
	add(operation{end: true}, h.lastMoment, math.MaxInt64)
	// The history is bounded and what is under way at once is little; a minute
	// is far more than it takes.
	switch porcupine.CheckOperationsTimeout(registerModel, ops, time.Minute) {
	case porcupine.Illegal:
		return "orders and readings have no order that explains them:\n" + h.textLocked()
	case porcupine.Unknown:
		return "the history is too long to be checked:\n" + h.textLocked()
	}
	return ""
}

// words lists the history. The lock is held.
func (h *history) textLocked() string {
	var b strings.Builder
	for _, o := range h.writes {
		fmt.Fprintf(&b, "  %s: %d on %d, sent at %d, ", o.name, o.revision, o.ifMatch, o.firstSent)
		if o.acknowledged > 0 {
			fmt.Fprintf(&b, "acknowledged at %d", o.acknowledged)
		}
		for _, r := range o.rejections {
			fmt.Fprintf(&b, " refused with %d from %d to %d", r.status, r.begin, r.end)
		}
		fmt.Fprintln(&b)
	}
	for _, r := range h.reads {
		fmt.Fprintf(&b, "  %s read at %s from %d to %d\n", r.writeName, r.core, r.begin, r.end)
	}
	return b.String()
}

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
type order struct {
	name            string
	match, revision int64
	raw             []byte
	sent            int64 // the moment of the first send
	acked           int64 // the moment of the first 200; 0 without one
	ackedAt         time.Time
	refused         []sending // definite refusals
}

// sending is one call, by the moments at which it began and ended.
type sending struct {
	from, to int64
	status   int
}

// reading is what a GET told.
type reading struct {
	sending
	name string // of the order read; empty before the first
	core string
}

// history is all that operators and readers saw. Moments are counted, so that
// what happens at one time of the simulated clock has an order too.
type history struct {
	mu       sync.Mutex
	moment   int64
	orders   []*order
	byBytes  map[string]*order
	readings []reading
}

func (h *history) now() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moment++
	return h.moment
}

// operation is one of the model: an order, a reading, or the end of all.
type operation struct {
	name            string
	match, revision int64
	read            bool
	refused         bool
	end             bool
	status          int
	core            string
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
var model = porcupine.Model{
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
		case o.refused:
			return now.revision != o.match, now
		}
		return now.revision == o.match, register{o.revision, o.name, false}
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
	for _, o := range h.orders {
		op := operation{name: o.name, match: o.match, revision: o.revision}
		switch {
		case o.acked > 0:
			op.status = 200
			add(op, o.sent, o.acked)
		case len(o.refused) == 0:
			add(op, o.sent, math.MaxInt64)
		}
		for _, r := range o.refused {
			add(operation{name: o.name, match: o.match, refused: true, status: r.status}, r.from, r.to)
		}
	}
	for _, r := range h.readings {
		add(operation{name: r.name, read: true, core: r.core}, r.from, r.to)
	}
	h.moment++
	add(operation{end: true}, h.moment, math.MaxInt64)
	// The history is bounded and what is under way at once is little; a minute
	// is far more than it takes.
	switch porcupine.CheckOperationsTimeout(model, ops, time.Minute) {
	case porcupine.Illegal:
		return "orders and readings have no order that explains them:\n" + h.words()
	case porcupine.Unknown:
		return "the history is too long to be checked:\n" + h.words()
	}
	return ""
}

// words lists the history. The lock is held.
func (h *history) words() string {
	var b strings.Builder
	for _, o := range h.orders {
		fmt.Fprintf(&b, "  %s: %d on %d, sent at %d, ", o.name, o.revision, o.match, o.sent)
		if o.acked > 0 {
			fmt.Fprintf(&b, "acknowledged at %d", o.acked)
		}
		for _, r := range o.refused {
			fmt.Fprintf(&b, " refused with %d from %d to %d", r.status, r.from, r.to)
		}
		fmt.Fprintln(&b)
	}
	for _, r := range h.readings {
		fmt.Fprintf(&b, "  %s read at %s from %d to %d\n", r.name, r.core, r.from, r.to)
	}
	return b.String()
}

package cluster

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// configurationWrite is one configuration sent by an operator, with the same bytes
// on each retry. It takes effect at most once. Times are ticks of the history.
type configurationWrite struct {
	name              string
	ifMatch, revision int64
	body              []byte
	firstSent         int64
	acknowledged      int64 // tick of the first 200; 0 if none
	acknowledgedAt    time.Time
	rejections        []invocation
}

// invocation is one request, with the ticks at which it began and ended.
type invocation struct {
	begin, end int64
	status     int
}

// configurationRead is the result of a GET of the configuration.
type configurationRead struct {
	invocation
	writeName string // of the write that was read; empty if there was no configuration
	core      string
}

// history records the requests and responses of operators and readers. It uses a
// logical clock, whose ticks order events at the same simulated time.
type history struct {
	mu       sync.Mutex
	lastTick int64
	writes   []*configurationWrite
	byBody   map[string]*configurationWrite
	reads    []configurationRead
}

// tick advances the logical clock and returns its value.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastTick++
	return h.lastTick
}

// operation is an input of the model: a write, a read, a rejected write, or the
// end of the history.
type operation struct {
	name              string
	ifMatch, revision int64
	read              bool
	rejected          bool
	end               bool
	status            int
	core              string
}

// register is the state of the model: the current configuration.
type register struct {
	revision int64
	name     string
	ended    bool
}

// registerModel is a compare-and-set register. A write takes effect only if the
// revision that it is conditional on is current. A write of unknown outcome is an
// operation that never returns: it is linearized at any time, or after the end of
// the history, where it has no effect. A rejected write has no effect and is
// legal only while another revision is current.
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

// check returns "" if the history is linearizable, and otherwise a description of
// the failure with the history.
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
	// The history is bounded and few operations overlap, so the check takes far
	// less than a minute.
	switch porcupine.CheckOperationsTimeout(registerModel, ops, time.Minute) {
	case porcupine.Illegal:
		return "the history is not linearizable:\n" + h.formatLocked()
	case porcupine.Unknown:
		return "the linearizability check timed out:\n" + h.formatLocked()
	}
	return ""
}

// formatLocked formats the history for a failure report.
func (h *history) formatLocked() string {
	var b strings.Builder
	for _, o := range h.writes {
		fmt.Fprintf(&b, "  %s: revision %d, If-Match %d, sent at tick %d, ", o.name, o.revision, o.ifMatch, o.firstSent)
		if o.acknowledged > 0 {
			fmt.Fprintf(&b, "acknowledged at tick %d", o.acknowledged)
		}
		for _, r := range o.rejections {
			fmt.Fprintf(&b, " rejected with status %d, ticks %d to %d", r.status, r.begin, r.end)
		}
		fmt.Fprintln(&b)
	}
	for _, r := range h.reads {
		fmt.Fprintf(&b, "  %q read from %s, ticks %d to %d\n", r.writeName, r.core, r.begin, r.end)
	}
	return b.String()
}

package cluster

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// schedule is what strikes one cluster, and what is asked of it meanwhile.
type schedule struct {
	Cores  int // at the start
	Losses int // host-failures
	Last   int // the core that is lost in the end
	Steps  []step
}

// step is one thing that happens after a pause. A and B are places of cores;
// each kind reads what it needs of the rest.
type step struct {
	Kind kind
	Wait int // ms
	A, B int
	For  int // ms
	N    int
}

type kind string

const (
	stepOrder     kind = "order"      // an operator sends a change, first to A, N picks what it builds on
	stepRead      kind = "read"       // somebody reads at A, N times more
	stepAgain     kind = "again"      // order N is sent again, to A
	stepBurst     kind = "burst"      // one operator sends N changes, each after the one before
	stepBeat      kind = "beat"       // handler N beats at A
	stepDrain     kind = "drain"      // handler N says at A that it drains
	stepDelete    kind = "delete"     // handler N leaves at A
	stepLate      kind = "late"       // an old beat of handler N comes to A
	stepKill      kind = "kill"       // A is killed and started again
	stepKillAll   kind = "kill-all"   // all are killed and started again
	stepPower     kind = "power"      // all lose power
	stepReset     kind = "reset"      // the connections between A and B end
	stepCut       kind = "cut"        // A is cut off, both ways; with N odd also from those outside
	stepCutOut    kind = "cut-out"    // what A sends is lost
	stepCutIn     kind = "cut-in"     // what is sent to A is lost
	stepSplit     kind = "split"      // those in N are cut from the others
	stepDeaf      kind = "deaf"       // A's answers to those outside are lost
	stepHold      kind = "hold"       // what A sends to B is held up, and delivered later
	stepFreeze    kind = "freeze"     // all that A sends and gets is held up
	stepSlow      kind = "slow"       // packets take long
	stepVary      kind = "vary"       // packets overtake each other
	stepWhen      kind = "when"       // on the message N, something strikes its sender or receiver
	stepWipe      kind = "wipe"       // in calm, A loses its disk
	stepReplace   kind = "replace"    // in calm, A ends for good and an empty one comes elsewhere
	stepPowerWipe kind = "power-wipe" // in calm, all lose power and A its disk
)

// kinds are drawn with these weights; shrinking goes toward the first.
var kinds = weighted([]struct {
	kind
	weight int
}{
	{stepOrder, 12}, {stepRead, 8}, {stepAgain, 4}, {stepBurst, 2}, {stepBeat, 5}, {stepDrain, 6}, {stepDelete, 4}, {stepLate, 3},
	{stepKill, 4}, {stepKillAll, 1}, {stepPower, 3}, {stepReset, 2}, {stepCut, 3}, {stepCutOut, 2}, {stepCutIn, 2}, {stepSplit, 1}, {stepDeaf, 2},
	{stepHold, 5}, {stepFreeze, 4}, {stepSlow, 2}, {stepVary, 2}, {stepWhen, 16}, {stepWipe, 2}, {stepReplace, 2}, {stepPowerWipe, 1},
})

func weighted(list []struct {
	kind
	weight int
}) (out []kind) {
	for _, k := range list {
		for range k.weight {
			out = append(out, k.kind)
		}
	}
	return out
}

// messages are those on which something may strike: a path, and words that its
// body holds. The last two are answers to those outside.
var messages = []struct{ name, path, words string }{
	{"a write down the chain", "/chain/pass", `"set":`},
	{"a whole state down the chain", "/chain/pass", `"all":true`},
	{"a sign of life", "/chain/pass", ""},
	{"news of a view", "/chain/adopt", ""},
	{"a ballot", "/ballot", ""},
	{"an acceptance in a ballot", "/ballot", `"value":{`},
	{"a proposal", "/propose", ""},
	{"a leaving", "/exchange", `"major":`},
	{"a question for the standing", "/chain/standing", ""},
	{"the acknowledgement of an order", "acked", ""},
	{"the acknowledgement of a leaving", "left", ""},
	// What decides most is drawn more often.
	{"news of a view", "/chain/adopt", ""},
	{"news of a view", "/chain/adopt", ""},
	{"an acceptance in a ballot", "/ballot", `"value":{`},
	{"a whole state down the chain", "/chain/pass", `"all":true`},
	{"a write down the chain", "/chain/pass", `"set":`},
}

// strikes are what may strike then.
var strikes = []string{
	"hold the link", "hold the answers", "lose the link", "cut off the sender", "cut off the receiver", "freeze the sender", "freeze the receiver",
	"reset", "kill the sender", "kill the receiver", "cut off the sender and kill the receiver", "cut off the receiver and kill the sender",
	"kill all", "power", "wipe the sender", "power, wipe the sender",
}

// when takes apart the number of a step of that kind.
func (s step) when() (message, strike, nth int) {
	return s.N % len(messages), s.N / len(messages) % len(strikes), 1 + s.N/len(messages)/len(strikes)
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	size := rapid.SampledFrom([][2]int{{3, 1}, {3, 1}, {5, 1}, {5, 2}}).Draw(t, "size")
	out := schedule{Cores: size[0], Losses: size[1], Last: rapid.IntRange(0, size[0]-1).Draw(t, "last")}
	one := rapid.Custom(func(t *rapid.T) step {
		s := step{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Wait: 100 * rapid.IntRange(0, 15).Draw(t, "wait"),
			A:    rapid.IntRange(0, size[0]-1).Draw(t, "a"),
			B:    rapid.IntRange(0, size[0]-1).Draw(t, "b"),
			For:  100 * rapid.IntRange(1, 50).Draw(t, "for"),
		}
		most := 7
		switch s.Kind {
		case stepWhen:
			most = len(messages)*len(strikes)*3 - 1
		case stepBurst:
			most = 99
		}
		s.N = rapid.IntRange(0, most).Draw(t, "n")
		return s
	})
	// Slices of slices, since one alone would be short nearly always.
	for _, some := range rapid.SliceOfN(rapid.SliceOfN(one, 1, 9), 1, 12).Draw(t, "steps") {
		out.Steps = append(out.Steps, some...)
	}
	return out
})

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d cores, %d may be lost; in the end core %d is", s.Cores, s.Losses, s.Last)
	for _, x := range s.Steps {
		fmt.Fprintf(&b, "\n  after %d ms: %s", x.Wait, x.Kind)
		switch x.Kind {
		case stepOrder, stepAgain, stepBurst, stepBeat, stepDrain, stepDelete, stepLate:
			fmt.Fprintf(&b, " %d at core %d", x.N, x.A)
		case stepRead:
			fmt.Fprintf(&b, " core %d, %d times more", x.A, x.N)
		case stepKillAll, stepPower, stepSlow, stepVary:
			fmt.Fprintf(&b, " (%d) for %d ms", x.N, x.For)
		case stepReset:
			fmt.Fprintf(&b, " core %d and %d", x.A, x.B)
		case stepSplit:
			fmt.Fprintf(&b, " %b for %d ms", x.N, x.For)
		case stepHold:
			fmt.Fprintf(&b, " core %d to core %d for %d ms", x.A, x.B, x.For)
		case stepWhen:
			m, strike, nth := x.when()
			fmt.Fprintf(&b, " %s (number %d) is sent: %s, %d ms later, for %d ms (%d)", messages[m].name, nth, strikes[strike], 2*x.B, x.For, x.A%2)
		default:
			fmt.Fprintf(&b, " core %d for %d ms (%d)", x.A, x.For, x.N%2)
		}
	}
	return b.String()
}

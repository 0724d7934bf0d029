package cluster

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// schedule is what strikes one cluster, and what is asked of it meanwhile.
type schedule struct {
	Cores  int  // at the start
	Losses int  // host-failures
	Last   int  // the core that is lost in the end
	Busy   bool // an operator changes something all the time, and all cores are read
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
	On   on // of stepWhen
}

// on is the message on which something strikes, and what does.
type on struct {
	Message, Strike int
	Number          int // the how many-th of these messages
	Lag             int // ms from the message to the strike; with 0 it may be lost
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
	stepElect     kind = "elect"      // A is lost for a while (with N over 1 in calm), and on a message of the change of views something strikes
	stepWipe      kind = "wipe"       // in calm, A loses its disk; N says what is acknowledged right before
	stepReplace   kind = "replace"    // in calm, A ends for good and an empty one comes elsewhere
	stepPowerWipe kind = "power-wipe" // in calm, all lose power and A its disk
)

// kinds are drawn with these weights; shrinking goes toward the first.
var kinds = []struct {
	kind
	weight int
}{
	{stepOrder, 12}, {stepRead, 8}, {stepAgain, 4}, {stepBurst, 2}, {stepBeat, 5}, {stepDrain, 6}, {stepDelete, 4}, {stepLate, 3},
	{stepKill, 4}, {stepKillAll, 1}, {stepPower, 3}, {stepReset, 2}, {stepCut, 6}, {stepCutOut, 3}, {stepCutIn, 5}, {stepSplit, 1}, {stepDeaf, 2},
	{stepHold, 5}, {stepFreeze, 4}, {stepSlow, 2}, {stepVary, 2}, {stepWhen, 12}, {stepElect, 8}, {stepWipe, 4}, {stepReplace, 2}, {stepPowerWipe, 2},
}

// messages are those on which something may strike: a path, and words that its
// body holds. The last two are answers to those outside. What decides most is
// drawn most often.
var messages = []struct {
	name, path, words string
	weight            int
}{
	{"a write down the chain", "/chain/pass", `"set":`, 3},
	{"a whole state down the chain", "/chain/pass", `"all":true`, 2},
	{"a sign of life", "/chain/pass", "", 1},
	{"news of a view", "/chain/adopt", "", 5},
	{"a ballot", "/ballot", "", 1},
	{"an acceptance in a ballot", "/ballot", `"value":{`, 3},
	{"a proposal", "/propose", "", 1},
	{"a leaving", "/exchange", `"major":`, 1},
	{"a question for the standing", "/chain/standing", "", 1},
	{"the acknowledgement of an order", "acked", "", 2},
	{"the acknowledgement of a leaving", "left", "", 2},
}

// strikes are what may strike then.
var strikes = []struct {
	name   string
	weight int
}{
	{"hold the link", 1}, {"hold the answers", 1}, {"lose the link", 1}, {"cut off the sender", 1}, {"cut off the receiver", 1},
	{"freeze the sender", 1}, {"freeze the receiver", 1}, {"reset", 1}, {"kill the sender", 1}, {"kill the receiver", 1},
	{"cut off the sender and kill the receiver", 2}, {"cut off the receiver and kill the sender", 1},
	{"kill all", 2}, {"power", 2}, {"wipe the sender", 2}, {"power, wipe the sender", 1},
}

// weighted lists each number as often as its weight says.
func weighted(n int, weight func(int) int) (out []int) {
	for i := range n {
		for range weight(i) {
			out = append(out, i)
		}
	}
	return out
}

var (
	someKind    = weighted(len(kinds), func(i int) int { return kinds[i].weight })
	someMessage = weighted(len(messages), func(i int) int { return messages[i].weight })
	// Those with which views change.
	electing   = []int{3, 3, 3, 5, 5, 4, 1}
	unseating  = []int{12, 13, 10, 12, 13, 10, 11, 3, 5, 0, 1, 2, 8, 9} // kills above all
	someStrike = weighted(len(strikes), func(i int) int { return strikes[i].weight })
)

// pick draws a number below n, each as often: rapid by itself prefers small ones.
func pick(t *rapid.T, label string, n int) int {
	u := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, label) {
		if u *= 2; bit {
			u++
		}
	}
	return u * n / 1024
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	size := [][2]int{{3, 1}, {3, 1}, {5, 1}, {5, 2}}[pick(t, "size", 4)]
	out := schedule{Cores: size[0], Losses: size[1], Last: pick(t, "last", size[0]), Busy: pick(t, "busy", 4) > 0}
	one := rapid.Custom(func(t *rapid.T) step {
		s := step{
			Kind: kinds[someKind[pick(t, "kind", len(someKind))]].kind,
			Wait: 100 * rapid.IntRange(0, 15).Draw(t, "wait"),
			A:    pick(t, "a", size[0]),
			B:    pick(t, "b", size[0]),
			For:  100 * (1 + pick(t, "for", 50)),
		}
		switch s.Kind {
		case stepWhen:
			s.On = on{someMessage[pick(t, "message", len(someMessage))], someStrike[pick(t, "strike", len(someStrike))],
				[]int{1, 1, 1, 2, 3}[pick(t, "number", 5)], []int{0, 0, 0, 2, 8}[pick(t, "lag", 5)]}
		case stepElect:
			s.On = on{electing[pick(t, "message", len(electing))], unseating[pick(t, "strike", len(unseating))],
				[]int{1, 1, 1, 2}[pick(t, "number", 4)], []int{0, 0, 0, 2, 8}[pick(t, "lag", 5)]}
			s.N = pick(t, "n", 4)
		case stepBurst:
			s.N = pick(t, "n", 100)
		default:
			s.N = pick(t, "n", 8)
		}
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
	fmt.Fprintf(&b, "%d cores, %d may be lost; in the end core %d is; busy: %v", s.Cores, s.Losses, s.Last, s.Busy)
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
		case stepElect:
			fmt.Fprintf(&b, " without core %d (%d); when %v, for %d ms (%d)", x.A, x.N, x.On, x.For, x.A%2)
		case stepWhen:
			fmt.Fprintf(&b, " %v, for %d ms (%d)", x.On, x.For, x.A%2)
		default:
			fmt.Fprintf(&b, " core %d for %d ms (%d)", x.A, x.For, x.N)
		}
	}
	return b.String()
}

func (o on) String() string {
	return fmt.Sprintf("%s (number %d) is sent: %s, %d ms later", messages[o.Message].name, o.Number, strikes[o.Strike].name, o.Lag)
}

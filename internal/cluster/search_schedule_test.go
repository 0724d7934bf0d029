package cluster

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// schedule is the faults that a cluster meets, and what its clients do meanwhile.
// The seed of a schedule stands for it: what scheduleGenerator draws, in which
// order and from which tables, must stay the same.
type schedule struct {
	Cores          int  // at the start
	HostFailures   int  // that the cluster tolerates
	FinalLoss      int  // index of the core that crashes in the end
	BackgroundLoad bool // an operator writes all the time, and all cores are read
	Steps          []step
}

// step is one thing that happens after a wait. A and B are indexes of cores; each
// kind uses what it needs of the other fields.
type step struct {
	Kind       stepKind
	WaitMs     int
	A, B       int
	DurationMs int
	N          int
	Trigger    triggerCondition // of stepTrigger and stepViewChange
}

// triggerCondition is the message on which a fault is injected, and the fault.
type triggerCondition struct {
	Message, Fault int // indexes of triggerMessages and triggeredFaults
	Occurrence     int // how many such messages there must be
	DelayMs        int // from the message to the fault; with 0 the message may be lost
}

// stepKind is the kind of a step, by the name under which recorded schedules
// print it.
type stepKind string

const (
	stepWrite          stepKind = "order"      // an operator sends a write, first to A; N picks the revision that it builds on
	stepRead           stepKind = "read"       // A is read 1+N times
	stepResend         stepKind = "again"      // an earlier write, picked by N, is sent again, to A
	stepBurst          stepKind = "burst"      // one operator sends N writes, each after the one before
	stepHeartbeat      stepKind = "beat"       // handler N sends a heartbeat to A
	stepDrain          stepKind = "drain"      // handler N reports to A that it drains
	stepDeregister     stepKind = "delete"     // handler N deregisters at A
	stepStaleHeartbeat stepKind = "late"       // an old heartbeat of handler N arrives at A
	stepKill           stepKind = "kill"       // A is killed and started again
	stepKillAll        stepKind = "kill-all"   // all are killed and started again
	stepPowerLoss      stepKind = "power"      // all lose power
	stepReset          stepKind = "reset"      // the connections between A and B are reset
	stepIsolate        stepKind = "cut"        // A is isolated, both ways; with N odd also from clients
	stepDropOutgoing   stepKind = "cut-out"    // what A sends is lost
	stepDropIncoming   stepKind = "cut-in"     // what is sent to A is lost
	stepPartition      stepKind = "split"      // the cores in the bits of N are partitioned from the others
	stepDropAnswers    stepKind = "deaf"       // A's answers to clients are lost
	stepHoldLink       stepKind = "hold"       // what A sends to B is held, and delivered later
	stepFreeze         stepKind = "freeze"     // all that A sends and receives is held
	stepSlow           stepKind = "slow"       // packets take long
	stepReorder        stepKind = "vary"       // packets overtake each other
	stepTrigger        stepKind = "when"       // on a message, a fault of its sender or receiver
	stepViewChange     stepKind = "elect"      // A is lost for a while (with N over 1 while no other fault is active), and on a message of the view change there is a fault
	stepWipe           stepKind = "wipe"       // without other faults, A loses its disk; N says what is acknowledged right before
	stepReplace        stepKind = "replace"    // without other faults, A is gone for good and an empty core starts at another address
	stepPowerWipe      stepKind = "power-wipe" // without other faults, all lose power and A its disk
)

// weightedKinds are drawn with these weights; shrinking goes toward the first.
var weightedKinds = []struct {
	stepKind
	weight int
}{
	{stepWrite, 12}, {stepRead, 8}, {stepResend, 4}, {stepBurst, 2}, {stepHeartbeat, 5}, {stepDrain, 6}, {stepDeregister, 4}, {stepStaleHeartbeat, 3},
	{stepKill, 4}, {stepKillAll, 1}, {stepPowerLoss, 3}, {stepReset, 2}, {stepIsolate, 6}, {stepDropOutgoing, 3}, {stepDropIncoming, 5}, {stepPartition, 1}, {stepDropAnswers, 2},
	{stepHoldLink, 5}, {stepFreeze, 4}, {stepSlow, 2}, {stepReorder, 2}, {stepTrigger, 12}, {stepViewChange, 8}, {stepWipe, 4}, {stepReplace, 2}, {stepPowerWipe, 2},
}

// triggerMessages are those that may trigger a fault: a path, and words that its
// body contains. The last two are answers to clients. Those that decide most are
// drawn most often. Schedules refer to them by index.
var triggerMessages = []struct {
	name, path, words string
	weight            int
}{
	{"a write down the chain", "/chain/pass", `"set":`, 3},
	{"a snapshot down the chain", "/chain/pass", `"all":true`, 2},
	{"a heartbeat down the chain", "/chain/pass", "", 1},
	{"the installation of a view", "/chain/adopt", "", 5},
	{"a Paxos request", "/ballot", "", 1},
	{"a Paxos accept request", "/ballot", `"value":{`, 3},
	{"a proposal", "/propose", "", 1},
	{"a tombstone", "/exchange", `"major":`, 1},
	{"a request for the replica status", "/chain/standing", "", 1},
	{"the acknowledgement of a write", "acked", "", 2},
	{"the acknowledgement of a deregistration", "left", "", 2},
}

// triggeredFaults are what may be injected then. Schedules refer to them by index.
var triggeredFaults = []struct {
	name   string
	weight int
}{
	{"hold the link", 1}, {"hold the answers", 1}, {"lose the link", 1}, {"cut off the sender", 1}, {"cut off the receiver", 1},
	{"freeze the sender", 1}, {"freeze the receiver", 1}, {"reset", 1}, {"kill the sender", 1}, {"kill the receiver", 1},
	{"cut off the sender and kill the receiver", 2}, {"cut off the receiver and kill the sender", 1},
	{"kill all", 2}, {"power", 2}, {"wipe the sender", 2}, {"power, wipe the sender", 1},
}

// expandWeights lists each number below n as often as its weight says.
func expandWeights(n int, weight func(int) int) (out []int) {
	for i := range n {
		for range weight(i) {
			out = append(out, i)
		}
	}
	return out
}

var (
	kindChoices    = expandWeights(len(weightedKinds), func(i int) int { return weightedKinds[i].weight })
	messageChoices = expandWeights(len(triggerMessages), func(i int) int { return triggerMessages[i].weight })
	// Indexes of the messages and faults that matter in a view change.
	viewChangeMessages = []int{3, 3, 3, 5, 5, 4, 1}
	viewChangeFaults   = []int{12, 13, 10, 12, 13, 10, 11, 3, 5, 0, 1, 2, 8, 9} // kills above all
	faultChoices       = expandWeights(len(triggeredFaults), func(i int) int { return triggeredFaults[i].weight })
)

// drawBelow draws a number below n with equal chances: rapid by itself prefers
// small ones.
func drawBelow(t *rapid.T, label string, n int) int {
	u := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, label) {
		if u *= 2; bit {
			u++
		}
	}
	return u * n / 1024
}

var scheduleGenerator = rapid.Custom(func(t *rapid.T) schedule {
	size := [][2]int{{3, 1}, {3, 1}, {5, 1}, {5, 2}}[drawBelow(t, "size", 4)]
	out := schedule{Cores: size[0], HostFailures: size[1], FinalLoss: drawBelow(t, "last", size[0]), BackgroundLoad: drawBelow(t, "busy", 4) > 0}
	one := rapid.Custom(func(t *rapid.T) step {
		s := step{
			Kind:       weightedKinds[kindChoices[drawBelow(t, "kind", len(kindChoices))]].stepKind,
			WaitMs:     100 * rapid.IntRange(0, 15).Draw(t, "wait"),
			A:          drawBelow(t, "a", size[0]),
			B:          drawBelow(t, "b", size[0]),
			DurationMs: 100 * (1 + drawBelow(t, "for", 50)),
		}
		switch s.Kind {
		case stepTrigger:
			s.Trigger = triggerCondition{messageChoices[drawBelow(t, "message", len(messageChoices))], faultChoices[drawBelow(t, "strike", len(faultChoices))],
				[]int{1, 1, 1, 2, 3}[drawBelow(t, "number", 5)], []int{0, 0, 0, 2, 8}[drawBelow(t, "lag", 5)]}
		case stepViewChange:
			s.Trigger = triggerCondition{viewChangeMessages[drawBelow(t, "message", len(viewChangeMessages))], viewChangeFaults[drawBelow(t, "strike", len(viewChangeFaults))],
				[]int{1, 1, 1, 2}[drawBelow(t, "number", 4)], []int{0, 0, 0, 2, 8}[drawBelow(t, "lag", 5)]}
			s.N = drawBelow(t, "n", 4)
		case stepBurst:
			s.N = drawBelow(t, "n", 100)
		default:
			s.N = drawBelow(t, "n", 8)
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
	fmt.Fprintf(&b, "%d cores, %d may be lost; in the end core %d is; busy: %v", s.Cores, s.HostFailures, s.FinalLoss, s.BackgroundLoad)
	for _, x := range s.Steps {
		fmt.Fprintf(&b, "\n  after %d ms: %s", x.WaitMs, x.Kind)
		switch x.Kind {
		case stepWrite, stepResend, stepBurst, stepHeartbeat, stepDrain, stepDeregister, stepStaleHeartbeat:
			fmt.Fprintf(&b, " %d at core %d", x.N, x.A)
		case stepRead:
			fmt.Fprintf(&b, " core %d, %d times more", x.A, x.N)
		case stepKillAll, stepPowerLoss, stepSlow, stepReorder:
			fmt.Fprintf(&b, " (%d) for %d ms", x.N, x.DurationMs)
		case stepReset:
			fmt.Fprintf(&b, " core %d and %d", x.A, x.B)
		case stepPartition:
			fmt.Fprintf(&b, " %b for %d ms", x.N, x.DurationMs)
		case stepHoldLink:
			fmt.Fprintf(&b, " core %d to core %d for %d ms", x.A, x.B, x.DurationMs)
		case stepViewChange:
			fmt.Fprintf(&b, " without core %d (%d); when %v, for %d ms (%d)", x.A, x.N, x.Trigger, x.DurationMs, x.A%2)
		case stepTrigger:
			fmt.Fprintf(&b, " %v, for %d ms (%d)", x.Trigger, x.DurationMs, x.A%2)
		default:
			fmt.Fprintf(&b, " core %d for %d ms (%d)", x.A, x.DurationMs, x.N)
		}
	}
	return b.String()
}

func (o triggerCondition) String() string {
	return fmt.Sprintf("%s (number %d) is sent: %s, %d ms later", triggerMessages[o.Message].name, o.Occurrence, triggeredFaults[o.Fault].name, o.DelayMs)
}

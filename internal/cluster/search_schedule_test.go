package cluster

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// schedule is a sequence of faults and client requests for one cluster. A seed
// must always stand for the same schedule, so the draws of scheduleGenerator, their
// order and the tables they index must not change.
type schedule struct {
	Cores          int  // initial number of cores
	HostFailures   int  // number of host failures that the cluster tolerates
	FinalLoss      int  // index of the core that crashes after all steps
	BackgroundLoad bool // an operator writes and all cores are read continuously
	Steps          []step
}

// step is a client request or a fault, performed after a wait. A and B are indexes
// of cores. Which of the other fields are used depends on the kind.
type step struct {
	Kind       stepKind
	WaitMs     int
	A, B       int
	DurationMs int
	N          int
	Trigger    triggerCondition // for stepTrigger and stepViewChange only
}

// triggerCondition is a message and the fault to inject when it is sent.
type triggerCondition struct {
	Message, Fault int // indexes of triggerMessages and triggeredFaults
	Occurrence     int // the fault is injected on this occurrence of the message, from 1
	DelayMs        int // from the message to the fault; with 0 the fault may affect the message itself
}

// stepKind is the kind of a step. Its value is the name printed in schedules, and
// does not change since recorded schedules contain it.
type stepKind string

const (
	stepWrite          stepKind = "order"      // an operator sends a write, first to A; N selects the revision it is conditional on
	stepRead           stepKind = "read"       // A is read 1+N times
	stepResend         stepKind = "again"      // an earlier write, selected by N, is resent, first to A
	stepBurst          stepKind = "burst"      // one operator sends N writes in sequence
	stepHeartbeat      stepKind = "beat"       // handler N sends a heartbeat to A
	stepDrain          stepKind = "drain"      // handler N reports to A that it is draining
	stepDeregister     stepKind = "delete"     // handler N deregisters at A
	stepStaleHeartbeat stepKind = "late"       // a delayed heartbeat of handler N arrives at A
	stepKill           stepKind = "kill"       // A is killed and restarted
	stepKillAll        stepKind = "kill-all"   // all cores are killed and restarted
	stepPowerLoss      stepKind = "power"      // all cores lose power
	stepReset          stepKind = "reset"      // the connections between A and B are reset
	stepIsolate        stepKind = "cut"        // A is isolated in both directions, with N odd also from the clients
	stepDropOutgoing   stepKind = "cut-out"    // traffic from A is dropped
	stepDropIncoming   stepKind = "cut-in"     // traffic to A is dropped
	stepPartition      stepKind = "split"      // the cores selected by the bit mask N are partitioned from the others
	stepDropAnswers    stepKind = "deaf"       // responses of A to clients are dropped
	stepHoldLink       stepKind = "hold"       // traffic from A to B is held and delivered later
	stepFreeze         stepKind = "freeze"     // all traffic from and to A is held and delivered later
	stepSlow           stepKind = "slow"       // packet latency is increased
	stepReorder        stepKind = "vary"       // packet latency varies, which reorders packets
	stepTrigger        stepKind = "when"       // a message triggers a fault of its sender, its receiver or their link
	stepViewChange     stepKind = "elect"      // A crashes or is isolated (with N over 1 only after all faults have ended), and a message of the view change triggers a fault
	stepWipe           stepKind = "wipe"       // after all faults have ended, A loses its disk; N selects the requests sent right before
	stepReplace        stepKind = "replace"    // after all faults have ended, A is removed and an empty core starts at another address
	stepPowerWipe      stepKind = "power-wipe" // after all faults have ended, all cores lose power and A loses its disk
)

// weightedKinds lists the kinds of steps and their weights in the draw. Shrinking
// prefers those listed first.
var weightedKinds = []struct {
	stepKind
	weight int
}{
	{stepWrite, 12}, {stepRead, 8}, {stepResend, 4}, {stepBurst, 2}, {stepHeartbeat, 5}, {stepDrain, 6}, {stepDeregister, 4}, {stepStaleHeartbeat, 3},
	{stepKill, 4}, {stepKillAll, 1}, {stepPowerLoss, 3}, {stepReset, 2}, {stepIsolate, 6}, {stepDropOutgoing, 3}, {stepDropIncoming, 5}, {stepPartition, 1}, {stepDropAnswers, 2},
	{stepHoldLink, 5}, {stepFreeze, 4}, {stepSlow, 2}, {stepReorder, 2}, {stepTrigger, 12}, {stepViewChange, 8}, {stepWipe, 4}, {stepReplace, 2}, {stepPowerWipe, 2},
}

// Stand-ins for a request path in triggerMessages, for responses to clients.
const (
	writeAcknowledged          = "write-acknowledged"
	deregistrationAcknowledged = "deregistration-acknowledged"
)

// triggerMessages lists the messages that may trigger a fault: the path of a
// request and a text that its body contains. The last two are responses to
// clients. Messages that decide the outcome of an operation have higher weights.
// Schedules refer to them by index.
var triggerMessages = []struct {
	name, path, bodyText string
	weight               int
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
	{"the acknowledgement of a write", writeAcknowledged, "", 2},
	{"the acknowledgement of a deregistration", deregistrationAcknowledged, "", 2},
}

// triggeredFaults lists the faults that a message may trigger. Schedules refer to
// them by index.
var triggeredFaults = []struct {
	name   string
	weight int
}{
	{"hold the link", 1}, {"hold the answers", 1}, {"lose the link", 1}, {"cut off the sender", 1}, {"cut off the receiver", 1},
	{"freeze the sender", 1}, {"freeze the receiver", 1}, {"reset", 1}, {"kill the sender", 1}, {"kill the receiver", 1},
	{"cut off the sender and kill the receiver", 2}, {"cut off the receiver and kill the sender", 1},
	{"kill all", 2}, {"power", 2}, {"wipe the sender", 2}, {"power, wipe the sender", 1},
}

// expandWeights returns the numbers below n, each repeated as often as its weight.
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
	// Indexes of the messages and faults that are drawn for stepViewChange,
	// repeated by their weights.
	viewChangeMessages = []int{3, 3, 3, 5, 5, 4, 1}
	viewChangeFaults   = []int{12, 13, 10, 12, 13, 10, 11, 3, 5, 0, 1, 2, 8, 9} // mostly kills
	faultChoices       = expandWeights(len(triggeredFaults), func(i int) int { return triggeredFaults[i].weight })
)

// drawBelow draws a number below n from a uniform distribution. The integer
// generators of rapid favour small values.
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
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
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
	// A slice of slices, since rapid nearly always draws a short slice.
	for _, group := range rapid.SliceOfN(rapid.SliceOfN(stepGenerator, 1, 9), 1, 12).Draw(t, "steps") {
		out.Steps = append(out.Steps, group...)
	}
	return out
})

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d cores, %d host failures tolerated; final crash of core %d; background load: %v", s.Cores, s.HostFailures, s.FinalLoss, s.BackgroundLoad)
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

func (c triggerCondition) String() string {
	return fmt.Sprintf("%s (number %d) is sent: %s, %d ms later", triggerMessages[c.Message].name, c.Occurrence, triggeredFaults[c.Fault].name, c.DelayMs)
}

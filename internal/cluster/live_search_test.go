package cluster

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The live search runs random fault schedules with realtime clients connected, and
// checks what the clients observe (live_checks_test.go).
//
//	go test ./internal/cluster -run TestLiveSearch                        the default seeds
//	go test ./internal/cluster -run TestLiveSearch -search.live.seed 17   a single seed
//	go test ./internal/cluster -run TestLiveSearch -search.live.for 10m   as many seeds as fit into the time
var (
	liveSearchSeed  = flag.Int("search.live.seed", 0, "run only the live search schedule with this seed")
	liveSearchFirst = flag.Int("search.live.first", 1, "first seed of the live search")
	liveSearchFor   = flag.Duration("search.live.for", 0, "run live search schedules for this long")
)

// liveSchedules is the number of schedules that are run by default.
const liveSchedules = 24

func TestLiveSearch(t *testing.T) {
	if *liveSearchSeed != 0 {
		checkLiveSeed(t, *liveSearchSeed)
		return
	}
	began := time.Now()
	executed, failed := runSeeds(t, *liveSearchFirst, liveSchedules, *liveSearchFor, checkLiveSeed)
	t.Logf("%d schedules in %v, %d failed", executed, time.Since(began).Round(time.Second), failed)
}

func checkLiveSeed(t *testing.T, seed int) bool {
	t.Helper()
	steps := drawLiveSteps(seed)
	problems := runLiveSteps(t, steps, seed%3 == 0, nil)
	if len(problems) == 0 {
		return true
	}
	t.Errorf("seed %d fails (-search.live.seed %[1]d): %s\n\n%v", seed, strings.Join(problems[:min(5, len(problems))], "\n"), steps)
	return false
}

// liveFault is the kind of fault that a step injects.
type liveFault int

const (
	crashBroker liveFault = iota
	restartBroker
	wipeBroker
	holdBrokerTraffic // it runs, but its traffic is held in both directions
	isolateBroker
	isolateBrokerOneWay
	partitionBrokerFromCores
	rollBroker
	crashAllBrokers
	crashTwoBrokers    // more than the cluster tolerates; they keep their disks
	overlapBrokers     // one crashes, and the next one loses its disk before the first is back
	wipeBrokerAfterAck // the primary that has just acknowledged a message
	crashCore
	crashGateway
	rollGateway
	resetClients
	resetGatewayFromBrokers
	liveFaultCount // number of kinds
)

var liveFaultNames = []string{
	"crash broker", "crash and restart broker", "wipe broker", "hold broker traffic", "isolate broker", "isolate broker one way",
	"partition broker from the cores", "roll broker", "crash all brokers", "crash two brokers", "crash broker and wipe the next one before it is back", "wipe broker after an ACK", "crash core", "crash gateway",
	"roll gateway", "reset clients", "reset gateway from brokers",
}

func (f liveFault) String() string { return liveFaultNames[f] }

// liveStep is a fault of some duration, followed by a time without faults. In the
// middle of longer faults (over 2 s) a gateway fault is injected as well.
type liveStep struct {
	fault        liveFault
	zone         string
	duration     time.Duration
	gatewayFault liveFault
	recovery     time.Duration
}

func (s liveStep) String() string {
	return fmt.Sprintf("%v %s for %v, gateway fault %v, recovery %v\n", s.fault, s.zone, s.duration, s.gatewayFault, s.recovery)
}

func drawLiveSteps(seed int) (steps []liveStep) {
	rng := rand.New(rand.NewPCG(uint64(seed), 5))
	for range 2 + rng.IntN(3) {
		steps = append(steps, liveStep{
			fault:        liveFault(rng.IntN(int(liveFaultCount))),
			zone:         zones[rng.IntN(len(zones))],
			duration:     time.Duration(300+rng.IntN(4000)) * time.Millisecond,
			gatewayFault: crashGateway + liveFault(rng.IntN(int(liveFaultCount-crashGateway))),
			recovery:     recoveryTime + time.Duration(rng.IntN(1500))*time.Millisecond,
		})
	}
	return steps
}

// runLiveSteps runs the steps under traffic and returns the violations that the
// clients observed. rewrite, if not nil, replaces the bytes written on the network
// from the first step on.
func runLiveSteps(t *testing.T, steps []liveStep, slowLinks bool, rewrite func([]byte) []byte) (problems []string) {
	synctest.Test(t, func(t *testing.T) {
		runLiveInBubble(t, func(w *world) {
			if slowLinks {
				w.slowLinks()
			}
			traffic := w.startLiveTraffic(2, 40*time.Millisecond)
			time.Sleep(time.Second)
			w.network.mu.Lock()
			w.network.rewrite = rewrite
			w.network.mu.Unlock()
			for _, s := range steps {
				w.runLiveStep(traffic, s)
				time.Sleep(s.recovery)
			}
			problems = traffic.finish()
			if traffic.acknowledged() < 50 {
				problems = append(problems, "fewer than 50 messages were acknowledged")
			}
		})
	})
	return problems
}

// runLiveStep injects the fault of a step and ends it after the duration of the step.
func (w *world) runLiveStep(traffic *liveTraffic, s liveStep) {
	broker, gateway := "broker-"+s.zone, "gateway-"+s.zone
	ip, n := w.machines[broker].ip, w.network
	waitWithGatewayFault := func() {
		time.Sleep(s.duration / 2)
		if s.duration > 2*time.Second {
			w.injectGatewayFault(s.gatewayFault, gateway)
		}
		time.Sleep(s.duration / 2)
	}
	switch s.fault {
	case crashBroker, wipeBroker, wipeBrokerAfterAck:
		if s.fault == wipeBrokerAfterAck {
			broker = w.acknowledgingPrimary(traffic)
		}
		w.killMachine(broker)
		if s.fault != crashBroker {
			w.wipeDisk(broker)
		}
		waitWithGatewayFault()
		w.startMachine(broker, false)
	case restartBroker:
		w.killMachine(broker)
		w.startMachine(broker, false)
	case holdBrokerTraffic:
		w.holdAll(ip, n.hold)
		waitWithGatewayFault()
		w.holdAll(ip, n.release)
	case isolateBroker:
		n.isolate(ip, true)
		waitWithGatewayFault()
		n.isolate(ip, false)
	case isolateBrokerOneWay, partitionBrokerFromCores:
		direction, roles := bothDirections, []string{"core"}
		if s.fault == isolateBrokerOneWay {
			direction, roles = outgoing, []string{"core", "broker"}
		}
		peers := w.addressesOf(roles, broker)
		w.setPartition([]string{ip}, peers, direction, true)
		waitWithGatewayFault()
		w.setPartition([]string{ip}, peers, direction, false)
	case rollBroker:
		w.terminateMachine(broker)
		w.startMachine(broker, false)
	case crashAllBrokers:
		for _, z := range zones {
			w.killMachine("broker-" + z)
		}
		for _, z := range zones {
			w.startMachine("broker-"+z, false)
		}
	case crashTwoBrokers:
		two := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == s.zone })
		for _, z := range two {
			w.killMachine("broker-" + z)
		}
		waitWithGatewayFault()
		for _, z := range two {
			w.startMachine("broker-"+z, false)
		}
	case overlapBrokers:
		next := "broker-" + zones[(slices.Index(zones, s.zone)+1)%len(zones)]
		w.killMachine(broker)
		time.Sleep(s.duration / 8)
		w.killMachine(next)
		w.wipeDisk(next)
		waitWithGatewayFault()
		w.startMachine(next, false)
		w.startMachine(broker, false)
		time.Sleep(recoveryTime)
	case crashCore:
		w.killMachine("core-" + s.zone)
		waitWithGatewayFault()
		w.startMachine("core-"+s.zone, false)
	default:
		w.injectGatewayFault(s.fault, gateway)
	}
}

// injectGatewayFault restarts a gateway or resets its connections.
func (w *world) injectGatewayFault(fault liveFault, gateway string) {
	ip := w.machines[gateway].ip
	switch fault {
	case crashGateway:
		w.killMachine(gateway)
		w.startMachine(gateway, false)
	case rollGateway:
		w.terminateMachine(gateway)
		w.startMachine(gateway, false)
	case resetClients:
		w.network.reset(clientIP, ip)
	case resetGatewayFromBrokers:
		for _, peer := range w.addressesOf([]string{"broker"}, "") {
			w.network.reset(ip, peer)
		}
	}
}

// addressesOf returns the addresses of all machines of some roles except one.
func (w *world) addressesOf(roles []string, except string) (ips []string) {
	for _, m := range w.machines {
		if slices.Contains(roles, m.role) && m.name != except {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

// holdAll applies change, a hold or a release, to all links of a machine.
func (w *world) holdAll(ip string, change func(from, to string)) {
	for _, m := range w.machines {
		if m.ip != ip {
			change(ip, m.ip)
			change(m.ip, ip)
		}
	}
}

// acknowledgingPrimary waits up to 3 s for an ACK and returns the primary of partition 0,
// which gave it.
func (w *world) acknowledgingPrimary(traffic *liveTraffic) string {
	before := traffic.acknowledged()
	for end := time.Now().Add(3 * time.Second); traffic.acknowledged() == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	status, err := w.status()
	if err != nil || len(status.Placement.Partitions) == 0 {
		return "broker-z1"
	}
	return status.Placement.Partitions[0].Primary
}

// Guards against checks of the live search that detect nothing: each must report a
// fault that is planted by rewriting the bytes of gateways, brokers and clients.
func TestLiveSearchFindsPlantedFaults(t *testing.T) {
	deliver := regexp.MustCompile(`DELIVER live\.a \S+ (\S+ \d+ \d+)\r\n[^\r]*\r\n`)
	notAccepted := regexp.MustCompile(`\{"o":\[[03]\]\}`) // the outcome of one message at a broker
	cursor := regexp.MustCompile(`(SUBSCRIBE live\.b [0-9a-z]+-)([0-9a-z]+)\r\n`)
	crash := []liveStep{
		{fault: crashBroker, zone: "z1", duration: 3 * time.Second, gatewayFault: resetClients, recovery: recoveryTime},
		{fault: crashGateway, zone: "z2", recovery: recoveryTime},
		{fault: crashTwoBrokers, zone: "z2", duration: 2 * time.Second, recovery: recoveryTime},
		{fault: resetClients, zone: "z3", recovery: recoveryTime},
	}
	for name, c := range map[string]struct {
		rewrite func(b []byte) []byte
		class   string
	}{
		"a message is delivered twice": {func(b []byte) []byte {
			return deliver.ReplaceAll(b, []byte("$0$0"))
		}, "ORDER"},
		"a message that was not accepted is acknowledged": {func(b []byte) []byte {
			return notAccepted.ReplaceAll(b, []byte(`{"o":[1]}`))
		}, "LOST"},
		"a cursor skips messages": {func(b []byte) []byte {
			return cursor.ReplaceAll(b, []byte("${1}z$2\r\n"))
		}, "LOST"},
		"a gateway does not deliver to a subscription": {func(b []byte) []byte {
			if bytes.Contains(b, []byte("z1-")) {
				return deliver.ReplaceAll(b, nil)
			}
			return b
		}, "LOST"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			problems := runLiveSteps(t, crash, false, c.rewrite)
			if !slices.ContainsFunc(problems, func(p string) bool { return strings.HasPrefix(p, c.class) }) {
				t.Errorf("planted fault not reported as %s; first problems: %q", c.class, problems[:min(3, len(problems))])
			}
		})
	}
}

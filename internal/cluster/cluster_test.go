// Package cluster tests whole clusters in one process: the real cores, stores and
// edges run on a simulated network and on the clock of a testing/synctest bubble,
// so that minutes of simulated time take seconds.
//
// A new test calls runCluster, or runCores where no messages are needed, with a
// function that contains the whole test:
//
//	func TestStoreCrashLosesNoAcceptedMessage(t *testing.T) {
//		runCluster(t, func(w *world) {
//			plain := w.newService("plain", "z1", "z2", "z3") // handlers
//			w.applyConfiguration(options{})                  // routes to them
//			w.withTraffic(plain, func() {                    // checks each accepted message
//				w.killMachine("store-z1")
//				time.Sleep(3 * time.Second) // simulated
//				w.startMachine("store-z1", false)
//			})
//		})
//	}
//
// Machines are named after their role and zone: core-z1, store-z2, edge-z3. Zone
// zN has the addresses 10.N.0.1 of its core, .2 of its store and .3 of its edge.
// Faults are killMachine (a crash), wipeDisk, terminateMachine (a graceful stop),
// and those of network: isolate, setBlocked or setPartition, setDelay, setJitter.
// Wait with waitFor and a limit rather than for an exact time. Check what clients,
// handlers and operators see (sendMessage, get, received, status) rather than the
// state of a process. Name a test after the behaviour that must hold, and put it
// into the file of its subject.
//
// The search (search_test.go) runs random schedules of faults against cores and
// checks invariants and linearizability. Add a violation that it finds as a case of
// TestSchedulesFoundBySearch, and with each new check a planted fault that it must
// detect (search_planted_faults_test.go).
package cluster

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/broker"
	"saltreel/internal/edge"
	"saltreel/internal/gateway"
	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
	"saltreel/internal/platform"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/store"
)

// world is one simulated cluster: its machines, the network between them, and
// the clients and operators that call it.
type world struct {
	t             *testing.T
	network       *network
	clientProcess *process // clients and operators
	client        *rpc.Client
	machines      map[string]*machine // by name; includes handlers, which are only stopped
	dataPath      string
	kills         int // number of kills so far, which names the disk copies
	goroutines    sync.WaitGroup
	revision      int    // of the last configuration written
	lastID        int    // of newID
	hostFailures  int    // number that the cluster tolerates
	extraSettings string // lines appended to the settings of all machines
	mu            sync.Mutex

	// Guarded by mu, as are process, signals, cancel and done of each machine:
	coreAddresses   []string // IPs
	settingsChanges int

	restoresDefaultSIGHUP bool // planted fault: SIGHUP has its default action after SIGTERM
}

// machine is one host that runs one process. Its name, address and disk outlive
// the process.
type machine struct {
	name, role, ip, zone string
	process              *process // the current incarnation
	signals              *signalSource
	cancel               func()        // sends SIGTERM
	done                 chan struct{} // closed when the process has ended
	dataPath             string
}

var zones = []string{"z1", "z2", "z3"}

// clientIP is the address of operators, clients and handlers' callers.
const clientIP = "10.9.0.1"

// runCluster runs f on a cluster with one core, store and edge in each of three
// zones, after the first placement of its partitions.
func runCluster(t *testing.T, f func(w *world)) {
	t.Helper()
	runClusterWith(t, 1, 1, f)
}

// runClusterWith is runCluster with perZone cores and perZone stores in each zone,
// and a cluster that tolerates the given number of host failures.
func runClusterWith(t *testing.T, hostFailures, perZone int, f func(w *world)) {
	t.Helper()
	runRoles(t, hostFailures, perZone, []string{"core", "store", "edge"}, f)
}

// runRoles is runClusterWith with the given roles: that of the cores, of the
// machines that store data and of those that clients connect to, in this order.
func runRoles(t *testing.T, hostFailures, perZone int, roles []string, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runInBubble(t, hostFailures, perZone, roles, f) })
}

// runInBubble is runRoles inside an existing synctest bubble.
func runInBubble(t *testing.T, hostFailures, perZone int, roles []string, f func(w *world)) {
	t.Helper()
	w := newWorld(t, t.TempDir(), hostFailures, "10.1.0.1", "10.2.0.1", "10.3.0.1")
	for i, z := range zones {
		for j, role := range roles {
			name := role + "-" + z
			w.addMachine(name, role, z, fmt.Sprintf("10.%d.0.%d", i+1, j+1), true)
			for k := 1; k < perZone && hasDisk(role); k++ {
				w.addMachine(fmt.Sprintf("%s%d", name, k), role, z, fmt.Sprintf("10.%d.0.%d", i+1, 10*k+j+1), true)
			}
		}
	}
	defer w.stopAll()
	w.waitFor(15*time.Second, "the first placement", func() bool {
		s, err := w.status()
		return err == nil && len(s.Placement.Partitions) > 0
	})
	f(w)
}

// hasDisk reports whether machines of a role store data.
func hasDisk(role string) bool { return role != "edge" && role != "gateway" }

// newWorld returns a world without machines. It must be called inside a synctest
// bubble.
func newWorld(t *testing.T, dataPath string, hostFailures int, coreAddresses ...string) *world {
	w := &world{t: t, network: newNetwork(), machines: map[string]*machine{}, dataPath: dataPath,
		hostFailures: hostFailures, coreAddresses: coreAddresses}
	w.clientProcess = &process{network: w.network, ip: clientIP}
	w.client = rpc.NewClient(&httpwire.Pool{Network: w.clientProcess.httpNetwork()})
	return w
}

// stopAll stops all machines and handlers and waits until they have ended.
func (w *world) stopAll() {
	for _, m := range w.machines {
		m.cancel()
	}
	w.goroutines.Wait()
}

// addMachine adds a machine with an empty disk and starts it.
func (w *world) addMachine(name, role, zone, ip string, bootstrap bool) {
	w.t.Helper()
	w.machines[name] = &machine{name: name, role: role, zone: zone, ip: ip, dataPath: filepath.Join(w.dataPath, name)}
	w.startMachine(name, bootstrap)
}

// wipeDisk deletes all data of a killed machine.
func (w *world) wipeDisk(name string) {
	w.t.Helper()
	if err := os.RemoveAll(w.machines[name].dataPath); err != nil {
		w.t.Fatal(err)
	}
}

// settingsFile returns the settings file that the platform writes for a machine.
func (w *world) settingsFile(m *machine, bootstrap bool) string {
	return fmt.Sprintf(`node-name=%s
role=%s
ip-address=%s
zone=%s
region=%s
zones.z1=r-z1
zones.z2=r-z2
zones.z3=r-z3
listeners.data-plane=%[3]s:80
listeners.readiness=%[3]s:81
listeners.control-plane=%[3]s:82
internal-port-range=7100,7115
seed-peers=%[8]s
bootstrap=%[6]v
data-path=%[7]s
limits.cpu-share=1
keepalive-ms=1200
fault-tolerance.host-failures=%[9]d
timers.contact-ms=4000
timers.config-apply-ms=3000
timers.drain-ms=3000
timers.grace-s=6
timers.status-ttl-s=120
timers.origin-overshoot=1.1
timers.quota-allowance=20
timers.ping-interval-s=2
timers.reconnect-s=2
timers.retransmit-s=10
timers.presence-ms=5000
policy-sections=base,tenants
some.field.from.later=%[10]d
%[11]s`, m.name, m.role, m.ip, m.zone, "r-"+m.zone, bootstrap, m.dataPath, strings.Join(w.controlAddresses(), ","), w.hostFailures, w.settingsChangeCount(), w.extraSettings)
}

func (w *world) settingsChangeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settingsChanges
}

// startMachine starts the process of a machine on its existing disk.
func (w *world) startMachine(name string, bootstrap bool) {
	w.t.Helper()
	w.start(w.machines[name], bootstrap, func(err error) {
		if err != nil {
			w.t.Logf("%s ended: %v", name, err)
		}
	})
}

// start runs the process of a machine in the lifecycle that the programs use, and
// calls ended with its error when it has ended.
func (w *world) start(m *machine, bootstrap bool, ended func(error)) {
	w.t.Helper()
	p := &process{network: w.network, ip: m.ip}
	signals := &signalSource{defaultAction: p.kill, releasesSIGHUP: w.restoresDefaultSIGHUP}
	done := make(chan struct{})
	w.mu.Lock()
	m.process = p
	m.signals = signals
	m.cancel = func() { signals.send(syscall.SIGTERM) }
	m.done = done
	w.mu.Unlock()
	lifecycle, err := platform.NewLifecycle(m.role, platform.RegisterSignals(signals), startFuncFor(m.role, p.httpNetwork()), newLogger(m.name))
	if err != nil {
		w.t.Fatalf("start %s: %v", m.name, err)
	}
	// A copy: the data path of an incarnation must not change while it runs.
	running := *m
	lifecycle.ReadSettings = func() ([]byte, error) { return []byte(w.settingsFile(&running, bootstrap)), nil }
	w.goroutines.Go(func() {
		defer close(done)
		ended(lifecycle.Run())
	})
}

// startFuncFor returns the function with which the programs start a role.
func startFuncFor(role string, network httpwire.Network) platform.Start {
	return func(ctx context.Context, set *settings.Settings, logger *log.Logger) (platform.Process, error) {
		switch role {
		case "edge":
			return edge.New(set, network, logger), nil
		case "store":
			return store.New(ctx, set, network, logger)
		case "gateway":
			return gateway.New(set, network, logger), nil
		case "broker":
			return store.NewWithWorkload(ctx, set, network, logger, broker.NewWorkload)
		default:
			return operator.NewCore(set, network, logger)
		}
	}
}

// newLogger returns a logger to standard error if SALTREEL_TEST_LOG is set, and one
// that discards its output otherwise.
func newLogger(name string) *log.Logger {
	if os.Getenv("SALTREEL_TEST_LOG") != "" {
		return log.New(os.Stderr, name+" ", log.Lmicroseconds)
	}
	return log.New(io.Discard, "", 0)
}

// killMachine crashes a machine: its connections are reset and its process has no
// further effect. The disk keeps its contents: the machine continues on a copy, which
// remaining goroutines of the killed process cannot write to.
func (w *world) killMachine(name string) {
	m := w.machines[name]
	w.processOf(name).kill()
	synctest.Wait()
	w.kills++
	copied := filepath.Join(w.dataPath, fmt.Sprintf("%s.killed-%d", name, w.kills)) // not the name of any machine
	if hasDisk(m.role) {
		if err := os.CopyFS(copied, os.DirFS(m.dataPath)); err != nil {
			w.t.Fatal(err)
		}
		m.dataPath = copied
	}
	w.signal(name, syscall.SIGTERM) // ends its goroutines
}

// terminateMachine stops a process gracefully with SIGTERM, and returns how long
// that took.
func (w *world) terminateMachine(name string) time.Duration {
	began := time.Now()
	w.mu.Lock()
	cancel, done := w.machines[name].cancel, w.machines[name].done
	w.mu.Unlock()
	cancel()
	<-done
	return time.Since(began)
}

// waitFor polls f until it returns true, and fails the test after the limit.
func (w *world) waitFor(limit time.Duration, what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("timed out after %v waiting for: %s", limit, what)
		}
	}
}

// replaceCoreAddress replaces the address of a lost core by that of a new one.
func (w *world) replaceCoreAddress(at int, ip string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreAddresses[at] = ip
}

// processOf returns the current incarnation of a machine's process.
func (w *world) processOf(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name].process
}

// signalsOf returns the signal source of the current incarnation, nil before the
// first one.
func (w *world) signalsOf(name string) *signalSource {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name].signals
}

// signal sends a signal to a machine's process, if it has been started.
func (w *world) signal(name string, s os.Signal) {
	if signals := w.signalsOf(name); signals != nil {
		signals.send(s)
	}
}

// changeSettings changes the contents of the settings files of all machines.
func (w *world) changeSettings() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settingsChanges++
}

// setCoreAddresses sets the cores that the settings of all machines list.
func (w *world) setCoreAddresses(cores []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreAddresses = nil
	for _, m := range cores {
		w.coreAddresses = append(w.coreAddresses, m.ip)
	}
}

// controlAddresses returns the control-plane addresses of the cores, with ports.
func (w *world) controlAddresses() (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ip := range w.coreAddresses {
		out = append(out, ip+":82")
	}
	return out
}

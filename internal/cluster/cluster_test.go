// Package cluster tests whole clusters in one process: the real cores, stores and
// edges run on a simulated network and on the clock of a testing/synctest bubble,
// so that minutes of simulated time take seconds.
//
// A new test calls runCluster, or runCores where no messages are needed, and does
// all in the function that it gives:
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
// Faults are killMachine (a crash), wipeDisk, terminateMachine (in order), and
// those of network: isolate, setBlocked or setPartition, setDelay, setJitter.
// Wait with waitFor and a limit rather than for an exact time. Check what clients,
// handlers and operators see (sendMessage, get, received, status) rather than the
// state of a process. The name of a test states the behaviour that must hold, and
// the test stands in the file of its concern.
//
// The search (search_test.go) runs random schedules of faults against cores and
// checks invariants and linearizability. A violation that it finds becomes a case
// of TestSchedulesFoundBySearch; a new check comes with a planted fault that it
// must find (search_planted_faults_test.go).
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
	machines      map[string]*machine // by name; handlers too, which are only stopped
	dataPath      string
	kills         int // so far, to name the copies of disks
	goroutines    sync.WaitGroup
	revision      int    // of the configuration written last
	lastID        int    // of newID
	hostFailures  int    // that the cluster tolerates
	extraSettings string // lines of the settings of all machines, the last ones
	mu            sync.Mutex

	// Guarded by mu, as is what the machines hold of their processes:
	coreAddresses   []string // IPs
	settingsChanges int

	restoresDefaultSIGHUP bool // SIGHUP gets its default action once SIGTERM has come
}

// machine is one host with one process of ours. Its name, address and disk
// outlive the process.
type machine struct {
	name, role, ip, zone string
	process              *process // the current incarnation
	signals              *signalSource
	cancel               func()        // SIGTERM
	done                 chan struct{} // closed when the process has ended
	dataPath             string
}

var zones = []string{"z1", "z2", "z3"}

// clientIP is the address of operators, clients and handlers' callers.
const clientIP = "10.9.0.1"

// runCluster runs a test on a cluster of one core, store and edge in each of
// three zones, once it has placed its partitions.
func runCluster(t *testing.T, f func(w *world)) {
	t.Helper()
	runClusterWith(t, 1, 1, f)
}

// runClusterWith runs a test on a cluster with so many cores and stores in each
// zone, which tolerates a number of host failures.
func runClusterWith(t *testing.T, hostFailures, perZone int, f func(w *world)) {
	t.Helper()
	runRoles(t, hostFailures, perZone, []string{"core", "store", "edge"}, f)
}

// runRoles is runClusterWith for a cluster with these roles: those of the cores,
// the machines with data and those that clients reach.
func runRoles(t *testing.T, hostFailures, perZone int, roles []string, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runInBubble(t, hostFailures, perZone, roles, f) })
}

// runInBubble is runRoles within a bubble of synctest.
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

// hasDisk tells whether a role keeps data.
func hasDisk(role string) bool { return role != "edge" && role != "gateway" }

// newWorld makes a world without machines. It must be called in a bubble of
// synctest.
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

// addMachine starts one more machine, with an empty disk.
func (w *world) addMachine(name, role, zone, ip string, bootstrap bool) {
	w.t.Helper()
	w.machines[name] = &machine{name: name, role: role, zone: zone, ip: ip, dataPath: filepath.Join(w.dataPath, name)}
	w.startMachine(name, bootstrap)
}

// wipeDisk empties the disk of a machine that was killed.
func (w *world) wipeDisk(name string) {
	w.t.Helper()
	if err := os.RemoveAll(w.machines[name].dataPath); err != nil {
		w.t.Fatal(err)
	}
}

// settingsFile is what the platform writes for a machine.
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

// startMachine starts the process of a machine on the disk that it has.
func (w *world) startMachine(name string, bootstrap bool) {
	w.t.Helper()
	w.start(w.machines[name], bootstrap, func(err error) {
		if err != nil {
			w.t.Logf("%s ended: %v", name, err)
		}
	})
}

// start runs the process of a machine through the lifecycle of the programs.
// ended is called with its error when it has ended.
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
	// The data path of an incarnation stays while it runs.
	running := *m
	lifecycle.ReadSettings = func() ([]byte, error) { return []byte(w.settingsFile(&running, bootstrap)), nil }
	w.goroutines.Go(func() {
		defer close(done)
		ended(lifecycle.Run())
	})
}

// startFuncFor is how the programs start a role.
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

// newLogger logs to standard error where SALTREEL_TEST_LOG is set.
func newLogger(name string) *log.Logger {
	if os.Getenv("SALTREEL_TEST_LOG") != "" {
		return log.New(os.Stderr, name+" ", log.Lmicroseconds)
	}
	return log.New(io.Discard, "", 0)
}

// killMachine crashes a machine: its connections are reset and its process does
// nothing any more. Its disk stays as it was.
func (w *world) killMachine(name string) {
	m := w.machines[name]
	w.processOf(name).kill()
	synctest.Wait()
	w.kills++
	copied := filepath.Join(w.dataPath, fmt.Sprintf("%s.killed-%d", name, w.kills)) // no machine has such a name
	if hasDisk(m.role) {
		if err := os.CopyFS(copied, os.DirFS(m.dataPath)); err != nil {
			w.t.Fatal(err)
		}
		m.dataPath = copied
	}
	w.signal(name, syscall.SIGTERM) // its goroutines end
}

// terminateMachine stops a process in order, as SIGTERM does, and returns how
// long that took.
func (w *world) terminateMachine(name string) time.Duration {
	began := time.Now()
	w.mu.Lock()
	cancel, done := w.machines[name].cancel, w.machines[name].done
	w.mu.Unlock()
	cancel()
	<-done
	return time.Since(began)
}

// waitFor polls until f holds; the test fails if it does not within the limit.
func (w *world) waitFor(limit time.Duration, what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// replaceCoreAddress puts the address of a new core in place of a lost one's.
func (w *world) replaceCoreAddress(at int, ip string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreAddresses[at] = ip
}

// processOf is the current incarnation of a machine's process.
func (w *world) processOf(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name].process
}

// signalsOf is the signals of the current incarnation; nil if there was none yet.
func (w *world) signalsOf(name string) *signalSource {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name].signals
}

// signal gives a machine's process a signal, if it has one.
func (w *world) signal(name string, s os.Signal) {
	if signals := w.signalsOf(name); signals != nil {
		signals.send(s)
	}
}

// changeSettings makes the settings files of all machines others than before.
func (w *world) changeSettings() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settingsChanges++
}

// setCoreAddresses names the cores in the settings of all machines.
func (w *world) setCoreAddresses(cores []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreAddresses = nil
	for _, m := range cores {
		w.coreAddresses = append(w.coreAddresses, m.ip)
	}
}

// controlAddresses returns the addresses of the control plane, with ports.
func (w *world) controlAddresses() (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ip := range w.coreAddresses {
		out = append(out, ip+":82")
	}
	return out
}

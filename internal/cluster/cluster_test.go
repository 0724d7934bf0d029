// Package cluster tests whole clusters in one process, on a simulated network
// and clock.
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
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/controlplane"
	"saltreel/internal/edge"
	"saltreel/internal/httpwire"
	"saltreel/internal/operator"
	"saltreel/internal/platform"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
	"saltreel/internal/store"
)

// world is a cluster with its handlers, operator and clients.
type world struct {
	t             *testing.T
	network       *network
	clientProcess *process // clients and the operator
	client        *rpc.Client
	machines      map[string]*machine
	dataPath      string
	kills         int
	goroutines    sync.WaitGroup
	revision      int
	lastID        int
	hostFailures  int // host-failures
	mu            sync.Mutex
	coreAddresses []string // addresses of cores
}

type machine struct {
	name, role, ip, zone string
	process              *process
	cancel               context.CancelFunc
	done                 chan struct{}
	dataPath             string
}

var zones = []string{"z1", "z2", "z3"}

func runCluster(t *testing.T, f func(w *world)) {
	t.Helper()
	runClusterWith(t, 1, 1, f)
}

// runWide runs a cluster that bears a number of losses, with several cores and
// stores in each zone.
func runClusterWith(t *testing.T, losses, each int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: newNetwork(), machines: map[string]*machine{}, dataPath: t.TempDir(), hostFailures: losses,
			coreAddresses: []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}}
		w.clientProcess = &process{network: w.network, ip: "10.9.0.1"}
		w.client = rpc.NewClient(&httpwire.Pool{Network: w.clientProcess.httpNetwork()})
		for i, z := range zones {
			for j, role := range []string{"core", "store", "edge"} {
				name := role + "-" + z
				w.machines[name] = &machine{name: name, role: role, zone: z, ip: fmt.Sprintf("10.%d.0.%d", i+1, j+1), dataPath: filepath.Join(w.dataPath, name)}
				w.startMachine(name, true)
				for k := 1; k < each && role != "edge"; k++ {
					w.addMachine(fmt.Sprintf("%s%d", name, k), role, z, fmt.Sprintf("10.%d.0.%d", i+1, 10*k+j+1), true)
				}
			}
		}
		defer func() {
			for _, m := range w.machines {
				m.cancel()
			}
			w.goroutines.Wait()
		}()
		w.waitFor(15*time.Second, "the first placement", func() bool {
			s, err := w.status()
			return err == nil && len(s.Placement.Partitions) > 0
		})
		f(w)
	})
}

// add starts one more machine, with an empty disk.
func (w *world) addMachine(name, role, zone, ip string, bootstrap bool) {
	w.t.Helper()
	w.machines[name] = &machine{name: name, role: role, zone: zone, ip: ip, dataPath: filepath.Join(w.dataPath, name)}
	w.startMachine(name, bootstrap)
}

// wipe empties the disk of a machine that was killed.
func (w *world) wipeDisk(name string) {
	w.t.Helper()
	if err := os.RemoveAll(w.machines[name].dataPath); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) machineSettings(m *machine, bootstrap bool) *settings.Settings {
	w.t.Helper()
	text := fmt.Sprintf(`node-name=%s
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
some.field.from.later=1
`, m.name, m.role, m.ip, m.zone, "r-"+m.zone, bootstrap, m.dataPath, strings.Join(w.controlAddresses(), ","), w.hostFailures)
	s, err := settings.Parse(text)
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

func (w *world) startMachine(name string, bootstrap bool) {
	w.t.Helper()
	m := w.machines[name]
	m.process = &process{network: w.network, ip: m.ip}
	set := w.machineSettings(m, bootstrap)
	logger := log.New(io.Discard, "", 0)
	if os.Getenv("SALTREEL_TEST_LOG") != "" {
		logger = log.New(os.Stderr, name+" ", log.Lmicroseconds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	var p platform.Process
	var err error
	switch m.role {
	case "edge":
		p = edge.New(set, m.process.httpNetwork(), logger)
	case "store":
		p, err = store.New(set, m.process.httpNetwork(), logger)
	case "core":
		var c *controlplane.Server
		c, err = controlplane.New(set, m.process.httpNetwork(), logger)
		p = coreProcess{c, set, m.process.httpNetwork(), logger}
	}
	if err != nil {
		w.t.Fatalf("start %s: %v", name, err)
	}
	done := m.done
	w.goroutines.Go(func() {
		defer close(done)
		if err := p.Run(ctx); err != nil {
			logger.Printf("%s ended: %v", name, err)
		}
	})
}

type coreProcess struct {
	server   *controlplane.Server
	settings *settings.Settings
	network  httpwire.Network
	logger   *log.Logger
}

func (c coreProcess) Run(ctx context.Context) error {
	return operator.Serve(ctx, c.server, c.settings, c.network, c.logger)
}

// kill ends a process without a word. Its disk stays as it was.
func (w *world) killMachine(name string) {
	m := w.machines[name]
	m.process.kill()
	synctest.Wait()
	w.kills++
	copied := filepath.Join(w.dataPath, fmt.Sprintf("%s-%d", name, w.kills))
	if m.role != "edge" {
		if err := os.CopyFS(copied, os.DirFS(m.dataPath)); err != nil {
			w.t.Fatal(err)
		}
		m.dataPath = copied
	}
	m.cancel()
}

// terminate asks a process to stop and waits until it has.
func (w *world) terminateMachine(name string) time.Duration {
	began := time.Now()
	w.machines[name].cancel()
	<-w.machines[name].done
	return time.Since(began)
}

func (w *world) waitFor(limit time.Duration, what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// seed names another core in place of one that is gone.
func (w *world) replaceCoreAddress(at int, ip string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreAddresses[at] = ip
}

func (w *world) controlAddresses() (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ip := range w.coreAddresses {
		out = append(out, ip+":82")
	}
	return out
}

package cluster

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// restartDelay is the downtime of a machine in a graceful restart, and of all
	// machines after killAllAtOnce.
	restartDelay = 500 * time.Millisecond
	// recoveryTime is how long a restarted store or core still counts as lost.
	recoveryTime = 4300 * time.Millisecond
	// settleTime is the time without faults between the last step and the end of the
	// traffic.
	settleTime = 6 * time.Second
	// gracePeriod is timers.grace-s of the settings, after which the platform kills
	// a process.
	gracePeriod = 6 * time.Second
)

// maintenance runs one schedule on a cluster with traffic.
type maintenance struct {
	world   *world
	plan    maintenancePlan
	fault   maintenanceFault
	traffic *messageTraffic
	tasks   sync.WaitGroup

	// The cluster tolerates the loss of one store and one core at a time. Channels
	// rather than mutexes: a goroutine blocked on a mutex stops the bubble's clock.
	storeSemaphore         chan struct{}
	coreSemaphore          chan struct{}
	edgeSemaphores         map[string]chan struct{} // by name
	configurationSemaphore chan struct{}            // serializes configuration changes
	killSemaphore          chan struct{}            // serializes kills, each of which waits for the whole bubble (synctest.Wait)

	mu        sync.Mutex
	spares    []string          // names of the machines that can replace a core
	cores     []string          // names of the active cores
	stores    map[string]string // name of the store of each zone
	firstFail *violation
	faulted   []*process // that were hit by a fault
}

// newMaintenance returns a running cluster with one spare core in each zone.
func newMaintenance(t *testing.T, dir string, plan maintenancePlan, fault maintenanceFault) *maintenance {
	m := &maintenance{
		world: newWorld(t, dir, 1, "10.1.0.1", "10.2.0.1", "10.3.0.1"), plan: plan, fault: fault,
		storeSemaphore: make(chan struct{}, 1), coreSemaphore: make(chan struct{}, 1), configurationSemaphore: make(chan struct{}, 1), killSemaphore: make(chan struct{}, 1),
		edgeSemaphores: map[string]chan struct{}{}, stores: map[string]string{},
	}
	w := m.world
	w.restoresDefaultSIGHUP = fault.releasesSIGHUP
	for i, z := range zones {
		spare := "core-spare-" + z
		w.machines[spare] = &machine{name: spare, role: "core", zone: z, ip: fmt.Sprintf("10.%d.0.4", i+1), dataPath: dir + "/" + spare, cancel: func() {}}
		m.spares = append(m.spares, spare)
		replacement := replacementOf(z)
		w.machines[replacement] = &machine{name: replacement, role: "store", zone: z, ip: fmt.Sprintf("10.%d.0.5", i+1), dataPath: dir + "/" + replacement, cancel: func() {}}
		m.stores[z] = "store-" + z
		m.cores = append(m.cores, "core-"+z)
		m.edgeSemaphores["edge-"+z] = make(chan struct{}, 1)
		for j, role := range []string{"core", "store", "edge"} {
			w.addMachine(role+"-"+z, role, z, fmt.Sprintf("10.%d.0.%d", i+1, j+1), true)
		}
	}
	w.waitFor(15*time.Second, "the first placement", func() bool {
		s, err := w.status()
		return err == nil && len(s.Placement.Partitions) > 0
	})
	m.traffic = newMessageTraffic(m)
	w.applyConfiguration(options{})
	if plan.slowLinks {
		w.slowLinks()
	}
	return m
}

// run runs the steps under traffic and then checks the final state.
func (m *maintenance) run() {
	m.plantFaults()
	m.traffic.start()
	for _, s := range m.plan.steps {
		time.Sleep(s.delay)
		m.tasks.Go(func() { m.perform(s) })
	}
	m.tasks.Wait()
	time.Sleep(settleTime)
	m.traffic.stop()
	m.world.restoreLinks() // otherwise the queries take longer than outcomes are retained
	m.traffic.checkFinalState()
	m.traffic.checkPartitions()
}

func (m *maintenance) perform(s maintenanceStep) {
	zone := zones[s.machine]
	switch s.kind {
	case rollEdge:
		m.rollEdge("edge-" + zone)
	case rollStore:
		m.withSemaphore(m.storeSemaphore, func() { m.roll(m.storeIn(zone)) })
	case rollCore:
		m.withSemaphore(m.coreSemaphore, func() { m.roll(m.runningCore(s.machine)) })
	case reload:
		m.reloadAll()
	case changeSettings:
		m.world.changeSettings()
		m.reloadAll()
	case replaceCore:
		m.withSemaphore(m.coreSemaphore, func() { m.replaceCore(s.machine) })
	case replaceCoreDuringRolls:
		m.tasks.Go(func() { m.withSemaphore(m.coreSemaphore, func() { m.replaceCore(s.machine) }) })
		for _, z := range zones {
			m.rollEdge("edge-" + z)
		}
	case changeConfiguration:
		m.withSemaphore(m.configurationSemaphore, func() { m.changeConfiguration(s) })
	default:
		m.injectFault(s, zone)
	}
}

// injectFault injects the fault of a step and returns after it has ended.
func (m *maintenance) injectFault(s maintenanceStep, zone string) {
	switch s.kind {
	case killEdge:
		m.withSemaphore(m.edgeSemaphores["edge-"+zone], func() { m.kill("edge-"+zone, s.duration, false) })
	case killStore:
		m.withSemaphore(m.storeSemaphore, func() { m.kill(m.storeIn(zone), s.duration, false) })
	case wipeStore:
		m.withSemaphore(m.storeSemaphore, func() { m.kill(m.storeIn(zone), s.duration, true) })
	case killCore:
		m.withSemaphore(m.coreSemaphore, func() { m.kill(m.runningCore(s.machine), s.duration, false) })
	case killAllAtOnce:
		m.withSemaphore(m.storeSemaphore, func() { m.withSemaphore(m.coreSemaphore, m.killAll) })
	case wipeAfterAccept:
		m.withSemaphore(m.storeSemaphore, func() { m.kill(m.acceptingPrimary(), s.duration, true) })
	case overlapLosses:
		m.withSemaphore(m.storeSemaphore, func() { m.overlapLosses(s) })
	case replaceStore:
		m.withSemaphore(m.storeSemaphore, func() { m.replaceStore(s) })
	case restartStoreUnseen:
		m.withSemaphore(m.storeSemaphore, func() { m.withSemaphore(m.edgeSemaphores["edge-"+zone], func() { m.restartStoreUnseen(s, zone) }) })
	case resetStoreConnections:
		for name := range m.world.machines {
			m.world.network.reset(m.world.machines[m.storeIn(zone)].ip, m.world.machines[name].ip)
		}
	default:
		m.withSemaphore(m.storeSemaphore, func() { m.partitionStore(s, m.storeIn(zone)) })
	}
}

// partitionStore partitions a store from the peers that the kind of the step selects, for
// the duration of the step.
func (m *maintenance) partitionStore(s maintenanceStep, name string) {
	ip, n := m.world.machines[name].ip, m.world.network
	peers := m.peersOf(s.kind, name)
	switch s.kind {
	case isolateStore:
		n.isolate(ip, true)
		time.Sleep(s.duration)
		n.isolate(ip, false)
	case holdStoreTraffic:
		for _, peer := range peers {
			n.hold(ip, peer)
			n.hold(peer, ip)
		}
		time.Sleep(s.duration)
		for _, peer := range peers {
			n.release(ip, peer)
			n.release(peer, ip)
		}
	default:
		n.setBlocked([]string{ip}, peers, true)
		n.setBlocked(peers, []string{ip}, true)
		time.Sleep(s.duration)
		n.setBlocked([]string{ip}, peers, false)
		n.setBlocked(peers, []string{ip}, false)
	}
	time.Sleep(recoveryTime)
}

// peersOf returns the addresses from which a step of this kind partitions a store.
func (m *maintenance) peersOf(kind maintenanceKind, name string) (peers []string) {
	for _, other := range m.world.machines {
		wanted := kind == holdStoreTraffic || kind == partitionFromCores && other.role == "core" || kind == partitionFromStores && other.role == "store"
		if other.ip != "" && other.name != name && wanted {
			peers = append(peers, other.ip)
		}
	}
	return peers
}

// killAll crashes all stores and cores at the same time, and restarts them with
// their disks after restartDelay.
func (m *maintenance) killAll() {
	var names []string
	for _, z := range zones {
		names = append(names, m.storeIn(z))
	}
	for _, c := range m.coreMachines() {
		names = append(names, c.name)
	}
	for _, name := range names {
		m.recordFaulted(name)
		m.world.processOf(name).kill()
	}
	m.withSemaphore(m.killSemaphore, func() {
		for _, name := range names {
			m.world.killMachine(name)
		}
	})
	time.Sleep(restartDelay)
	for _, name := range names {
		m.world.startMachine(name, false)
	}
	time.Sleep(recoveryTime)
}

// acceptingPrimary waits until a message is accepted and returns the primary of its
// partition.
func (m *maintenance) acceptingPrimary() string {
	before := m.traffic.acceptedCount()
	for m.traffic.acceptedCount() == before && time.Since(m.traffic.startedAt) < time.Hour {
		time.Sleep(time.Millisecond)
	}
	number, _, _ := strings.Cut(m.traffic.lastAccepted().name, ".")
	status, err := m.world.status()
	partition, numberErr := strconv.Atoi(number)
	if err != nil || numberErr != nil || partition >= len(status.Placement.Partitions) {
		return m.storeIn(zones[0])
	}
	return status.Placement.Partitions[partition].Primary
}

func (m *maintenance) recordFaulted(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faulted = append(m.faulted, m.world.processOf(name))
}

func (m *maintenance) withSemaphore(semaphore chan struct{}, do func()) {
	semaphore <- struct{}{}
	defer func() { <-semaphore }()
	do()
}

func (m *maintenance) rollEdge(name string) {
	m.withSemaphore(m.edgeSemaphores[name], func() {
		m.terminate(name)
		time.Sleep(restartDelay)
		m.world.startMachine(name, false)
	})
}

// roll gracefully restarts a store or core.
func (m *maintenance) roll(name string) {
	m.terminate(name)
	time.Sleep(restartDelay)
	m.world.startMachine(name, false)
	time.Sleep(recoveryTime)
}

// terminate stops a process gracefully and checks that this takes no longer than the
// grace period.
func (m *maintenance) terminate(name string) {
	if took := m.world.terminateMachine(name); took > gracePeriod {
		m.fail("grace", "%s took %v to stop gracefully, longer than the grace period", name, took)
	}
}

// kill crashes a machine and restarts it later, with an empty disk if wiped is true.
func (m *maintenance) kill(name string, lasts time.Duration, wiped bool) {
	w := m.world
	m.recordFaulted(name)
	m.withSemaphore(m.killSemaphore, func() { w.killMachine(name) })
	if wiped {
		w.wipeDisk(name)
	}
	time.Sleep(lasts)
	w.startMachine(name, false)
	if w.machines[name].role != "edge" {
		time.Sleep(recoveryTime)
	}
}

// overlapLosses kills a store and within a second wipes the next one, mostly before
// that has received the records of the first. Both restart: one disk is lost, which
// the cluster tolerates.
func (m *maintenance) overlapLosses(s maintenanceStep) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.kill(m.storeIn(zones[s.machine]), s.duration, false) })
	time.Sleep(s.duration / 4)
	tasks.Go(func() { m.kill(m.storeIn(zones[(s.machine+1)%len(zones)]), s.duration, true) })
	tasks.Wait()
	time.Sleep(recoveryTime)
}

// storeIn returns the name of the store of a zone.
func (m *maintenance) storeIn(zone string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stores[zone]
}

// replacementOf returns the name of the machine that can replace the store of a zone.
func replacementOf(zone string) string { return "store-replacement-" + zone }

// replaceStore crashes the stores of the other zones, and while they are down replaces the
// store of a zone by an empty machine at another address. The others restart with their
// disks: one disk is lost, which the cluster tolerates. The machine that was replaced does
// not come back, or only after the others have taken over, with its disk. Each store is
// replaced only once.
func (m *maintenance) replaceStore(s maintenanceStep) {
	zone := zones[s.machine]
	removed, replacement := m.storeIn(zone), replacementOf(zone)
	if removed == replacement {
		return
	}
	var others sync.WaitGroup
	for _, z := range zones {
		if z != zone {
			others.Go(func() { m.kill(m.storeIn(z), s.duration, false) })
		}
	}
	time.Sleep(s.duration / 3)
	m.recordFaulted(removed)
	m.withSemaphore(m.killSemaphore, func() { m.world.killMachine(removed) })
	time.Sleep(s.duration / 3)
	m.world.startMachine(replacement, false)
	m.mu.Lock()
	m.stores[zone] = replacement
	m.mu.Unlock()
	others.Wait()
	time.Sleep(recoveryTime)
	if s.duration.Milliseconds()%2 == 0 {
		m.world.startMachine(removed, false)
		time.Sleep(recoveryTime)
	}
}

// restartStoreUnseen crashes and restarts the store of a zone while the edge there stands
// still: the edge then finds its connections broken, and the restarted store listening.
func (m *maintenance) restartStoreUnseen(s maintenanceStep, zone string) {
	store, edge := m.storeIn(zone), "edge-"+zone
	m.recordFaulted(store)
	m.recordFaulted(edge)
	downtime, afterStart := s.duration/40, s.duration%(8*time.Millisecond)
	m.world.restartStoreWhileEdgeStandsStill(store, edge, downtime, afterStart, func() {
		m.withSemaphore(m.killSemaphore, func() { m.world.killMachine(store) })
	})
	time.Sleep(recoveryTime)
}

// runningCore returns the name of an active core.
func (m *maintenance) runningCore(n int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cores[n%len(m.cores)]
}

// replaceCore starts a spare core, lists it in the settings of all machines, and
// gracefully stops the core that it replaces.
func (m *maintenance) replaceCore(n int) {
	m.mu.Lock()
	if len(m.spares) == 0 {
		m.mu.Unlock()
		return
	}
	spare, old := m.spares[0], m.cores[n%len(m.cores)]
	m.spares = m.spares[1:]
	m.cores = append(slices.DeleteFunc(slices.Clone(m.cores), func(c string) bool { return c == old }), spare)
	m.mu.Unlock()
	w := m.world
	w.startMachine(spare, false)
	time.Sleep(recoveryTime)
	w.setCoreAddresses(m.coreMachines())
	m.reloadAll()
	m.terminate(old)
	m.reloadAll()
	time.Sleep(recoveryTime)
}

func (m *maintenance) coreMachines() (machines []*machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.cores {
		machines = append(machines, m.world.machines[name])
	}
	return machines
}

// reloadAll sends SIGHUP to all processes.
func (m *maintenance) reloadAll() {
	for name := range m.world.machines {
		m.world.signal(name, syscall.SIGHUP)
	}
}

// changeConfiguration writes the next revision of the configuration, with up to 40
// attempts.
func (m *maintenance) changeConfiguration(s maintenanceStep) {
	w := m.world
	revision := w.revision + 1
	raw := w.configuration(revision, options{retentionSeconds: 90 + float64(s.machine)})
	for range 40 {
		if w.operator().PutConfiguration(context.Background(), raw, int64(w.revision)) == nil {
			w.revision = revision
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	m.fail("order", "configuration revision %d was not acknowledged after 40 attempts", revision)
}

// fail records the first violation.
func (m *maintenance) fail(class, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstFail == nil {
		m.firstFail = &violation{class, fmt.Sprintf("at %v: ", time.Since(m.traffic.startedAt)) + fmt.Sprintf(format, args...)}
	}
}

func (m *maintenance) violation() *violation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstFail
}

// wasFaulted reports whether a process was hit by a fault.
func (m *maintenance) wasFaulted(p *process) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.faulted, p)
}

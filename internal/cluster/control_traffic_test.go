package cluster

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

var measureAllSizes = flag.Bool("scale", false, "also measure the traffic of larger clusters; print it with -v")

// controlBudget is the limit for the control traffic of a node in docs/CAPACITY.md, in
// bytes per second.
const controlBudget = 9000

// clusterSize is the size of a measured cluster: machines of the platform, including
// four cores; handlers that send heartbeats; messages per second.
type clusterSize struct{ machines, handlers, messages int }

const measuredCores = 4

// stores returns the number of stores. Machines that are neither cores nor stores are
// edges.
func (s clusterSize) stores() int { return max(3, s.machines/5) }

// traffic counts the calls and bytes, headers included, of one kind that one machine
// sent and received.
type traffic struct{ in, out, bytesIn, bytesOut int }

// trafficCounter counts network traffic by machine and kind.
type trafficCounter struct {
	mu         sync.Mutex
	kindByPipe map[*pipe]string // the kind of the last request in this direction
	byMachine  map[string]map[string]*traffic
}

func (n *trafficCounter) observe(c *conn, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kind, isRequest := requestKind(c, b)
	if isRequest {
		n.kindByPipe[c.out] = kind
	} else {
		kind = cmp.Or(n.kindByPipe[c.in], "earlier request")
	}
	from, to := n.trafficOfLocked(c.owner.ip, kind), n.trafficOfLocked(c.peer.ip, kind)
	if isRequest {
		from.out++
		to.in++
	}
	from.bytesOut += len(b)
	to.bytesIn += len(b)
}

func (n *trafficCounter) trafficOfLocked(ip, kind string) *traffic {
	if n.byMachine[ip] == nil {
		n.byMachine[ip] = map[string]*traffic{}
	}
	if n.byMachine[ip][kind] == nil {
		n.byMachine[ip][kind] = &traffic{}
	}
	return n.byMachine[ip][kind]
}

// requestKind returns the kind of a request, or false if the bytes are a response.
func requestKind(c *conn, b []byte) (kind string, isRequest bool) {
	requestLine, _, _ := bytes.Cut(b, []byte("\r\n"))
	method, rest, ok := strings.Cut(string(requestLine), " ")
	if !ok || !slices.Contains([]string{"GET", "POST", "PUT", "DELETE"}, method) {
		return "", false
	}
	path, _, _ := strings.Cut(rest, " ")
	switch {
	case strings.HasPrefix(path, "/v1/instances/"):
		return "heartbeats", true
	case strings.HasPrefix(path, "/v1/"):
		return "operator", true
	case !strings.HasPrefix(path, "/plain/"):
		return path, true
	case c.owner.ip == clientIP:
		return "messages", true
	}
	return "deliveries", true
}

// isMessageTraffic reports whether a kind is message traffic rather than control
// traffic. Partition leases are carried by /copy and are counted there.
func isMessageTraffic(kind string) bool {
	return slices.Contains([]string{"messages", "deliveries", "/accept", "/copy", "/grant", "/status", "/digest", "/fetch"}, kind)
}

// roleTraffic is the measured traffic of the machines of one role.
type roleTraffic struct {
	busiest  map[string]*traffic // the machine with the most bytes, by kind
	mean     map[string]float64  // sum of bytes in both directions, by kind
	conns    int                 // highest number of open connections of one machine
	machines int
}

// processorTime returns the user and system CPU time used by this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureTraffic runs a cluster without faults for the given duration and returns its
// traffic by role and the CPU time used, which includes handlers, clients and the
// simulated network.
func measureTraffic(t *testing.T, s clusterSize, duration time.Duration) (byRole map[string]*roleTraffic, spent time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t.TempDir(), 1, "10.1.0.1", "10.2.0.1", "10.3.0.1")
		defer w.stopSizedCluster()
		roleOf := w.startSizedCluster(s)
		w.waitFor(20*time.Second, "the first placement", func() bool {
			st, err := w.status()
			return err == nil && len(st.Placement.Stores) == s.stores() && len(st.View.Members) == measuredCores
		})
		w.applyConfiguration(options{})
		w.startHandlers(s.handlers)
		time.Sleep(10 * time.Second)
		n := &trafficCounter{kindByPipe: map[*pipe]string{}, byMachine: map[string]map[string]*traffic{}}
		w.network.setObserver(n.observe)
		end, began := time.Now().Add(duration), processorTime()
		w.sendMessagesUntil(end, s.messages)
		time.Sleep(time.Until(end))
		spent = processorTime() - began
		n.mu.Lock()
		defer n.mu.Unlock()
		w.network.setObserver(nil)
		byRole = n.byRoleLocked(roleOf, w.network.openConnections())
	})
	return byRole, spent
}

// startSizedCluster starts the cores, stores and edges of a cluster of the given size and
// returns their roles by IP.
func (w *world) startSizedCluster(s clusterSize) (roleOf map[string]string) {
	roleOf = map[string]string{}
	for i := range s.machines {
		role, z := "edge", i%3
		switch {
		case i < measuredCores:
			role = "core"
		case i < measuredCores+s.stores():
			role, z = "store", (i-measuredCores)%3
		}
		name, ip := fmt.Sprintf("%s-%s", role, zones[z]), fmt.Sprintf("10.%d.0.%d", z+1, 1+i/3)
		if w.machines[name] != nil {
			name += fmt.Sprintf("-%d", i)
		}
		if i >= 3 {
			ip = fmt.Sprintf("10.%d.%d.%d", z+1, 1+i/250, 1+i%250)
		}
		roleOf[ip] = role
		w.addMachine(name, role, zones[z], ip, true)
	}
	return roleOf
}

// stopSizedCluster stops the handlers and then the machines: a handler reports a heartbeat
// that a stopping core refuses as a failure.
func (w *world) stopSizedCluster() {
	if h := w.machines["handlers"]; h != nil {
		h.cancel()
		synctest.Wait()
	}
	w.stopAll()
}

// sendMessagesUntil sends messages at the given rate until end, or none if the rate is 0.
func (w *world) sendMessagesUntil(end time.Time, perSecond int) {
	for i := 0; perSecond > 0 && time.Now().Before(end); i++ {
		zone, id := zones[i%3], fmt.Sprintf("m%d", i)
		w.goroutines.Go(func() {
			if a := w.sendMessage(zone, "/plain/x", id); a.Status != 202 {
				w.t.Errorf("message %s: status %d, want 202", id, a.Status)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// setObserver sets a function that is called with all data that is sent and not lost.
func (n *network) setObserver(observe func(c *conn, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = observe
}

// openConnections returns the number of open connections by IP.
func (n *network) openConnections() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := map[string]int{}
	for c := range n.conns {
		open[c.owner.ip]++
	}
	return open
}

// byRoleLocked aggregates the traffic of the machines of each role.
func (n *trafficCounter) byRoleLocked(roleOf map[string]string, open map[string]int) map[string]*roleTraffic {
	byRole := map[string]*roleTraffic{}
	for ip, role := range roleOf {
		r := byRole[role]
		if r == nil {
			r = &roleTraffic{mean: map[string]float64{}}
			byRole[role] = r
		}
		if totalBytes(n.byMachine[ip], true) > totalBytes(r.busiest, true) {
			r.busiest = n.byMachine[ip]
		}
		r.conns = max(r.conns, open[ip])
		r.machines++
		for kind, c := range n.byMachine[ip] {
			r.mean[kind] += float64(c.bytesIn + c.bytesOut)
		}
	}
	return byRole
}

// totalBytes returns the bytes of all kinds, or only those of control traffic.
func totalBytes(kinds map[string]*traffic, all bool) (sum int) {
	for kind, c := range kinds {
		if all || !isMessageTraffic(kind) {
			sum += c.bytesIn + c.bytesOut
		}
	}
	return sum
}

// startHandlers starts n handlers that accept deliveries. They are assigned to the
// cores round-robin, and each sends its heartbeats to its core.
func (w *world) startHandlers(n int) {
	s := &service{world: w, name: "plain", instances: map[string]*instance{}}
	var controls []string
	for _, m := range w.machines {
		if m.role == "core" {
			controls = append(controls, m.ip+":82")
		}
	}
	slices.Sort(controls)
	ctx, cancel := context.WithCancel(context.Background())
	w.machines["handlers"] = &machine{cancel: cancel}
	for i := range n {
		ip := fmt.Sprintf("10.40.%d.%d", i/250, 1+i%250)
		in := &instance{id: fmt.Sprintf("plain-%06d", i), address: ip + ":90", zone: zones[i%3], state: "ready", process: &process{network: w.network, ip: ip}}
		l, err := in.process.listen(in.address)
		if err != nil {
			w.t.Fatal(err)
		}
		server := &httpwire.Server{Handle: func(_ context.Context, r *httpwire.Request) *httpwire.Response { return s.serve(in, r) }}
		w.goroutines.Go(func() { _ = server.Serve(ctx, l) })
		firstAfter := time.Duration(i) * 1200 * time.Millisecond / time.Duration(n)
		w.goroutines.Go(func() { w.sendHeartbeats(ctx, in, controls[i%len(controls)], firstAfter) })
	}
}

// sendHeartbeats sends one heartbeat of a handler every keepalive-ms until ctx is done.
func (w *world) sendHeartbeats(ctx context.Context, in *instance, core string, firstAfter time.Duration) {
	pool := &httpwire.Pool{Network: in.process.httpNetwork()}
	interval := time.NewTimer(firstAfter)
	for seq := 1; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		}
		interval.Reset(1200 * time.Millisecond)
		body := fmt.Sprintf(`{"service":"plain","address":%q,"zone":%q,"revision":"v1","slots":2,"oper-state":"ready","call-seq":%d}`, in.address, in.zone, seq)
		callCtx, stop := context.WithTimeout(context.Background(), time.Second)
		a, err := pool.Do(callCtx, core, &httpwire.Call{Method: "PUT", Target: "/v1/instances/" + in.id, Host: core, Body: []byte(body)})
		stop()
		if (err != nil || a.Status != 200) && ctx.Err() == nil {
			w.t.Errorf("heartbeat %d of %s: %v %v", seq, in.id, a, err)
		}
	}
}

// The control traffic of every node other than a core stays within controlBudget in a
// small cluster. With -scale, larger clusters are measured and checked too.
func TestControlTrafficPerNode(t *testing.T) {
	const duration = 12 * time.Second
	for _, s := range []clusterSize{
		{10, 10, 0}, {10, 100, 0}, {30, 100, 0}, {90, 100, 0}, {270, 300, 0}, // varying machines
		{30, 10, 0}, {30, 1000, 0}, // varying handlers
		{30, 100, 100}, {30, 100, 300}, // varying message rate
	} {
		if s != (clusterSize{10, 10, 0}) && !*measureAllSizes {
			continue
		}
		perSecond := func(n int) float64 { return float64(n) / duration.Seconds() }
		roles, spent := measureTraffic(t, s, duration)
		t.Logf("%+v: %.2f ms of CPU time per second in total", s, perSecond(int(spent.Microseconds()))/1000)
		for role, r := range roles {
			if got := perSecond(totalBytes(r.busiest, false)); role != "core" && got > controlBudget {
				t.Errorf("%+v: control traffic of the busiest %s is %.0f B/s, the budget is %d", s, role, got, controlBudget)
			}
			t.Logf("%+v: busiest of %d %ss: %.0f B/s, control %.0f B/s; %d connections", s, r.machines, role,
				perSecond(totalBytes(r.busiest, true)), perSecond(totalBytes(r.busiest, false)), r.conns)
			for _, kind := range slices.Sorted(maps.Keys(r.busiest)) {
				c := r.busiest[kind]
				t.Logf("    %-14s in %7.1f/s %9.0f B/s   out %7.1f/s %9.0f B/s   mean machine %9.0f B/s", kind, perSecond(c.in), perSecond(c.bytesIn), perSecond(c.out), perSecond(c.bytesOut),
					r.mean[kind]/float64(r.machines)/duration.Seconds())
			}
		}
	}
}

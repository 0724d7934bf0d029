package cluster

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/rpc"

	"saltreel/internal/httpwire"
)

var runScaled = flag.Bool("scale", false, "count calls and bytes of clusters of several sizes, and print them")

// plan is what docs/CAPACITY.md allows a node for control, in bytes a second.
const controlBudget = 9000

// size is one cluster to count: machines of ours, four of them cores; handlers
// that beat; messages a second.
type clusterSize struct{ machines, handlers, messages int }

// tallied is the traffic of one kind at one machine, with headers.
type traffic struct{ in, out, bytesIn, bytesOut int }

// counter counts what goes over the network, by machine and kind.
type trafficCounter struct {
	mu         sync.Mutex
	kindByPipe map[*pipe]string // what was last asked in this direction
	byMachine  map[string]map[string]*traffic
}

func (n *trafficCounter) observe(c *conn, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kind, asked := requestKind(c, b)
	if asked {
		n.kindByPipe[c.out] = kind
	} else {
		kind = cmp.Or(n.kindByPipe[c.in], "asked before")
	}
	from, to := n.trafficOfLocked(c.owner.ip, kind), n.trafficOfLocked(c.peer.ip, kind)
	if asked {
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

// kindOf names the kind of a request; what is no request is an answer.
func requestKind(c *conn, b []byte) (string, bool) {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	method, rest, ok := strings.Cut(string(line), " ")
	if !ok || !slices.Contains([]string{"GET", "POST", "PUT", "DELETE"}, method) {
		return "", false
	}
	path, _, _ := strings.Cut(rest, " ")
	switch {
	case strings.HasPrefix(path, "/v1/instances/"):
		return "handler beats", true
	case strings.HasPrefix(path, "/v1/"):
		return "operator", true
	case !strings.HasPrefix(path, "/plain/"):
		return path, true
	case c.owner.ip == clientIP:
		return "messages", true
	}
	return "deliveries", true
}

// ofMessages tells whether a kind belongs to messages rather than to control.
// The leases of partitions travel with /copy and count there.
func isMessageTraffic(kind string) bool {
	return slices.Contains([]string{"messages", "deliveries", "/accept", "/copy", "/grant", "/status", "/digest", "/fetch"}, kind)
}

const clientIP = "10.9.0.1"

// result is what was tallied for one role.
type roleTraffic struct {
	busiest  map[string]*traffic // the machine with the most bytes, by kind
	mean     map[string]float64  // bytes both ways of a machine, by kind
	conns    int                 // the most that a machine had open
	machines int
}

// processor is the processor time of this process so far, with the kernel's part.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// count runs a cluster in calm for a while and counts, by role; it also tells
// the processor time of all together, handlers, clients and the simulated
// network with them.
func measureTraffic(t *testing.T, s clusterSize, during time.Duration) (out map[string]*roleTraffic, spent time.Duration) {
	t.Helper()
	out = map[string]*roleTraffic{}
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: newNetwork(), machines: map[string]*machine{}, dataPath: t.TempDir(), hostFailures: 1, coreAddresses: []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}}
		w.clientProcess = &process{network: w.network, ip: clientIP}
		w.client = rpc.NewClient(&httpwire.Pool{Network: w.clientProcess.httpNetwork()})
		defer func() {
			if h := w.machines["handlers"]; h != nil { // before the cores, which would refuse their beats
				h.cancel()
				synctest.Wait()
			}
			for _, m := range w.machines {
				m.cancel()
			}
			w.goroutines.Wait()
		}()
		cores, stores := 4, max(3, s.machines/5)
		roles := map[string]string{} // by IP
		for i := range s.machines {
			role, z := "edge", i%3
			switch {
			case i < cores:
				role = "core"
			case i < cores+stores:
				role, z = "store", (i-cores)%3
			}
			name, ip := fmt.Sprintf("%s-%s", role, zones[z]), fmt.Sprintf("10.%d.0.%d", z+1, 1+i/3)
			if w.machines[name] != nil {
				name += fmt.Sprintf("-%d", i)
			}
			if i >= 3 {
				ip = fmt.Sprintf("10.%d.%d.%d", z+1, 1+i/250, 1+i%250)
			}
			w.machines[name] = &machine{name: name, role: role, zone: zones[z], ip: ip, dataPath: filepath.Join(w.dataPath, name)}
			roles[ip] = role
			w.startMachine(name, true)
		}
		w.waitFor(20*time.Second, "the first placement", func() bool {
			st, err := w.status()
			return err == nil && len(st.Placement.Stores) == stores && len(st.View.Members) == cores
		})
		w.applyConfiguration(options{})
		w.startHandlers(s.handlers)
		time.Sleep(10 * time.Second)
		n := &trafficCounter{kindByPipe: map[*pipe]string{}, byMachine: map[string]map[string]*traffic{}}
		w.network.mu.Lock()
		w.network.observe = n.observe
		w.network.mu.Unlock()
		end, began := time.Now().Add(during), processorTime()
		for i := 0; s.messages > 0 && time.Now().Before(end); i++ {
			zone, id := zones[i%3], fmt.Sprintf("m%d", i)
			w.goroutines.Go(func() {
				if a := w.sendMessage(zone, "/plain/x", id); a.Status != 202 {
					t.Errorf("message %s: %d", id, a.Status)
				}
			})
			time.Sleep(time.Second / time.Duration(s.messages))
		}
		time.Sleep(time.Until(end))
		spent = processorTime() - began
		n.mu.Lock()
		defer n.mu.Unlock()
		w.network.mu.Lock()
		w.network.observe = nil
		open := map[string]int{}
		for c := range w.network.conns {
			open[c.owner.ip]++
		}
		w.network.mu.Unlock()
		for ip, role := range roles {
			r := out[role]
			if r == nil {
				r = &roleTraffic{mean: map[string]float64{}}
				out[role] = r
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
	})
	return out, spent
}

// sumOf is the bytes of all kinds, or of those that are not of messages.
func totalBytes(kinds map[string]*traffic, all bool) (sum int) {
	for kind, c := range kinds {
		if all || !isMessageTraffic(kind) {
			sum += c.bytesIn + c.bytesOut
		}
	}
	return sum
}

// beats runs handlers that beat to the cores in turn and take what they are sent.
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
		pool, core := &httpwire.Pool{Network: in.process.httpNetwork()}, controls[i%len(controls)]
		w.goroutines.Go(func() {
			pause := time.NewTimer(time.Duration(i) * 1200 * time.Millisecond / time.Duration(n))
			for seq := 1; ; seq++ {
				select {
				case <-ctx.Done():
					return
				case <-pause.C:
				}
				pause.Reset(1200 * time.Millisecond)
				body := fmt.Sprintf(`{"service":"plain","address":%q,"zone":%q,"revision":"v1","slots":2,"oper-state":"ready","call-seq":%d}`, in.address, in.zone, seq)
				cctx, stop := context.WithTimeout(context.Background(), time.Second)
				a, err := pool.Do(cctx, core, &httpwire.Call{Method: "PUT", Target: "/v1/instances/" + in.id, Host: core, Body: []byte(body)})
				stop()
				if (err != nil || a.Status != 200) && ctx.Err() == nil {
					w.t.Errorf("beat %d of %s: %v %v", seq, in.id, a, err)
				}
			}
		})
	}
}

// What control costs a node that is no core stays within the plan at a small
// size; with -scale the traffic of larger ones is tallied and printed.
func TestControlTrafficPerNode(t *testing.T) {
	const during = 12 * time.Second
	for _, s := range []clusterSize{
		{10, 10, 0}, {10, 100, 0}, {30, 100, 0}, {90, 100, 0}, {270, 300, 0}, // by machines
		{30, 10, 0}, {30, 1000, 0}, // by handlers
		{30, 100, 100}, {30, 100, 300}, // by messages
	} {
		if s != (clusterSize{10, 10, 0}) && !*runScaled {
			continue
		}
		per := func(n int) float64 { return float64(n) / during.Seconds() }
		roles, spent := measureTraffic(t, s, during)
		t.Logf("%+v: %.2f ms of processor time a second, all together", s, per(int(spent.Microseconds()))/1000)
		for role, r := range roles {
			if got := per(totalBytes(r.busiest, false)); role != "core" && got > controlBudget {
				t.Errorf("%+v: control takes %.0f B/s at the busiest %s, the plan is %d", s, got, role, controlBudget)
			}
			t.Logf("%+v: busiest of %d %ss: %.0f B/s, control %.0f B/s; %d connections", s, r.machines, role,
				per(totalBytes(r.busiest, true)), per(totalBytes(r.busiest, false)), r.conns)
			for _, kind := range slices.Sorted(maps.Keys(r.busiest)) {
				c := r.busiest[kind]
				t.Logf("    %-14s in %7.1f/s %9.0f B/s   out %7.1f/s %9.0f B/s   mean machine %9.0f B/s", kind, per(c.in), per(c.bytesIn), per(c.out), per(c.bytesOut),
					r.mean[kind]/float64(r.machines)/during.Seconds())
			}
		}
	}
}

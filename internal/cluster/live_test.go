package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// runLive runs a test on a cluster with one core, broker and gateway in each of three
// zones and with the space "live." configured.
func runLive(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runLiveInBubble(t, f) })
}

func runLiveInBubble(t *testing.T, f func(w *world)) {
	t.Helper()
	runInBubble(t, 1, 1, []string{"core", "broker", "gateway"}, func(w *world) {
		w.applySpaces("live.")
		f(w)
	})
}

// applySpaces applies a configuration with one stored space per prefix.
func (w *world) applySpaces(prefixes ...string) {
	w.t.Helper()
	old := w.revision
	w.revision++
	routes := ""
	for i, prefix := range prefixes {
		if i > 0 {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r-%s","host-match":"","path-prefix":%[1]q,"route-type":"stored","timeout-ms":1500,"retention-s":60,"in-order":"topic"}`, prefix)
	}
	raw := fmt.Appendf(nil, `{"revision":%d,"route-table":[%s],"service-table":[],"limits":{"subscriptions":20},"tenant-table":[{"name":"one","api-keys":["key-one"],"rate-per-s":1000,"burst-size":1000}]}`, w.revision, routes)
	if err := w.operator().PutConfiguration(context.Background(), raw, int64(old)); err != nil {
		w.t.Fatalf("configuration %d: %v", w.revision, err)
	}
	time.Sleep(time.Second)
}

// liveTraffic is a set of clients that each subscribe to all topics and publish on them
// in turn until stopped.
type liveTraffic struct {
	w              *world
	topics         []string
	clients        []*liveClient
	stopPublishing context.CancelFunc // stops publishing
	disconnect     context.CancelFunc // stops the clients
	publishers     sync.WaitGroup
}

// startLiveTraffic starts clients at each gateway. Each publishes a message, waits for
// its acknowledgement and pauses for the given interval.
func (w *world) startLiveTraffic(clientsPerZone int, every time.Duration) *liveTraffic {
	w.t.Helper()
	connected, end := context.WithCancel(context.Background())
	publishing, stop := context.WithCancel(connected)
	traffic := &liveTraffic{w: w, topics: []string{"live.a", "live.b", "live.c", "live.d"}, stopPublishing: stop, disconnect: end}
	for _, z := range zones {
		for i := range clientsPerZone {
			c := w.newLiveClient(connected, fmt.Sprintf("%s-%d", z, i), z, traffic.topics...)
			traffic.clients = append(traffic.clients, c)
		}
	}
	w.waitFor(10*time.Second, "all subscriptions", func() bool {
		for _, c := range traffic.clients {
			if !c.allSubscribed() {
				return false
			}
		}
		return true
	})
	for i, c := range traffic.clients {
		traffic.publishers.Go(func() {
			for n := i; publishing.Err() == nil; n++ {
				c.publish(traffic.topics[n%len(traffic.topics)])
				time.Sleep(every)
			}
		})
	}
	return traffic
}

// finish stops publishing, waits for outstanding deliveries and returns the violations.
func (l *liveTraffic) finish() []string {
	l.stopPublishing()
	l.publishers.Wait()
	problems := l.w.waitForDeliveries(l.clients, 8*time.Second)
	l.disconnect()
	return problems
}

// acknowledged returns the number of acknowledged messages.
func (l *liveTraffic) acknowledged() int {
	total := 0
	for _, c := range l.clients {
		c.mu.Lock()
		for _, m := range c.published {
			if !m.acknowledged.IsZero() {
				total++
			}
		}
		c.mu.Unlock()
	}
	return total
}

// verify fails the test if a delivery rule was violated or too few messages were
// acknowledged.
func (l *liveTraffic) verify(t *testing.T, minimum int) {
	t.Helper()
	for i, problem := range l.finish() {
		if i == 10 {
			t.Fatal("further problems omitted")
		}
		t.Error(problem)
	}
	if n := l.acknowledged(); n < minimum {
		t.Errorf("%d messages were acknowledged, want at least %d", n, minimum)
	}
}

func TestSubscribersGetEachMessageOnceAndInOneOrder(t *testing.T) {
	runLive(t, func(w *world) {
		traffic := w.startLiveTraffic(2, 50*time.Millisecond)
		time.Sleep(5 * time.Second)
		if n := traffic.clients[0].count("live.a"); n != 6 {
			t.Errorf("counted %d subscribers, want 6", n)
		}
		traffic.verify(t, 300)
	})
}

// Each fault occurs during traffic and is over some seconds before the traffic ends.
func TestTopicsSurviveFaults(t *testing.T) {
	for name, injectFault := range map[string]func(w *world){
		"a broker crashes and comes back": func(w *world) {
			w.killMachine("broker-z1")
			time.Sleep(3 * time.Second)
			w.startMachine("broker-z1", false)
		},
		"a broker crashes and comes back at once": func(w *world) {
			w.killMachine("broker-z1")
			w.startMachine("broker-z1", false)
		},
		"a broker loses its disk": func(w *world) {
			w.killMachine("broker-z2")
			w.wipeDisk("broker-z2")
			time.Sleep(time.Second)
			w.startMachine("broker-z2", false)
		},
		"all brokers crash at once": func(w *world) {
			for _, z := range zones {
				w.killMachine("broker-" + z)
			}
			for _, z := range zones {
				w.startMachine("broker-"+z, false)
			}
		},
		"brokers are rolled": func(w *world) {
			for _, z := range zones {
				w.terminateMachine("broker-" + z)
				w.startMachine("broker-"+z, false)
				time.Sleep(3 * time.Second)
			}
		},
		"a broker is cut off": func(w *world) {
			w.network.isolate(w.machines["broker-z3"].ip, true)
			time.Sleep(4 * time.Second)
			w.network.isolate(w.machines["broker-z3"].ip, false)
		},
		"a broker is cut off from the other brokers one way": func(w *world) {
			w.setPartition([]string{w.machines["broker-z1"].ip}, []string{w.machines["broker-z2"].ip, w.machines["broker-z3"].ip}, outgoing, true)
			time.Sleep(4 * time.Second)
			w.setPartition([]string{w.machines["broker-z1"].ip}, []string{w.machines["broker-z2"].ip, w.machines["broker-z3"].ip}, outgoing, false)
		},
		"a gateway crashes": func(w *world) {
			w.killMachine("gateway-z1")
			time.Sleep(2 * time.Second)
			w.startMachine("gateway-z1", false)
		},
		"gateways are rolled": func(w *world) {
			for _, z := range zones {
				w.terminateMachine("gateway-" + z)
				w.startMachine("gateway-"+z, false)
				time.Sleep(time.Second)
			}
		},
		"a gateway is cut off from the brokers": func(w *world) {
			brokers := []string{w.machines["broker-z1"].ip, w.machines["broker-z2"].ip, w.machines["broker-z3"].ip}
			w.setPartition([]string{w.machines["gateway-z2"].ip}, brokers, bothDirections, true)
			time.Sleep(3 * time.Second)
			w.setPartition([]string{w.machines["gateway-z2"].ip}, brokers, bothDirections, false)
		},
		"connections are reset": func(w *world) {
			for range 3 {
				for _, z := range zones {
					w.network.reset(clientIP, w.machines["gateway-"+z].ip)
					w.network.reset(w.machines["gateway-"+z].ip, w.machines["broker-z1"].ip)
				}
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runLive(t, func(w *world) {
				traffic := w.startLiveTraffic(2, 50*time.Millisecond)
				time.Sleep(2 * time.Second)
				injectFault(w)
				time.Sleep(4 * time.Second)
				traffic.verify(t, 200)
			})
		})
	}
}

package processtest

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Cluster numbers; each selects the loopback subnet of one test.
const (
	clusterRunning = iota + 1
	clusterDraining
	clusterInFlight
	clusterStarting
	clusterStderr
	clusterLargest
	clusterSoak
	clusterCrowds // and the following ones, one for each listener
)

func TestSignalsWhileRunning(t *testing.T) {
	c := newCluster(t, clusterRunning)
	core, store, edge := c.startAll()
	for _, p := range []*process{core, store, edge} {
		for range 3 {
			p.signal(syscall.SIGHUP)
		}
		p.waitForLog("platform: settings read again")
		p.requireRunning()
	}
	before := strings.Count(edge.log.String(), "settings read again")
	c.writeSettings("edge", "some.later.field=1")
	c.waitUntil("a changed settings file is applied without a signal", func() bool {
		return strings.Count(edge.log.String(), "settings read again") > before
	})
	c.writeSettings("edge", "timers.contact-ms=soon")
	edge.signal(syscall.SIGHUP)
	edge.waitForLog("platform: the new settings are not applied")
	if got := c.send("after", waitTimeout); got != http.StatusAccepted {
		t.Errorf("message after the signals: status %d, want %d", got, http.StatusAccepted)
	}
}

// Neither SIGHUP nor a second SIGTERM may cut short a drain. A core or edge without requests in
// flight has nothing to drain and may exit before the next signal arrives, so the test keeps a
// request open on each. A store drains for long enough on its own, because no other store can
// take over its partitions.
func TestSignalsWhileDraining(t *testing.T) {
	c := newCluster(t, clusterDraining)
	core, store, edge := c.startAll()
	for _, p := range []*process{edge, store, core} {
		release := func() {}
		if port, ok := map[string]int{"edge": 8749, "core": 8741}[p.role]; ok {
			release = c.openRequest(p.role, port)
		}
		p.signal(syscall.SIGTERM)
		p.waitForLog("platform: stopping")
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGTERM)
		p.signal(os.Interrupt)
		p.waitForLog("platform: the settings are not read again")
		p.waitForLog("platform: stopping already")
		release()
		p.waitForExit()
		if !strings.Contains(p.log.String(), p.role+": ended") {
			t.Errorf("%s did not shut down cleanly:\n%s", p.role, p.log)
		}
	}
}

// stalledBodyBytes is the size of a body that is larger than any other call to the store,
// so that its requests can be told apart by the length of the receive queue.
const stalledBodyBytes = 16 << 10

// Every request that the edge has read gets a response, regardless of signals during
// the drain, even if the store does not respond.
func TestRequestsInFlightAreAnsweredWhileDraining(t *testing.T) {
	c := newCluster(t, clusterInFlight)
	_, store, edge := c.startAll()
	store.suspend()
	defer store.signal(syscall.SIGCONT)
	const requests = 8
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			statuses <- c.sendBody(fmt.Sprint("stalled-", i), strings.Repeat("x", stalledBodyBytes), 2*gracePeriod)
		}()
	}
	c.waitUntil("the edge has forwarded all requests", func() bool { return c.unreadRequests("store", stalledBodyBytes) == requests })
	edge.signal(syscall.SIGTERM)
	edge.waitForLog("edge: stopping")
	edge.signal(syscall.SIGHUP)
	edge.signal(syscall.SIGTERM)
	for range requests {
		if got := <-statuses; got != http.StatusGatewayTimeout && got != http.StatusServiceUnavailable {
			t.Errorf("request in flight: status %d, want %d or %d", got, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
		}
	}
	edge.waitForExit()
	if !strings.Contains(edge.log.String(), "edge: ended") {
		t.Errorf("the edge did not shut down cleanly:\n%s", edge.log)
	}
}

// A process whose disk is not available at startup waits for it. Settings changed
// meanwhile are applied once it has started; SIGTERM terminates it without waiting
// for the disk.
func TestSignalsWhileStarting(t *testing.T) {
	c := newCluster(t, clusterStarting)
	for role, file := range map[string]string{"store": "store.db", "core": "core.db"} {
		release := blockFile(t, c.dataPath(role)+"/"+file)
		p := c.start(role, nil)
		p.waitForLog("waiting for the disk")
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGTERM)
		p.waitForExit()
		p = c.start(role, nil)
		p.waitForLog("waiting for the disk")
		p.signal(syscall.SIGHUP)
		c.writeSettings(role, "some.later.field=1")
		release()
		p.waitForLog(map[string]string{"store": "store: started", "core": "core: the state is open"}[role])
		p.waitForLog("platform: settings read again")
		p.signal(syscall.SIGTERM)
		p.waitForExit()
	}
}

// Guards against termination by SIGPIPE: a process keeps running after the reader of
// its standard error has closed the pipe.
func TestProcessSurvivesClosedStandardError(t *testing.T) {
	c := newCluster(t, clusterStderr)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c.start("core", nil).waitForLog("core: started")
	c.start("store", nil)
	edge := c.start("edge", writer)
	_ = writer.Close()
	c.waitUntil("the configuration is accepted", c.putConfiguration)
	c.waitUntil("the edge is ready", c.isReady)
	_ = reader.Close()
	for range 3 {
		edge.signal(syscall.SIGHUP) // writes a log line to the closed pipe
	}
	c.writeSettings("edge", "some.later.field=1")
	c.waitUntil("a message is accepted", func() bool { return c.send("after", time.Second) == http.StatusAccepted })
	edge.requireRunning()
	edge.signal(syscall.SIGTERM)
	edge.waitForExit()
}

// unreadRequests counts the connections to the internal address of a role whose
// receive queue holds at least size bytes.
func (c *cluster) unreadRequests(role string, size uint64) (count int) {
	c.t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		c.t.Fatal(err)
	}
	var a, b, d int
	if _, err := fmt.Sscanf(c.networkPrefix, "%d.%d.%d", &a, &b, &d); err != nil {
		c.t.Fatal(err)
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", roleAddresses[role], d, b, a, 7100)
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line) // slot, local, remote, state, transmit:receive queue, ...
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if unread, err := strconv.ParseUint(queue, 16, 64); err == nil && unread >= size {
			count++
		}
	}
	return count
}

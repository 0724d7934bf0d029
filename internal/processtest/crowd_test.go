package processtest

import (
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// runCrowds enables the tests with many clients. They are run on their own, since other load on
// the machine makes a smaller crowd of theirs.
var runCrowds = flag.Bool("crowd", false, "run the tests with many clients that do not behave")

// Size of a crowd. Together, the clients of one that sends or asks for data send or ask for
// several times the memory of the process; those of one that only opens connections open more
// than the process has descriptors.
const (
	crowdBytes       = 4 * limitedMemoryMB << 20
	crowdConnections = 2 * limitedDescriptors
	// crowdAttempts is how often each client connects if its connection is closed.
	crowdAttempts = 2
	// crowdStallTimeout is how long a client waits for a process that accepts no data.
	crowdStallTimeout = 3 * time.Second
)

// crowd is a number of clients that send the same data, never read a response, and keep their
// connections open.
type crowd struct {
	name    string
	local   string // address of the clients; empty: that of the other processes
	clients int
	// send writes the data of one client. An error means that the process closed the connection
	// or accepts no more data.
	send func(conn net.Conn, client int) error
}

// run opens the connections of a crowd and sends its data, and returns once no client can send
// any more. The connections stay open until end is called.
func (c *crowd) run(address string) (end func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var clients sync.WaitGroup
	dialer := net.Dialer{Timeout: crowdStallTimeout}
	if c.local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.local)}
	}
	for i := range c.clients {
		clients.Go(func() {
			for range crowdAttempts {
				conn, err := dialer.Dial("tcp", address)
				if err != nil {
					continue
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				if c.send(&progressConn{conn}, i) == nil {
					return
				}
			}
		})
	}
	clients.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// progressConn bounds how long each write may wait.
type progressConn struct{ net.Conn }

func (c *progressConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(crowdStallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// crowdTarget is a listener of a process.
type crowdTarget struct {
	role, listener string
	port           int
	// answers reports whether the process answers one ordinary request at the listener.
	answers func(c *cluster) bool
	crowds  func(c *cluster) []crowd
}

const (
	portClients   = 8749
	portReadiness = 8747
	portControl   = 8741
	portInternal  = 7100
	portSink      = 9090
)

// Sizes of request bodies in bytes.
const (
	clientBodyBytes = 256 << 10 // max-body-bytes of the configuration
	// configurationBytes is nearly the largest configuration that a core accepts.
	configurationBytes = 3900 << 10
)

var crowdTargets = []crowdTarget{
	{"edge", "clients", portClients, edgeAnswers, func(c *cluster) []crowd {
		return append(
			requestCrowds("POST /x", "Saltreel-Key: example-key\r\nSaltreel-Attempt-Id: crowd\r\n", clientBodyBytes),
			completeRequests("POST /x", "Saltreel-Key: example-key\r\nSaltreel-Attempt-Id: complete\r\n", strings.Repeat("x", clientBodyBytes)),
			unreadResponses("GET /v1/message-body/"+c.acceptedMessage(), "Saltreel-Key: example-key\r\n", "", clientBodyBytes))
	}},
	{"edge", "readiness", portReadiness, (*cluster).isReady, func(*cluster) []crowd {
		return append(requestCrowds("GET /v1/readiness", "", 1), unreadResponses("GET /v1/readiness", "", "", 200))
	}},
	{"edge", "internal", portInternal, internalAnswers("edge", "/news"), internalCrowds},
	{"store", "internal", portInternal, internalAnswers("store", "/ping"), internalCrowds},
	{"core", "control", portControl, coreAnswers, func(c *cluster) []crowd {
		return append(
			requestCrowds("PUT /v1/configuration", "If-Match: 1\r\n", configurationBytes),
			completeRequests("PUT /v1/configuration", "If-Match: 0\r\n", padded(c.configuration, configurationBytes)),
			unreadResponses("GET /v1/configuration", "", "", len(c.configuration)))
	}},
	{"core", "internal", portInternal, internalAnswers("core", "/ping"), internalCrowds},
	{"sink", "deliveries", portSink, sinkAnswers, func(*cluster) []crowd {
		return append(requestCrowds("POST /x", "Saltreel-Attempt-Id: crowd\r\n", clientBodyBytes),
			completeRequests("POST /x", "Saltreel-Attempt-Id: crowd\r\n", strings.Repeat("x", clientBodyBytes)),
			unreadResponses("GET /health", "", "", 200))
	}},
	{"gateway", "clients", portClients, gatewayAnswers, realtimeCrowds},
	{"gateway", "readiness", portReadiness, (*cluster).isGatewayReady, func(*cluster) []crowd {
		return append(requestCrowds("GET /v1/readiness", "", 1), unreadResponses("GET /v1/readiness", "", "", 200))
	}},
	{"gateway", "internal", portInternal, internalAnswers("gateway", "/news"), internalCrowds},
	{"broker", "internal", portInternal, internalAnswers("broker", "/ping"), internalCrowds},
}

// No client, however many there are and whatever they send, may end a process, exhaust the
// memory or the descriptors of its machine, or keep it from answering others.
func TestCrowd(t *testing.T) {
	if !*runCrowds {
		t.Skip("needs the flag -crowd")
	}
	for i, target := range crowdTargets {
		t.Run(target.role+"-"+target.listener, func(t *testing.T) {
			c := newCluster(t, clusterCrowds+i)
			c.settings = limitedSettings()
			process := c.startWith(target.role)
			for _, crowd := range target.crowds(c) {
				t.Run(crowd.name, func(t *testing.T) { c.checkCrowd(t, process, &target, &crowd) })
			}
		})
	}
}

func (c *cluster) checkCrowd(t *testing.T, p *process, target *crowdTarget, crowd *crowd) {
	address := c.address(target.role, target.port)
	c.waitUntil("the process answers before the crowd", func() bool { return target.answers(c) })
	monitor := monitorResources(p, c.ip(target.role))
	end := crowd.run(address)
	defer end()
	c.checkAnswers(t, p, "an ordinary request", target.answers)
	c.checkAnswers(t, p, "a request that needs calls between the processes", (*cluster).answers)
	monitor.check(t)
}

// checkAnswers checks that a request is answered, if need be after several attempts.
func (c *cluster) checkAnswers(t *testing.T, p *process, what string, answers func(c *cluster) bool) {
	t.Helper()
	for limit := time.Now().Add(waitTimeout); !answers(c); time.Sleep(pollInterval) {
		if p.checkRunning(t); time.Now().After(limit) {
			t.Errorf("%s was not answered for %v beside the crowd", what, waitTimeout)
			return
		}
	}
}

// answers reports whether the cluster does what it is for: it stores a message.
func (c *cluster) answers() bool {
	switch c.configuration {
	case liveConfigurationJSON:
		return gatewayAnswers(c)
	case "": // a sink alone
		return sinkAnswers(c)
	}
	return edgeAnswers(c)
}

func sinkAnswers(c *cluster) bool {
	return isOK(httpClient(time.Second).Get("http://" + c.address("sink", portSink) + "/health"))
}

// startWith starts a cluster that has a process of the given role, and returns that process.
func (c *cluster) startWith(role string) *process {
	c.t.Helper()
	switch role {
	case "gateway", "broker":
		return c.startLive()[role]
	case "sink":
		c.configuration = ""
		return startProcess(c.t, "sink", "", nil, c.address("sink", portSink))
	}
	c.configuration = largeConfiguration()
	core, store, edge := c.startAll()
	return map[string]*process{"core": core, "store": store, "edge": edge}[role]
}

// largeConfiguration returns configurationJSON with many more routes.
func largeConfiguration() string {
	const routes = 2000
	head, tail, _ := strings.Cut(configurationJSON, `"route-table":[`)
	var text strings.Builder
	text.WriteString(head + `"route-table":[`)
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%[1]d","host-match":"host-%[1]d.example","path-prefix":"/","route-type":"deferred","timeout-ms":1000,"target-latency-ms":200,"priority":1,"service":"greeter","max-attempts":4,"retention-s":90,"start-target-ms":800,"public-access":false},`+"\n", i)
	}
	text.WriteString(tail)
	return text.String()
}

// acceptedMessage returns the name of a message with the largest body.
func (c *cluster) acceptedMessage() (name string) {
	c.t.Helper()
	c.waitUntil("a large message is accepted", func() bool {
		name = c.sendNamed("large", strings.Repeat("x", clientBodyBytes), time.Second)
		return name != ""
	})
	return name
}

// edgeAnswers reports whether the edge accepts a new message.
func edgeAnswers(c *cluster) bool {
	return c.send(fmt.Sprint("ordinary-", time.Now().UnixNano()), time.Second) == 202
}

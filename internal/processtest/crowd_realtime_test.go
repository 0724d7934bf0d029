package processtest

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const liveConfigurationJSON = `{"revision":1,
"route-table":[{"name":"news","host-match":"","path-prefix":"news.","route-type":"stored","timeout-ms":1500,"target-latency-ms":500,"priority":1,"retention-s":20,"in-order":"topic","public-access":false}],
"service-table":[],"limits":{"subscriptions":20},
"tenant-table":[{"name":"example","api-keys":["example-key"],"priority":1}]}`

// startLive starts a core, a broker and a gateway, and waits until the gateway serves clients.
func (c *cluster) startLive() map[string]*process {
	c.t.Helper()
	c.configuration = liveConfigurationJSON
	c.settings = append(c.settings, "deployment=live", "policy-sections=base,tenants",
		"timers.ping-interval-s=2", "timers.reconnect-s=2", "timers.retransmit-s=10", "timers.presence-ms=5000")
	processes := map[string]*process{}
	for _, role := range []string{"core", "broker", "gateway"} {
		processes[role] = c.start(role, nil)
	}
	processes["core"].waitForLog("core: started")
	c.waitUntil("the configuration is accepted", c.putConfiguration)
	c.waitUntil("the gateway serves a client", func() bool { return gatewayAnswers(c) })
	return processes
}

func (c *cluster) isGatewayReady() bool {
	return isOK(httpClient(time.Second).Get("http://" + c.address("gateway", portReadiness) + "/v1/readiness"))
}

// gatewayAnswers reports whether one ordinary client can join, subscribe, publish and read its
// own message.
func gatewayAnswers(c *cluster) bool {
	conn, err := net.DialTimeout("tcp", c.address("gateway", portClients), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // a failure shows in the read
	name := fmt.Sprint("ordinary-", time.Now().UnixNano())
	lines := bufio.NewScanner(conn)
	if _, err := fmt.Fprintf(conn, "HELLO %s example-key\r\n", name); err != nil || !scanTo(lines, "OK HELLO") {
		return false
	}
	topic := "news." + name
	if _, err := fmt.Fprintf(conn, "SUBSCRIBE %s\r\n", topic); err != nil || !scanTo(lines, "OK SUBSCRIBE") {
		return false
	}
	if _, err := fmt.Fprintf(conn, "PUBLISH %s 1 20\r\n%s\r\n", topic, strings.Repeat("x", 20)); err != nil {
		return false
	}
	return scanTo(lines, "DELIVER "+topic)
}

func scanTo(lines *bufio.Scanner, prefix string) bool {
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), prefix) {
			return true
		}
	}
	return false
}

// Sizes in the crowds of realtime clients.
const (
	realtimeBodyBytes   = 16 << 10
	realtimeTopicBytes  = 3000
	realtimeLineBytes   = 4000
	commandsPerClient   = 400
	countsPerClient     = 4000
	publishesPerClient  = 100
	realtimeSubscribers = 20 // subscriptions of one client, by the configuration
)

// realtimeCrowds returns the crowds of realtime clients.
func realtimeCrowds(*cluster) []crowd {
	clients := 2 * limitedDescriptors
	body := strings.Repeat("x", realtimeBodyBytes)
	longTopic := "news." + strings.Repeat("t", realtimeTopicBytes)
	return []crowd{
		{name: "idle", clients: crowdConnections, send: func(net.Conn, int) error { return nil }},
		{name: "lines", clients: clients, send: sendText("", func(int, int) string { return strings.Repeat("x", realtimeLineBytes) }, 1)},
		{name: "bodies", clients: clients, send: sendText("hello", func(client, _ int) string {
			return fmt.Sprintf("PUBLISH news.%d 1 %d\r\n%s", client, realtimeBodyBytes, body[1:])
		}, 1)},
		{name: "publishes", clients: clients, send: sendText("hello", func(client, n int) string {
			return fmt.Sprintf("PUBLISH news.%d.%d 1 %d\r\n%s\r\n", client, n, realtimeBodyBytes, body)
		}, publishesPerClient)},
		{name: "counts", clients: clients, send: sendText("hello", func(client, n int) string {
			return fmt.Sprintf("SUBCOUNT news.%d.%d\r\n", client, n)
		}, countsPerClient)},
		{name: "pings", clients: clients, send: sendText("hello", func(int, int) string {
			return strings.Repeat("PING\r\n", 1000)
		}, commandsPerClient)},
		{name: "topics", clients: clients, send: sendText("hello", func(client, n int) string {
			topic := fmt.Sprintf("%s.%d.%d", longTopic, client, n)
			return fmt.Sprintf("SUBSCRIBE %[1]s\r\nUNSUB %[1]s\r\n", topic)
		}, commandsPerClient)},
		{name: "unread-deliveries", clients: clients, send: sendText("hello", func(client, n int) string {
			topic := fmt.Sprintf("news.unread.%d.%d", client, n%realtimeSubscribers)
			if n < realtimeSubscribers {
				return fmt.Sprintf("SUBSCRIBE %s\r\n", topic)
			}
			return fmt.Sprintf("PUBLISH %s %d %d\r\n%s\r\n", topic, n, realtimeBodyBytes, body)
		}, publishesPerClient)},
	}
}

// sendText returns a function that joins as a client, unless name is empty, and sends a number of
// texts without reading any response.
func sendText(name string, text func(client, n int) string, count int) func(net.Conn, int) error {
	return func(conn net.Conn, client int) error {
		if name != "" {
			if _, err := fmt.Fprintf(conn, "HELLO %s-%d example-key\r\n", name, client); err != nil {
				return err
			}
		}
		for n := range count {
			if _, err := conn.Write([]byte(text(client, n))); err != nil {
				return err
			}
		}
		return nil
	}
}

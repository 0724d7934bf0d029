package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// liveMessage is a message as seen by its publisher.
type liveMessage struct {
	topic, publisher string
	number           int64
	body             string
	firstSent        time.Time
	acknowledged     time.Time // zero if not acknowledged
	onlyRetry        bool      // every attempt was answered RETRY
}

// liveDelivery is a message as received by a subscriber.
type liveDelivery struct {
	publisher string
	number    int64
	body      string
}

// liveSubscription is what a client received on a topic since its first OK SUBSCRIBE.
type liveSubscription struct {
	firstSubscribed time.Time // time of the first OK; zero before
	lastSubscribed  time.Time // time of the latest OK
	ended           time.Time // when the gateway ended the subscription; zero before
	cursor          string
	deliveries      []liveDelivery
}

// liveClient is a realtime client that reconnects when it loses its connection.
type liveClient struct {
	w       *world
	name    string
	secret  string
	process *process

	mu            sync.Mutex
	conn          net.Conn // nil while disconnected
	address       string   // of the gateway to connect to
	redirected    int      // number of REDIRECT lines received
	connections   int
	subscriptions map[string]*liveSubscription
	published     []*liveMessage
	answers       map[int64]chan string // by message number
	counts        map[string]chan int
	number        int64
	problems      []string // protocol violations seen
}

// newLiveClient starts a client that first connects to the gateway of a zone. It
// stops when ctx is done.
func (w *world) newLiveClient(ctx context.Context, name, zone string, topics ...string) *liveClient {
	c := &liveClient{
		w: w, name: name, secret: "key-one", process: &process{network: w.network, ip: clientIP},
		address:       w.machines["gateway-"+zone].ip + ":80",
		subscriptions: map[string]*liveSubscription{}, answers: map[int64]chan string{}, counts: map[string]chan int{},
	}
	for _, topic := range topics {
		c.subscriptions[topic] = &liveSubscription{}
	}
	w.goroutines.Go(func() { c.run(ctx) })
	return c
}

func (c *liveClient) reportProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, c.name+": "+fmt.Sprintf(format, args...))
}

// run reconnects until ctx is done.
func (c *liveClient) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		c.mu.Lock()
		address := c.address
		c.mu.Unlock()
		dialing, cancel := context.WithTimeout(ctx, time.Second)
		conn, err := c.process.dial(dialing, address)
		cancel()
		if err != nil {
			c.switchGateway(address)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		c.serve(conn)
		stop()
		_ = conn.Close()
	}
}

// switchGateway makes the client try the gateway of the next zone, unless its address
// has already changed from the given one.
func (c *liveClient) switchGateway(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != from {
		return
	}
	for i, z := range zones {
		if c.w.machines["gateway-"+z].ip+":80" == from {
			c.address = c.w.machines["gateway-"+zones[(i+1)%len(zones)]].ip + ":80"
			return
		}
	}
	c.address = c.w.machines["gateway-z1"].ip + ":80"
}

// serve handles one connection until it ends.
func (c *liveClient) serve(conn net.Conn) {
	address := c.address
	reader := bufio.NewReader(conn)
	line := c.exchange(conn, reader, "HELLO "+c.name+" "+c.secret+"\r\n")
	if line != "OK HELLO" {
		c.switchGateway(address)
		return
	}
	c.mu.Lock()
	c.conn = conn
	c.connections++
	asked := map[string]bool{}
	for topic, s := range c.subscriptions {
		if s.ended.IsZero() {
			asked[topic] = true
			c.writeLocked(strings.TrimSuffix("SUBSCRIBE "+topic+" "+s.cursor, " ") + "\r\n")
		}
	}
	c.mu.Unlock()
	done := make(chan struct{})
	go c.ping(conn, done)
	for c.read(reader, conn) {
	}
	close(done)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
}

// exchange sends a line and returns the response line, or "" if none arrives in time.
func (c *liveClient) exchange(conn net.Conn, reader *bufio.Reader, line string) string {
	if _, err := io.WriteString(conn, line); err != nil {
		return ""
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, err := reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(answer, "\r\n")
}

// ping sends a PING every second until done is closed.
func (c *liveClient) ping(conn net.Conn, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		c.mu.Lock()
		if c.conn == conn {
			c.writeLocked("PING\r\n")
		}
		c.mu.Unlock()
	}
}

func (c *liveClient) writeLocked(line string) {
	if c.conn != nil {
		_, _ = io.WriteString(c.conn, line)
	}
}

// read handles one message from the gateway and reports whether to keep the
// connection. Like a real client, it gives up after five seconds without a message.
func (c *liveClient) read(reader *bufio.Reader, conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := reader.ReadString('\n')
	if err != nil {
		return false
	}
	fields := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
	switch {
	case fields[0] == "PONG" || fields[0] == "OK" && fields[1] == "UNSUB":
	case fields[0] == "OK" && fields[1] == "SUBSCRIBE" && len(fields) == 4:
		c.handleSubscribed(fields[2], fields[3])
	case fields[0] == "DELIVER" && len(fields) == 6:
		return c.handleDelivery(reader, fields)
	case fields[0] == "ACK" && len(fields) == 3:
		c.handlePublishResponse(fields[2], "ACK")
	case fields[0] == "COUNT" && len(fields) == 3:
		c.handleCount(fields[1], fields[2])
	case fields[0] == "REJECT" && len(fields) == 5:
		c.handleReject(fields)
	case fields[0] == "REDIRECT" && len(fields) == 2:
		c.mu.Lock()
		c.address = fields[1]
		c.redirected++
		c.mu.Unlock()
		return false
	default:
		c.reportProblem("unexpected line %q", line)
	}
	return true
}

func (c *liveClient) handleSubscribed(topic, cursor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscriptions[topic]
	if s == nil {
		c.problems = append(c.problems, c.name+": OK SUBSCRIBE for a topic that was not requested: "+topic)
		return
	}
	if s.firstSubscribed.IsZero() {
		s.firstSubscribed = time.Now()
	}
	s.lastSubscribed = time.Now()
	s.cursor = cursor
}

func (c *liveClient) handleDelivery(reader *bufio.Reader, fields []string) bool {
	number, _ := strconv.ParseInt(fields[4], 10, 64)
	size, _ := strconv.Atoi(fields[5])
	body := make([]byte, size+2)
	if _, err := io.ReadFull(reader, body); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscriptions[fields[1]]
	if s == nil || s.firstSubscribed.IsZero() || !s.ended.IsZero() {
		c.problems = append(c.problems, fmt.Sprintf("%s: %q without an active subscription", c.name, fields))
		return true
	}
	s.cursor = fields[2]
	s.deliveries = append(s.deliveries, liveDelivery{fields[3], number, string(body[:size])})
	return true
}

func (c *liveClient) handleReject(fields []string) {
	switch fields[1] {
	case "PUBLISH":
		c.handlePublishResponse(fields[3], fields[4])
	case "SUBSCRIBE":
		c.mu.Lock()
		defer c.mu.Unlock()
		s := c.subscriptions[fields[2]]
		if fields[4] == "NOSPACE" || fields[4] == "UNAUTH" {
			s.ended = time.Now()
			return
		}
		c.problems = append(c.problems, fmt.Sprintf("%s: %q with cursor %q", c.name, fields, s.cursor))
	case "SUBCOUNT":
		c.handleCount(fields[2], "-1")
	}
}

func (c *liveClient) handlePublishResponse(number, answer string) {
	n, _ := strconv.ParseInt(number, 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.answers[n] <- answer: // a late response has no waiter
	default:
	}
}

func (c *liveClient) handleCount(topic, count string) {
	n, _ := strconv.Atoi(count)
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.counts[topic] <- n:
	default:
	}
}

// publish publishes a message until it is acknowledged or the deadline passes, as
// clients do: after UNKNOWN or a time-out it repeats the same number, after RETRY it
// uses a new one.
func (c *liveClient) publish(topic string) {
	deadline := time.Now().Add(8 * time.Second)
	for time.Now().Before(deadline) {
		m := c.newMessage(topic)
		if answer := c.publishUntilConclusive(m, deadline); answer != "RETRY" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *liveClient) newMessage(topic string) *liveMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	m := &liveMessage{
		topic: topic, publisher: c.name, number: c.number, firstSent: time.Now(), onlyRetry: true,
		body: fmt.Sprintf("message %d of %s to %s", c.number, c.name, topic),
	}
	c.published = append(c.published, m)
	return m
}

// publishUntilConclusive sends one message until the response is ACK or RETRY or the
// deadline passes. It returns the last response.
func (c *liveClient) publishUntilConclusive(m *liveMessage, deadline time.Time) string {
	for {
		answer := c.publishOnce(m)
		c.mu.Lock()
		if answer == "ACK" {
			m.acknowledged = time.Now()
		}
		m.onlyRetry = m.onlyRetry && answer == "RETRY"
		c.mu.Unlock()
		if answer == "ACK" || answer == "RETRY" || time.Now().After(deadline) {
			return answer
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// publishOnce sends a message once and returns the response, or "" if there was none.
func (c *liveClient) publishOnce(m *liveMessage) string {
	answer := make(chan string, 1)
	c.mu.Lock()
	c.answers[m.number] = answer
	c.writeLocked(fmt.Sprintf("PUBLISH %s %d %d\r\n%s\r\n", m.topic, m.number, len(m.body), m.body))
	conn := c.conn
	c.mu.Unlock()
	select {
	case a := <-answer:
		return a
	case <-time.After(1500 * time.Millisecond):
		if conn != nil {
			_ = conn.Close() // as a real client does after a time-out
		}
		return ""
	}
}

// count returns the number of subscribers of a topic, or -1 without a response.
func (c *liveClient) count(topic string) int {
	answer := make(chan int, 1)
	c.mu.Lock()
	c.counts[topic] = answer
	c.writeLocked("SUBCOUNT " + topic + "\r\n")
	c.mu.Unlock()
	select {
	case n := <-answer:
		return n
	case <-time.After(2 * time.Second):
		return -1
	}
}

// allSubscribed reports whether every subscription was confirmed at least once.
func (c *liveClient) allSubscribed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscriptions {
		if s.firstSubscribed.IsZero() {
			return false
		}
	}
	return true
}

// snapshot returns a copy of the state of a subscription.
func (c *liveClient) snapshot(topic string) liveSubscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.subscriptions[topic]
	s.deliveries = slices.Clone(s.deliveries)
	return s
}

package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/linewire"
	"saltreel/internal/quota"
	"saltreel/internal/timeutil"
)

// clientConn is the connection of a client.
type clientConn struct {
	gateway *Gateway
	conn    net.Conn
	reader  *bufio.Reader
	outbox  *outbox
	account *budget.Account
	body    *budget.Account // of the message that is being read; nil if there is none

	clientName string // empty before HELLO
	secret     string

	lastReceived     atomic.Int64  // monotonic time of the last command, in ns
	pendingPublishes atomic.Int64  // publications not answered yet
	closed           chan struct{} // closed when the connection ends, to resume throttled reads

	mu            sync.Mutex
	subscriptions map[string]*subscription // by topic
	ended         bool
}

// Memory that a client takes besides the data that is queued for it.
const (
	// connectionBytes is what a connection takes: its buffers, and the stacks of its
	// goroutines.
	connectionBytes = 16 << 10
	// subscriptionBytes is what a subscription takes besides the name of its topic.
	subscriptionBytes = 512
	// receiveBuffer is the receive buffer of a connection, in bytes.
	receiveBuffer = 16 << 10
)

// newClientConn returns the state of a new connection, or nil if there is no memory or no
// descriptor for it.
func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	account := g.budgets.Clients.Open(connectionBytes, func() { _ = conn.Close() })
	if account == nil {
		return nil
	}
	c := &clientConn{
		gateway: g, conn: conn, reader: bufio.NewReader(conn), account: account,
		closed: make(chan struct{}), subscriptions: map[string]*subscription{},
	}
	c.outbox = newOutbox(func() { g.hub.resumeBacklogs(c.currentSubscriptions()) })
	c.outbox.account = account
	c.outbox.onExhausted = func() { _ = conn.Close() } // the client comes back with its cursors
	httpwire.SetReceiveBuffer(conn, receiveBuffer)
	account.SetEvictable()
	return c
}

// serve serves the client until its connection ends, and closes it.
func (c *clientConn) serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	var writing sync.WaitGroup
	writing.Go(func() {
		c.outbox.run(c.conn, c.gateway.timing.writeTimeout())
		_ = c.conn.Close() // unblocks the reader
	})
	for c.serveNext(ctx) {
	}
	c.closeSubscriptions()
	c.outbox.close()
	writing.Wait()
	_ = c.conn.Close()
	c.account.Close()
}

// serveNext reads and handles one command. It reports whether to continue.
func (c *clientConn) serveNext(ctx context.Context) (more bool) {
	if c.conn.SetReadDeadline(time.Now().Add(c.gateway.timing.idleTimeout())) != nil {
		return false
	}
	command, err := linewire.ReadCommandIf(c.reader, c.admitBody)
	defer c.releaseBody()
	c.lastReceived.Store(int64(c.gateway.uptime()))
	if c.outbox.isEmpty() { // whoever sends but does not read makes no progress
		c.account.Touch()
	}
	var protocolErr *linewire.ProtocolError
	switch {
	case errors.As(err, &protocolErr):
		c.gateway.logProtocolError(c, protocolErr)
		if protocolErr.Verb != "" {
			c.send(linewire.AppendReject(nil, protocolErr.Verb, protocolErr.Topic, protocolErr.Number, protocolErr.Reason))
		}
		return !protocolErr.Fatal
	case err != nil:
		return false
	}
	return c.handle(ctx, command)
}

// publicationBytes is what a message that is not stored yet takes besides its body.
const publicationBytes = 4 << 10

// admitBody reserves the memory for a message before it is read. A message whose sender
// stalls is given up in favor of others.
func (c *clientConn) admitBody(size int) bool {
	c.body = c.gateway.budgets.Publications.Open(size+publicationBytes, func() { _ = c.conn.Close() })
	if c.body == nil {
		return false
	}
	c.body.SetEvictable()
	return true
}

// releaseBody returns the memory of a message that was not passed on.
func (c *clientConn) releaseBody() {
	c.body.Close()
	c.body = nil
}

// takeBody returns the account of the message that was read, which whoever processes the
// message closes. It returns false if the message was given up.
func (c *clientConn) takeBody() (body *budget.Account, ok bool) {
	body, c.body = c.body, nil
	return body, body.Pin()
}

// handle handles one command. It reports whether to continue.
func (c *clientConn) handle(ctx context.Context, command *linewire.Command) (more bool) {
	if command.Verb == linewire.Ping {
		c.send(linewire.AppendPong(nil))
		return true
	}
	if command.Verb == linewire.Hello {
		return c.handleHello(ctx, command)
	}
	if c.clientName == "" {
		c.sendReject(command, linewire.Malformed) // HELLO is required first
		return false
	}
	table := c.gateway.node.Table()
	space, reason := authorize(table, command.Topic, c.secret, c.gateway.settings.HasTenants())
	if reason != "" && command.Verb != linewire.Unsubscribe {
		c.sendReject(command, reason)
		return true
	}
	switch command.Verb {
	case linewire.Subscribe:
		c.handleSubscribe(command, table)
	case linewire.Unsubscribe:
		c.handleUnsubscribe(command)
	case linewire.Publish:
		c.handlePublish(ctx, command, table, space)
	case linewire.Count:
		c.handleCount(ctx, command)
	}
	return true
}

func (c *clientConn) sendReject(command *linewire.Command, reason linewire.Reason) {
	c.send(linewire.AppendReject(nil, command.Verb, command.Topic, command.Number, reason))
}

// handleHello identifies and authenticates the client.
func (c *clientConn) handleHello(ctx context.Context, command *linewire.Command) (more bool) {
	g := c.gateway
	switch {
	case c.clientName != "":
		c.sendReject(command, linewire.Malformed)
		return false
	case g.stopping.Load() || !g.node.WaitForPlacement(ctx, g.timing.placementTimeout()) || !g.knowsBrokers():
		c.sendReject(command, linewire.Retry)
		return false
	case g.settings.HasTenants() && command.Secret != "" && g.node.Table().TenantByKey(command.Secret) == nil:
		c.sendReject(command, linewire.Unauth)
		return true
	}
	c.clientName, c.secret = command.Client, command.Secret
	g.clients.register(c)
	c.send(linewire.AppendHelloOK(nil))
	return true
}

func (c *clientConn) handleSubscribe(command *linewire.Command, table *configuration.Table) {
	s := &subscription{client: c, topic: command.Topic}
	if command.Cursor != "" {
		cursor, ok := parseCursor(command.Cursor)
		if !ok { // never issued by a gateway, so not expired
			c.sendReject(command, linewire.Malformed)
			return
		}
		s.resumes, s.cursor = true, cursor
	}
	if !c.account.Reserve(subscriptionCost(s.topic)) {
		c.sendReject(command, linewire.Retry)
		return
	}
	former, ok := c.addSubscription(s, int(table.Limits.GetSubscriptions()))
	if !ok || former != nil {
		c.account.Release(subscriptionCost(s.topic))
	}
	if !ok {
		c.sendReject(command, linewire.Retry)
		return
	}
	if former != nil {
		c.gateway.hub.unsubscribe(former)
	}
	if !c.gateway.hub.subscribe(s) {
		c.reject(s, linewire.Retry)
		return
	}
	// A configuration applied in the meantime did not cover this subscription.
	c.gateway.reauthorize(s, c.secret)
}

func subscriptionCost(topic string) int { return subscriptionBytes + len(topic) }

// addSubscription adds a subscription and returns the former one of the topic. It returns
// false if the limit is reached or the connection has ended; a limit of 0 means no limit.
func (c *clientConn) addSubscription(s *subscription, limit int) (former *subscription, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former = c.subscriptions[s.topic]
	if c.ended || former == nil && limit > 0 && len(c.subscriptions) >= limit {
		return nil, false
	}
	c.subscriptions[s.topic] = s
	return former, true
}

func (c *clientConn) handleUnsubscribe(command *linewire.Command) {
	c.mu.Lock()
	s := c.subscriptions[command.Topic]
	delete(c.subscriptions, command.Topic)
	c.mu.Unlock()
	if s != nil {
		c.account.Release(subscriptionCost(s.topic))
		c.gateway.hub.unsubscribe(s)
	}
	c.send(linewire.AppendUnsubscribeOK(nil, command.Topic))
}

// handlePublish publishes a message. If the tenant is over its rate limit, the message is
// refused unless its number may have been accepted before. If another quota is exceeded, reads
// from the connection are paused for the throttle time.
func (c *clientConn) handlePublish(ctx context.Context, command *linewire.Command, table *configuration.Table, space *configuration.Route) {
	received := time.Now()
	g := c.gateway
	account, ok := c.takeBody()
	if !ok {
		return // the connection is closed
	}
	m := &publication{
		account:     account,
		number:      command.Number,
		body:        command.Body,
		retentionMs: int64(space.RetentionS * 1000),
		deadline:    received.Add(g.timing.publishDeadline(time.Duration(space.TimeoutMs) * time.Millisecond)),
	}
	var throttle time.Duration
	if tenant := table.TenantByKey(c.secret); tenant != nil {
		m.tenant = tenant.Name
		throttle = g.checkRate(ctx, tenant, space.Name, m.deadline)
	}
	c.pendingPublishes.Add(1)
	m.respond = func(frame []byte) {
		c.send(frame)
		c.pendingPublishes.Add(-1)
	}
	if throttle > 0 {
		g.publishers.refuse(publisherTopic{c.clientName, command.Topic}, m)
	} else {
		g.publishers.add(publisherTopic{c.clientName, command.Topic}, m)
	}
	c.throttleReads(g.quotas.RecordRequest(c.quotaTenant(m.tenant), space.Name, len(command.Body), time.Since(received), throttle))
}

// quotaTenant returns the name under which the quotas of this node account for the client:
// that of its tenant, or its own in spaces with public access.
func (c *clientConn) quotaTenant(tenant string) string {
	if tenant != "" {
		return tenant
	}
	return "client " + c.clientName
}

// throttleReads pauses reads from the connection for the throttle time x of a quota, but no
// longer than the client tolerates an unanswered PING.
func (c *clientConn) throttleReads(x time.Duration, by *quota.Manager) {
	if x <= 0 {
		return
	}
	if !c.account.Reserve(receiveBuffer) {
		_ = c.conn.Close()
		return
	}
	defer c.account.Release(receiveBuffer)
	timer := time.NewTimer(c.gateway.timing.maxReadThrottle())
	defer timer.Stop()
	select {
	case <-by.Throttle(x):
	case <-timer.C:
	case <-c.closed:
	}
}

// handleCount returns the number of subscribers of a topic, without blocking later commands of
// the client.
func (c *clientConn) handleCount(ctx context.Context, command *linewire.Command) {
	g := c.gateway
	select {
	case g.counts <- struct{}{}:
	default:
		c.sendReject(command, linewire.Retry)
		return
	}
	g.caller.tasks.Go(func() {
		defer func() { <-g.counts }()
		ctx, cancel := context.WithTimeout(ctx, g.timing.countTimeout())
		defer cancel()
		for ctx.Err() == nil {
			if n, err := g.countSubscribers(ctx, command.Topic); err == nil {
				c.send(linewire.AppendCount(nil, command.Topic, n))
				return
			}
			timeutil.Sleep(ctx, g.timing.retryDelay())
		}
		c.sendReject(command, linewire.Retry)
	})
}

// send implements subscriber. A client that keeps sending requests without reading the
// responses is disconnected.
func (c *clientConn) send(frame []byte) {
	if !c.outbox.add(frame) {
		_ = c.conn.Close()
	}
}

// deliver implements subscriber.
func (c *clientConn) deliver(m *message, backlog bool) bool {
	if backlog {
		return c.outbox.deliver(m.frame, maxBacklogBytes)
	}
	return c.outbox.deliver(m.frame, maxQueuedBytes)
}

// hasRoom implements subscriber.
func (c *clientConn) hasRoom() bool { return c.outbox.hasRoom() }

// reject implements subscriber. It rejects a SUBSCRIBE, or ends an accepted subscription.
func (c *clientConn) reject(s *subscription, reason linewire.Reason) {
	c.mu.Lock()
	if c.subscriptions[s.topic] == s {
		delete(c.subscriptions, s.topic)
		c.account.Release(subscriptionCost(s.topic))
	}
	c.mu.Unlock()
	c.send(linewire.AppendReject(nil, linewire.Subscribe, s.topic, 0, reason))
}

// isPresent implements subscriber. It reports whether the client has sent a command recently.
func (c *clientConn) isPresent() bool {
	return c.gateway.uptime()-time.Duration(c.lastReceived.Load()) <= c.gateway.timing.presenceTimeout()
}

// currentSubscriptions returns the subscriptions of the client.
func (c *clientConn) currentSubscriptions() []*subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*subscription
	for _, s := range c.subscriptions {
		list = append(list, s)
	}
	return list
}

// closeSubscriptions ends all subscriptions and removes the connection from the table.
func (c *clientConn) closeSubscriptions() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	close(c.closed)
	for _, s := range c.currentSubscriptions() {
		c.gateway.hub.unsubscribe(s)
	}
	c.gateway.clients.remove(c)
}

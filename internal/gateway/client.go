package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/linewire"
	"saltreel/internal/quota"
	"saltreel/internal/timeutil"
)

// clientConn is the connection of one client.
type clientConn struct {
	gateway *Gateway
	conn    net.Conn
	reader  *bufio.Reader
	outbox  *outbox

	name   string // of the client; empty before its HELLO
	secret string

	lastReceived atomic.Int64  // time of the last message, in ns of the steady clock
	unanswered   atomic.Int64  // messages to publish that have no answer yet
	released     chan struct{} // closed when reads are held no longer, at the end

	mu            sync.Mutex
	subscriptions map[string]*subscription // by topic
	ended         bool
}

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	c := &clientConn{
		gateway: g, conn: conn, reader: bufio.NewReader(conn),
		released: make(chan struct{}), subscriptions: map[string]*subscription{},
	}
	c.outbox = newOutbox(func() { g.hub.resumeBacklogs(c.currentSubscriptions()) })
	return c
}

// serve serves the client until its connection ends, and closes it.
func (c *clientConn) serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	var writing sync.WaitGroup
	writing.Go(func() {
		c.outbox.run(c.conn, c.gateway.timing.write())
		_ = c.conn.Close() // so that the reading ends too
	})
	for c.serveNext(ctx) {
	}
	c.end()
	c.outbox.close()
	writing.Wait()
}

// serveNext reads and handles one message. It reports whether another may follow.
func (c *clientConn) serveNext(ctx context.Context) (more bool) {
	if c.conn.SetReadDeadline(time.Now().Add(c.gateway.timing.idleTimeout())) != nil {
		return false
	}
	command, err := linewire.ReadCommand(c.reader)
	c.lastReceived.Store(int64(c.gateway.uptime()))
	var refused *linewire.RefusedError
	switch {
	case errors.As(err, &refused):
		c.gateway.logRefusal(c, refused)
		if refused.Word != "" {
			c.send(linewire.AppendReject(nil, refused.Word, refused.Topic, refused.Number, refused.Reason))
		}
		return !refused.Fatal
	case err != nil:
		return false
	}
	return c.handle(ctx, command)
}

// handle handles one message of the client. It reports whether another may follow.
func (c *clientConn) handle(ctx context.Context, command *linewire.Command) (more bool) {
	if command.Word == linewire.Ping {
		c.send(linewire.AppendPong(nil))
		return true
	}
	if command.Word == linewire.Hello {
		return c.handleHello(ctx, command)
	}
	if c.name == "" {
		c.refuse(command, linewire.Malformed) // nobody said HELLO
		return false
	}
	table := c.gateway.node.Table()
	space, reason := authorize(table, command.Topic, c.secret, c.gateway.settings.HasTenants())
	if reason != "" && command.Word != linewire.Unsubscribe {
		c.refuse(command, reason)
		return true
	}
	switch command.Word {
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

func (c *clientConn) refuse(command *linewire.Command, reason linewire.Reason) {
	c.send(linewire.AppendReject(nil, command.Word, command.Topic, command.Number, reason))
}

// handleHello learns who the client is.
func (c *clientConn) handleHello(ctx context.Context, command *linewire.Command) (more bool) {
	g := c.gateway
	switch {
	case c.name != "":
		c.refuse(command, linewire.Malformed)
		return false
	case g.stopping.Load() || !g.node.WaitForPlacement(ctx, g.timing.placementWait()) || !g.knowsBrokers():
		c.refuse(command, linewire.Retry)
		return false
	case g.settings.HasTenants() && command.Secret != "" && g.node.Table().TenantByKey(command.Secret) == nil:
		c.refuse(command, linewire.Unauth)
		return true
	}
	c.name, c.secret = command.Client, command.Secret
	g.clients.identify(c)
	c.send(linewire.AppendHelloOK(nil))
	return true
}

func (c *clientConn) handleSubscribe(command *linewire.Command, table *configuration.Table) {
	s := &subscription{to: c, topic: command.Topic}
	if command.Cursor != "" {
		cursor, ok := cursorOf(command.Cursor)
		if !ok { // nobody was given this one, so nothing can have expired
			c.refuse(command, linewire.Malformed)
			return
		}
		s.resumes, s.cursor = true, cursor
	}
	former, ok := c.addSubscription(s, int(table.Limits.GetSubscriptions()))
	if !ok {
		c.refuse(command, linewire.Retry)
		return
	}
	if former != nil {
		c.gateway.hub.unsubscribe(former)
	}
	c.gateway.hub.subscribe(s)
	// A configuration that came meanwhile was applied to the others.
	c.gateway.reauthorize(s, c.secret)
}

// addSubscription notes a subscription. It returns the former one of the topic, or
// false if there are too many; a limit of 0 is none.
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
		c.gateway.hub.unsubscribe(s)
	}
	c.send(linewire.AppendUnsubscribeOK(nil, command.Topic))
}

// handlePublish has a message published, unless the tenant is over its rate and the
// number was not accepted before. Over another quota, reads from the connection stop for
// the throttle time.
func (c *clientConn) handlePublish(ctx context.Context, command *linewire.Command, table *configuration.Table, space *configuration.Route) {
	received := time.Now()
	g := c.gateway
	m := &publication{
		number:      command.Number,
		body:        command.Body,
		retentionMs: int64(space.RetentionS * 1000),
		deadline:    received.Add(g.timing.publishAnswer(time.Duration(space.TimeoutMs) * time.Millisecond)),
	}
	var throttle time.Duration
	if tenant := table.TenantByKey(c.secret); tenant != nil {
		m.tenant = tenant.Name
		throttle = g.checkRate(ctx, tenant, space.Name, m.deadline)
	}
	c.unanswered.Add(1)
	m.answer = func(frame []byte) {
		c.send(frame)
		c.unanswered.Add(-1)
	}
	if throttle > 0 {
		g.publishers.refuse(publisherTopic{c.name, command.Topic}, m)
	} else {
		g.publishers.add(publisherTopic{c.name, command.Topic}, m)
	}
	c.hold(g.quotas.RecordRequest(c.quotaTenant(m.tenant), space.Name, len(command.Body), time.Since(received), throttle))
}

// quotaTenant is whom the quotas of this node count a client for: its tenant, or
// itself in spaces that need none.
func (c *clientConn) quotaTenant(tenant string) string {
	if tenant != "" {
		return tenant
	}
	return "client " + c.name
}

// hold stops reads from the connection for the throttle time X of a quota, for as
// long as the client can do without an answer to its PING.
func (c *clientConn) hold(x time.Duration, by *quota.Manager) {
	if x <= 0 {
		return
	}
	timer := time.NewTimer(c.gateway.timing.maxHold())
	defer timer.Stop()
	select {
	case <-by.Throttle(x):
	case <-timer.C:
	case <-c.released:
	}
}

// handleCount answers how many subscribers a topic has, without holding up what
// the client says next.
func (c *clientConn) handleCount(ctx context.Context, command *linewire.Command) {
	g := c.gateway
	g.caller.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, g.timing.countAnswer())
		defer cancel()
		for ctx.Err() == nil {
			if n, err := g.countSubscribers(ctx, command.Topic); err == nil {
				c.send(linewire.AppendCount(nil, command.Topic, n))
				return
			}
			timeutil.Sleep(ctx, g.timing.retry())
		}
		c.refuse(command, linewire.Retry)
	})
}

// send implements subscriber. A client that asks on and takes no answers is closed.
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

// reject implements subscriber: it answers a SUBSCRIBE, or ends a subscription
// unasked.
func (c *clientConn) reject(s *subscription, reason linewire.Reason) {
	c.mu.Lock()
	if c.subscriptions[s.topic] == s {
		delete(c.subscriptions, s.topic)
	}
	c.mu.Unlock()
	c.send(linewire.AppendReject(nil, linewire.Subscribe, s.topic, 0, reason))
}

// isPresent reports whether the client has said something lately.
func (c *clientConn) isPresent() bool {
	return c.gateway.uptime()-time.Duration(c.lastReceived.Load()) <= c.gateway.timing.present()
}

// currentSubscriptions lists the subscriptions of the client.
func (c *clientConn) currentSubscriptions() []*subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*subscription
	for _, s := range c.subscriptions {
		list = append(list, s)
	}
	return list
}

// end ends the subscriptions.
func (c *clientConn) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	close(c.released)
	for _, s := range c.currentSubscriptions() {
		c.gateway.hub.unsubscribe(s)
	}
	c.gateway.clients.remove(c)
}

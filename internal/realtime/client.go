// Package realtime implements a client of topics. It subscribes and publishes at a gateway,
// resumes from its cursors after a lost connection, and follows redirects. The client
// commands of saltreel-data use it.
package realtime

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/linewire"
	"saltreel/internal/timeutil"
)

// Client connects to one gateway at a time. Its fields must not change while it is in use.
type Client struct {
	Dial    httpwire.Dial
	Address string // host:port of the first gateway
	Name    string // client name, the same on all connections
	Key     string // API key of the tenant; may be empty
	// Log reports lost connections; may be nil.
	Log func(format string, args ...any)
}

// Timeouts and intervals.
const (
	dialTimeout     = time.Second
	responseTimeout = 3 * time.Second
	pingInterval    = time.Second
	idleTimeout     = 5 * pingInterval
	reconnectDelay  = 500 * time.Millisecond
)

// RejectedError reports a rejection that a retry cannot change.
type RejectedError struct {
	Request string
	Topic   string
	Reason  linewire.Reason
}

func (e *RejectedError) Error() string {
	if e.Topic == "" {
		return fmt.Sprintf("%s rejected: %s", e.Request, e.Reason)
	}
	return fmt.Sprintf("%s %s rejected: %s", e.Request, e.Topic, e.Reason)
}

// redirectedError reports that the gateway redirected the client to another one.
type redirectedError struct{ address string }

func (e redirectedError) Error() string { return "redirected to " + e.address }

// SubscriptionHandler receives the events of a subscription.
type SubscriptionHandler struct {
	// OnSubscribed is called each time a gateway accepts the subscription, with the cursor
	// after which messages follow; may be nil.
	OnSubscribed func(cursor string)
	// OnMessage is called for each message.
	OnMessage func(*linewire.Response)
}

// Subscribe subscribes to a topic, starting after the cursor if it is not empty, until ctx
// ends or the gateway rejects the subscription.
func (c *Client) Subscribe(ctx context.Context, topic, cursor string, handler SubscriptionHandler) error {
	subscribe := func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Subscribe, Topic: topic, Cursor: cursor}); err != nil {
			return err
		}
		for {
			response, err := conn.read(idleTimeout)
			if err != nil {
				return err
			}
			switch {
			case response.Verb == linewire.Deliver && response.Topic == topic:
				cursor = response.Cursor
				handler.OnMessage(response)
			case response.Verb == linewire.OK && response.Request == linewire.Subscribe:
				cursor = response.Cursor
				if handler.OnSubscribed != nil {
					handler.OnSubscribed(cursor)
				}
			case response.Verb == linewire.Reject:
				return rejection(response)
			}
		}
	}
	return c.withRetries(ctx, subscribe)
}

// Publish publishes a message to a topic and returns once it is acknowledged. The number must
// be higher than any that this client used before.
func (c *Client) Publish(ctx context.Context, topic string, number int64, body []byte) error {
	return c.withRetries(ctx, func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Publish, Topic: topic, Number: number, Body: body}); err != nil {
			return err
		}
		for {
			response, err := conn.read(responseTimeout)
			if err != nil {
				return err
			}
			if response.Verb == linewire.Ack && response.Number == number {
				return nil
			}
			if response.Verb == linewire.Reject {
				return rejection(response)
			}
		}
	})
}

// Count returns the number of subscribers of a topic.
func (c *Client) Count(ctx context.Context, topic string) (count int, err error) {
	err = c.withRetries(ctx, func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Count, Topic: topic}); err != nil {
			return err
		}
		for {
			response, err := conn.read(responseTimeout)
			if err != nil {
				return err
			}
			if response.Verb == linewire.CountResult {
				count = response.Count
				return nil
			}
			if response.Verb == linewire.Reject {
				return rejection(response)
			}
		}
	})
	return count, err
}

// rejection returns the error for a REJECT: a *RejectedError, unless a retry may succeed. A
// PUBLISH answered with RETRY is not retried: it was not executed and never will be.
func rejection(response *linewire.Response) error {
	if response.Reason == linewire.Retry && response.Request != linewire.Publish || response.Reason == linewire.Unknown {
		return fmt.Errorf("%s %s: %s", response.Request, response.Topic, response.Reason)
	}
	return &RejectedError{response.Request, response.Topic, response.Reason}
}

// withRetries connects and calls use, and retries until use returns nil or a *RejectedError,
// or ctx ends.
func (c *Client) withRetries(ctx context.Context, use func(*connection) error) error {
	address := c.Address
	for {
		err := c.connect(ctx, address, use)
		var rejected *RejectedError
		var redirected redirectedError
		switch {
		case err == nil || errors.As(err, &rejected):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &redirected):
			address = redirected.address
			continue
		}
		if c.Log != nil {
			c.Log("%s: %v", address, err)
		}
		address = c.Address
		timeutil.Sleep(ctx, reconnectDelay)
	}
}

// connect opens a connection, sends HELLO, and calls use.
func (c *Client) connect(ctx context.Context, address string, use func(*connection) error) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Dial(dialCtx, address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	connected := &connection{conn: conn, reader: bufio.NewReader(conn)}
	if err := connected.write(&linewire.Command{Verb: linewire.Hello, Client: c.Name, Secret: c.Key}); err != nil {
		return err
	}
	response, err := connected.read(responseTimeout)
	if err != nil {
		return err
	}
	if response.Verb != linewire.OK {
		return rejection(response)
	}
	defer connected.startPings()()
	return use(connected)
}

// connection is a connection to a gateway.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // serializes writes
}

func (c *connection) write(command *linewire.Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := c.conn.Write(linewire.AppendCommand(nil, command)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// read returns the next response other than PONG.
func (c *connection) read(timeout time.Duration) (*linewire.Response, error) {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		response, err := linewire.ReadResponse(c.reader)
		switch {
		case err != nil:
			return nil, fmt.Errorf("read: %w", err)
		case response.Verb == linewire.Redirect:
			return nil, redirectedError{response.Address}
		case response.Verb != linewire.Pong:
			return response, nil
		}
	}
}

// startPings sends PING periodically until stop is called.
func (c *connection) startPings() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() {
		for {
			timeutil.Sleep(ctx, pingInterval)
			if ctx.Err() != nil || c.write(&linewire.Command{Verb: linewire.Ping}) != nil {
				return
			}
		}
	})
	return func() {
		cancel()
		task.Wait()
	}
}

// Package realtime is a client of topics: it subscribes and publishes at a gateway,
// comes back with its cursors when it loses the connection, and goes where it is
// sent. The commands for a terminal use it.
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

// Client is a client of one gateway after the other. Its fields must not change
// while it is in use.
type Client struct {
	Dial    httpwire.Dial
	Address string // of the first gateway, host:port
	Name    string // the client's own; it stays the same over all connections
	Key     string // of a tenant; empty if there is none
	// Log tells of lost connections; nil: nobody.
	Log func(format string, args ...any)
}

// Times of a client.
const (
	dialTimeout    = time.Second
	answerTimeout  = 3 * time.Second
	pingInterval   = time.Second
	silenceTimeout = 5 * pingInterval
	reconnectDelay = 500 * time.Millisecond
)

// RejectedError says that a gateway refuses something for a reason that another try
// does not change.
type RejectedError struct {
	Request string
	Topic   string
	Reason  linewire.Reason
}

func (e *RejectedError) Error() string {
	if e.Topic == "" {
		return fmt.Sprintf("%s is refused: %s", e.Request, e.Reason)
	}
	return fmt.Sprintf("%s %s is refused: %s", e.Request, e.Topic, e.Reason)
}

// redirectedError says that the gateway sent the client to another one.
type redirectedError struct{ address string }

func (e redirectedError) Error() string { return "sent to " + e.address }

// Subscriber is told what becomes of a subscription.
type Subscriber struct {
	// Joined is called each time that a gateway has taken up the subscription, with the
	// cursor behind which the messages follow; nil: nobody is told.
	Joined func(cursor string)
	// Deliver is called for each message.
	Deliver func(*linewire.Response)
}

// Subscribe subscribes to a topic, from a cursor on unless it is empty, until ctx ends
// or the gateway refuses the subscription.
func (c *Client) Subscribe(ctx context.Context, topic, cursor string, to Subscriber) error {
	subscribe := func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Subscribe, Topic: topic, Cursor: cursor}); err != nil {
			return err
		}
		for {
			a, err := conn.read(silenceTimeout)
			if err != nil {
				return err
			}
			switch {
			case a.Verb == linewire.Deliver && a.Topic == topic:
				cursor = a.Cursor
				to.Deliver(a)
			case a.Verb == linewire.OK && a.Request == linewire.Subscribe:
				cursor = a.Cursor
				if to.Joined != nil {
					to.Joined(cursor)
				}
			case a.Verb == linewire.Reject:
				return rejection(a)
			}
		}
	}
	return c.repeat(ctx, subscribe)
}

// Publish has a message delivered to all subscribers of a topic, and returns once it
// is acknowledged. Number must be higher than any that this client used before.
func (c *Client) Publish(ctx context.Context, topic string, number int64, body []byte) error {
	return c.repeat(ctx, func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Publish, Topic: topic, Number: number, Body: body}); err != nil {
			return err
		}
		for {
			a, err := conn.read(answerTimeout)
			if err != nil {
				return err
			}
			if a.Verb == linewire.Ack && a.Number == number {
				return nil
			}
			if a.Verb == linewire.Reject {
				return rejection(a)
			}
		}
	})
}

// Count returns how many subscribers a topic has.
func (c *Client) Count(ctx context.Context, topic string) (count int, err error) {
	err = c.repeat(ctx, func(conn *connection) error {
		if err := conn.write(&linewire.Command{Verb: linewire.Count, Topic: topic}); err != nil {
			return err
		}
		for {
			a, err := conn.read(answerTimeout)
			if err != nil {
				return err
			}
			if a.Verb == linewire.CountResult {
				count = a.Count
				return nil
			}
			if a.Verb == linewire.Reject {
				return rejection(a)
			}
		}
	})
	return count, err
}

// rejection is the error of a REJECT: a *RejectedError, unless another try may
// help.
func rejection(a *linewire.Response) error {
	if a.Reason == linewire.Retry && a.Request != linewire.Publish || a.Reason == linewire.Unknown {
		return fmt.Errorf("%s %s: %s", a.Request, a.Topic, a.Reason)
	}
	return &RejectedError{a.Request, a.Topic, a.Reason}
}

// repeat connects and calls use, again and again until it returns nil or a
// *RejectedError, or ctx ends.
func (c *Client) repeat(ctx context.Context, use func(*connection) error) error {
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

// connect opens a connection, says HELLO, and calls use.
func (c *Client) connect(ctx context.Context, address string, use func(*connection) error) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Dial(dialing, address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	connected := &connection{conn: conn, reader: bufio.NewReader(conn)}
	if err := connected.write(&linewire.Command{Verb: linewire.Hello, Client: c.Name, Secret: c.Key}); err != nil {
		return err
	}
	a, err := connected.read(answerTimeout)
	if err != nil {
		return err
	}
	if a.Verb != linewire.OK {
		return rejection(a)
	}
	defer connected.startPings()()
	return use(connected)
}

// connection is one connection to a gateway.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // one write at a time
}

func (c *connection) write(command *linewire.Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := c.conn.Write(linewire.AppendCommand(nil, command)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// read returns the next answer but PONG.
func (c *connection) read(timeout time.Duration) (*linewire.Response, error) {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		a, err := linewire.ReadResponse(c.reader)
		switch {
		case err != nil:
			return nil, fmt.Errorf("read: %w", err)
		case a.Verb == linewire.Redirect:
			return nil, redirectedError{a.Address}
		case a.Verb != linewire.Pong:
			return a, nil
		}
	}
}

// startPings says PING now and then, until stop is called.
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

package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"saltreel/internal/httpwire"
)

// Client calls the system's own processes over a pool of connections, and
// counts its calls.
type Client struct {
	*httpwire.Pool

	mu    sync.Mutex
	tally map[string]*tally // by path
}

// NewClient makes a client on a pool.
func NewClient(pool *httpwire.Pool) *Client { return &Client{Pool: pool} }

// tally counts the calls of one kind and their bytes, both ways, without headers.
type tally struct{ calls, bytes int }

func (c *Client) count(path string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally[path]
	if t == nil {
		t = &tally{}
		if c.tally == nil {
			c.tally = map[string]*tally{}
		}
		c.tally[path] = t
	}
	t.calls++
	t.bytes += bytes
}

// Traffic describes the calls made since it was last asked, by path, and how many
// connections are open.
func (c *Client) Traffic() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := fmt.Sprintf("%d connections", c.Connections())
	for _, path := range slices.Sorted(maps.Keys(c.tally)) {
		out += fmt.Sprintf(", %s %d calls %d bytes", path, c.tally[path].calls, c.tally[path].bytes)
	}
	c.tally = nil
	return out
}

// Send sends a call to one of our own processes and reads its answer. The call
// is named, and only the answer that repeats the name is taken.
func (c *Client) Send(ctx context.Context, addr, path string, body []byte) (*httpwire.Answer, error) {
	a, err := c.Do(ctx, addr, &httpwire.Call{Method: "POST", Target: path, Host: addr, Body: body, Repeats: headerCall, NewID: newCallID, Idempotent: Idempotent[path]})
	got := 0
	if a != nil {
		got = len(a.Body)
	}
	c.count(path, len(body)+got)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return a, nil
}

// Call sends JSON, with raw bytes behind it on a new line, to one of our own
// processes and reads JSON back.
func (c *Client) Call(ctx context.Context, addr, path string, in any, raw []byte, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &httpwire.Error{Step: "encode " + path, Peer: addr, Err: err}
	}
	if raw != nil {
		body = append(append(body, '\n'), raw...)
	}
	a, err := c.Send(ctx, addr, path, body)
	if err != nil {
		return err
	}
	if a.Status/100 != 2 {
		return &httpwire.Error{Step: path, Peer: addr, Sent: true, Err: &StatusError{Code: a.Status, Text: string(bytes.TrimSpace(a.Body))}}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return &httpwire.Error{Step: "decode " + path, Peer: addr, Sent: true, Err: err}
	}
	return nil
}

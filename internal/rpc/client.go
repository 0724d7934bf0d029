package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"saltreel/internal/httpwire"
)

// Client calls other Saltreel processes over a connection pool and counts its
// calls. It is safe for concurrent use.
type Client struct {
	*httpwire.Pool

	mu      sync.Mutex
	traffic map[string]*traffic // by path; nil until the first call
}

// traffic counts the calls to one path and the bytes of their bodies, both ways.
type traffic struct{ calls, bytes int }

// NewClient returns a Client that uses pool.
func NewClient(pool *httpwire.Pool) *Client { return &Client{Pool: pool} }

func (c *Client) countCall(path string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.traffic[path]
	if t == nil {
		t = &traffic{}
		if c.traffic == nil {
			c.traffic = map[string]*traffic{}
		}
		c.traffic[path] = t
	}
	t.calls++
	t.bytes += bytes
}

// Traffic formats for a log line the number of open connections and, by path, the
// calls since the previous call of Traffic. It resets the counts.
func (c *Client) Traffic() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("%d connections", c.Connections())
	for _, path := range slices.Sorted(maps.Keys(c.traffic)) {
		summary += fmt.Sprintf(", %s %d calls %d bytes", path, c.traffic[path].calls, c.traffic[path].bytes)
	}
	c.traffic = nil
	return summary
}

// Send sends a call to another Saltreel process and returns the response, whatever
// its status. Only a response that echoes the identifier of the call is accepted.
func (c *Client) Send(ctx context.Context, addr, path string, body []byte) (*httpwire.ClientResponse, error) {
	response, err := c.Do(ctx, addr, &httpwire.Call{
		Method:     http.MethodPost,
		Target:     path,
		Host:       addr,
		Body:       body,
		EchoHeader: headerCall,
		NewID:      newCallID,
		Idempotent: Idempotent[path],
	})
	received := 0
	if response != nil {
		received = len(response.Body)
	}
	c.countCall(path, len(body)+received)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return response, nil
}

// Call sends in as JSON, followed by raw on a new line unless raw is nil, and
// decodes the JSON of the response into out unless out is nil. Errors are of type
// *httpwire.Error. If the status of the response is not 2xx, they wrap a *StatusError,
// or a *ResentError if the call was sent twice.
func (c *Client) Call(ctx context.Context, addr, path string, in any, raw []byte, out any) error {
	_, err := c.CallRaw(ctx, addr, path, in, raw, out)
	return err
}

// CallRaw is like Call, and returns the raw bytes that follow the JSON of the
// response.
func (c *Client) CallRaw(ctx context.Context, addr, path string, in any, raw []byte, out any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &httpwire.Error{Step: "encode " + path, Peer: addr, Err: err}
	}
	if raw != nil {
		body = append(append(body, '\n'), raw...)
	}
	response, err := c.Send(ctx, addr, path, body)
	if err != nil {
		return nil, err
	}
	if response.Status/100 != 2 {
		return nil, &httpwire.Error{Step: path, Peer: addr, Sent: true, Err: refusal(response)}
	}
	if out == nil {
		return nil, nil
	}
	jsonPart, rawOut := SplitBody(response.Body)
	if err := json.Unmarshal(jsonPart, out); err != nil {
		return nil, &httpwire.Error{Step: "decode " + path, Peer: addr, Sent: true, Err: err}
	}
	return rawOut, nil
}

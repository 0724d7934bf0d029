package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// Caller sends orders to whichever core answers.
type Client struct {
	Pool     *httpwire.Pool
	Controls []string // control-plane addresses
	Timeout  time.Duration
}

// errClear marks an answer that ends a call.
type errClear struct{ *rpc.StatusError }

func (e errClear) Unwrap() error { return e.StatusError }

// Unclear is the error of an order that had no clear answer: it may be in
// force, or come into force yet. The very same order may be sent again, by
// whom and however late within the day: it is acknowledged if it was taken.
type IndeterminateError struct{ Err error }

func (e *IndeterminateError) Error() string { return "no clear answer: " + e.Err.Error() }
func (e *IndeterminateError) Unwrap() error { return e.Err }

// Do sends one order. It follows 307 twice, and sends the order as it is to
// another core after a failure, a 5xx, a 408 or a 429, until an answer is
// clear. If none was, the error is an Unclear where the order may have got
// through at any of the tries.
func (c *Client) Do(ctx context.Context, call httpwire.Call) ([]byte, error) {
	if len(c.Controls) == 0 {
		return nil, errors.New("no control address is given")
	}
	var last, unclear error
	pause := 50 * time.Millisecond
	for try := 0; try < 4*len(c.Controls); try++ {
		if try > 0 {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, cmp.Or(unclear, last)
			}
			pause *= 2
		}
		body, err := c.once(ctx, c.Controls[try%len(c.Controls)], call)
		if err == nil {
			return body, nil
		}
		var clear errClear
		if errors.As(err, &clear) {
			return nil, err
		}
		last = err
		if call.Method != "GET" && !untaken(err) {
			unclear = &IndeterminateError{err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, cmp.Or(unclear, last)
}

// untaken tells whether it is certain that a try did nothing.
func untaken(err error) bool {
	switch rpc.StatusCode(err) {
	case 0:
		return httpwire.NotSent(err)
	case 408, 429, 503:
		return true
	}
	return false
}

func (c *Client) once(ctx context.Context, addr string, call httpwire.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for range 3 {
		call.Host = addr
		a, err := c.Pool.Do(ctx, addr, &call)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", call.Method, call.Target, err)
		}
		if a.Status == 307 {
			u, err := url.Parse(a.Header.Get("Location"))
			if err != nil || u.Host == "" {
				return nil, &httpwire.Error{Step: "redirect", Peer: addr, Err: fmt.Errorf("location %q", a.Header.Get("Location"))}
			}
			addr, call.Target = u.Host, u.RequestURI()
			continue
		}
		if a.Status/100 == 2 {
			return a.Body, nil
		}
		st := &rpc.StatusError{Code: a.Status, Text: string(a.Body)}
		if a.Status/100 == 4 && a.Status != 408 && a.Status != 429 {
			return nil, &httpwire.Error{Step: call.Method + " " + call.Target, Peer: addr, Sent: true, Err: errClear{st}}
		}
		return nil, &httpwire.Error{Step: call.Method + " " + call.Target, Peer: addr, Sent: true, Err: st}
	}
	return nil, &httpwire.Error{Step: "redirect", Peer: addr, Err: errors.New("too many redirects")}
}

// PutConfiguration sends a configuration that builds on a revision. The error
// says what the operator is to do.
func (c *Client) PutConfiguration(ctx context.Context, raw []byte, match int64) error {
	_, err := c.Do(ctx, httpwire.Call{Method: "PUT", Target: "/v1/configuration", Body: raw,
		Header: []string{"If-Match", strconv.FormatInt(match, 10), "Content-Type", "application/json"}})
	var unclear *IndeterminateError
	switch code := rpc.StatusCode(err); {
	case err == nil:
		return nil
	case errors.As(err, &unclear):
		return fmt.Errorf("it is unclear whether the configuration is in force; send the same file again with --if-match %d: %w", match, err)
	case code == 412: // the cores know each one that was taken, so this holds after unclear tries too
		return fmt.Errorf("the configuration was not taken, another change came first; build on the one in force: %w", err)
	case code/100 == 4 && code != 408 && code != 429:
		return fmt.Errorf("the configuration was not taken, it is refused: %w", err)
	}
	return fmt.Errorf("the configuration was not taken, no core could take it; send the same file again with --if-match %d: %w", match, err)
}

// Get reads what a path tells.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.Do(ctx, httpwire.Call{Method: "GET", Target: path})
}

// Retire orders a store to be emptied.
func (c *Client) Retire(ctx context.Context, node string, deadline time.Duration) error {
	_, err := c.Do(ctx, httpwire.Call{Method: "POST", Target: "/v1/retire/" + url.PathEscape(node),
		Body: fmt.Appendf(nil, `{"deadline-s":%g}`, deadline.Seconds()), Header: []string{"Content-Type", "application/json"}})
	if errors.As(err, new(*IndeterminateError)) {
		return fmt.Errorf("it is unclear whether %s is being emptied; send the order again: %w", node, err)
	}
	return err
}

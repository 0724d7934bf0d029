package operator

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"saltreel/internal/wire"
)

// Caller sends orders to whichever core answers.
type Caller struct {
	Pool     *wire.Pool
	Controls []string // control-plane addresses
	Timeout  time.Duration
}

// errClear marks an answer that ends a call.
type errClear struct{ *wire.Status }

func (e errClear) Unwrap() error { return e.Status }

// Do sends one order. It follows 307 twice and moves on to another core after
// a failure, a 5xx, a 408 or a 429.
func (c *Caller) Do(ctx context.Context, call wire.Call) ([]byte, error) {
	if len(c.Controls) == 0 {
		return nil, errors.New("no control address is given")
	}
	var last error
	pause := 50 * time.Millisecond
	for try := 0; try < 4*len(c.Controls); try++ {
		if try > 0 {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, last
			}
			pause *= 2
		}
		body, err := c.once(ctx, c.Controls[try%len(c.Controls)], call)
		if err == nil {
			return body, nil
		}
		last = err
		var clear errClear
		if errors.As(err, &clear) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, last
}

func (c *Caller) once(ctx context.Context, addr string, call wire.Call) ([]byte, error) {
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
				return nil, &wire.Error{Step: "redirect", Peer: addr, Err: fmt.Errorf("location %q", a.Header.Get("Location"))}
			}
			addr, call.Target = u.Host, u.RequestURI()
			continue
		}
		if a.Status/100 == 2 {
			return a.Body, nil
		}
		st := &wire.Status{Code: a.Status, Text: string(a.Body)}
		if a.Status/100 == 4 && a.Status != 408 && a.Status != 429 {
			return nil, &wire.Error{Step: call.Method + " " + call.Target, Peer: addr, Sent: true, Err: errClear{st}}
		}
		return nil, &wire.Error{Step: call.Method + " " + call.Target, Peer: addr, Sent: true, Err: st}
	}
	return nil, &wire.Error{Step: "redirect", Peer: addr, Err: errors.New("too many redirects")}
}

// PutConfiguration sends a configuration that builds on a revision.
func (c *Caller) PutConfiguration(ctx context.Context, raw []byte, match int64) error {
	_, err := c.Do(ctx, wire.Call{Method: "PUT", Target: "/v1/configuration", Body: raw,
		Header: []string{"If-Match", strconv.FormatInt(match, 10), "Content-Type", "application/json"}})
	return err
}

// Get reads what a path tells.
func (c *Caller) Get(ctx context.Context, path string) ([]byte, error) {
	return c.Do(ctx, wire.Call{Method: "GET", Target: path})
}

// Retire orders a store to be emptied.
func (c *Caller) Retire(ctx context.Context, node string, deadline time.Duration) error {
	_, err := c.Do(ctx, wire.Call{Method: "POST", Target: "/v1/retire/" + url.PathEscape(node),
		Body: fmt.Appendf(nil, `{"deadline-s":%g}`, deadline.Seconds()), Header: []string{"Content-Type", "application/json"}})
	return err
}

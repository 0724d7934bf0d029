package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// Limits of the attempts of one request.
const (
	attemptsPerServer = 4
	initialBackoff    = 50 * time.Millisecond // doubles after each attempt
	// A server redirects to the one that serves the request. That one may have just
	// been replaced and redirect once more; further redirects indicate a loop.
	maxRedirects = 2
)

// Client sends requests to the control plane.
type Client struct {
	Pool      *httpwire.Pool
	Addresses []string      // host:port of the control-plane servers
	Timeout   time.Duration // of one attempt, including redirects
}

// Do sends one request and returns the body of the response. It follows redirects, and
// sends the same request to the next server after a transport failure or a 5xx, 408 or
// 429 status, until a response is conclusive. The error is an *IndeterminateError if
// the request may have taken effect in any of the attempts.
func (c *Client) Do(ctx context.Context, call httpwire.Call) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("no control-plane address is given")
	}
	var lastErr, indeterminate error
	backoff := initialBackoff
	for attempt := range attemptsPerServer * len(c.Addresses) {
		if attempt > 0 {
			select {
			case <-time.After(backoff):
			case <-ctx.Done():
				return nil, cmp.Or(indeterminate, lastErr)
			}
			backoff *= 2
		}
		body, err := c.attempt(ctx, c.Addresses[attempt%len(c.Addresses)], call)
		outcome := outcomeOf(err)
		if outcome == succeeded || outcome == rejected {
			return body, err
		}
		lastErr = err
		if call.Method != http.MethodGet && outcome == unknown {
			indeterminate = &IndeterminateError{err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, cmp.Or(indeterminate, lastErr)
}

// attempt sends a request to one server and follows its redirects.
func (c *Client) attempt(ctx context.Context, address string, call httpwire.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for range 1 + maxRedirects {
		call.Host = address
		response, err := c.Pool.Do(ctx, address, &call)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", call.Method, call.Target, err)
		}
		if response.Status != http.StatusTemporaryRedirect {
			if err := errorFromStatus(response.Status, response.Body); err != nil {
				return nil, &httpwire.Error{Step: call.Method + " " + call.Target, Peer: address, Sent: true, Err: err}
			}
			return response.Body, nil
		}
		location, err := url.Parse(response.Header.Get("Location"))
		if err != nil || location.Host == "" {
			return nil, &httpwire.Error{Step: "redirect", Peer: address, Err: fmt.Errorf("invalid Location %q", response.Header.Get("Location"))}
		}
		address = location.Host
		call.Target = location.RequestURI()
	}
	return nil, &httpwire.Error{Step: "redirect", Peer: address, Err: errors.New("too many redirects")}
}

// Get reads the resource at a path.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.Do(ctx, httpwire.Call{Method: http.MethodGet, Target: path})
}

// PutConfiguration sends a configuration that is based on baseRevision. The text
// of the error tells the operator what to do.
func (c *Client) PutConfiguration(ctx context.Context, raw []byte, baseRevision int64) error {
	return c.changeConfiguration(ctx, http.MethodPut, raw, baseRevision)
}

// PatchConfiguration is PutConfiguration for a change of named items.
func (c *Client) PatchConfiguration(ctx context.Context, raw []byte, baseRevision int64) error {
	return c.changeConfiguration(ctx, http.MethodPatch, raw, baseRevision)
}

func (c *Client) changeConfiguration(ctx context.Context, method string, raw []byte, baseRevision int64) error {
	_, err := c.Do(ctx, httpwire.Call{
		Method: method,
		Target: "/v1/configuration",
		Body:   raw,
		Header: []string{"If-Match", strconv.FormatInt(baseRevision, 10), "Content-Type", "application/json"},
	})
	switch {
	case err == nil:
		return nil
	case errors.As(err, new(*IndeterminateError)):
		return fmt.Errorf("outcome unknown, the configuration may be in force; send the same file again with --if-match %d: %w", baseRevision, err)
	case rpc.StatusCode(err) == http.StatusPreconditionFailed:
		// The servers acknowledge a repeated request that has already taken effect,
		// so this status is conclusive even after indeterminate attempts.
		return fmt.Errorf("configuration not applied, another change came first; base the change on the revision in force: %w", err)
	case outcomeOf(err) == rejected:
		return fmt.Errorf("configuration not applied, it was rejected: %w", err)
	}
	return fmt.Errorf("configuration not applied, no core accepted it; send the same file again with --if-match %d: %w", baseRevision, err)
}

// Retire requests that a store be retired, that is, emptied.
func (c *Client) Retire(ctx context.Context, store string, deadline time.Duration) error {
	_, err := c.Do(ctx, httpwire.Call{
		Method: http.MethodPost,
		Target: retirePath + url.PathEscape(store),
		Body:   fmt.Appendf(nil, `{"deadline-s":%g}`, deadline.Seconds()),
		Header: []string{"Content-Type", "application/json"},
	})
	if errors.As(err, new(*IndeterminateError)) {
		return fmt.Errorf("outcome unknown, the retirement of store %s may have started; send the request again: %w", store, err)
	}
	return err
}

// RetireState returns the progress of the retirement of a store: placement.RetireActive
// or RetireComplete.
func (c *Client) RetireState(ctx context.Context, store string) (string, error) {
	raw, err := c.Get(ctx, retirePath+url.PathEscape(store))
	if err != nil {
		return "", err
	}
	var status RetireStatus
	if err := json.Unmarshal(raw, &status); err != nil {
		return "", fmt.Errorf("parse the retirement status of %s: %w", store, err)
	}
	return status.State, nil
}

package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"saltreel/internal/budget"
	"saltreel/internal/httpwire"
)

// Mux dispatches calls between Saltreel processes to handlers by path.
type Mux map[string]httpwire.Handler

// Limits of a call besides the budget of its server.
const (
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is the most that any call sends, if the budget has no bound: a
	// configuration of the largest size that the operator may send, and what is sent
	// with it.
	maxBodyBytes = 16 << 20
	// handlingCopies is how many copies of its body a call needs: the decoded form, and
	// what is passed on to the next process.
	handlingCopies = 2
)

// NewServer returns a server of the calls between Saltreel processes. A call that has
// begun must be complete within a multiple of the contact timeout, which is longer than
// any caller waits. Idle connections stay open, unless the budget needs them.
func NewServer(calls Mux, b *budget.Budget, contactTimeout time.Duration) *httpwire.Server {
	limits := httpwire.Limits{
		HeaderBytes:   maxHeaderBytes,
		BodyBytes:     maxBodyBytes,
		HeaderTimeout: 2 * contactTimeout,
		BodyTimeout:   2 * contactTimeout,
	}
	if most := b.MaxBytes(); most > 0 {
		limits.BodyBytes = most
	}
	return &httpwire.Server{
		Handle:         calls.Handle,
		Limits:         func() httpwire.Limits { return limits },
		Budget:         b,
		HandlingCopies: handlingCopies,
	}
}

// Handle handles one call and echoes its identifier in the response. It does not
// run a call whose caller has closed the connection or timed out. The context of
// the handler expires at the caller's timeout.
func (m Mux) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	if r.Conn != nil && !skipsClosedCheck[r.URL.Path] && r.Conn.ClientClosed() {
		return nil // the caller would not read a response
	}
	callID := r.Header.Get(headerCall)
	wait, limited, err := parseCallerTimeout(callID)
	if err != nil {
		return httpwire.Problem(400, err.Error())
	}
	if limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Received.Add(wait))
		defer cancel()
	}
	response := m.dispatch(ctx, r)
	if response != nil && callID != "" {
		response.Header = append(response.Header, headerCall, callID)
	}
	return response
}

func (m Mux) dispatch(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	handler := m[r.URL.Path]
	if handler == nil {
		return httpwire.Problem(404, "no such call: "+r.URL.Path)
	}
	if ctx.Err() != nil {
		return httpwire.Problem(503, "the caller waits no longer; nothing was done")
	}
	return handler(ctx, r)
}

// SplitBody separates the JSON of a call's body from the raw bytes that may
// follow it on a new line.
func SplitBody(body []byte) (jsonPart, raw []byte) {
	jsonPart, raw, _ = bytes.Cut(body, []byte{'\n'})
	return jsonPart, raw
}

// Handler adapts a function that takes and returns JSON to an HTTP handler. The
// status of an error is the first non-zero result of codes, else that of the
// StatusError that it wraps, else 500. Each package thus maps its errors to
// statuses in a single function.
func Handler[In, Out any](f func(ctx context.Context, in *In, raw []byte) (*Out, error), codes ...func(error) int) httpwire.Handler {
	return RawHandler(func(ctx context.Context, in *In, raw []byte) (*Out, []byte, error) {
		out, err := f(ctx, in, raw)
		return out, nil, err
	}, codes...)
}

// RawHandler is like Handler for a function that also returns raw bytes, which
// follow the JSON of the response on a new line.
func RawHandler[In, Out any](f func(ctx context.Context, in *In, raw []byte) (*Out, []byte, error), codes ...func(error) int) httpwire.Handler {
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		jsonPart, raw := SplitBody(r.Body)
		in := new(In)
		if len(jsonPart) > 0 {
			if err := json.Unmarshal(jsonPart, in); err != nil {
				return httpwire.Problem(400, "the call cannot be read: "+err.Error())
			}
		}
		out, rawOut, err := f(ctx, in, raw)
		if err != nil {
			return errorResponse(err, codes)
		}
		body, err := json.Marshal(out)
		if err != nil {
			return httpwire.Problem(500, err.Error())
		}
		if rawOut != nil {
			body = append(append(body, '\n'), rawOut...)
		}
		// No Content-Type: callers within the system do not need it.
		return &httpwire.Response{Status: 200, Body: body}
	}
}

func errorResponse(err error, codes []func(error) int) *httpwire.Response {
	for _, codeOf := range codes {
		if code := codeOf(err); code != 0 {
			return httpwire.Problem(code, err.Error())
		}
	}
	var s *StatusError
	if errors.As(err, &s) {
		return httpwire.Problem(s.Code, s.Text)
	}
	return httpwire.Problem(500, err.Error())
}

// Ping is a handler function that returns an empty result, to show that the process
// is running.
func Ping(context.Context, *struct{}, []byte) (*struct{}, error) { return &struct{}{}, nil }

package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"saltreel/internal/httpwire"
)

// Mux answers the calls of the system's own processes by their path.
type Mux map[string]httpwire.Handler

// Handle answers one call and repeats its identifier. A call whose caller has
// closed the connection, or waits no longer, is not begun; one that has begun
// has a context that ends with the caller's wait.
func (m Mux) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	if r.Conn != nil && !skipsClosedCheck[r.URL.Path] && r.Conn.ClientClosed() {
		return nil // nobody would read a response
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

// Handler makes a handler of a function of JSON to JSON. An error is answered
// with the first code but 0 that codes give it, else with that of the StatusError
// that it wraps, else with 500. So the errors of a package are mapped to statuses
// in one function, here at the boundary of the call.
func Handler[In, Out any](f func(ctx context.Context, in *In, raw []byte) (*Out, error), codes ...func(error) int) httpwire.Handler {
	return RawHandler(func(ctx context.Context, in *In, raw []byte) (*Out, []byte, error) {
		out, err := f(ctx, in, raw)
		return out, nil, err
	}, codes...)
}

// RawHandler is Handler for a function that returns raw bytes too. They follow the
// JSON on a new line.
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
		// Without the header fields that only others than our own processes need.
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

// Ping answers that the process runs.
func Ping(context.Context, *struct{}, []byte) (*struct{}, error) { return &struct{}{}, nil }

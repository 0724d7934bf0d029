package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"saltreel/internal/httpwire"
)

// StatusError is the error of a call that was answered with something but 2xx.
type StatusError struct {
	Code int
	Text string
}

func (s *StatusError) Error() string { return fmt.Sprintf("answered %d %s", s.Code, s.Text) }

// StatusCode gives the status that the peer answered, or 0.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

// SplitBody parts the JSON in front from the raw bytes behind it.
func SplitBody(body []byte) (front, raw []byte) {
	front, raw, _ = bytes.Cut(body, []byte{'\n'})
	return front, raw
}

// Handler wraps a function of JSON to JSON as a handler. An error is answered
// with the first code but 0 that codes give it, else with that of the StatusError
// that it wraps, else with 500. So the errors of a package are mapped to statuses
// in one function, here at the boundary of the call.
func Handler[In, Out any](f func(ctx context.Context, in *In, raw []byte) (*Out, error), codes ...func(error) int) httpwire.Handler {
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		front, raw := SplitBody(r.Body)
		in := new(In)
		if len(front) > 0 {
			if err := json.Unmarshal(front, in); err != nil {
				return httpwire.Problem(400, "the call cannot be read: "+err.Error())
			}
		}
		out, err := f(ctx, in, raw)
		if err != nil {
			return errorResponse(err, codes)
		}
		body, err := json.Marshal(out)
		if err != nil {
			return httpwire.Problem(500, err.Error())
		}
		return &httpwire.Response{Status: 200, Body: body} // no header that our own processes do not need
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

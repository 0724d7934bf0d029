package httpwire

import (
	"context"
	"errors"
	"net/http"
	"strconv"
)

// Call is a request to send.
type Call struct {
	Method, Target, Host string
	Header               []string // names and values in turn
	Body                 []byte
	// EchoHeader names a header field by which the call is identified: a response
	// counts only if it repeats the field as it was sent. Empty: any counts.
	EchoHeader string
	// NewID makes the value of EchoHeader anew for each attempt. Only our own
	// processes answer such calls, so their responses are checked more strictly:
	// with a length, and nothing behind it. Nil: Header holds the value.
	NewID      func(ctx context.Context) string
	Idempotent bool // may be sent again once when an idle connection breaks before any response
}

// isInternal reports whether the call goes to one of the system's own processes.
func (c *Call) isInternal() bool { return c.NewID != nil }

// id is the value of the header field EchoHeader for the next attempt.
func (c *Call) id(ctx context.Context) string {
	if c.isInternal() {
		return c.NewID(ctx)
	}
	for i := 0; i+1 < len(c.Header); i += 2 {
		if c.Header[i] == c.EchoHeader {
			return c.Header[i+1]
		}
	}
	return ""
}

// encode returns the request of one attempt.
func (c *Call) encode(id string) []byte {
	const headRoom = 512 // enough for the head of nearly all calls
	raw := make([]byte, 0, headRoom+len(c.Body))
	raw = append(raw, c.Method...)
	raw = append(raw, ' ')
	raw = append(raw, c.Target...)
	raw = append(raw, " HTTP/1.1\r\n"...)
	raw = appendField(raw, "Host", c.Host)
	for i := 0; i+1 < len(c.Header); i += 2 {
		raw = appendField(raw, c.Header[i], c.Header[i+1])
	}
	if c.isInternal() {
		raw = appendField(raw, c.EchoHeader, id)
	}
	bodyless := c.Method == http.MethodGet || c.Method == http.MethodDelete
	if len(c.Body) > 0 || !bodyless {
		raw = append(raw, "Content-Length: "...)
		raw = strconv.AppendInt(raw, int64(len(c.Body)), 10)
		raw = append(raw, "\r\n"...)
	}
	raw = append(raw, "\r\n"...)
	return append(raw, c.Body...)
}

func appendField(raw []byte, name, value string) []byte {
	raw = append(raw, name...)
	raw = append(raw, ": "...)
	raw = append(raw, value...)
	return append(raw, "\r\n"...)
}

// ClientResponse is the response to a call, its body read.
type ClientResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error says at which step and at which peer a call failed.
type Error struct {
	Step, Peer string
	Sent       bool // whether any byte of the request may have arrived
	Err        error
	Reused     bool // the connection had been idle and broke before any response
}

// Steps at which a call fails.
const (
	stepDial     = "dial"
	stepWrite    = "write"
	stepWait     = "wait" // for the first byte of the response
	stepRead     = "read"
	stepMatch    = "match answer" // the response is not that to the call
	stepReadBody = "read body"
)

func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether it is certain that the peer received nothing of the
// call, so that it did not run.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

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
	Header               []string // alternating names and values
	Body                 []byte
	// EchoHeader names the header field that identifies the call: a response is
	// accepted only if it echoes the value sent. Empty: any response is accepted.
	EchoHeader string
	// NewID returns a new value of EchoHeader for each attempt. Only Saltreel
	// processes answer such calls, so the response is checked more strictly: it must
	// have a length, and no bytes may follow it. Nil: Header holds the value.
	NewID      func(ctx context.Context) string
	Idempotent bool // may be retried when an idle connection breaks before any response
	// DiscardBody makes the body of the response be read but not kept, whatever its size.
	DiscardBody bool
}

// isInternal reports whether the call goes to another Saltreel process.
func (c *Call) isInternal() bool { return c.NewID != nil }

// id returns the value of the header field EchoHeader for the next attempt.
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

// encode returns the encoded request of one attempt.
func (c *Call) encode(id string) []byte {
	const headRoom = 512 // fits the head of nearly all calls
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

// ClientResponse is the response to a call, with its complete body.
type ClientResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Resent means that this is the response to a second exchange: the peer, or an
	// earlier process at its address, may have executed the call before.
	Resent bool
}

// Error is the error of a call, with the step that failed and the peer.
type Error struct {
	Step, Peer string
	Sent       bool // whether the peer may have received any byte of the request
	Err        error
	Reused     bool // the connection had been idle and broke before any response
}

// Steps of a call, as named in Error.Step.
const (
	stepDial     = "dial"
	stepWrite    = "write"
	stepWait     = "wait" // for the first byte of the response
	stepRead     = "read"
	stepMatch    = "match response" // the response must belong to the call
	stepReadBody = "read body"
)

func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether the peer certainly received no byte of the call, and so
// did not execute it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

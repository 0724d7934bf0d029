// Package rpc makes and answers the calls between the system's own processes:
// JSON over HTTP/1.1, each call with a path, an identifier and the time that its
// caller still waits. docs/calls.md lists the calls.
package rpc

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"saltreel/internal/httpwire"
)

// headerCall names a call between our own processes: a random number, and how
// many milliseconds the caller still waits for the answer, which repeats both.
// The time is a duration, since clocks differ.
const headerCall = "Call"

// Idempotent holds the calls that may be sent again by themselves when a kept
// connection breaks before any answer. docs/calls.md says why, and why the
// others are not here: those are sent again only by their callers, who know
// that the answer to the first one is unclear.
var Idempotent = map[string]bool{
	"/accept":         true,
	"/ballot":         true,
	"/beat":           true,
	"/body":           true,
	"/chain/adopt":    true,
	"/chain/pass":     true,
	"/chain/standing": true,
	"/digest":         true,
	"/duty":           true,
	"/exchange":       true,
	"/fetch":          true,
	"/in-step":        true,
	"/news":           true,
	"/ping":           true,
	"/read":           true,
	"/status":         true,
	"/suspect":        true,
	"/view":           true,
}

// frequent are the calls of which there are most. Whether their caller is still
// there is not looked at: each look is a call of the system, and a late one of
// these does nothing (docs/calls.md).
var frequent = map[string]bool{"/copy": true, "/grant": true, "/news": true}

// newCallID makes the identifier of a call, with the time that its caller waits.
// Of 48 random bits, no two on one connection and no two of which one may come
// late, over all restarts, are alike.
func newCallID(ctx context.Context) string {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], rand.Uint64())
	out := base64.RawURLEncoding.AppendEncode(make([]byte, 0, 16), id[:6])
	if d, ok := ctx.Deadline(); ok {
		out = strconv.AppendInt(append(out, ' '), max(0, time.Until(d).Milliseconds())+1, 10)
	}
	return string(out)
}

// Mux answers the calls of our own processes by their path.
type Mux map[string]httpwire.Handler

// Handle is the mux as a handler. It repeats the name of the call. What the
// caller waits for no longer is not begun, and what has begun ends with the
// caller's wait.
func (m Mux) Handle(ctx context.Context, r *httpwire.Request) *httpwire.Response {
	call := r.Header.Get(headerCall)
	if r.Conn != nil && !frequent[r.URL.Path] && r.Conn.ClientClosed() {
		return nil // nobody reads an answer
	}
	if _, ms, ok := strings.Cut(call, " "); ok {
		wait, err := strconv.ParseInt(ms, 10, 32)
		if err != nil || wait < 0 {
			return httpwire.Problem(400, "the call says not how long its caller waits")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Received.Add(time.Duration(wait)*time.Millisecond))
		defer cancel()
	}
	var answer *httpwire.Response
	h := m[r.URL.Path]
	switch {
	case h == nil:
		answer = httpwire.Problem(404, "no such call: "+r.URL.Path)
	case ctx.Err() != nil:
		answer = httpwire.Problem(503, "the caller waits no longer; nothing was done")
	default:
		answer = h(ctx, r)
	}
	if answer != nil && call != "" {
		answer.Header = append(answer.Header, headerCall, call)
	}
	return answer
}

// Package rpc implements calls between Saltreel processes: JSON over HTTP/1.1, each
// call with a path, an identifier and the remaining timeout of its caller.
// docs/calls.md lists the calls.
package rpc

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// headerCall carries the identifier of a call: a random number, a space, and the
// caller's remaining timeout in milliseconds. The response echoes the value. The
// timeout is a duration, not a point in time, since clocks differ.
const headerCall = "Call"

// Idempotent holds the calls that the client may retry by itself when an idle
// connection breaks before any response. docs/calls.md gives the reasons. The two
// exchanges may meet two processes, so a refusal of the second one says nothing of the
// first: it is a ResentError. Other calls are retried only by their callers, which know
// that the outcome of the first attempt is indeterminate.
var Idempotent = map[string]bool{
	"/accept":         true,
	"/ballot":         true,
	"/beat":           true,
	"/body":           true,
	"/chain/adopt":    true,
	"/chain/pass":     true,
	"/chain/snapshot": true,
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
	"/topics/count":   true,
	"/topics/publish": true,
	"/topics/read":    true,
	"/topics/refuse":  true,
	"/view":           true,
}

// skipsClosedCheck holds the most frequent calls. The server does not check whether
// their caller has closed the connection, since the check costs a system call and a
// late call of these kinds has no effect (docs/calls.md).
var skipsClosedCheck = map[string]bool{"/copy": true, "/grant": true, "/news": true}

// callIDBytes is the number of random bytes in an identifier: enough that no two
// calls on one connection, and no late and current call, share an identifier, also
// across restarts.
const callIDBytes = 6

// newCallID returns the value of headerCall for one attempt of a call.
func newCallID(ctx context.Context) string {
	var random [8]byte
	binary.LittleEndian.PutUint64(random[:], rand.Uint64())
	id := base64.RawURLEncoding.AppendEncode(make([]byte, 0, 16), random[:callIDBytes])
	if deadline, ok := ctx.Deadline(); ok {
		wait := max(0, time.Until(deadline).Milliseconds()) + 1
		id = strconv.AppendInt(append(id, ' '), wait, 10)
	}
	return string(id)
}

var errInvalidTimeout = errors.New("the call does not say how long its caller waits")

// parseCallerTimeout parses the caller's remaining timeout from a call's identifier.
// limited is false for a call without a deadline, which carries no timeout.
func parseCallerTimeout(callID string) (wait time.Duration, limited bool, err error) {
	_, milliseconds, limited := strings.Cut(callID, " ")
	if !limited {
		return 0, false, nil
	}
	n, err := strconv.ParseInt(milliseconds, 10, 32)
	if err != nil || n < 0 {
		return 0, false, errInvalidTimeout
	}
	return time.Duration(n) * time.Millisecond, true, nil
}

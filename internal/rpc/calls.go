// Package rpc makes and answers the calls between the system's own processes:
// JSON over HTTP/1.1, each call with a path, an identifier and the time that its
// caller still waits. docs/calls.md lists the calls.
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

// headerCall carries the identifier of a call: a random number, a space, and how
// many milliseconds the caller still waits. The response repeats the value. The
// wait is a duration, not a point in time, since clocks differ.
const headerCall = "Call"

// Idempotent holds the calls that the client may send again by itself when an
// idle connection breaks before any response. docs/calls.md gives the reasons.
// The others are sent again only by their callers, who know that the outcome of
// the first call is indeterminate.
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

// skipsClosedCheck holds the calls of which there are most. Whether their caller has
// closed the connection is not checked: the check is a system call, and a late
// call of these kinds has no effect (docs/calls.md).
var skipsClosedCheck = map[string]bool{"/copy": true, "/grant": true, "/news": true}

// callIDBytes are enough random bytes that no two calls on one connection, and
// no two of which one arrives late, have the same identifier, over all restarts.
const callIDBytes = 6

// newCallID makes the value of headerCall for one attempt of a call.
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

// parseCallerTimeout reads from a call's identifier how long its caller waits. Calls
// without a deadline do not say.
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

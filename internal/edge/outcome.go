package edge

import (
	"errors"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// notAcceptedError says that it is certain that no store accepted the message or
// ever will.
type notAcceptedError struct {
	cause error // of the last attempt; nil if there was none
}

func (e *notAcceptedError) Error() string {
	return withCause("no store could take the message", e.cause)
}

func (e *notAcceptedError) Unwrap() error { return e.cause }

// indeterminateError says that a store may have accepted the message.
type indeterminateError struct {
	cause error // of the last attempt
}

func (e *indeterminateError) Error() string { return withCause("no store answered in time", e.cause) }

func (e *indeterminateError) Unwrap() error { return e.cause }

// errIDConflict says that the id belongs to a message of another tenant.
var errIDConflict = errors.New("the attempt id is in use")

func withCause(text string, cause error) string {
	if cause == nil {
		return text
	}
	return text + ": " + cause.Error()
}

// forwardErrorStatus maps the error of a forward to the status and the text for
// the client. Only this function decides that, since each status is a
// promise:
//
//   - 400, 408, 421, 429, 503: the message was not accepted and never will be, so
//     the client may send it anew. Given here are 400 where the id is another
//     tenant's, and 503; 429 is given by checkRate and 408 by httpwire, both before
//     a store was asked; no edge gives 421.
//   - 502, 504: unclear. The message may have been accepted; only under the same
//     id may the client send it again without it running twice. A forward ends
//     with 504. It is also what any other error gets: an error that nobody thought
//     of must promise nothing.
func forwardErrorStatus(err error) (status int, text string) {
	var notAccepted *notAcceptedError
	switch {
	case errors.Is(err, errIDConflict):
		return 400, err.Error()
	case errors.As(err, &notAccepted):
		return 503, "the message was not taken: " + err.Error()
	default:
		return 504, err.Error()
	}
}

// forwardErrorResponse answers a client whose message could not be forwarded.
func (e *Edge) forwardErrorResponse(id string, err error) *httpwire.Response {
	status, text := forwardErrorStatus(err)
	response := httpwire.Problem(status, text)
	switch status {
	case 503:
		e.log.Printf("edge: 503 to %s: %v", id, err)
		return withRetryAfter(response, e.timing.unavailableRetryAfter())
	case 504:
		e.log.Printf("edge: 504 to %s: %v", id, err)
	}
	return response
}

// attemptOutcome is what one call to a primary says about the message.
type attemptOutcome int

const (
	// attemptAccepted: as many disks as asked for hold the message.
	attemptAccepted attemptOutcome = iota
	// attemptIDConflict: the id belongs to a message of another tenant.
	attemptIDConflict
	// attemptMisdirected: the store is not the primary or cannot write; it did not
	// accept the message.
	attemptMisdirected
	// attemptDeclined: the primary cannot accept messages now, for want of backups
	// or of room; it did not accept this one.
	attemptDeclined
	// attemptNotSent: the store got nothing of the call.
	attemptNotSent
	// attemptIndeterminate: the store answered, but not whether it has the message.
	attemptIndeterminate
	// attemptUnanswered: the call was sent and not answered.
	attemptUnanswered
)

// certainlyNotAccepted tells whether the message is certainly not on the store that was asked.
func (o attemptOutcome) certainlyNotAccepted() bool {
	return o == attemptMisdirected || o == attemptDeclined || o == attemptNotSent
}

// classifyAttempt tells what the error of an /accept call means.
func classifyAttempt(err error) attemptOutcome {
	if err == nil {
		return attemptAccepted
	}
	switch rpc.StatusCode(err) {
	case 409:
		return attemptIDConflict
	case 421:
		return attemptMisdirected
	case 503:
		return attemptDeclined
	case 0:
		if httpwire.NotSent(err) {
			return attemptNotSent
		}
		return attemptUnanswered
	default:
		return attemptIndeterminate
	}
}

package edge

import (
	"errors"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// notAcceptedError means that certainly no store has accepted the message or will
// accept it later.
type notAcceptedError struct {
	cause error // of the last attempt; nil if there was none
}

func (e *notAcceptedError) Error() string {
	return withCause("no store could take the message", e.cause)
}

func (e *notAcceptedError) Unwrap() error { return e.cause }

// indeterminateError means that a store may have accepted the message.
type indeterminateError struct {
	cause error // of the last attempt
}

func (e *indeterminateError) Error() string { return withCause("no store answered in time", e.cause) }

func (e *indeterminateError) Unwrap() error { return e.cause }

// errIDConflict means that the ID belongs to a message of another tenant.
var errIDConflict = errors.New("the attempt id is in use")

func withCause(text string, cause error) string {
	if cause == nil {
		return text
	}
	return text + ": " + cause.Error()
}

// forwardErrorStatus maps the error of a forward to the status and the text for
// the client. The mapping is kept in one place because each status is a guarantee to
// the client:
//
//   - 400, 408, 421, 429, 503: the message was not accepted and never will be, so
//     the client may resend it under any ID. This function returns 400 if the ID
//     belongs to another tenant, and 503; checkRate returns 429 and httpwire 408,
//     both before a store is called. An edge never returns 421.
//   - 502, 504: indeterminate. The message may have been accepted; the client must
//     reuse its ID when it resends it, or it may run twice. A forward ends with 504,
//     and so does any unexpected error, since nothing can be guaranteed for it.
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

// forwardErrorResponse builds the response for a message that could not be forwarded.
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

// attemptOutcome classifies the result of one /accept call to a primary.
type attemptOutcome int

const (
	// attemptAccepted: the required number of disks hold the message.
	attemptAccepted attemptOutcome = iota
	// attemptIDConflict: the id belongs to a message of another tenant.
	attemptIDConflict
	// attemptMisdirected: the store is not the primary or cannot write; it did not
	// accept the message.
	attemptMisdirected
	// attemptDeclined: the primary cannot accept messages now, for lack of backups
	// or of space; it did not accept this one.
	attemptDeclined
	// attemptNotSent: no part of the call was sent to the store.
	attemptNotSent
	// attemptIndeterminate: the response does not tell whether the store has the
	// message.
	attemptIndeterminate
	// attemptUnanswered: the call was sent but got no response.
	attemptUnanswered
)

// certainlyNotAccepted reports whether the called store certainly lacks the message.
func (o attemptOutcome) certainlyNotAccepted() bool {
	return o == attemptMisdirected || o == attemptDeclined || o == attemptNotSent
}

// classifyAttempt maps the error of an /accept call to its outcome.
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
		return classifyWithoutStatus(err)
	default:
		return attemptIndeterminate
	}
}

// classifyWithoutStatus maps the error of an /accept call that has no status.
func classifyWithoutStatus(err error) attemptOutcome {
	switch {
	case httpwire.NotSent(err):
		return attemptNotSent
	case rpc.Answered(err): // only the second exchange of a call that was sent twice
		return attemptIndeterminate
	default:
		return attemptUnanswered
	}
}

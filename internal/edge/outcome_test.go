package edge

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// statusError returns the error of a call to which the store responded with a status.
func statusError(code int) error {
	return &httpwire.Error{Step: "/accept", Sent: true, Err: &rpc.StatusError{Code: code, Text: "text"}}
}

// transportError returns the error of a call without a response, wrapped as by rpc.
func transportError(sent bool) error {
	return fmt.Errorf("/accept: %w", &httpwire.Error{Step: "step", Sent: sent, Err: syscall.ECONNREFUSED})
}

// resentError returns the error of a call that was sent twice, and whose second exchange
// the store answered with a status.
func resentError(code int) error {
	return &httpwire.Error{Step: "/accept", Sent: true, Err: &rpc.ResentError{Second: rpc.StatusError{Code: code, Text: "text"}}}
}

// Guards also against a message in two partitions: a refusal of the second exchange of a call
// says nothing of the first one (docs/incidents/refusal-of-a-second-exchange.md).
func TestClassifyAttempt(t *testing.T) {
	for _, test := range []struct {
		name    string
		err     error
		outcome attemptOutcome
		certain bool // that the store does not have the message
	}{
		{"accepted", nil, attemptAccepted, false},
		{"id of another tenant", statusError(409), attemptIDConflict, false},
		{"not the primary", statusError(421), attemptMisdirected, true},
		{"no room or backups", statusError(503), attemptDeclined, true},
		{"nothing was sent", transportError(false), attemptNotSent, true},
		{"sent, no answer", transportError(true), attemptUnanswered, false},
		{"an error that says nothing of the call", errors.New("unknown"), attemptUnanswered, false},
		{"backups did not answer in time", statusError(504), attemptIndeterminate, false},
		{"fault of the store", statusError(500), attemptIndeterminate, false},
		{"a client error that no store gives", statusError(400), attemptIndeterminate, false},
		{"sent twice, then not the primary", resentError(421), attemptIndeterminate, false},
		{"sent twice, then no room or backups", resentError(503), attemptIndeterminate, false},
		{"sent twice, then id of another tenant", resentError(409), attemptIndeterminate, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome := classifyAttempt(test.err)
			if outcome != test.outcome {
				t.Errorf("outcome %d, want %d", outcome, test.outcome)
			}
			if outcome.certainlyNotAccepted() != test.certain {
				t.Errorf("certain %v, want %v", outcome.certainlyNotAccepted(), test.certain)
			}
		})
	}
}

// The texts are part of the responses to clients.
func TestForwardErrorStatus(t *testing.T) {
	cause := errors.New("cause")
	for _, test := range []struct {
		name   string
		err    error
		status int
		text   string
	}{
		{"id of another tenant", errIDConflict, 400, "the attempt id is in use"},
		{"certain, no store was asked", &notAcceptedError{}, 503, "the message was not taken: no store could take the message"},
		{"certain", &notAcceptedError{cause}, 503, "the message was not taken: no store could take the message: cause"},
		{"certain, wrapped", fmt.Errorf("wrapped: %w", &notAcceptedError{cause}), 503, "the message was not taken: wrapped: no store could take the message: cause"},
		{"unclear", &indeterminateError{cause}, 504, "no store answered in time: cause"},
		{"unclear after a certain attempt", &indeterminateError{statusError(503)}, 504, "no store answered in time: " + statusError(503).Error()},
		{"unforeseen error", cause, 504, "cause"},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, text := forwardErrorStatus(test.err)
			if status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			if text != test.text {
				t.Errorf("text %q, want %q", text, test.text)
			}
		})
	}
}

func TestForwardErrorsWrapTheirCause(t *testing.T) {
	cause := statusError(503)
	for _, err := range []error{&notAcceptedError{cause}, &indeterminateError{cause}} {
		if rpc.StatusCode(err) != 503 {
			t.Errorf("%T: status %d of the cause, want 503", err, rpc.StatusCode(err))
		}
	}
}

package configstore

import (
	"errors"
	"fmt"
)

// RejectedError reports that the state does not allow a change. It is returned only
// once the tail holds that state. No other failure is reported as a rejection, since a
// change that failed on the way may still take effect.
type RejectedError struct {
	Code int    `json:"code"` // an HTTP status
	Text string `json:"text"`
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", e.Code, e.Text)
}

// UnavailableError reports that a call certainly had no effect, because it did not
// reach the state.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return e.Err.Error() }

// Unwrap returns the reason why the call did not reach the state.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ErrNoView reports that this core does not know a view of the chain yet.
var ErrNoView error = &UnavailableError{errors.New("no view of the chain is known yet")}

package configstore

import (
	"errors"
	"fmt"
)

// RejectedError says that the state does not allow a change. It is given only
// once the tail holds that state, and nothing else may reject a change: one that
// failed on the way may be in force all the same.
type RejectedError struct {
	Code int    `json:"code"` // an HTTP status
	Text string `json:"text"`
}

func (e *RejectedError) Error() string { return fmt.Sprintf("refused %d: %s", e.Code, e.Text) }

// UnavailableError is the error of a call that certainly did nothing: it did not
// come as far as the state.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return e.Err.Error() }

// Unwrap gives why the call did not come as far.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ErrNoView says that this core knows no view of the chain yet.
var ErrNoView error = &UnavailableError{errors.New("no view is known")}

package rpc

import (
	"errors"
	"fmt"
)

// StatusError is the error of a call whose response has a status other than 2xx.
type StatusError struct {
	Code int    // the HTTP status
	Text string // the body, with surrounding white space trimmed
}

func (s *StatusError) Error() string { return fmt.Sprintf("answered %d %s", s.Code, s.Text) }

// StatusCode returns the status of the StatusError that err wraps, or 0 if there is
// none, which means that no response was received.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

package rpc

import (
	"errors"
	"fmt"
)

// StatusError is the error of a call that was answered with a status other than
// 2xx.
type StatusError struct {
	Code int    // the HTTP status
	Text string // the body, without surrounding space
}

func (s *StatusError) Error() string { return fmt.Sprintf("answered %d %s", s.Code, s.Text) }

// StatusCode returns the status of the StatusError that err wraps, or 0 if it
// wraps none: then there was no response.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

package rpc

import (
	"bytes"
	"errors"
	"fmt"

	"saltreel/internal/httpwire"
)

// StatusError is the error of a call whose response has a status other than 2xx.
type StatusError struct {
	Code int    // the HTTP status
	Text string // the body, with surrounding white space trimmed
}

func (s *StatusError) Error() string { return fmt.Sprintf("answered %d %s", s.Code, s.Text) }

// ResentError is the error of a call that the client sent twice, and whose second
// exchange was answered with a status other than 2xx. Only the second exchange is known to
// have failed: the first one may have been executed, also by an earlier process at the
// same address. It wraps no *StatusError, so that nobody takes the status for that of the
// call.
type ResentError struct{ Second StatusError }

func (e *ResentError) Error() string {
	return "the first exchange broke, the second one " + e.Second.Error()
}

// refusal returns the error of a call whose response has a status other than 2xx.
func refusal(response *httpwire.ClientResponse) error {
	status := StatusError{Code: response.Status, Text: string(bytes.TrimSpace(response.Body))}
	if response.Resent {
		return &ResentError{Second: status}
	}
	return &status
}

// Answered reports whether a call with this error got a response.
func Answered(err error) bool {
	return StatusCode(err) != 0 || errors.As(err, new(*ResentError))
}

// StatusCode returns the status of the StatusError that err wraps, or 0 if there is
// none, which means that no response was received or that the call was sent twice.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

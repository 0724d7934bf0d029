package operator

import (
	"errors"
	"net/http"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// IndeterminateError says that an order had no conclusive answer: it may be in
// force, or take effect later. The same order may be sent again by anybody
// within a day; if it took effect before, that is acknowledged.
type IndeterminateError struct{ Err error }

func (e *IndeterminateError) Error() string { return "no clear answer: " + e.Err.Error() }
func (e *IndeterminateError) Unwrap() error { return e.Err }

// statusOf maps an error of the control plane to the HTTP status that the
// operator gets, and its text.
func statusOf(err error, write bool) (status int, text string) {
	var rejected *controlplane.RejectedError
	switch {
	case errors.As(err, &rejected):
		return rejected.Code, rejected.Text
	case isUnavailable(err) || !write:
		return http.StatusServiceUnavailable, err.Error()
	}
	return http.StatusGatewayTimeout, err.Error() // the order may still take effect
}

// isUnavailable reports whether a call certainly had no effect, since it did
// not reach the state.
func isUnavailable(err error) bool {
	return errors.As(err, new(*controlplane.UnavailableError))
}

// errorFromStatus maps the HTTP status of an answer to an error, nil for success.
func errorFromStatus(status int, body []byte) error {
	if status/100 == 2 {
		return nil
	}
	return &rpc.StatusError{Code: status, Text: string(body)}
}

// outcome is what an attempt means for an order.
type outcome int

const (
	succeeded outcome = iota
	rejected          // conclusive: the order is not possible
	noEffect          // the order certainly did not take effect; it may be sent again
	unknown           // the order may have taken effect, or take effect later
)

// outcomeOf maps the error of an attempt to its outcome.
func outcomeOf(err error) outcome {
	if err == nil {
		return succeeded
	}
	switch status := rpc.StatusCode(err); status {
	case 0: // no answer
		if httpwire.NotSent(err) {
			return noEffect
		}
		return unknown
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return noEffect
	default:
		if status/100 == 4 {
			return rejected
		}
		return unknown
	}
}

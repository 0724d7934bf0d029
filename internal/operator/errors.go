package operator

import (
	"errors"
	"net/http"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// IndeterminateError reports that a request got no conclusive response: it may be in
// force, or may take effect later. Any client may send the same request again within a
// day; if it has already taken effect, it is acknowledged.
type IndeterminateError struct{ Err error }

func (e *IndeterminateError) Error() string { return "no conclusive response: " + e.Err.Error() }
func (e *IndeterminateError) Unwrap() error { return e.Err }

// statusOf maps an error of the control plane to the HTTP status and text of the response.
func statusOf(err error, write bool) (status int, text string) {
	var rejected *controlplane.RejectedError
	switch {
	case errors.As(err, &rejected):
		return rejected.Code, rejected.Text
	case isUnavailable(err) || !write:
		return http.StatusServiceUnavailable, err.Error()
	}
	return http.StatusGatewayTimeout, err.Error() // the request may still take effect
}

// isUnavailable reports whether a call certainly had no effect, since it did not reach
// the state.
func isUnavailable(err error) bool {
	return errors.As(err, new(*controlplane.UnavailableError))
}

// errorFromStatus maps the HTTP status of a response to an error, nil for success.
func errorFromStatus(status int, body []byte) error {
	if status/100 == 2 {
		return nil
	}
	return &rpc.StatusError{Code: status, Text: string(body)}
}

// outcome is the result of an attempt with regard to the request.
type outcome int

const (
	succeeded outcome = iota
	rejected          // conclusive: the request is not possible
	noEffect          // the request certainly had no effect; it may be sent again
	unknown           // the request may have taken effect, or may take effect later
)

// outcomeOf maps the error of an attempt to its outcome.
func outcomeOf(err error) outcome {
	if err == nil {
		return succeeded
	}
	switch status := rpc.StatusCode(err); status {
	case 0: // no response
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

package store

import (
	"errors"
	"net/http"

	"saltreel/internal/partition"
	"saltreel/internal/ratelimit"
)

// Errors of the calls that this package handles.
var (
	// ErrUnknownMessage means that the tenant has no message with that ID.
	ErrUnknownMessage = errors.New("no such message")
	// ErrBodyDeleted means that the message is complete, so its body was deleted.
	ErrBodyDeleted = errors.New("the message is complete; its body is gone")
)

// UnhealthyError means that the disk of the store does not work.
type UnhealthyError struct{ Err error }

func (e *UnhealthyError) Error() string { return e.Err.Error() }

// Unwrap returns the disk error.
func (e *UnhealthyError) Unwrap() error { return e.Err }

// statusCode maps the errors of the calls that a store serves, including those of
// package partition, to status codes; 0 leaves the error to rpc.Handler.
func statusCode(err error) int {
	var unhealthy *UnhealthyError
	var notOwner *ratelimit.NotOwnerError
	switch {
	case errors.Is(err, ErrUnknownMessage):
		return http.StatusNotFound
	case errors.Is(err, ErrBodyDeleted):
		return http.StatusGone
	case errors.As(err, &notOwner):
		return http.StatusMisdirectedRequest
	case errors.As(err, &unhealthy),
		errors.Is(err, ratelimit.ErrNoConfiguration),
		errors.Is(err, ratelimit.ErrCallerTimedOut):
		return http.StatusServiceUnavailable
	}
	return partition.StatusCode(err)
}

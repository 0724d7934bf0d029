package registry

import (
	"errors"
	"fmt"
	"net/http"
)

// WrongEpochError reports that a core did not persist tombstones for a quorum epoch
// because another epoch is in force or because the core is not complete for it.
type WrongEpochError struct {
	Requested int64
	InForce   int64
	Complete  int64 // the epoch for which the core is complete
}

func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("wrong quorum epoch: %d is in force, the core is complete for %d, the request is for %d", e.InForce, e.Complete, e.Requested)
}

// NoQuorumError reports that a tombstone did not reach the disks of a quorum in
// time. It may still take effect.
type NoQuorumError struct{ Err error }

func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("tombstone not persisted on a quorum: %v", e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *NoQuorumError) Unwrap() error { return e.Err }

// errNotComplete reports that too few voters sent their tombstones.
var errNotComplete = errors.New("no majority of the voters sent its tombstones")

// StatusCode maps the errors of this package to the HTTP status of a response, and
// other errors to 0.
func StatusCode(err error) int {
	var wrongEpoch *WrongEpochError
	var noQuorum *NoQuorumError
	switch {
	case errors.As(err, &noQuorum):
		return http.StatusServiceUnavailable
	case errors.As(err, &wrongEpoch):
		return http.StatusConflict
	}
	return 0
}

package registry

import (
	"errors"
	"fmt"
	"net/http"
)

// WrongEpochError says that a core did not persist tombstones for a quorum
// epoch, since another one is in force or it is not complete for that one.
type WrongEpochError struct {
	Requested int64
	InForce   int64
	Complete  int64 // the epoch for which the core is complete
}

func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("quorum epoch %d is in force, complete for %d, not %d", e.InForce, e.Complete, e.Requested)
}

// NoQuorumError says that a tombstone did not reach enough disks in time. It may
// take effect all the same.
type NoQuorumError struct{ Err error }

func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("too few cores persist the tombstone: %v", e.Err)
}

// Unwrap gives the error of the last attempt.
func (e *NoQuorumError) Unwrap() error { return e.Err }

// errNotComplete says that too few of the voters sent their entries.
var errNotComplete = errors.New("no majority of the voters has sent its entries")

// StatusCode maps the errors of this package to the status of a call, 0 for
// other errors.
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

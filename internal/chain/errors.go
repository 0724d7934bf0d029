package chain

import (
	"context"
	"errors"
	"fmt"

	"saltreel/internal/rpc"
)

// Errors of this package. Errors with details wrap one of them.
var (
	// ErrNotHead means that updates enter at another member.
	ErrNotHead = errors.New("this machine is not the head")
	// ErrNotTail means that reads are answered by another member.
	ErrNotTail = errors.New("this machine is not the tail")
	// ErrNotInView means that an update is for a view in which this core is not the
	// successor of a member.
	ErrNotInView = errors.New("this machine follows no member of the view")
	// ErrStaleView means that an update belongs to an earlier view than the current one.
	ErrStaleView = errors.New("stale view")
	// ErrStaleUpdate means that a later update of the same head was received before.
	ErrStaleUpdate = errors.New("stale update")
	// ErrViewChosen means that a vote was requested for a view that is already chosen.
	ErrViewChosen = errors.New("the view is chosen already")
	// ErrViewNotActive means that no update has passed through the tail in its view
	// yet, so that the tail does not know what is committed.
	ErrViewNotActive = errors.New("no update has come through in this view yet")
	// ErrTooFewMembers means that an update would not survive HostFailures host failures.
	ErrTooFewMembers = errors.New("too few members in the view")
	// ErrNoQuorum means that no majority of the voters confirmed the view.
	ErrNoQuorum = errors.New("no majority of the voters confirms the view")
	// ErrBusy means that the context ended while the caller waited for other updates.
	ErrBusy = errors.New("the chain is busy")
	// ErrWrongDisk means that a request was addressed to another disk at this address.
	ErrWrongDisk = errors.New("the disk is another one")
	// ErrDiskFailed means that a write failed, so that memory and disk may differ
	// until the file has been loaded again.
	ErrDiskFailed = errors.New("the disk refuses writes")
)

// HTTP status codes of the errors in responses between cores.
const (
	statusConflict    = 409
	statusMisdirected = 421
	statusUnavailable = 503
)

var statusCodes = []struct {
	err  error
	code int
}{
	{ErrNotHead, statusMisdirected},
	{ErrNotTail, statusMisdirected},
	{ErrNotInView, statusConflict},
	{ErrStaleView, statusConflict},
	{ErrStaleUpdate, statusConflict},
	{ErrViewChosen, statusConflict},
	{ErrWrongDisk, statusConflict},
	{ErrViewNotActive, statusUnavailable},
	{ErrTooFewMembers, statusUnavailable},
	{ErrNoQuorum, statusUnavailable},
	{ErrBusy, statusUnavailable},
	{ErrDiskFailed, statusUnavailable},
}

// StatusCode returns the HTTP status code for an error of this package, for use by
// rpc.Handler. It returns 0 for all other errors, including those answered by a peer.
func StatusCode(err error) int {
	for _, s := range statusCodes {
		if errors.Is(err, s.err) {
			return s.code
		}
	}
	return 0
}

// isWrongDisk reports whether a StatusRequest failed with ErrWrongDisk. For a peer
// that is status 409, which a StatusRequest gets for no other reason.
func isWrongDisk(err error) bool {
	return errors.Is(err, ErrWrongDisk) || rpc.StatusCode(err) == statusConflict
}

// errBusy returns ErrBusy with the reason why the context ended.
func errBusy(ctx context.Context) error { return fmt.Errorf("%w: %w", ErrBusy, ctx.Err()) }

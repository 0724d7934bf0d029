package chain

import (
	"context"
	"errors"
	"fmt"

	"saltreel/internal/rpc"
)

// Errors of this package. Those that carry details wrap one of them.
var (
	// ErrNotHead says that updates enter at another member.
	ErrNotHead = errors.New("this machine is not the head")
	// ErrNotTail says that reads are answered by another member.
	ErrNotTail = errors.New("this machine is not the tail")
	// ErrNotInView says that an update came for a view in which this core is no
	// successor of any member.
	ErrNotInView = errors.New("this machine follows no member of the view")
	// ErrStaleView says that an update belongs to a view before the one in force.
	ErrStaleView = errors.New("stale view")
	// ErrStaleUpdate says that later updates of the same head were here before.
	ErrStaleUpdate = errors.New("stale update")
	// ErrViewChosen says that a vote came for a view that is chosen already.
	ErrViewChosen = errors.New("the view is chosen already")
	// ErrViewNotActive says that no update went through the tail in its view yet,
	// so that it does not know what is committed.
	ErrViewNotActive = errors.New("no update has come through in this view yet")
	// ErrTooFewMembers says that an update would not outlast MaxFailures losses.
	ErrTooFewMembers = errors.New("too few members in the view")
	// ErrNoQuorum says that no majority of the voters confirmed the view.
	ErrNoQuorum = errors.New("no majority of the voters confirms the view")
	// ErrBusy says that the context ended while other updates were under way.
	ErrBusy = errors.New("the chain is busy")
	// ErrWrongDisk says that a request was meant for another disk at this address.
	ErrWrongDisk = errors.New("the disk is another one")
	// ErrDiskFailed says that the disk refused a write, so that memory and disk
	// may differ until the file was loaded again.
	ErrDiskFailed = errors.New("the disk refuses writes")
)

// HTTP statuses with which the errors travel between cores.
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

// StatusCode gives the HTTP status of an error that arose in this core's chain,
// for rpc.Handler. It is 0 for all others, also for what a peer answered.
func StatusCode(err error) int {
	for _, s := range statusCodes {
		if errors.Is(err, s.err) {
			return s.code
		}
	}
	return 0
}

// isWrongDisk tells whether a peer answered a StatusRequest with ErrWrongDisk,
// the only conflict that such a request can meet.
func isWrongDisk(err error) bool {
	return errors.Is(err, ErrWrongDisk) || rpc.StatusCode(err) == statusConflict
}

// errBusy is ErrBusy with why the context ended.
func errBusy(ctx context.Context) error { return fmt.Errorf("%w: %w", ErrBusy, ctx.Err()) }

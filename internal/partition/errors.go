package partition

import (
	"errors"
	"fmt"
)

// Errors of the calls of this package.
var (
	// ErrDiskRefusesWrites says that the last write to this store's disk failed.
	// Another store will lead its partitions soon.
	ErrDiskRefusesWrites = errors.New("this store's disk takes no writes")
	// ErrStoreFull says that the store is over its bound of disk or memory.
	ErrStoreFull = errors.New("this store is full")
	// ErrIDConflict says that the identifier belongs to a message of another tenant.
	ErrIDConflict = errors.New("another tenant's message has this id")
	// ErrSuperseded says that a publisher's number was not accepted, and that a
	// higher one of its topic was: it never will be accepted.
	ErrSuperseded = errors.New("a later number of this publisher was accepted")
	// ErrUnknownMessage says that no replica that answered has the message.
	ErrUnknownMessage = errors.New("no such message")
	// ErrIndeterminate says that this store cannot be sure that there is no such
	// message: it lacks it, and no backup could be asked.
	ErrIndeterminate = errors.New("no backup can say whether there is such a message")
	// ErrUnknownPartition says that this store knows of no such partition.
	ErrUnknownPartition = errors.New("no such partition here")
	// ErrOtherDisk says that this store has another disk than the one that is asked.
	ErrOtherDisk = errors.New("this store has another disk")
	// ErrOutOfOrder says that the batch before this one has not come.
	ErrOutOfOrder = errors.New("the batch before this one has not come")
	// ErrTruncatedBatch says that a batch has fewer bytes of bodies than its
	// records announce.
	ErrTruncatedBatch = errors.New("the bodies are cut short")
)

// DiskError says that the file of a store cannot be opened now. It may be tried
// again.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the disk.
func (e *DiskError) Unwrap() error { return e.Err }

// NotPrimaryError says that this store is not the primary of a partition. A
// message refused with it was not stored.
type NotPrimaryError struct{ Partition int }

func (e *NotPrimaryError) Error() string {
	return fmt.Sprintf("partition %d is not led here", e.Partition)
}

// TooFewBackupsError says that a partition has fewer backups than must hold a
// message. A message refused with it was not stored.
type TooFewBackupsError struct{ Partition, Backups, Needed int }

func (e *TooFewBackupsError) Error() string {
	return fmt.Sprintf("partition %d has %d backups, %d are needed", e.Partition, e.Backups, e.Needed)
}

// UnconfirmedError says that too few replicas confirmed a message in time. It
// may have been stored, and may be delivered.
type UnconfirmedError struct{ Partition int }

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("partition %d: too few stores answered in time", e.Partition)
}

// CertainlyNotStored reports whether an error of Accept says that the call did not
// store the message.
func CertainlyNotStored(err error) bool {
	switch StatusCode(err) {
	case 409, 421, 503:
		return true
	}
	return false
}

// StatusCode is the HTTP status by which an error of this package is answered to
// another process, or 0 where the error is not of this package. docs/calls.md
// lists the codes.
func StatusCode(err error) int {
	var (
		notPrimary    *NotPrimaryError
		tooFewBackups *TooFewBackupsError
		unconfirmed   *UnconfirmedError
	)
	switch {
	case errors.Is(err, ErrTruncatedBatch):
		return 400
	case errors.Is(err, ErrUnknownMessage):
		return 404
	case errors.Is(err, ErrIDConflict), errors.Is(err, ErrSuperseded):
		return 409
	case errors.Is(err, ErrDiskRefusesWrites), errors.Is(err, ErrUnknownPartition), errors.Is(err, ErrOtherDisk), errors.As(err, &notPrimary):
		return 421
	case errors.Is(err, ErrStoreFull), errors.Is(err, ErrOutOfOrder), errors.Is(err, ErrIndeterminate), errors.As(err, &tooFewBackups):
		return 503
	case errors.As(err, &unconfirmed):
		return 504
	}
	return 0
}

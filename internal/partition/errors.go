package partition

import (
	"errors"
	"fmt"
)

// Errors returned by this package. Their texts are part of the protocol between processes
// of different versions.
var (
	// ErrDiskFailed means that the last write to this store's disk failed. Another store
	// will soon lead its partitions.
	ErrDiskFailed = errors.New("this store's disk takes no writes")
	// ErrStoreFull means that the store has exceeded its disk or memory limit.
	ErrStoreFull = errors.New("this store is full")
	// ErrIDConflict means that the identifier belongs to a message of another tenant.
	ErrIDConflict = errors.New("another tenant's message has this id")
	// ErrSuperseded means that a publisher's number was not accepted and never will be,
	// since a higher number of the same publisher and topic was accepted.
	ErrSuperseded = errors.New("a later number of this publisher was accepted")
	// ErrUnknownMessage means that no replica that answered has the message.
	ErrUnknownMessage = errors.New("no such message")
	// ErrIndeterminate means that this store lacks the message and could ask no backup,
	// so the message may exist.
	ErrIndeterminate = errors.New("no backup can say whether there is such a message")
	// ErrUnknownPartition means that the partition is not in the placement known to this
	// store.
	ErrUnknownPartition = errors.New("no such partition here")
	// ErrWrongDisk means that the request is for another disk than the one of this store.
	ErrWrongDisk = errors.New("this store has another disk")
	// ErrOutOfOrder means that the preceding batch has not arrived.
	ErrOutOfOrder = errors.New("the batch before this one has not come")
	// ErrTruncatedBatch means that the bodies of a batch are shorter than its records
	// announce.
	ErrTruncatedBatch = errors.New("the bodies are cut short")
)

// DiskError means that the file of a store cannot be opened at present. Opening it may be
// retried.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error of the disk.
func (e *DiskError) Unwrap() error { return e.Err }

// NotPrimaryError means that this store is not the primary of a partition. A message
// rejected with it was not stored.
type NotPrimaryError struct{ Partition int }

func (e *NotPrimaryError) Error() string {
	return fmt.Sprintf("partition %d is not led here", e.Partition)
}

// TooFewBackupsError means that a partition has fewer backups than must hold a message. A
// message rejected with it was not stored.
type TooFewBackupsError struct{ Partition, Backups, Needed int }

func (e *TooFewBackupsError) Error() string {
	return fmt.Sprintf("partition %d has %d backups, %d are needed", e.Partition, e.Backups, e.Needed)
}

// UnconfirmedError means that too few replicas confirmed a message in time. The message
// may have been stored and may be delivered.
type UnconfirmedError struct{ Partition int }

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("partition %d: too few stores answered in time", e.Partition)
}

// CertainlyNotStored reports whether an error of Accept guarantees that the call did not
// store the message.
func CertainlyNotStored(err error) bool {
	switch StatusCode(err) {
	case 409, 421, 503:
		return true
	}
	return false
}

// StatusCode returns the HTTP status with which an error of this package is reported to
// another process, or 0 for other errors. docs/calls.md lists the codes.
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
	case errors.Is(err, ErrDiskFailed), errors.Is(err, ErrUnknownPartition), errors.Is(err, ErrWrongDisk), errors.As(err, &notPrimary):
		return 421
	case errors.Is(err, ErrStoreFull), errors.Is(err, ErrOutOfOrder), errors.Is(err, ErrIndeterminate), errors.As(err, &tooFewBackups):
		return 503
	case errors.As(err, &unconfirmed):
		return 504
	}
	return 0
}

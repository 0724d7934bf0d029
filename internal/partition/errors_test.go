package partition

import (
	"context"
	"errors"
	"testing"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

// The status codes and texts are part of the protocol between processes of different
// versions.
func TestErrorsHaveTheCodesAndTextsOfTheCalls(t *testing.T) {
	for _, c := range []struct {
		err  error
		code int
		text string
	}{
		{&NotPrimaryError{7}, 421, "partition 7 is not led here"},
		{&UnconfirmedError{7}, 504, "partition 7: too few stores answered in time"},
		{&TooFewBackupsError{7, 1, 2}, 503, "partition 7 has 1 backups, 2 are needed"},
		{ErrDiskFailed, 421, "this store's disk takes no writes"},
		{ErrStoreFull, 503, "this store is full"},
		{ErrIDConflict, 409, "another tenant's message has this id"},
		{ErrUnknownMessage, 404, "no such message"},
		{ErrIndeterminate, 503, "no backup can say whether there is such a message"},
		{&DiskError{errors.New("no space")}, 0, "no space"},
		{ErrUnknownPartition, 421, "no such partition here"},
		{ErrTruncatedBatch, 400, "the bodies are cut short"},
		{errTruncatedFetch, 0, "the bodies are cut short"},
		{context.DeadlineExceeded, 0, "context deadline exceeded"},
		{errors.New("other"), 0, "other"},
	} {
		if code := StatusCode(c.err); code != c.code || c.err.Error() != c.text {
			t.Errorf("%d %q, want %d %q", code, c.err, c.code, c.text)
		}
	}
}

// An error response of another store must be passed on unchanged.
func TestStatusCodeDoesNotMapTheAnswerOfAnotherStore(t *testing.T) {
	answered := &httpwire.Error{Step: "fetch", Sent: true, Err: &rpc.StatusError{Code: 421, Text: "no such partition here"}}
	if code := StatusCode(answered); code != 0 || rpc.StatusCode(answered) != 421 {
		t.Errorf("%d, %d", code, rpc.StatusCode(answered))
	}
}

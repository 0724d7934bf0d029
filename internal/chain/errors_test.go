package chain

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

func TestStatusCode(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	fromPeer := func(code int) error {
		return fmt.Errorf("forward update: %w", &httpwire.Error{Step: "/chain/pass", Sent: true, Err: &rpc.StatusError{Code: code, Text: "stale view"}})
	}
	for _, test := range []struct {
		err  error
		code int
	}{
		{ErrNotHead, 421},
		{ErrNotTail, 421},
		{ErrNotInView, 409},
		{fmt.Errorf("%w: 3 is sealed", ErrStaleView), 409},
		{fmt.Errorf("%w: number 3", ErrStaleUpdate), 409},
		{fmt.Errorf("%w: 2", ErrViewChosen), 409},
		{fmt.Errorf("%w: it is x", ErrWrongDisk), 409},
		{ErrViewNotActive, 503},
		{fmt.Errorf("%w: there is 1", ErrTooFewMembers), 503},
		{ErrNoQuorum, 503},
		{errBusy(ended), 503},
		{fmt.Errorf("%w: full", ErrDiskFailed), 503},
		{errors.New("write control state: full"), 0}, // answered with 500
		{fromPeer(409), 0},                           // the handler forwards the status of the peer
		{nil, 0},
	} {
		if code := StatusCode(test.err); code != test.code {
			t.Errorf("%v: %d", test.err, code)
		}
	}
	for err, want := range map[error]bool{
		fromPeer(409): true, fromPeer(503): false, fromPeer(500): false, ErrWrongDisk: true, context.DeadlineExceeded: false,
	} {
		if got := isWrongDisk(err); got != want {
			t.Errorf("isWrongDisk(%v): %v", err, got)
		}
	}
}

// The status and error text of a peer are forwarded unchanged to the predecessor.
func TestPeerStatusIsForwardedToPredecessor(t *testing.T) {
	answer := func(err error) *httpwire.Response {
		handle := rpc.Handler(func(context.Context, *struct{}, []byte) (*struct{}, error) { return nil, err }, StatusCode)
		return handle(t.Context(), &httpwire.Request{})
	}
	own := answer(fmt.Errorf("%w: 3 is sealed, 4 is in force", ErrStaleView))
	if own.Status != 409 || string(own.Body) != `{"error-text":"stale view: 3 is sealed, 4 is in force"}` {
		t.Errorf("own error: %d %s", own.Status, own.Body)
	}
	forwarded := answer(fmt.Errorf("forward update: %w", &rpc.StatusError{Code: 409, Text: "stale update"}))
	if forwarded.Status != 409 || string(forwarded.Body) != `{"error-text":"stale update"}` {
		t.Errorf("the successor's error: %d %s", forwarded.Status, forwarded.Body)
	}
	if other := answer(errors.New("write control state: full")); other.Status != 500 {
		t.Errorf("other error: %d %s", other.Status, other.Body)
	}
}

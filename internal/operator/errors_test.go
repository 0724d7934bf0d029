package operator

import (
	"errors"
	"fmt"
	"testing"

	"saltreel/internal/controlplane"
	"saltreel/internal/httpwire"
	"saltreel/internal/rpc"
)

func TestStatusOfErrors(t *testing.T) {
	rejected := &controlplane.RejectedError{Code: 412, Text: "revision 7 is in force"}
	unavailable := &controlplane.UnavailableError{Err: errors.New("no view")}
	for _, c := range []struct {
		err    error
		write  bool
		status int
		text   string
	}{
		{rejected, true, 412, "revision 7 is in force"},
		{fmt.Errorf("propose: %w", rejected), true, 412, "revision 7 is in force"},
		{unavailable, true, 503, "no view"},
		{unavailable, false, 503, "no view"},
		{errors.New("timeout"), true, 504, "timeout"}, // the request may still take effect
		{errors.New("timeout"), false, 503, "timeout"},
	} {
		if status, text := statusOf(c.err, c.write); status != c.status || text != c.text {
			t.Errorf("%v, write is %v: got %d %q, want %d %q", c.err, c.write, status, text, c.status, c.text)
		}
	}
}

func TestOutcomeOfAttempts(t *testing.T) {
	for _, c := range []struct {
		err     error
		outcome outcome
	}{
		{nil, succeeded},
		{&httpwire.Error{Err: errors.New("refused")}, noEffect},
		{&httpwire.Error{Sent: true, Err: errors.New("closed")}, unknown},
		{errors.New("other"), unknown},
		{errorFromStatus(200, nil), succeeded},
		{errorFromStatus(204, nil), succeeded},
		{errorFromStatus(304, nil), unknown},
		{errorFromStatus(400, nil), rejected},
		{errorFromStatus(404, nil), rejected},
		{errorFromStatus(408, nil), noEffect},
		{errorFromStatus(412, nil), rejected},
		{errorFromStatus(429, nil), noEffect},
		{errorFromStatus(500, nil), unknown},
		{errorFromStatus(503, nil), noEffect},
		{errorFromStatus(504, nil), unknown},
	} {
		if got := outcomeOf(c.err); got != c.outcome {
			t.Errorf("%v: got %d, want %d", c.err, got, c.outcome)
		}
	}
	if text := errorFromStatus(409, []byte("too few stores")).Error(); text != (&rpc.StatusError{Code: 409, Text: "too few stores"}).Error() {
		t.Errorf("the text of the response is lost: %s", text)
	}
}

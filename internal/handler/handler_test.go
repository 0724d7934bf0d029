package handler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

func TestOutcomeOfResponse(t *testing.T) {
	seal, declined := http.Header{headerSeal: {"s"}}, http.Header{headerNotExecuted: {"1"}}
	both := http.Header{headerSeal: {"s"}, headerNotExecuted: {"1"}}
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   Outcome
	}{
		"success":                       {200, seal, Done},
		"success without content":       {204, seal, Done},
		"success without a seal":        {200, nil, Indeterminate},
		"success that was not executed": {200, both, NotExecuted},
		"another instance":              {421, declined, WrongInstance},
		"rejected":                      {422, nil, Refused},
		"failed":                        {500, nil, Failed},
		"failed and not executed":       {500, declined, NotExecuted},
		"bad request":                   {400, nil, NotExecuted},
		"conflict":                      {409, nil, NotExecuted},
		"too many requests":             {429, nil, NotExecuted},
		"unavailable":                   {503, nil, NotExecuted},
		"of a proxy":                    {502, seal, Indeterminate},
		"redirection":                   {302, seal, Indeterminate},
		"not found":                     {404, nil, Indeterminate},
	} {
		if got := outcomeOf(&httpwire.ClientResponse{Status: c.status, Header: c.header}); got != c.want {
			t.Errorf("%s: %v, not %v", name, got, c.want)
		}
	}
}

func TestOutcomeWithoutResponse(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want Outcome
		kept bool
	}{
		"not sent":              {&httpwire.Error{Err: errors.New("refused")}, NoResponse, false},
		"timeout of the socket": {&httpwire.Error{Sent: true, Err: os.ErrDeadlineExceeded}, NoResponse, false},
		"timeout of the call":   {&httpwire.Error{Sent: true, Err: context.DeadlineExceeded}, NoResponse, false},
		"broken":                {&httpwire.Error{Sent: true, Err: errors.New("reset")}, Indeterminate, false},
		"broken while idle":     {&httpwire.Error{Sent: true, Reused: true, Err: errors.New("reset")}, Indeterminate, true},
		"of another kind":       {errors.New("unknown"), Indeterminate, false},
	} {
		err := fmt.Errorf("deliver: %w", c.err)
		if got := failedResult(err); got.Outcome != c.want || got.IdleConnectionBroke != c.kept || !errors.Is(got.Err, c.err) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestDeliveryCall(t *testing.T) {
	d := Delivery{ID: "m1", Tenant: "t", Instance: "i", Method: "POST", Target: "/a", Host: "h", Body: []byte("x"), Timeout: 2 * time.Second}
	call := d.call()
	want := []string{headerAttemptID, "m1", headerDeadline, "2000", headerTenant, "t", headerExpectInstance, "i"}
	if !slices.Equal(call.Header, want) || call.EchoHeader != headerAttemptID || call.Idempotent {
		t.Errorf("%+v", call)
	}
}

func TestParseHeartbeat(t *testing.T) {
	const valid = `{"service":"s","address":"10.0.0.1:9000","oper-state":"ready","slots":2,"call-seq":7}`
	for name, c := range map[string]struct {
		id, body, want string // part of the error; empty: admitted
	}{
		"valid":             {"i", valid, ""},
		"draining":          {"i", strings.Replace(valid, "ready", "draining", 1), ""},
		"not JSON":          {"i", "{", "cannot be read"},
		"without an id":     {"", valid, "names no instance"},
		"without a service": {"i", strings.Replace(valid, `"s"`, `""`, 1), "names no service"},
		"an unknown state":  {"i", strings.Replace(valid, "ready", "idle", 1), "neither ready nor draining"},
		"negative slots":    {"i", strings.Replace(valid, ":2", ":-2", 1), "below 0"},
		"without a port":    {"i", strings.Replace(valid, ":9000", "", 1), "not host:port"},
	} {
		in, err := ParseHeartbeat(c.id, []byte(c.body))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil && (in.ID != "i" || in.CallSeq != 7) {
			t.Errorf("%s: %+v", name, in)
		}
	}
}

func TestSinkAnswersWithASeal(t *testing.T) {
	var out strings.Builder
	r := &httpwire.Request{Request: httptest.NewRequest("POST", "http://h/a", nil), Body: []byte("hi")}
	r.Header.Set(headerAttemptID, "m1")
	got := sinkResponse(r, &out)
	answer := &httpwire.ClientResponse{Status: got.Status, Header: http.Header{}}
	for i := 0; i < len(got.Header); i += 2 {
		answer.Header.Set(got.Header[i], got.Header[i+1])
	}
	if outcomeOf(answer) != Done || answer.Header.Get(headerAttemptID) != "m1" || !strings.Contains(out.String(), `message m1: "hi"`) {
		t.Errorf("%+v, printed %q", got, out.String())
	}
}

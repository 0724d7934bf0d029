package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"saltreel/internal/httpwire"
	"saltreel/internal/partition"
	"saltreel/internal/placement"
	"saltreel/internal/ratelimit"
	"saltreel/internal/rpc"
	"saltreel/internal/settings"
)

// newTestStore returns a store without a network that is primary of partition 0 and
// needs no backups.
func newTestStore(t *testing.T) *Store {
	t.Helper()
	set := &settings.Settings{
		NodeName: "me", IpAddress: "10.0.0.1", InternalPortRange: []int32{7100},
		DataPath:       t.TempDir(),
		Timers:         &settings.Timers{ContactMs: 4000, StatusTtlS: 60, GraceS: 20, QuotaAllowance: 20, OriginOvershoot: 1.1},
		Limits:         &settings.Limits{},
		FaultTolerance: &settings.FaultTolerance{},
	}
	network := httpwire.Network{Dial: func(context.Context, string) (net.Conn, error) { return nil, io.EOF }}
	s, err := New(t.Context(), set, network, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.partitions.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	s.partitions.ApplyPlacement(placement.Placement{
		Version:    1,
		Stores:     map[string]placement.Store{"me": {Disk: s.partitions.DiskID()}},
		Partitions: []placement.Partition{{Primary: "me", Epoch: 1}},
	})
	return s
}

// call sends a call to the store in its wire format: JSON, then raw bytes.
func call(t *testing.T, s *Store, path string, in any, raw []byte) *httpwire.Response {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	if raw != nil {
		body = append(append(body, '\n'), raw...)
	}
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: path}, Header: http.Header{}}
	return s.calls().Handle(t.Context(), &httpwire.Request{Request: request, Body: body, Received: time.Now()})
}

// accept sends a message of tenant "one" to the store.
func accept(t *testing.T, s *Store, n int, id string) *httpwire.Response {
	t.Helper()
	r := partition.Record{ID: id, Tenant: "one", Host: "h", Target: "/"}
	return call(t, s, "/accept", AcceptRequest{Partition: n, Message: r, WaitMs: 5000}, []byte("body of "+id))
}

func TestAcceptedMessageIsFoundByItsTenant(t *testing.T) {
	s := newTestStore(t)
	for _, id := range []string{"pending", "complete", "dead"} {
		if got := accept(t, s, 0, id); got.Status != 200 {
			t.Fatalf("accept of %s: %d %s", id, got.Status, got.Body)
		}
	}
	s.partitions.Finish(0, "complete", partition.Complete, "seal")
	s.partitions.Finish(0, "dead", partition.DeadLetter, "")
	for _, c := range []struct {
		path   string
		query  MessageQuery
		status int
		body   string
	}{
		{"/status", MessageQuery{ID: "pending", Tenant: "one"}, 200, `{"state":0}`},
		{"/status", MessageQuery{ID: "complete", Tenant: "one"}, 200, `{"state":2,"seal":"seal"}`},
		{"/status", MessageQuery{ID: "dead", Tenant: "one"}, 200, `{"state":1}`},
		{"/status", MessageQuery{ID: "pending", Tenant: "two"}, 404, "no such message"},
		{"/status", MessageQuery{ID: "never", Tenant: "one"}, 404, "no such message"},
		{"/status", MessageQuery{ID: "pending", Tenant: "one", Partition: 7}, 421, "partition 7"},
		{"/body", MessageQuery{ID: "pending", Tenant: "one"}, 200, "body of pending"},
		{"/body", MessageQuery{ID: "dead", Tenant: "one"}, 200, "body of dead"},
		{"/body", MessageQuery{ID: "complete", Tenant: "one"}, 410, "the message is complete; its body is gone"},
		{"/body", MessageQuery{ID: "pending", Tenant: "two"}, 404, "no such message"},
		{"/body", MessageQuery{ID: "never", Tenant: "one"}, 404, "no such message"},
	} {
		got := call(t, s, c.path, c.query, nil)
		exact := string(got.Body) == c.body
		if got.Status != c.status || got.Status == 200 && !exact || !bytes.Contains(got.Body, []byte(c.body)) {
			t.Errorf("%s of %+v: %d %s", c.path, c.query, got.Status, got.Body)
		}
	}
}

func TestAcceptElsewhereIsMisdirected(t *testing.T) {
	if got := accept(t, newTestStore(t), 1, "a"); got.Status != 421 {
		t.Errorf("answered %d %s", got.Status, got.Body)
	}
}

func TestUnreadableCallIsRejected(t *testing.T) {
	s := newTestStore(t)
	for _, path := range []string{"/accept", "/status", "/body", "/grant", "/handover"} {
		if got := call(t, s, path, []int{1}, nil); got.Status != 400 {
			t.Errorf("%s: %d %s", path, got.Status, got.Body)
		}
	}
}

func TestPingAnswersWhileTheDiskWorks(t *testing.T) {
	if got := call(t, newTestStore(t), "/ping", struct{}{}, nil); got.Status != 200 {
		t.Errorf("answered %d %s", got.Status, got.Body)
	}
}

func TestGrantNeedsAConfiguration(t *testing.T) {
	got := call(t, newTestStore(t), "/grant", ratelimit.QuotaLeaseRequest{Partitions: 1}, nil)
	if got.Status != 503 || !bytes.Contains(got.Body, []byte("no configuration is known here")) {
		t.Errorf("answered %d %s", got.Status, got.Body)
	}
}

func TestHandoverStopsDeliveries(t *testing.T) {
	s := newTestStore(t)
	eventually(t, "the primary may deliver", func() bool { return s.partitions.MayDeliver(0) })
	got := call(t, s, "/handover", placement.HandoverRequest{Partitions: map[int]int64{0: 1}}, nil)
	if got.Status != 200 || string(got.Body) != `{"partitions":{"0":1}}` || s.partitions.MayDeliver(0) {
		t.Errorf("answered %d %s, may deliver %v", got.Status, got.Body, s.partitions.MayDeliver(0))
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestStatusCodesOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{ErrUnknownMessage, 404},
		{ErrBodyDeleted, 410},
		{&ratelimit.NotOwnerError{Tenant: "one"}, 421},
		{&UnhealthyError{Err: errors.New("no space")}, 503},
		{ratelimit.ErrNoConfiguration, 503},
		{ratelimit.ErrCallerTimedOut, 503},
		{errors.New("another one"), 0},
		{&rpc.StatusError{Code: 409, Text: "left to rpc.Handler"}, 0},
	} {
		if got := statusCode(c.err); got != c.want {
			t.Errorf("%v: %d, not %d", c.err, got, c.want)
		}
		if got := statusCode(fmt.Errorf("wrapped: %w", c.err)); got != c.want {
			t.Errorf("wrapped %v: %d, not %d", c.err, got, c.want)
		}
	}
}

func TestUnhealthyErrorIsTheDisksError(t *testing.T) {
	disk := errors.New("no space")
	if err := error(&UnhealthyError{Err: disk}); err.Error() != "no space" || !errors.Is(err, disk) {
		t.Errorf("%v", err)
	}
}

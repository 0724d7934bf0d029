package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// Answers of a fake control plane other than a status.
const (
	answerLost        = 0
	connectionRefused = -1
)

// fakeControlPlane gives one answer to each attempt, in order, at whichever
// address; the last one again and again.
type fakeControlPlane struct {
	t        *testing.T
	answers  []int
	location string   // of a redirect
	attempts []string // the address of each
	bodies   []string
	targets  []string
}

func (f *fakeControlPlane) dial(_ context.Context, address string) (net.Conn, error) {
	answer := f.answers[min(len(f.attempts), len(f.answers)-1)]
	f.attempts = append(f.attempts, address)
	if answer == connectionRefused {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	go f.serve(far, answer)
	return near, nil
}

func (f *fakeControlPlane) serve(conn net.Conn, answer int) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.t.Errorf("read the body: %v", err)
	}
	f.targets = append(f.targets, r.RequestURI)
	f.bodies = append(f.bodies, string(body)+" on "+r.Header.Get("If-Match"))
	if answer == answerLost {
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nLocation: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", answer, f.location); err != nil {
		f.t.Errorf("answer: %v", err)
	}
}

func TestPutConfigurationReportsWhatBecameOfTheOrder(t *testing.T) {
	for _, tc := range []struct {
		answers       []int
		attempts      int
		text          string // of the error, "" for success
		indeterminate bool
	}{
		{[]int{200}, 1, "", false},
		{[]int{answerLost, 504, 503, 200}, 4, "", false},
		{[]int{307, 200}, 2, "", false},
		{[]int{307, 307, 307, 200}, 4, "", false},
		{[]int{412}, 1, "configuration not applied, another change came first", false},
		{[]int{answerLost, 412}, 2, "configuration not applied, another change came first", false},
		{[]int{504, 400}, 2, "configuration not applied, it was rejected", false},
		{[]int{503, 429, connectionRefused}, 8, "configuration not applied, no core accepted it; send the same file again with --if-match 6", false},
		{[]int{504, 503}, 8, "outcome unknown, the configuration may be in force; send the same file again with --if-match 6", true},
		{[]int{answerLost, connectionRefused}, 8, "outcome unknown, the configuration may be in force", true},
		{[]int{503, 500}, 8, "outcome unknown, the configuration may be in force", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeControlPlane{t: t, answers: tc.answers, location: "http://10.0.0.9:82/v1/configuration"}
			c := &Client{Pool: &httpwire.Pool{Network: httpwire.Network{Dial: f.dial}}, Addresses: []string{"a:82", "b:82"}, Timeout: time.Second}
			err := c.PutConfiguration(context.Background(), []byte("seven"), 6)
			if len(f.attempts) != tc.attempts {
				t.Errorf("%v: attempts at %v", tc.answers, f.attempts)
			}
			for _, body := range f.bodies {
				if body != "seven on 6" {
					t.Errorf("%v: sent %q", tc.answers, body)
				}
			}
			if (tc.text == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.text) {
				t.Errorf("%v: %v", tc.answers, err)
			}
			if errors.As(err, new(*IndeterminateError)) != tc.indeterminate {
				t.Errorf("%v: indeterminate is not %v: %v", tc.answers, tc.indeterminate, err)
			}
		})
	}
}

func TestNameOfAStoreIsEscapedInOrdersAndQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeControlPlane{t: t, answers: []int{200}}
		c := &Client{Pool: &httpwire.Pool{Network: httpwire.Network{Dial: f.dial}}, Addresses: []string{"a:82"}, Timeout: time.Second}
		if err := c.Retire(context.Background(), "a/b c", time.Second); err != nil {
			t.Error(err)
		}
		if _, err := c.RetireState(context.Background(), "a/b c"); err != nil {
			t.Error(err)
		}
		if want := []string{"/v1/retire/a%2Fb%20c", "/v1/retire/a%2Fb%20c"}; !slices.Equal(f.targets, want) {
			t.Errorf("asked for %q, not %q", f.targets, want)
		}
	})
}

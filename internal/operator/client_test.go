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

// Outcomes of an attempt at a fakeControlPlane that are not HTTP statuses.
const (
	responseLost      = 0
	connectionRefused = -1
)

// fakeControlPlane gives one response to each attempt, in order and at any address; the
// last one repeats.
type fakeControlPlane struct {
	t         *testing.T
	responses []int
	location  string   // of redirects
	attempts  []string // addresses
	bodies    []string
	targets   []string
}

func (f *fakeControlPlane) dial(_ context.Context, address string) (net.Conn, error) {
	response := f.responses[min(len(f.attempts), len(f.responses)-1)]
	f.attempts = append(f.attempts, address)
	if response == connectionRefused {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	go f.serve(far, response)
	return near, nil
}

func (f *fakeControlPlane) serve(conn net.Conn, response int) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.t.Errorf("read the request body: %v", err)
	}
	f.targets = append(f.targets, r.RequestURI)
	f.bodies = append(f.bodies, string(body)+" on "+r.Header.Get("If-Match"))
	if response == responseLost {
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nLocation: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", response, f.location); err != nil {
		f.t.Errorf("write the response: %v", err)
	}
}

func TestPutConfigurationReportsTheOutcome(t *testing.T) {
	for _, tc := range []struct {
		responses     []int
		attempts      int
		text          string // part of the error, "" for success
		indeterminate bool
	}{
		{[]int{200}, 1, "", false},
		{[]int{responseLost, 504, 503, 200}, 4, "", false},
		{[]int{307, 200}, 2, "", false},
		{[]int{307, 307, 307, 200}, 4, "", false},
		{[]int{412}, 1, "configuration not applied, another change came first", false},
		{[]int{responseLost, 412}, 2, "configuration not applied, another change came first", false},
		{[]int{504, 400}, 2, "configuration not applied, it was rejected", false},
		{[]int{503, 429, connectionRefused}, 8, "configuration not applied, no core accepted it; send the same file again with --if-match 6", false},
		{[]int{504, 503}, 8, "outcome unknown, the configuration may be in force; send the same file again with --if-match 6", true},
		{[]int{responseLost, connectionRefused}, 8, "outcome unknown, the configuration may be in force", true},
		{[]int{503, 500}, 8, "outcome unknown, the configuration may be in force", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeControlPlane{t: t, responses: tc.responses, location: "http://10.0.0.9:82/v1/configuration"}
			c := &Client{Pool: &httpwire.Pool{Network: httpwire.Network{Dial: f.dial}}, Addresses: []string{"a:82", "b:82"}, Timeout: time.Second}
			err := c.PutConfiguration(context.Background(), []byte("seven"), 6)
			if len(f.attempts) != tc.attempts {
				t.Errorf("%v: attempts at %v", tc.responses, f.attempts)
			}
			for _, body := range f.bodies {
				if body != "seven on 6" {
					t.Errorf("%v: sent %q", tc.responses, body)
				}
			}
			if (tc.text == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.text) {
				t.Errorf("%v: %v", tc.responses, err)
			}
			if errors.As(err, new(*IndeterminateError)) != tc.indeterminate {
				t.Errorf("%v: indeterminate is not %v: %v", tc.responses, tc.indeterminate, err)
			}
		})
	}
}

func TestStoreNameIsEscapedInPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeControlPlane{t: t, responses: []int{200}}
		c := &Client{Pool: &httpwire.Pool{Network: httpwire.Network{Dial: f.dial}}, Addresses: []string{"a:82"}, Timeout: time.Second}
		if err := c.Retire(context.Background(), "a/b c", time.Second); err != nil {
			t.Error(err)
		}
		if _, err := c.RetireState(context.Background(), "a/b c"); err != nil {
			t.Error(err)
		}
		if want := []string{"/v1/retire/a%2Fb%20c", "/v1/retire/a%2Fb%20c"}; !slices.Equal(f.targets, want) {
			t.Errorf("requested %q, want %q", f.targets, want)
		}
	})
}

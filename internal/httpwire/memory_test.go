package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"saltreel/internal/budget"
)

// budgetServer returns a server with a budget. Its handler waits until release is closed.
func budgetServer(maxBytes int) (s *Server, release chan struct{}) {
	release = make(chan struct{})
	return &Server{
		Budget: budget.New(maxBytes, 0),
		Handle: func(context.Context, *Request) *Response {
			<-release
			return &Response{Status: http.StatusOK}
		},
	}, release
}

// dialServer opens a connection to a server and sends data.
func dialServer(ctx context.Context, s *Server, data string) net.Conn {
	near, far := net.Pipe()
	go s.ServeConn(ctx, far)
	go func() { _, _ = near.Write([]byte(data)) }() // fails if the server closes the connection
	synctest.Wait()
	return near
}

func readStatus(t *testing.T, conn net.Conn) (*http.Response, error) {
	t.Helper()
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// A request that is handled is not broken off in favor of another one, which is refused with
// the promise that it does not run.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := budgetServer(3*connectionBytes + 2048) // one request, and one connection
		first := dialServer(t.Context(), s, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		second := dialServer(t.Context(), s, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := readStatus(t, second)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("request without memory: %+v, %v", response, err)
		}
		close(release)
		if response, err := readStatus(t, first); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request that was handled: %+v, %v", response, err)
		}
		closeConnection(first)
		closeConnection(second)
	})
}

// A connection whose request does not go on gives way to a request that does.
func TestStalledRequestIsClosedInFavorOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := budgetServer(8 * connectionBytes)
		close(release)
		stalled := dialServer(t.Context(), s, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 50000))
		other := dialServer(t.Context(), s, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 60000))
		if response, err := readStatus(t, other); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("complete request: %+v, %v", response, err)
		}
		if _, err := stalled.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the stalled connection was not closed: %v", err)
		}
		closeConnection(other)
	})
}

package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/httpwire"
)

// standIn answers each try, in order, at whichever address: a status, 0 for an
// answer that is lost, or -1 for a machine on which nothing listens.
type standIn struct {
	answers  []int
	location string
	tries    []string // the address of each
	bodies   []string
}

func (s *standIn) dial(_ context.Context, addr string) (net.Conn, error) {
	code := s.answers[min(len(s.tries), len(s.answers)-1)]
	s.tries = append(s.tries, addr)
	if code < 0 {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.bodies = append(s.bodies, string(body)+" on "+r.Header.Get("If-Match"))
		if code > 0 {
			fmt.Fprintf(far, "HTTP/1.1 %d x\r\nLocation: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", code, s.location)
		}
	}()
	return near, nil
}

func TestTheCallerSaysWhatBecameOfAnOrder(t *testing.T) {
	for _, tc := range []struct {
		answers []int
		tries   int
		says    string // "" for success
		unclear bool
	}{
		{[]int{200}, 1, "", false},
		{[]int{0, 504, 503, 200}, 4, "", false},
		{[]int{307, 200}, 2, "", false},
		{[]int{307, 307, 307, 200}, 4, "", false},
		{[]int{412}, 1, "was not taken, another change came first", false},
		{[]int{0, 412}, 2, "was not taken, another change came first", false},
		{[]int{504, 400}, 2, "was not taken, it is refused", false},
		{[]int{503, 429, -1}, 8, "was not taken, no core could take it; send the same file again with --if-match 6", false},
		{[]int{504, 503}, 8, "it is unclear whether the configuration is in force; send the same file again with --if-match 6", true},
		{[]int{0, -1}, 8, "it is unclear whether", true},
		{[]int{503, 500}, 8, "it is unclear whether", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &standIn{answers: tc.answers, location: "http://10.0.0.9:82/v1/configuration"}
			c := &Client{Pool: &httpwire.Pool{Network: httpwire.Network{Dial: s.dial}}, Controls: []string{"a:82", "b:82"}, Timeout: time.Second}
			err := c.PutConfiguration(context.Background(), []byte("seven"), 6)
			if len(s.tries) != tc.tries {
				t.Errorf("%v: tried %v", tc.answers, s.tries)
			}
			for _, b := range s.bodies {
				if b != "seven on 6" {
					t.Errorf("%v: sent %q", tc.answers, b)
				}
			}
			if (tc.says == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.says) {
				t.Errorf("%v: %v", tc.answers, err)
			}
			if errors.As(err, new(*IndeterminateError)) != tc.unclear {
				t.Errorf("%v: unclear is not %v: %v", tc.answers, tc.unclear, err)
			}
		})
	}
}

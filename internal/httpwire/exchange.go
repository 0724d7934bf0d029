package httpwire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// keepAliveShare is the fraction of a peer's announced idle timeout after which a
// connection is no longer used, so that a call does not race with the peer's close.
const keepAliveShare = 0.8

// exchange sends one attempt of a call and reads its response. began reports
// whether any byte of a response was received.
func (c *clientConn) exchange(ctx context.Context, call *Call) (response *ClientResponse, began bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, &Error{Step: stepWrite, Err: err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.applyDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) { // the connection has the deadline itself
			c.applyDeadline(time.Unix(1, 0))
		}
	})
	// If that function has started, it may still set the deadline, so the connection
	// must not be reused.
	defer func() { c.detached = stop() }()
	id := call.id(ctx)
	if _, err := c.Write(call.encode(id)); err != nil {
		return nil, false, &Error{Step: stepWrite, Sent: true, Err: err}
	}
	if err := c.awaitResponse(ctx); err != nil {
		return nil, false, &Error{Step: stepWait, Sent: true, Err: err}
	}
	response, err = c.readResponse(call, id)
	return response, true, err
}

// deadlineSlack is the delay with which a running process may notice the deadline
// of a call. A process that was not scheduled notices it later, and the response may
// have arrived in the meantime: it gets another deadlineSlack to be read.
const deadlineSlack = 10 * time.Millisecond

// awaitResponse waits for the first byte of a response until ctx ends.
func (c *clientConn) awaitResponse(ctx context.Context) error {
	_, err := c.reader.Peek(1)
	deadline, ok := ctx.Deadline()
	if !ok || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(deadline) < deadlineSlack {
		return err
	}
	c.applyDeadline(time.Now().Add(deadlineSlack))
	_, err = c.reader.Peek(1)
	return err
}

// applyDeadline sets the deadline of reads and writes. An error means that the
// connection is closed, which the next read or write reports.
func (c *clientConn) applyDeadline(deadline time.Time) { _ = c.SetDeadline(deadline) }

func (c *clientConn) readResponse(call *Call, id string) (*ClientResponse, error) {
	response, err := c.readFinalHead(call.Method)
	if err != nil {
		return nil, &Error{Step: stepRead, Sent: true, Err: err}
	}
	// Match before reading the body: the length of a response to another call is not
	// valid for the bytes on this connection.
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if err := matchHead(call, id, response.Header, framed); err != nil {
		return nil, &Error{Step: stepMatch, Sent: true, Err: err}
	}
	body, err := readResponseBody(call, response)
	_ = response.Body.Close() // the body was read completely, or the error is reported
	if err != nil {
		return nil, &Error{Step: stepReadBody, Sent: true, Err: err}
	}
	// A faulty external handler may send two responses; the first one counts, since
	// the call was executed. Saltreel processes never do so, so for an internal call
	// the responder was not one of them.
	if n := c.reader.Buffered(); call.isInternal() && n > 0 {
		return nil, &Error{Step: stepMatch, Sent: true, Err: fmt.Errorf("%d unexpected bytes after the response", n)}
	}
	if response.Close || !framed {
		response.Header.Set("Connection", "close")
	}
	return &ClientResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// readFinalHead skips 1xx responses and reads the head of the final response.
func (c *clientConn) readFinalHead(method string) (*http.Response, error) {
	c.head.limit(maxResponseHeadBytes)
	defer c.head.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
	}
}

func readResponseBody(call *Call, response *http.Response) ([]byte, error) {
	if call.DiscardBody {
		_, err := io.Copy(io.Discard, response.Body)
		return nil, err
	}
	return io.ReadAll(response.Body)
}

// maxResponseHeadBytes bounds the head of a response, including any 1xx responses.
const maxResponseHeadBytes = 256 << 10

var errResponseHead = errors.New("the head of the response is too large")

// headLimitedReader reads from a connection, and fails once more than the limit has been
// read since limit was called.
type headLimitedReader struct {
	conn    io.Reader
	limited bool
	left    int
}

func (r *headLimitedReader) limit(bytes int) { r.limited, r.left = true, bytes }
func (r *headLimitedReader) unlimit()        { r.limited = false }

func (r *headLimitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(b)
	}
	if r.left <= 0 {
		return 0, errResponseHead
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

var errNoLength = errors.New("the response has no length")

// matchHead checks that a response belongs to the call.
func matchHead(call *Call, id string, header http.Header, framed bool) error {
	if call.EchoHeader != "" {
		if got := header.Values(call.EchoHeader); len(got) != 1 || got[0] != id {
			return fmt.Errorf("%s is %q, not %q", call.EchoHeader, got, id)
		}
	}
	if call.isInternal() && !framed {
		return errNoLength
	}
	return nil
}

// prepareReuse reports whether the connection may carry another call, and sets its
// expiry. A positive expire is the idle timeout unless the peer announces one.
func (c *clientConn) prepareReuse(response *ClientResponse, expire time.Duration) bool {
	if strings.EqualFold(response.Header.Get("Connection"), "close") || c.reader.Buffered() > 0 {
		return false
	}
	c.reused = true
	c.expires = time.Time{}
	announced, ok := announcedTimeout(response.Header.Get("Keep-Alive"))
	if ok {
		expire = announced
	}
	if ok || expire > 0 {
		c.expires = time.Now().Add(expire)
	}
	return c.SetDeadline(time.Time{}) == nil
}

// announcedTimeout parses the idle timeout from a Keep-Alive field such as
// "timeout=5, max=100" and reduces it by a margin. The last timeout counts.
func announcedTimeout(keepAlive string) (timeout time.Duration, ok bool) {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !isTimeout {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			timeout = time.Duration(seconds * keepAliveShare * float64(time.Second))
			ok = true
		}
	}
	return timeout, ok
}

func (c *clientConn) isExpired() bool {
	return !c.expires.IsZero() && !time.Now().Before(c.expires)
}

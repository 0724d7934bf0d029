package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"saltreel/internal/budget"
)

// maxTrailers limits the number of trailer fields after a chunked body.
const maxTrailers = 64

// Request is a request with its complete body.
type Request struct {
	*http.Request
	Body     []byte
	Conn     *Conn
	Received time.Time // when its first byte was available
	Read     time.Time // when its last byte was read
}

// rejectedError is the error of a request that is not served. The client receives
// its status and reason before the connection is closed.
type rejectedError struct {
	status int
	reason string
}

func (r *rejectedError) Error() string { return r.reason }

func (r *rejectedError) response() *Response {
	if r == errMemory {
		return Unavailable()
	}
	return Problem(r.status, r.reason)
}

func badRequest(reason string) error {
	return &rejectedError{status: http.StatusBadRequest, reason: reason}
}

var (
	errTooSlow = &rejectedError{http.StatusRequestTimeout, "the request came too slowly"}
	errBody    = &rejectedError{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	errHeader  = &rejectedError{http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit"}
	errMemory  = &rejectedError{http.StatusServiceUnavailable, "no memory for the request"}
)

// readRequest reads one complete request.
func (c *Conn) readRequest(limits Limits) (*Request, error) {
	received := time.Now()
	if !c.reserveReceiveBuffer() {
		return nil, errMemory
	}
	var headDeadline time.Time
	if limits.HeaderTimeout > 0 {
		headDeadline = received.Add(limits.HeaderTimeout)
	}
	c.limitRead(headDeadline)
	head, err := readHead(c.reader, limits.HeaderBytes, c.account)
	if err != nil {
		return nil, rejectTimeout(err)
	}
	if !c.account.Reserve(bytes.Count(head, []byte("\n")) * fieldBytes) {
		return nil, errMemory
	}
	parsed, err := parseHead(head)
	if err != nil {
		return nil, err
	}
	if limits.BodyBytes > 0 && parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, errBody
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n") // reading the body reports a failure
	}
	if limits.BodyTimeout > 0 {
		c.limitRead(time.Now().Add(limits.BodyTimeout))
	}
	body, err := readBody(c.reader, parsed, limits.BodyBytes, c.account)
	if err != nil {
		return nil, rejectTimeout(err)
	}
	c.limitRead(time.Time{})
	return &Request{Request: parsed, Body: body, Conn: c, Received: received, Read: time.Now()}, nil
}

// rejectTimeout converts a time-out into a rejection. A request that was not read
// completely is never executed.
func rejectTimeout(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errTooSlow
	}
	return err
}

// readHead reads up to and including the empty line after the header. It skips empty
// lines before the request line.
func readHead(r *bufio.Reader, limit int, account *budget.Account) ([]byte, error) {
	buffer := growingBuffer{account: account}
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if limit > 0 && len(buffer.bytes)+len(line) > limit {
			return nil, errHeader
		}
		if !buffer.append(line) {
			return nil, errMemory
		}
		head := buffer.bytes
		if err != nil || !isEmptyLine(line) {
			continue
		}
		if len(head) == len(line) {
			buffer.bytes = head[:0]
		} else if head[len(head)-len(line)-1] == '\n' { // otherwise line is the end of a line longer than the buffer
			return head, nil
		}
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

func parseHead(head []byte) (*http.Request, error) {
	if err := checkHead(head); err != nil {
		return nil, err
	}
	const minBuffer = 16 // the head is in memory already
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), minBuffer))
	if err != nil {
		return nil, badRequest(fmt.Sprintf("the request cannot be read: %v", err))
	}
	if request.ProtoMajor != 1 {
		return nil, badRequest("the protocol is not HTTP/1")
	}
	if request.Host == "" {
		return nil, badRequest("the request names no host")
	}
	return request, nil
}

// checkHead rejects heads that two parsers could interpret differently (request
// smuggling): ambiguous lines and ambiguous body lengths.
func checkHead(head []byte) error {
	var framing framing
	for isRequestLine := true; len(head) > 0; isRequestLine = false {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		if len(line) == 0 {
			continue
		}
		line, err := cutCarriageReturn(line)
		if err != nil {
			return err
		}
		if isRequestLine || len(line) == 0 {
			continue
		}
		if err := framing.addField(line); err != nil {
			return err
		}
	}
	return framing.check()
}

func cutCarriageReturn(line []byte) ([]byte, error) {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return nil, badRequest("a header line ends without CR")
	}
	if bytes.ContainsAny(line, "\r\x00") {
		return nil, badRequest("a header line holds a control character")
	}
	return line, nil
}

// framing counts the header fields that define the length of the body.
type framing struct{ lengths, encodings int }

// addField checks a header line, and counts it if it defines the body length.
func (f *framing) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return badRequest("a header line is folded")
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return badRequest("a header line has no proper name")
	}
	value = bytes.TrimSpace(value)
	if bytes.EqualFold(name, []byte("Content-Length")) {
		f.lengths++
		return checkLength(value)
	}
	if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		f.encodings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return badRequest("the transfer encoding is not chunked")
		}
	}
	return nil
}

// checkLength accepts digits only, since parsers differ on whether they accept a
// sign, a space or a list.
func checkLength(value []byte) error {
	for _, b := range value {
		if b < '0' || b > '9' {
			return badRequest("the length is not a number")
		}
	}
	if len(value) == 0 {
		return badRequest("the length is empty")
	}
	return nil
}

func (f *framing) check() error {
	if f.lengths+f.encodings > 1 {
		return badRequest("the length of the body is given twice")
	}
	return nil
}

// readBody reads the body that the head declares, or returns nil if there is none.
func readBody(r *bufio.Reader, head *http.Request, limit int, account *budget.Account) ([]byte, error) {
	if len(head.TransferEncoding) > 0 {
		return readChunks(r, limit, account)
	}
	if head.ContentLength <= 0 {
		return nil, nil
	}
	buffer := growingBuffer{account: account, limit: head.ContentLength}
	if err := buffer.readAll(io.LimitReader(r, head.ContentLength)); err != nil {
		return nil, err
	}
	if int64(len(buffer.bytes)) < head.ContentLength {
		return nil, io.ErrUnexpectedEOF
	}
	return buffer.bytes, nil
}

// readChunks reads a chunked body and discards its trailers.
func readChunks(r *bufio.Reader, limit int, account *budget.Account) ([]byte, error) {
	chunks := httputil.NewChunkedReader(r)
	if limit > 0 {
		chunks = io.LimitReader(chunks, int64(limit)+1)
	}
	buffer := growingBuffer{account: account}
	err := buffer.readAll(chunks)
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errMemory) {
		return nil, err
	}
	if err != nil {
		return nil, badRequest("the chunks cannot be read")
	}
	if limit > 0 && len(buffer.bytes) > limit {
		return nil, errBody
	}
	return buffer.bytes, skipTrailers(r)
}

func skipTrailers(r *bufio.Reader) error {
	for n := 0; ; n++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			return nil
		}
		if n == maxTrailers {
			return badRequest("too many trailers")
		}
	}
}

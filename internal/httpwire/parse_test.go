package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestCheckHead(t *testing.T) {
	for name, c := range map[string]struct {
		lines string // of the header
		want  string // the reason of the rejection; empty: accepted
	}{
		"no fields":                {"", ""},
		"a length":                 {"Content-Length: 2\r\n", ""},
		"chunks":                   {"transfer-encoding: Chunked\r\n", ""},
		"a field without a value":  {"X:\r\n", ""},
		"without CR":               {"X: a\n", "a header line ends without CR"},
		"a CR within the line":     {"X: a\rb\r\n", "a header line holds a control character"},
		"a zero byte":              {"X: a\x00\r\n", "a header line holds a control character"},
		"folded by a space":        {"X: a\r\n b\r\n", "a header line is folded"},
		"folded by a tab":          {"X: a\r\n\tb\r\n", "a header line is folded"},
		"no colon":                 {"X\r\n", "a header line has no proper name"},
		"no name":                  {": a\r\n", "a header line has no proper name"},
		"a space before the colon": {"X : a\r\n", "a header line has no proper name"},
		"an empty length":          {"Content-Length: \r\n", "the length is empty"},
		"a list of lengths":        {"Content-Length: 2, 2\r\n", "the length is not a number"},
		"a negative length":        {"Content-Length: -2\r\n", "the length is not a number"},
		"another encoding":         {"Transfer-Encoding: gzip, chunked\r\n", "the transfer encoding is not chunked"},
		"two lengths":              {"Content-Length: 2\r\ncontent-length: 2\r\n", "the length of the body is given twice"},
		"two encodings":            {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "the length of the body is given twice"},
		"a length and an encoding": {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "the length of the body is given twice"},
	} {
		err := checkHead([]byte("GET / HTTP/1.1\r\n" + c.lines + "\r\n"))
		var rejected *rejectedError
		if errors.As(err, &rejected); (err == nil) != (c.want == "") || err != nil && (rejected == nil || rejected.status != 400 || rejected.reason != c.want) {
			t.Errorf("%s: %v, not %q", name, err, c.want)
		}
	}
}

func TestReadHeadEndsAfterTheEmptyLine(t *testing.T) {
	long := "X: " + strings.Repeat("x", 3*bufferSize) + "\r\n"
	for name, c := range map[string]struct{ raw, want, rest string }{
		"one":                         {"GET / HTTP/1.1\r\n\r\nnext", "GET / HTTP/1.1\r\n\r\n", "next"},
		"empty lines in front":        {"\r\n\r\nGET / HTTP/1.1\r\n\r\nnext", "GET / HTTP/1.1\r\n\r\n", "next"},
		"a line longer than a buffer": {"GET / HTTP/1.1\r\n" + long + "\r\nnext", "GET / HTTP/1.1\r\n" + long + "\r\n", "next"},
	} {
		r := bufio.NewReaderSize(strings.NewReader(c.raw), bufferSize)
		head, err := readHead(r, 0, nil)
		rest, _ := io.ReadAll(r)
		if err != nil || string(head) != c.want || string(rest) != c.rest {
			t.Errorf("%s: read %q, left %q: %v", name, head, rest, err)
		}
	}
	// A long line may be split so that the last read returns only its line break,
	// which must not be taken for the empty line that ends the head.
	exact := "X: " + strings.Repeat("x", bufferSize-3) + "\r\n"
	raw := "GET / HTTP/1.1\r\n" + exact + "\r\n"
	r := bufio.NewReaderSize(strings.NewReader(raw), bufferSize)
	if head, err := readHead(r, 0, nil); err != nil || string(head) != raw {
		t.Errorf("read %d bytes of %d: %v", len(head), len(raw), err)
	}
}

func TestResponseEncoding(t *testing.T) {
	response := &Response{Status: 404, Header: []string{"A", "1"}, Body: []byte("hi")}
	for name, c := range map[string]struct {
		last, withBody bool
		want           string
	}{
		"ordinary":     {false, true, "HTTP/1.1 404 Not Found\r\nA: 1\r\nContent-Length: 2\r\n\r\nhi"},
		"the last one": {true, true, "HTTP/1.1 404 Not Found\r\nA: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"},
		"to a HEAD":    {false, false, "HTTP/1.1 404 Not Found\r\nA: 1\r\nContent-Length: 2\r\n\r\n"},
	} {
		var out bytes.Buffer
		if err := response.writeTo(bufio.NewWriterSize(&out, 64), c.last, c.withBody); err != nil || out.String() != c.want {
			t.Errorf("%s: %q, not %q: %v", name, out.String(), c.want, err)
		}
	}
	response.Header = []string{"A", strings.Repeat("a", 3*bufferSize)}
	response.Body = bytes.Repeat([]byte("b"), 3*bufferSize)
	var out bytes.Buffer
	if err := response.writeTo(bufio.NewWriterSize(&out, bufferSize), false, true); err != nil || out.Len() < 6*bufferSize || !bytes.HasSuffix(out.Bytes(), []byte("b")) {
		t.Errorf("%d bytes of a large response: %v", out.Len(), err)
	}
}

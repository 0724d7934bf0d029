// Package linewire reads and writes the protocol of realtime clients: one line for
// each message, a word and fields with single spaces between them, ended by CRLF.
// Behind the lines of PUBLISH and DELIVER comes a body, also ended by CRLF. Fields
// that are empty at the end are left out; an empty one in the middle is "-".
package linewire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Words of the messages that clients send.
const (
	Hello       = "HELLO"
	Subscribe   = "SUBSCRIBE"
	Unsubscribe = "UNSUB"
	Publish     = "PUBLISH"
	Count       = "SUBCOUNT"
	Ping        = "PING"
)

// Reason is why something is refused. Only RETRY promises that the work is not
// done and never will be.
type Reason string

// The reasons.
const (
	Retry     Reason = "RETRY"
	Unknown   Reason = "UNKNOWN"
	Unauth    Reason = "UNAUTH"
	NoSpace   Reason = "NOSPACE"
	Oversize  Reason = "OVERSIZE"
	Malformed Reason = "MALFORMED"
	Expired   Reason = "EXPIRED"
)

// Bounds of what is read.
const (
	// MaxBodyBytes is the longest body of a message.
	MaxBodyBytes = 16 << 10
	// maxLineBytes bounds a line without its body, and so the names in it.
	maxLineBytes = 4 << 10
	// maxSkippedBytes bounds the body that is read only to refuse it.
	maxSkippedBytes = 1 << 20
)

// Command is a message of a client. Fields that its word does not have are empty.
type Command struct {
	Word   string
	Client string // of HELLO
	Secret string // of HELLO; may be empty
	Topic  string
	Cursor string // of SUBSCRIBE; may be empty
	Number int64  // of PUBLISH: the client's number of the message
	Body   []byte // of PUBLISH
}

// RefusedError says that a message of a client cannot be read. If Fatal is false,
// the next one can.
type RefusedError struct {
	Word   string // empty if it is not known
	Topic  string
	Number int64 // 0 if it is not known
	Reason Reason
	Fatal  bool
	Detail string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Word, e.Reason, e.Detail) }

// ReadCommand reads the next message of a client. The error is a *RefusedError, or
// that of the connection.
func ReadCommand(r *bufio.Reader) (*Command, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	word, rest, hasFields := strings.Cut(line, " ")
	var fields []string
	if hasFields {
		fields = strings.Split(rest, " ")
	}
	c := &Command{Word: word}
	switch word {
	case Hello:
		return c, c.parse(fields, 1, &c.Client, &c.Secret)
	case Subscribe:
		return c, c.parse(fields, 1, &c.Topic, &c.Cursor)
	case Unsubscribe, Count:
		return c, c.parse(fields, 1, &c.Topic)
	case Ping:
		return c, c.parse(fields, 0)
	case Publish:
		return c, c.readPublish(fields, r)
	}
	return nil, &RefusedError{Reason: Malformed, Fatal: true, Detail: "the word is unknown"}
}

// readLine reads a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
		if len(line) > maxLineBytes {
			return "", &RefusedError{Reason: Malformed, Fatal: true, Detail: "the line is too long"}
		}
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || len(text) > maxLineBytes {
		return "", &RefusedError{Reason: Malformed, Fatal: true, Detail: "the line does not end properly"}
	}
	return string(text), nil
}

// parse sets the targets to the fields. At least the first of them, as many as
// required, must be there and not empty.
func (c *Command) parse(fields []string, required int, targets ...*string) error {
	if len(fields) < required || len(fields) > len(targets) {
		return c.malformed("the number of fields is wrong")
	}
	for i, field := range fields {
		if !isField(field) {
			return c.malformed("a field is not proper")
		}
		if field == "-" {
			field = ""
		}
		if field == "" && i < required {
			return c.malformed("a field is empty")
		}
		*targets[i] = field
	}
	return nil
}

// isField reports whether a text may stand in a line as a field.
func isField(text string) bool {
	if text == "" {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func (c *Command) malformed(detail string) *RefusedError {
	return &RefusedError{Word: c.Word, Topic: c.Topic, Number: c.Number, Reason: Malformed, Detail: detail}
}

// readPublish reads the fields and the body of a PUBLISH. If the length of the body
// cannot be read, nobody knows where the next message begins.
func (c *Command) readPublish(fields []string, r *bufio.Reader) error {
	var number, length string
	if err := c.parse(fields, 3, &c.Topic, &number, &length); err != nil {
		return c.fatal("the fields are not proper")
	}
	size, err := strconv.ParseUint(length, 10, 63)
	if err != nil || size > maxSkippedBytes {
		return c.fatal("the length of the body is not proper")
	}
	body, err := readBody(r, int(size))
	if err != nil {
		if errors.Is(err, errBodyEnd) {
			return c.fatal(err.Error())
		}
		return err
	}
	c.Number, err = strconv.ParseInt(number, 10, 64)
	if err != nil || c.Number <= 0 {
		c.Number = 0
		return c.malformed("the number is not proper")
	}
	if size > MaxBodyBytes {
		return &RefusedError{Word: c.Word, Topic: c.Topic, Number: c.Number, Reason: Oversize, Detail: "the body is too long"}
	}
	c.Body = body
	return nil
}

func (c *Command) fatal(detail string) *RefusedError {
	refused := c.malformed(detail)
	refused.Fatal = true
	return refused
}

var errBodyEnd = errors.New("the body does not end properly")

// readBody reads a body and its end. One that is too long is read and dropped.
func readBody(r *bufio.Reader, size int) ([]byte, error) {
	if size > MaxBodyBytes {
		if _, err := r.Discard(size); err != nil {
			return nil, err
		}
		return nil, readBodyEnd(r)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, readBodyEnd(r)
}

func readBodyEnd(r *bufio.Reader) error {
	var end [2]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return errBodyEnd
	}
	return nil
}

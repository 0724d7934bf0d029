// Package linewire encodes and decodes the line protocol of realtime clients. Each message is
// one line, a verb and fields separated by single spaces, terminated by CRLF. PUBLISH and
// DELIVER lines are followed by a body, which is also terminated by CRLF. Empty trailing
// fields are omitted; an empty field elsewhere is written as "-".
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

// Verbs of client commands.
const (
	Hello       = "HELLO"
	Subscribe   = "SUBSCRIBE"
	Unsubscribe = "UNSUB"
	Publish     = "PUBLISH"
	Count       = "SUBCOUNT"
	Ping        = "PING"
)

// Reason is the reason code of a REJECT. Only RETRY guarantees that the command was not
// executed and never will be.
type Reason string

// Reason codes.
const (
	Retry     Reason = "RETRY"
	Unknown   Reason = "UNKNOWN"   // the outcome of a PUBLISH is not known
	Unauth    Reason = "UNAUTH"    // the secret is missing or belongs to no tenant
	NoSpace   Reason = "NOSPACE"   // the topic is in no topic space
	Oversize  Reason = "OVERSIZE"  // the body exceeds MaxBodyBytes
	Malformed Reason = "MALFORMED" // the command is invalid
	Expired   Reason = "EXPIRED"   // messages after the cursor were deleted
)

// Limits for decoding.
const (
	// MaxBodyBytes is the maximum size of a message body.
	MaxBodyBytes = 16 << 10
	// maxLineBytes limits a line without its body, and thereby the names in it.
	maxLineBytes = 4 << 10
	// maxSkippedBytes limits an oversized body that is read and discarded so that the command
	// can be rejected without closing the connection.
	maxSkippedBytes = 1 << 20
)

// Command is a client command. Fields that its verb does not use are empty.
type Command struct {
	Verb   string
	Client string // HELLO
	Secret string // HELLO; may be empty
	Topic  string
	Cursor string // SUBSCRIBE; may be empty
	Number int64  // PUBLISH: the client's number for the message
	Body   []byte // PUBLISH
}

// ProtocolError reports a client command that cannot be parsed. Unless Fatal is set, the
// stream remains in sync and the next command can be read.
type ProtocolError struct {
	Verb   string // empty if unknown
	Topic  string
	Number int64 // 0 if unknown
	Reason Reason
	Fatal  bool
	Detail string
}

func (e *ProtocolError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Verb, e.Reason, e.Detail) }

// ReadCommand reads the next client command. The error is a *ProtocolError or an error of the
// connection.
func ReadCommand(r *bufio.Reader) (*Command, error) {
	return ReadCommandIf(r, func(int) bool { return true })
}

// ReadCommandIf is like ReadCommand, but calls admit with the size of a message body before
// it is read. If admit returns false, the body is discarded and the command is rejected with
// UNKNOWN: an earlier attempt of the same message may have been executed.
func ReadCommandIf(r *bufio.Reader, admit func(size int) bool) (*Command, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	verb, rest, hasFields := strings.Cut(line, " ")
	var fields []string
	if hasFields {
		fields = strings.Split(rest, " ")
	}
	c := &Command{Verb: verb}
	switch verb {
	case Hello:
		return c, c.parse(fields, 1, &c.Client, &c.Secret)
	case Subscribe:
		return c, c.parse(fields, 1, &c.Topic, &c.Cursor)
	case Unsubscribe, Count:
		return c, c.parse(fields, 1, &c.Topic)
	case Ping:
		return c, c.parse(fields, 0)
	case Publish:
		return c, c.readPublish(fields, r, admit)
	}
	return nil, &ProtocolError{Reason: Malformed, Fatal: true, Detail: "unknown command"}
}

// readLine reads a line and strips its CRLF.
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
			return "", &ProtocolError{Reason: Malformed, Fatal: true, Detail: "line too long"}
		}
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || len(text) > maxLineBytes {
		return "", &ProtocolError{Reason: Malformed, Fatal: true, Detail: "line too long or not terminated by CRLF"}
	}
	return string(text), nil
}

// parse assigns the fields to the targets in order. required is the number of leading fields
// that must be present and not empty; the others are optional.
func (c *Command) parse(fields []string, required int, targets ...*string) error {
	if len(fields) < required || len(fields) > len(targets) {
		return c.malformed("wrong number of fields")
	}
	for i, field := range fields {
		if !isField(field) {
			return c.malformed("empty field or invalid character in field")
		}
		if field == "-" {
			field = ""
		}
		if field == "" && i < required {
			return c.malformed("required field is empty")
		}
		*targets[i] = field
	}
	return nil
}

// isField reports whether the text is a valid field: non-empty printable ASCII without spaces.
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

func (c *Command) malformed(detail string) *ProtocolError {
	return &ProtocolError{Verb: c.Verb, Topic: c.Topic, Number: c.Number, Reason: Malformed, Detail: detail}
}

// readPublish reads the fields and the body of a PUBLISH. An invalid body length is fatal
// because the start of the next command is then unknown.
func (c *Command) readPublish(fields []string, r *bufio.Reader, admit func(size int) bool) error {
	var number, length string
	if err := c.parse(fields, 3, &c.Topic, &number, &length); err != nil {
		return c.fatal("invalid PUBLISH fields")
	}
	size, err := strconv.ParseUint(length, 10, 63)
	if err != nil || size > maxSkippedBytes {
		return c.fatal("invalid body length")
	}
	admitted := size <= MaxBodyBytes && admit(int(size))
	body, err := readBody(r, int(size), admitted)
	if err != nil {
		if errors.Is(err, errBodyTerminator) {
			return c.fatal(err.Error())
		}
		return err
	}
	c.Number, err = strconv.ParseInt(number, 10, 64)
	if err != nil || c.Number <= 0 {
		c.Number = 0
		return c.malformed("invalid message number")
	}
	if size > MaxBodyBytes {
		return &ProtocolError{Verb: c.Verb, Topic: c.Topic, Number: c.Number, Reason: Oversize, Detail: "body too long"}
	}
	if !admitted {
		return &ProtocolError{Verb: c.Verb, Topic: c.Topic, Number: c.Number, Reason: Unknown, Detail: "no memory for the body"}
	}
	c.Body = body
	return nil
}

func (c *Command) fatal(detail string) *ProtocolError {
	err := c.malformed(detail)
	err.Fatal = true
	return err
}

var errBodyTerminator = errors.New("body not terminated by CRLF")

// readBody reads a body and its terminator. A body that is not admitted is discarded.
func readBody(r *bufio.Reader, size int, admitted bool) ([]byte, error) {
	if !admitted {
		if _, err := r.Discard(size); err != nil {
			return nil, err
		}
		return nil, readBodyTerminator(r)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, readBodyTerminator(r)
}

func readBodyTerminator(r *bufio.Reader) error {
	var end [2]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return errBodyTerminator
	}
	return nil
}

package linewire

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// Verbs of server messages.
const (
	OK          = "OK"
	Ack         = "ACK"
	Deliver     = "DELIVER"
	CountResult = "COUNT"
	Pong        = "PONG"
	Reject      = "REJECT"
	Redirect    = "REDIRECT"
)

// Response is a message from the server. Fields that its verb does not use are empty.
type Response struct {
	Verb      string
	Request   string // OK and REJECT: the verb of the command
	Topic     string
	Cursor    string // OK to SUBSCRIBE, and DELIVER
	Publisher string // DELIVER
	Number    int64  // ACK, DELIVER and REJECT
	Count     int    // COUNT
	Reason    Reason // REJECT
	Address   string // REDIRECT
	Body      []byte // DELIVER
}

// AppendCommand appends a client command to a buffer.
func AppendCommand(b []byte, c *Command) []byte {
	switch c.Verb {
	case Ping:
		return appendLine(b, Ping)
	case Hello:
		return appendLine(b, Hello, omitEmptyLast(c.Client, c.Secret)...)
	case Subscribe:
		return appendLine(b, Subscribe, omitEmptyLast(c.Topic, c.Cursor)...)
	case Publish:
		b = appendLine(b, Publish, c.Topic, strconv.FormatInt(c.Number, 10), strconv.Itoa(len(c.Body)))
		b = append(b, c.Body...)
		return append(b, "\r\n"...)
	}
	return appendLine(b, c.Verb, c.Topic)
}

func omitEmptyLast(first, second string) []string {
	if second == "" {
		return []string{first}
	}
	return []string{first, second}
}

// ReadResponse reads the next message from the server.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	fields := strings.Split(line, " ")
	for i, field := range fields {
		if field == "-" {
			fields[i] = ""
		}
	}
	response := &Response{Verb: fields[0]}
	fields = fields[1:]
	malformed := fmt.Errorf("malformed response %.80q", line)
	switch {
	case response.Verb == OK && len(fields) >= 1 && len(fields) <= 3:
		fields = append(fields, "", "")
		response.Request, response.Topic, response.Cursor = fields[0], fields[1], fields[2]
	case response.Verb == Ack && len(fields) == 2:
		response.Topic = fields[0]
		response.Number, err = strconv.ParseInt(fields[1], 10, 64)
	case response.Verb == CountResult && len(fields) == 2:
		response.Topic = fields[0]
		response.Count, err = strconv.Atoi(fields[1])
	case response.Verb == Pong && len(fields) == 0:
	case response.Verb == Reject && len(fields) == 4:
		response.Request, response.Topic, response.Reason = fields[0], fields[1], Reason(fields[3])
		if fields[2] != "" {
			response.Number, err = strconv.ParseInt(fields[2], 10, 64)
		}
	case response.Verb == Redirect && len(fields) == 1:
		response.Address = fields[0]
	case response.Verb == Deliver && len(fields) == 5:
		return response, response.readDelivery(fields, r)
	default:
		return nil, malformed
	}
	if err != nil {
		return nil, malformed
	}
	return response, nil
}

func (r *Response) readDelivery(fields []string, reader *bufio.Reader) (err error) {
	r.Topic, r.Cursor, r.Publisher = fields[0], fields[1], fields[2]
	if r.Number, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
		return fmt.Errorf("invalid message number in DELIVER: %w", err)
	}
	size, err := strconv.ParseUint(fields[4], 10, 31)
	if err != nil || size > MaxBodyBytes {
		return fmt.Errorf("invalid body length %q in DELIVER", fields[4])
	}
	r.Body, err = readBody(reader, int(size), true)
	return err
}

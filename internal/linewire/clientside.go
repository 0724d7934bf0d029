package linewire

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// Words of the messages that clients receive.
const (
	OK       = "OK"
	Ack      = "ACK"
	Deliver  = "DELIVER"
	Counted  = "COUNT"
	Pong     = "PONG"
	Reject   = "REJECT"
	Redirect = "REDIRECT"
)

// Answer is a message to a client. Fields that its word does not have are empty.
type Answer struct {
	Word      string
	Request   string // of OK and REJECT: the word that is answered
	Topic     string
	Cursor    string // of OK to SUBSCRIBE, and of DELIVER
	Publisher string // of DELIVER
	Number    int64  // of ACK, DELIVER and REJECT
	Count     int    // of COUNT
	Reason    Reason // of REJECT
	Address   string // of REDIRECT
	Body      []byte // of DELIVER
}

// AppendCommand appends a message of a client to a buffer.
func AppendCommand(b []byte, c *Command) []byte {
	switch c.Word {
	case Ping:
		return appendLine(b, Ping)
	case Hello:
		return appendLine(b, Hello, withoutEmptyEnd(c.Client, c.Secret)...)
	case Subscribe:
		return appendLine(b, Subscribe, withoutEmptyEnd(c.Topic, c.Cursor)...)
	case Publish:
		b = appendLine(b, Publish, c.Topic, strconv.FormatInt(c.Number, 10), strconv.Itoa(len(c.Body)))
		b = append(b, c.Body...)
		return append(b, "\r\n"...)
	}
	return appendLine(b, c.Word, c.Topic)
}

func withoutEmptyEnd(first, second string) []string {
	if second == "" {
		return []string{first}
	}
	return []string{first, second}
}

// ReadAnswer reads the next message to a client.
func ReadAnswer(r *bufio.Reader) (*Answer, error) {
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
	a := &Answer{Word: fields[0]}
	fields = fields[1:]
	unreadable := fmt.Errorf("the answer %.80q cannot be read", line)
	switch {
	case a.Word == OK && len(fields) >= 1 && len(fields) <= 3:
		fields = append(fields, "", "")
		a.Request, a.Topic, a.Cursor = fields[0], fields[1], fields[2]
	case a.Word == Ack && len(fields) == 2:
		a.Topic = fields[0]
		a.Number, err = strconv.ParseInt(fields[1], 10, 64)
	case a.Word == Counted && len(fields) == 2:
		a.Topic = fields[0]
		a.Count, err = strconv.Atoi(fields[1])
	case a.Word == Pong && len(fields) == 0:
	case a.Word == Reject && len(fields) == 4:
		a.Request, a.Topic, a.Reason = fields[0], fields[1], Reason(fields[3])
		if fields[2] != "" {
			a.Number, err = strconv.ParseInt(fields[2], 10, 64)
		}
	case a.Word == Redirect && len(fields) == 1:
		a.Address = fields[0]
	case a.Word == Deliver && len(fields) == 5:
		return a, a.readDelivery(fields, r)
	default:
		return nil, unreadable
	}
	if err != nil {
		return nil, unreadable
	}
	return a, nil
}

func (a *Answer) readDelivery(fields []string, r *bufio.Reader) (err error) {
	a.Topic, a.Cursor, a.Publisher = fields[0], fields[1], fields[2]
	if a.Number, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
		return fmt.Errorf("the number of a delivery: %w", err)
	}
	size, err := strconv.ParseUint(fields[4], 10, 31)
	if err != nil || size > MaxBodyBytes {
		return fmt.Errorf("the length %q of a delivery is not proper", fields[4])
	}
	a.Body, err = readBody(r, int(size))
	return err
}

package linewire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func read(text string) (*Command, error) {
	return ReadCommand(bufio.NewReader(strings.NewReader(text)))
}

func TestReadCommand(t *testing.T) {
	for text, want := range map[string]Command{
		"HELLO u1fx3a9c\r\n":             {Verb: Hello, Client: "u1fx3a9c"},
		"HELLO u1 key\r\n":               {Verb: Hello, Client: "u1", Secret: "key"},
		"HELLO u1 -\r\n":                 {Verb: Hello, Client: "u1"},
		"SUBSCRIBE k.2f\r\n":             {Verb: Subscribe, Topic: "k.2f"},
		"SUBSCRIBE k.2f c-18\r\n":        {Verb: Subscribe, Topic: "k.2f", Cursor: "c-18"},
		"UNSUB k.2f\r\n":                 {Verb: Unsubscribe, Topic: "k.2f"},
		"SUBCOUNT k.2f\r\n":              {Verb: Count, Topic: "k.2f"},
		"PING\r\n":                       {Verb: Ping},
		"PUBLISH k.2f 7 4\r\na\r\nb\r\n": {Verb: Publish, Topic: "k.2f", Number: 7, Body: []byte("a\r\nb")},
		"PUBLISH k.2f 7 0\r\n\r\n":       {Verb: Publish, Topic: "k.2f", Number: 7, Body: []byte{}},
	} {
		got, err := read(text)
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
}

func TestReadCommandRejectsMalformedInput(t *testing.T) {
	long := strings.Repeat("x", MaxBodyBytes+1)
	for text, want := range map[string]ProtocolError{
		"HELLO\r\n":                             {Verb: Hello, Reason: Malformed},
		"HELLO -\r\n":                           {Verb: Hello, Reason: Malformed},
		"HELLO a b c\r\n":                       {Verb: Hello, Reason: Malformed},
		"HELLO a  b\r\n":                        {Verb: Hello, Reason: Malformed},
		"SUBSCRIBE \x01\r\n":                    {Verb: Subscribe, Reason: Malformed},
		"SUBSCRIBE \r\n":                        {Verb: Subscribe, Reason: Malformed},
		"PING now\r\n":                          {Verb: Ping, Reason: Malformed},
		"ping\r\n":                              {Reason: Malformed, Fatal: true},
		"\r\n":                                  {Reason: Malformed, Fatal: true},
		"PING\n":                                {Reason: Malformed, Fatal: true},
		strings.Repeat("P", 3*maxLineBytes):     {Reason: Malformed, Fatal: true},
		"PUBLISH t 7\r\n":                       {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
		"PUBLISH t 7 x\r\n":                     {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
		"PUBLISH t 7 -1\r\n":                    {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
		"PUBLISH t 7 9999999999\r\n":            {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
		"PUBLISH t 7 1\r\nabc":                  {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
		"PUBLISH t x 1\r\na\r\n":                {Verb: Publish, Topic: "t", Reason: Malformed},
		"PUBLISH t 0 1\r\na\r\n":                {Verb: Publish, Topic: "t", Reason: Malformed},
		"PUBLISH t 7 16385\r\n" + long + "\r\n": {Verb: Publish, Topic: "t", Number: 7, Reason: Oversize},
		"PUBLISH t 7 16385\r\n" + long + "ab":   {Verb: Publish, Topic: "t", Reason: Malformed, Fatal: true},
	} {
		r := bufio.NewReader(strings.NewReader(text + "PING\r\n"))
		_, err := ReadCommand(r)
		var got *ProtocolError
		if !errors.As(err, &got) {
			t.Errorf("%.40q: %v", text, err)
			continue
		}
		if got.Verb != want.Verb || got.Topic != want.Topic && got.Topic != "" || got.Number != want.Number || got.Reason != want.Reason || got.Fatal != want.Fatal {
			t.Errorf("%.40q: %+v", text, got)
		}
		if got.Fatal {
			continue
		}
		if next, err := ReadCommand(r); err != nil || next.Verb != Ping {
			t.Errorf("%.40q: next command: %+v, %v", text, next, err)
		}
	}
}

func TestReadCommandReturnsConnectionErrors(t *testing.T) {
	for _, text := range []string{"", "PI", "PUBLISH t 7 5\r\nab", "PUBLISH t 7 2\r\nab", "PUBLISH t 7 20000\r\nab"} {
		if _, err := read(text); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestAppendResponses(t *testing.T) {
	for want, got := range map[string][]byte{
		"OK HELLO\r\n":                         AppendHelloOK(nil),
		"OK SUBSCRIBE k.2f c-17\r\n":           AppendSubscribeOK(nil, "k.2f", "c-17"),
		"OK UNSUB k.2f\r\n":                    AppendUnsubscribeOK(nil, "k.2f"),
		"ACK k.2f 7\r\n":                       AppendAck(nil, "k.2f", 7),
		"DELIVER k.2f c-18 u1 7 3\r\nabc\r\n":  AppendDeliver(nil, "k.2f", "c-18", "u1", 7, []byte("abc")),
		"COUNT k.2f 12\r\n":                    AppendCount(nil, "k.2f", 12),
		"PONG\r\n":                             AppendPong(nil),
		"REDIRECT 10.1.0.7:8000\r\n":           AppendRedirect(nil, "10.1.0.7:8000"),
		"REJECT HELLO - - RETRY\r\n":           AppendReject(nil, Hello, "", 0, Retry),
		"REJECT SUBSCRIBE k.2f - EXPIRED\r\n":  AppendReject(nil, Subscribe, "k.2f", 0, Expired),
		"REJECT PUBLISH k.2f 7 UNKNOWN\r\n":    AppendReject(nil, Publish, "k.2f", 7, Unknown),
		"PONG\r\nREJECT PUBLISH t 8 RETRY\r\n": AppendReject(AppendPong(nil), Publish, "t", 8, Retry),
	} {
		if string(got) != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
}

// FuzzReadCommand checks that arbitrary client input does not cause a panic, and that every
// decoded command survives encoding and decoding unchanged.
func FuzzReadCommand(f *testing.F) {
	for _, seed := range []string{"HELLO u k\r\n", "SUBSCRIBE t c\r\n", "UNSUB t\r\n", "PUBLISH t 7 3\r\nabc\r\nPING\r\n", "SUBCOUNT t\r\n", "PUBLISH t 7 -1\r\n", "PING \r\n", "\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bufio.NewReader(bytes.NewReader(input))
		for {
			c, err := ReadCommand(r)
			var protocolErr *ProtocolError
			if errors.As(err, &protocolErr) && !protocolErr.Fatal {
				continue
			}
			if err != nil {
				return
			}
			again, err := read(string(AppendCommand(nil, c)))
			if err != nil || !reflect.DeepEqual(again, c) {
				t.Fatalf("%+v decoded after re-encoding as %+v, %v", c, again, err)
			}
		}
	})
}

func TestReadResponse(t *testing.T) {
	for text, want := range map[string]Response{
		"OK HELLO\r\n":                        {Verb: OK, Request: Hello},
		"OK SUBSCRIBE k.2f c-17\r\n":          {Verb: OK, Request: Subscribe, Topic: "k.2f", Cursor: "c-17"},
		"OK UNSUB k.2f\r\n":                   {Verb: OK, Request: Unsubscribe, Topic: "k.2f"},
		"ACK k.2f 7\r\n":                      {Verb: Ack, Topic: "k.2f", Number: 7},
		"DELIVER k.2f c-18 u1 7 3\r\nabc\r\n": {Verb: Deliver, Topic: "k.2f", Cursor: "c-18", Publisher: "u1", Number: 7, Body: []byte("abc")},
		"COUNT k.2f 12\r\n":                   {Verb: CountResult, Topic: "k.2f", Count: 12},
		"PONG\r\n":                            {Verb: Pong},
		"REDIRECT 10.1.0.7:8000\r\n":          {Verb: Redirect, Address: "10.1.0.7:8000"},
		"REJECT HELLO - - RETRY\r\n":          {Verb: Reject, Request: Hello, Reason: Retry},
		"REJECT PUBLISH k.2f 7 UNKNOWN\r\n":   {Verb: Reject, Request: Publish, Topic: "k.2f", Number: 7, Reason: Unknown},
		"REJECT SUBSCRIBE k.2f - EXPIRED\r\n": {Verb: Reject, Request: Subscribe, Topic: "k.2f", Reason: Expired},
	} {
		got, err := ReadResponse(bufio.NewReader(strings.NewReader(text)))
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{"OK\r\n", "ACK t x\r\n", "COUNT t\r\n", "DELIVER t c u 7 99999\r\n", "DELIVER t c u x 1\r\na\r\n", "REJECT PUBLISH t x RETRY\r\n", "WELCOME\r\n"} {
		if got, err := ReadResponse(bufio.NewReader(strings.NewReader(text))); err == nil {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

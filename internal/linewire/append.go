package linewire

import "strconv"

// The functions in this file append server messages to a buffer.

// AppendHelloOK appends the response to an accepted HELLO.
func AppendHelloOK(b []byte) []byte { return appendLine(b, "OK", Hello) }

// AppendSubscribeOK appends the response to an accepted SUBSCRIBE. Deliveries start after the
// cursor.
func AppendSubscribeOK(b []byte, topic, cursor string) []byte {
	return appendLine(b, "OK", Subscribe, topic, cursor)
}

// AppendUnsubscribeOK appends the response to an UNSUB.
func AppendUnsubscribeOK(b []byte, topic string) []byte {
	return appendLine(b, "OK", Unsubscribe, topic)
}

// AppendAck appends the response to an accepted PUBLISH.
func AppendAck(b []byte, topic string, number int64) []byte {
	return appendLine(b, "ACK", topic, strconv.FormatInt(number, 10))
}

// AppendDeliver appends a message of a topic. The cursor is the position of the message;
// publisher and number identify it at its sender.
func AppendDeliver(b []byte, topic, cursor, publisher string, number int64, body []byte) []byte {
	b = appendLine(b, "DELIVER", topic, cursor, publisher, strconv.FormatInt(number, 10), strconv.Itoa(len(body)))
	b = append(b, body...)
	return append(b, "\r\n"...)
}

// AppendCount appends the response to a SUBCOUNT.
func AppendCount(b []byte, topic string, count int) []byte {
	return appendLine(b, "COUNT", topic, strconv.Itoa(count))
}

// AppendPong appends the response to a PING.
func AppendPong(b []byte) []byte { return appendLine(b, "PONG") }

// AppendRedirect appends the address that the client must reconnect to.
func AppendRedirect(b []byte, address string) []byte { return appendLine(b, "REDIRECT", address) }

// AppendReject appends the rejection of a command with this verb. The topic may be empty;
// number is that of a PUBLISH, otherwise 0.
func AppendReject(b []byte, verb, topic string, number int64, reason Reason) []byte {
	text := ""
	if number > 0 {
		text = strconv.FormatInt(number, 10)
	}
	return appendLine(b, "REJECT", verb, topic, text, string(reason))
}

// appendLine appends a verb and its fields. The last field must not be empty.
func appendLine(b []byte, verb string, fields ...string) []byte {
	b = append(b, verb...)
	for _, field := range fields {
		b = append(b, ' ')
		if field == "" {
			field = "-"
		}
		b = append(b, field...)
	}
	return append(b, "\r\n"...)
}

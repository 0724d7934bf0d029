package linewire

import "strconv"

// The functions here append messages to clients to a buffer.

// AppendHelloOK appends the answer to a HELLO that is accepted.
func AppendHelloOK(b []byte) []byte { return appendLine(b, "OK", Hello) }

// AppendSubscribeOK appends the answer to a SUBSCRIBE that is taken up at a cursor.
func AppendSubscribeOK(b []byte, topic, cursor string) []byte {
	return appendLine(b, "OK", Subscribe, topic, cursor)
}

// AppendUnsubscribeOK appends the answer to an UNSUB.
func AppendUnsubscribeOK(b []byte, topic string) []byte {
	return appendLine(b, "OK", Unsubscribe, topic)
}

// AppendAck appends the answer to a PUBLISH that is accepted.
func AppendAck(b []byte, topic string, number int64) []byte {
	return appendLine(b, "ACK", topic, strconv.FormatInt(number, 10))
}

// AppendDeliver appends a message of a topic. The cursor is its place; publisher
// and number are those of its sender.
func AppendDeliver(b []byte, topic, cursor, publisher string, number int64, body []byte) []byte {
	b = appendLine(b, "DELIVER", topic, cursor, publisher, strconv.FormatInt(number, 10), strconv.Itoa(len(body)))
	b = append(b, body...)
	return append(b, "\r\n"...)
}

// AppendCount appends the answer to a SUBCOUNT.
func AppendCount(b []byte, topic string, count int) []byte {
	return appendLine(b, "COUNT", topic, strconv.Itoa(count))
}

// AppendPong appends the answer to a PING.
func AppendPong(b []byte) []byte { return appendLine(b, "PONG") }

// AppendRedirect appends the address that the client shall come back to.
func AppendRedirect(b []byte, address string) []byte { return appendLine(b, "REDIRECT", address) }

// AppendReject appends a refusal of a message with this word. The topic may be
// empty; number is that of a PUBLISH, or 0.
func AppendReject(b []byte, word, topic string, number int64, reason Reason) []byte {
	text := ""
	if number > 0 {
		text = strconv.FormatInt(number, 10)
	}
	return appendLine(b, "REJECT", word, topic, text, string(reason))
}

// appendLine appends a word and its fields. The last field is not empty.
func appendLine(b []byte, word string, fields ...string) []byte {
	b = append(b, word...)
	for _, field := range fields {
		b = append(b, ' ')
		if field == "" {
			field = "-"
		}
		b = append(b, field...)
	}
	return append(b, "\r\n"...)
}

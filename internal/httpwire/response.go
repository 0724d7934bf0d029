package httpwire

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
)

// Response is the response of a handler.
type Response struct {
	Status int
	Header []string // alternating names and values
	Body   []byte
	Close  bool // close the connection after this response
}

// JSON returns a response with a JSON body.
func JSON(status int, v any) *Response {
	body, err := json.Marshal(v)
	if err != nil {
		return &Response{Status: 500}
	}
	return &Response{Status: status, Header: []string{"Content-Type", "application/json"}, Body: body}
}

// Problem returns a response with a JSON body that describes an error.
func Problem(status int, reason string) *Response {
	return JSON(status, map[string]string{"error-text": reason})
}

// unavailableRetryAfter is the Retry-After time of Unavailable, in seconds.
const unavailableRetryAfter = "1"

// Unavailable returns the response to a request that was not executed and never will be,
// because the process has no memory for it.
func Unavailable() *Response {
	response := Problem(http.StatusServiceUnavailable, "too many requests at once; this one was not executed")
	response.Header = append(response.Header, "Retry-After", unavailableRetryAfter)
	return response
}

// writeTo writes and flushes the response. The head is built in the buffer of w.
func (r *Response) writeTo(w *bufio.Writer, last, withBody bool) error {
	head := w.AvailableBuffer()
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(r.Status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(r.Status)...)
	head = append(head, "\r\n"...)
	for i := 0; i+1 < len(r.Header); i += 2 {
		head = appendField(head, r.Header[i], r.Header[i+1])
	}
	if last {
		head = append(head, "Connection: close\r\n"...)
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(r.Body)), 10)
	head = append(head, "\r\n\r\n"...)
	if _, err := w.Write(head); err != nil {
		return err
	}
	if withBody {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
	}
	return w.Flush()
}

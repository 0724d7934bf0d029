package processtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Shapes of the data that the crowds send.
const (
	largeChunkBytes = 64 << 10
	smallChunkBytes = 8
	// headerBytes is slightly less than the largest header that any listener accepts.
	headerBytes = 16000
	// pipelinedRequests is how many requests a client sends without reading a response.
	pipelinedRequests = 20
	// pipelinedPolls keeps a connection in use by one call after the other.
	pipelinedPolls = 200
	// writeBytes is the size of one write of a client.
	writeBytes = 16 << 10
)

// requestCrowds returns crowds that send incomplete requests. The request has a method and a
// path, header lines and a body of at most bodyBytes.
func requestCrowds(request, header string, bodyBytes int) []crowd {
	start := request + " HTTP/1.1\r\nHost: app.example\r\n" + header
	clients := min(max(crowdBytes/bodyBytes, crowdBytes/(16<<20)), 4*limitedDescriptors)
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	return []crowd{
		{name: "large-chunks", clients: clients, send: sendOpenBody(chunked, chunksOf(largeChunkBytes, bodyBytes-1), "10\r\n")},
		{name: "small-chunks", clients: clients, send: sendOpenBody(chunked, chunksOf(smallChunkBytes, bodyBytes-1), "10\r\n")},
		{name: "bodies", clients: clients, send: sendOpenBody(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, bodyBytes), bytes.Repeat([]byte("x"), bodyBytes-1), "")},
		{name: "headers", clients: 4 * limitedDescriptors, send: sendOpenBody(start, bytes.Repeat([]byte("a:b\r\n"), headerBytes/5), "")},
		{name: "fields", clients: 4 * limitedDescriptors, send: sendOpenBody(start, bytes.Repeat([]byte("a:b\r\n"), headerBytes/5), "Content-Length: 1\r\n\r\n")},
		{name: "idle", clients: crowdConnections, send: func(net.Conn, int) error { return nil }},
	}
}

// internalCrowds returns crowds of the listener for calls between processes. No header or body
// there is within a limit of the configuration.
func internalCrowds(c *cluster) []crowd {
	const bodyBytes = 4 << 20
	watch := `{"source":"","number":0,"wait-ms":0,"zone":"z"}`
	endless := bytes.Repeat([]byte("a:b\r\n"), bodyBytes/5)
	return append(requestCrowds("POST /news", "", bodyBytes),
		completeRequests("POST /news", "", padded(watch, bodyBytes)),
		crowd{name: "endless-headers", clients: crowdBytes / bodyBytes, send: sendOpenBody("POST /news HTTP/1.1\r\nHost: x\r\n", endless, "")},
		crowd{name: "endless-lines", clients: crowdBytes / bodyBytes, send: sendOpenBody("POST /news HTTP/1.1\r\nHost: x\r\na: ", bytes.Repeat([]byte("x"), bodyBytes), "")},
		crowd{name: "impossible-lengths", clients: limitedDescriptors, send: sendOpenBody("POST /news HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000000000000000\r\n\r\n", []byte("x"), "")},
		unreadResponses("POST /news", "", watch, len(c.configuration)),
		longPolls())
}

// longPolls returns a crowd that makes complete calls which wait for as long as a process lets
// them. The clients have an address of their own, as any machine has.
func longPolls() crowd {
	const format = "POST /news HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
	return crowd{name: "long-polls", local: "127.0.0.9", clients: crowdConnections, send: func(conn net.Conn, _ int) error {
		var page struct {
			Source string `json:"source"`
			Number uint64 `json:"number"`
		}
		first := `{"source":"","number":0,"wait-ms":0,"zone":"z"}`
		if _, err := fmt.Fprintf(conn, format, len(first), first); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(crowdStallTimeout)); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
			return err
		}
		poll := fmt.Sprintf(`{"source":"%s","number":%d,"wait-ms":3600000,"zone":"z"}`, page.Source, page.Number+1000)
		_, err = io.WriteString(conn, strings.Repeat(fmt.Sprintf(format, len(poll), poll), pipelinedPolls))
		return err
	}}
}

// completeRequests returns a crowd that sends complete requests with the largest body and reads
// no response.
func completeRequests(request, header, body string) crowd {
	one := fmt.Sprintf("%s HTTP/1.1\r\nHost: app.example\r\n%sContent-Length: %d\r\n\r\n", request, header, len(body))
	return crowd{name: "complete-requests", clients: max(crowdBytes/len(body), crowdBytes/(16<<20)), send: sendOpenBody(one, []byte(body), "")}
}

// padded returns JSON with white space up to a size.
func padded(text string, size int) string { return text + strings.Repeat(" ", size-len(text)) }

// sendOpenBody returns a function that sends a start, data and an end, after which the request
// is not complete.
func sendOpenBody(start string, data []byte, end string) func(net.Conn, int) error {
	return func(conn net.Conn, _ int) error {
		if _, err := conn.Write([]byte(start)); err != nil {
			return err
		}
		for rest := data; len(rest) > 0; {
			part := rest[:min(len(rest), writeBytes)]
			rest = rest[len(part):]
			if _, err := conn.Write(part); err != nil {
				return err
			}
		}
		_, err := conn.Write([]byte(end))
		return err
	}
}

// chunksOf returns a body of the given size in chunks, without the last chunk.
func chunksOf(chunkBytes, bodyBytes int) []byte {
	var encoded bytes.Buffer
	for left := bodyBytes; left > 0; {
		n := min(chunkBytes, left)
		left -= n
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return encoded.Bytes()
}

// unreadResponses returns a crowd that sends complete requests and reads no response.
func unreadResponses(request, header, body string, responseBytes int) crowd {
	one := fmt.Sprintf("%s HTTP/1.1\r\nHost: app.example\r\n%sContent-Length: %d\r\n\r\n%s", request, header, len(body), body)
	clients := min(max(crowdBytes/(pipelinedRequests*responseBytes), limitedDescriptors), 4*limitedDescriptors)
	return crowd{name: "unread-responses", clients: clients, send: func(conn net.Conn, _ int) error {
		_, err := conn.Write([]byte(strings.Repeat(one, pipelinedRequests)))
		return err
	}}
}

// internalAnswers returns a function that makes an ordinary internal call to a role.
func internalAnswers(role, path string) func(c *cluster) bool {
	return func(c *cluster) bool {
		body := `{"source":"","number":0,"wait-ms":0,"zone":"z"}`
		response, err := httpClient(time.Second).Post("http://"+c.address(role, portInternal)+path, "", strings.NewReader(body))
		return isOK(response, err)
	}
}

func coreAnswers(c *cluster) bool {
	return isOK(httpClient(time.Second).Get("http://" + c.address("core", portControl) + "/v1/configuration"))
}

func isOK(response *http.Response, err error) bool {
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

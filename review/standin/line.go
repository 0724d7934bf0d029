package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// frame is one message that a realtime client received.
type frame struct {
	at     time.Time
	fields []string
	body   string
}

// lineClient is a realtime client on one connection.
type lineClient struct {
	name   string
	conn   net.Conn
	frames chan frame // closed when the connection ends
	record *record

	mu sync.Mutex
}

// dialLine connects, and says HELLO.
func (c *cluster) dialLine(name, address string) (*lineClient, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	l := &lineClient{name: name, conn: conn, frames: make(chan frame, 4096), record: c.record}
	go l.read()
	l.say("HELLO %s %s", name, apiKey)
	f, err := l.await(2*time.Second, func(f frame) bool { return len(f.fields) > 1 && f.fields[1] == "HELLO" })
	if err != nil || f.fields[0] != "OK" {
		l.close()
		return nil, fmt.Errorf("HELLO of %s: %v %v", name, f.fields, err)
	}
	go func() { // often enough, as the pages say
		for l.say("PING") == nil {
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return l, nil
}

func (l *lineClient) close() { _ = l.conn.Close() }

func (l *lineClient) say(format string, args ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(l.conn, format+"\r\n", args...)
	return err
}

// read takes what the system sends until the connection ends.
func (l *lineClient) read() {
	defer close(l.frames)
	reader := bufio.NewReader(l.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		f := frame{at: time.Now(), fields: strings.Fields(line)}
		if len(f.fields) > 5 && f.fields[0] == "DELIVER" {
			n, err := strconv.Atoi(f.fields[5])
			raw := make([]byte, n+2)
			if err == nil {
				_, err = io.ReadFull(reader, raw)
			}
			if err != nil {
				return
			}
			f.body = string(raw[:n])
		}
		if len(f.fields) > 0 && f.fields[0] != "PONG" {
			l.frames <- f
		}
	}
}

// await waits for a frame that fits, and drops others.
func (l *lineClient) await(d time.Duration, fits func(f frame) bool) (frame, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case f, ok := <-l.frames:
			if !ok {
				return frame{}, io.EOF
			}
			if fits(f) {
				return f, nil
			}
		case <-timer.C:
			return frame{}, fmt.Errorf("no answer in %v", d)
		}
	}
}

// subscribe takes up a topic; the cursor may be empty.
func (l *lineClient) subscribe(topic, cursor string) error {
	if err := l.say("%s", strings.TrimSpace("SUBSCRIBE "+topic+" "+cursor)); err != nil {
		return err
	}
	f, err := l.await(5*time.Second, func(f frame) bool { return len(f.fields) > 2 && f.fields[1] == "SUBSCRIBE" && f.fields[2] == topic })
	if err == nil && f.fields[0] != "OK" {
		err = fmt.Errorf("%v", f.fields)
	}
	return err
}

// publish publishes a message under a number, and waits for the answer: "ACK", or the
// reason of a REJECT. The error says that there was none.
func (l *lineClient) publish(topic string, number int, body string, timeout time.Duration) (string, error) {
	if err := l.say("PUBLISH %s %d %d\r\n%s", topic, number, len(body), body); err != nil {
		return "", err
	}
	n := strconv.Itoa(number)
	f, err := l.await(timeout, func(f frame) bool {
		return f.fields[0] == "ACK" && len(f.fields) > 2 && f.fields[2] == n ||
			f.fields[0] == "REJECT" && len(f.fields) > 4 && f.fields[1] == "PUBLISH" && f.fields[3] == n
	})
	if err != nil {
		return "", err
	}
	if f.fields[0] == "ACK" {
		return "ACK", nil
	}
	return f.fields[4], nil
}

func (c *cluster) gateway(zone int) string {
	return fmt.Sprintf("%s:%d", c.address(zone, edge), c.data)
}

// space is a space of topics whose messages are retained.
func space(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host-match": "", "path-prefix": prefix, "route-type": "stored", "timeout-ms": 1500,
		"target-latency-ms": 400, "priority": 1, "retention-s": 35.0, "in-order": "publisher", "public-access": false,
	}
}

func (c *cluster) liveConfiguration(revision int, rate, burst float64) map[string]any {
	return map[string]any{
		"revision": revision, "route-table": []any{space("r-ruling", "ruling.")}, "service-table": []any{},
		"limits": map[string]any{"subscriptions": 20}, "tenant-table": []any{tenant(rate, burst)},
	}
}

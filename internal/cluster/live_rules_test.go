package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"saltreel/internal/linewire"
	"saltreel/internal/realtime"
)

// liveConn is a raw connection to a gateway, for tests of the line protocol.
type liveConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) dialGateway(zone string) *liveConn {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	conn, err := w.clientProcess.dial(ctx, w.machines["gateway-"+zone].ip+":80")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &liveConn{w.t, conn, bufio.NewReader(conn)}
}

func (c *liveConn) write(text string) { _, _ = io.WriteString(c.conn, text) }

// expect reads one line and checks that it has the given prefix.
func (c *liveConn) expect(want string) string {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := c.reader.ReadString('\n')
	line = strings.TrimSuffix(line, "\r\n")
	if err != nil || !strings.HasPrefix(line, want) {
		c.t.Errorf("got line %q, error %v; want prefix %q", line, err, want)
	}
	return line
}

// expectEnd checks that the gateway closes the connection.
func (c *liveConn) expectEnd() {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if n, err := io.Copy(io.Discard, c.reader); err != nil || n > 0 {
		c.t.Errorf("connection not closed cleanly: %d more bytes, error %v", n, err)
	}
}

func TestGatewayProtocolResponses(t *testing.T) {
	runLive(t, func(w *world) {
		hello := "HELLO u1 key-one\r\n"
		long := strings.Repeat("x", linewire.MaxBodyBytes+1)
		for name, exchange := range map[string][]string{ // lines sent and expected, alternating
			"the key is unknown":           {"HELLO u1 key-none\r\n", "REJECT HELLO - - UNAUTH", hello, "OK HELLO"},
			"a second HELLO":               {hello, "OK HELLO", hello, "REJECT HELLO - - MALFORMED"},
			"no HELLO":                     {"SUBSCRIBE live.q\r\n", "REJECT SUBSCRIBE live.q - MALFORMED"},
			"PING":                         {"PING\r\n", "PONG"},
			"no space":                     {hello, "OK HELLO", "SUBSCRIBE x.q\r\n", "REJECT SUBSCRIBE x.q - NOSPACE", "PUBLISH x.q 1 2\r\nab\r\n", "REJECT PUBLISH x.q 1 NOSPACE", "SUBCOUNT x.q\r\n", "REJECT SUBCOUNT x.q - NOSPACE"},
			"a space that needs a key":     {"HELLO u1\r\n", "OK HELLO", "SUBSCRIBE live.q\r\n", "REJECT SUBSCRIBE live.q - UNAUTH"},
			"an invalid cursor":            {hello, "OK HELLO", "SUBSCRIBE live.q never\r\n", "REJECT SUBSCRIBE live.q - MALFORMED"},
			"UNSUB without a subscription": {hello, "OK HELLO", "UNSUB live.q\r\n", "OK UNSUB live.q"},
			"a body that is too long":      {hello, "OK HELLO", "PUBLISH live.q 3 16385\r\n" + long + "\r\n", "REJECT PUBLISH live.q 3 OVERSIZE", "PING\r\n", "PONG"},
			"the longest body":             {hello, "OK HELLO", "PUBLISH live.q 4 16384\r\n" + long[1:] + "\r\n", "ACK live.q 4"},
			"a number again, and a lower one": {
				"HELLO u2 key-one\r\n", "OK HELLO", "PUBLISH live.q 9 1\r\na\r\n", "ACK live.q 9", "PUBLISH live.q 9 1\r\na\r\n", "ACK live.q 9",
				"PUBLISH live.q 8 1\r\nb\r\n", "REJECT PUBLISH live.q 8 RETRY",
			},
			"a malformed line, then an unknown command": {hello, "OK HELLO", "SUBSCRIBE\r\n", "REJECT SUBSCRIBE - - MALFORMED", "BREW coffee\r\n", ""},
		} {
			c := w.dialGateway("z1")
			for i := 0; i < len(exchange); i += 2 {
				c.write(exchange[i])
				if exchange[i+1] == "" {
					c.expectEnd()
				} else {
					c.expect(exchange[i+1])
				}
			}
			if w.t.Failed() {
				t.Fatalf("case %q failed", name)
			}
			_ = c.conn.Close()
		}
	})
}

func TestTopicsOnOneConnectionAreBounded(t *testing.T) {
	runLive(t, func(w *world) {
		c := w.dialGateway("z1")
		c.write("HELLO u1 key-one\r\n")
		c.expect("OK HELLO")
		for i := range 20 {
			c.write(fmt.Sprintf("SUBSCRIBE live.%d\r\n", i))
			c.expect(fmt.Sprintf("OK SUBSCRIBE live.%d ", i))
		}
		c.write("SUBSCRIBE live.20\r\n")
		c.expect("REJECT SUBSCRIBE live.20 - RETRY")
		c.write("SUBSCRIBE live.7\r\n") // already subscribed, does not count again
		c.expect("OK SUBSCRIBE live.7 ")
		c.write("UNSUB live.7\r\n")
		c.expect("OK UNSUB live.7")
		c.write("SUBSCRIBE live.20\r\n")
		c.expect("OK SUBSCRIBE live.20 ")
	})
}

// When a configuration removes a space, the gateway ends its subscriptions without a
// request of the client. A space that the configuration adds is usable at once.
func TestSubscriptionsEndWithTheirSpace(t *testing.T) {
	runLive(t, func(w *world) {
		c := w.dialGateway("z2")
		c.write("HELLO u1 key-one\r\nSUBSCRIBE live.q\r\n")
		c.expect("OK HELLO")
		c.expect("OK SUBSCRIBE live.q ")
		w.applySpaces("other.")
		c.expect("REJECT SUBSCRIBE live.q - NOSPACE")
		c.write("SUBSCRIBE live.q\r\nSUBSCRIBE other.q\r\n")
		c.expect("REJECT SUBSCRIBE live.q - NOSPACE")
		c.expect("OK SUBSCRIBE other.q ")
	})
}

// A cursor is valid at any gateway and for any client until a message after it has
// been deleted.
func TestCursorIsValidAtAnyGatewayUntilExpired(t *testing.T) {
	runLive(t, func(w *world) {
		publish := func(number int64, body string) {
			client := &realtime.Client{Dial: w.clientProcess.dial, Address: w.machines["gateway-z1"].ip + ":80", Name: "p", Key: "key-one"}
			ctx, cancel := context.WithTimeout(w.t.Context(), 5*time.Second)
			defer cancel()
			if err := client.Publish(ctx, "live.q", number, []byte(body)); err != nil {
				t.Error(err)
			}
		}
		publish(1, "first")
		c := w.dialGateway("z2")
		c.write("HELLO u1 key-one\r\nSUBSCRIBE live.q 0-0\r\n")
		c.expect("OK HELLO")
		c.expect("OK SUBSCRIBE live.q 0-0")
		first := strings.Fields(c.expect("DELIVER live.q "))[2]
		c.expect("first")
		publish(2, "second")
		c.expect("DELIVER live.q ")
		c.expect("second")
		resume := func(zone, cursor, want string) {
			other := w.dialGateway(zone)
			other.write("HELLO u2 key-one\r\nSUBSCRIBE live.q " + cursor + "\r\n")
			other.expect("OK HELLO")
			if want == "" {
				other.expect("REJECT SUBSCRIBE live.q - EXPIRED")
				return
			}
			other.expect("OK SUBSCRIBE live.q " + cursor)
			other.expect("DELIVER live.q ")
			other.expect(want)
		}
		resume("z3", first, "second")
		w.killMachine("broker-z1")
		w.killMachine("broker-z2")
		w.startMachine("broker-z1", false)
		w.startMachine("broker-z2", false)
		time.Sleep(5 * time.Second)
		resume("z1", first, "second")
		time.Sleep(100 * time.Second) // past the retention and its margin
		publish(3, "third")
		resume("z3", first, "")
	})
}

// Once all messages of a topic have been deleted, the cursor of the last message is
// valid and any earlier one is expired, even after all brokers have lost power.
func TestCursorsOfEmptyTopicSurviveLossOfAllBrokers(t *testing.T) {
	runLive(t, func(w *world) {
		client := &realtime.Client{Dial: w.clientProcess.dial, Address: w.machines["gateway-z1"].ip + ":80", Name: "p", Key: "key-one"}
		c := w.dialGateway("z2")
		c.write("HELLO u1 key-one\r\nSUBSCRIBE live.q 0-0\r\n")
		c.expect("OK HELLO")
		c.expect("OK SUBSCRIBE live.q 0-0")
		var cursors []string
		for n, body := range []string{"first", "last"} {
			if err := client.Publish(w.t.Context(), "live.q", int64(n+1), []byte(body)); err != nil {
				t.Fatal(err)
			}
			cursors = append(cursors, strings.Fields(c.expect("DELIVER live.q "))[2])
			c.expect(body)
		}
		time.Sleep(100 * time.Second) // past the retention and its margin
		for _, z := range zones {
			w.killMachine("broker-" + z)
		}
		for _, z := range zones {
			w.startMachine("broker-"+z, false)
		}
		time.Sleep(5 * time.Second)
		for i, want := range []string{"REJECT SUBSCRIBE live.q - EXPIRED", "OK SUBSCRIBE live.q " + cursors[1]} {
			other := w.dialGateway("z3")
			other.write("HELLO u2 key-one\r\nSUBSCRIBE live.q " + cursors[i] + "\r\n")
			other.expect("OK HELLO")
			other.expect(want)
		}
		c = w.dialGateway("z2")
		c.write("HELLO u3 key-one\r\nSUBSCRIBE live.q\r\n")
		c.expect("OK HELLO")
		c.expect("OK SUBSCRIBE live.q " + cursors[1])
	})
}

// The gateway closes the connection of a client that reads nothing, and such a client
// does not delay other subscribers.
func TestSlowClientIsClosed(t *testing.T) {
	runLive(t, func(w *world) {
		slow := w.dialGateway("z1")
		slow.write("HELLO slow key-one\r\nSUBSCRIBE live.a\r\n")
		slow.expect("OK HELLO")
		slow.expect("OK SUBSCRIBE live.a ")
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		quick := w.newLiveClient(ctx, "quick", "z1", "live.a")
		w.waitFor(5*time.Second, "the subscription", quick.allSubscribed)
		body := strings.Repeat("x", 16000)
		publisher := &realtime.Client{Dial: w.clientProcess.dial, Address: w.machines["gateway-z2"].ip + ":80", Name: "p", Key: "key-one"}
		for n := range int64(40) {
			if err := publisher.Publish(ctx, "live.a", n+1, []byte(body)); err != nil {
				t.Fatal(err)
			}
		}
		w.waitFor(5*time.Second, "all deliveries to the quick client", func() bool { return len(quick.snapshot("live.a").deliveries) == 40 })
		w.waitFor(15*time.Second, "the slow client to be disconnected", func() bool { return quick.count("live.a") == 1 })
	})
}

// A gateway that shuts down redirects its clients to another gateway, without losing
// any of their messages.
func TestDrainingGatewayRedirectsItsClients(t *testing.T) {
	runLive(t, func(w *world) {
		w.addMachine("gateway2-z1", "gateway", "z1", "10.1.0.9", false)
		time.Sleep(3 * time.Second)
		traffic := w.startLiveTraffic(3, 50*time.Millisecond)
		time.Sleep(time.Second)
		if took := w.terminateMachine("gateway-z1"); took > gracePeriod {
			t.Errorf("gateway-z1 took %v to stop", took)
		}
		time.Sleep(2 * time.Second)
		for _, c := range traffic.clients {
			c.mu.Lock()
			moved := c.redirected == 1 && c.connections == 2 && strings.HasPrefix(c.address, "10.1.0.9:")
			if fromZ1 := strings.HasPrefix(c.name, "z1-"); fromZ1 != moved {
				t.Errorf("%s: redirected %d times, %d connections, last gateway %s", c.name, c.redirected, c.connections, c.address)
			}
			c.mu.Unlock()
		}
		traffic.verify(t, 100)
	})
}

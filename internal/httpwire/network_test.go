package httpwire

import (
	"net"
	"testing"
	"time"
)

// tcpPair returns both ends of a loopback TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConnection(l)
	near, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closeConnection(near)
		closeConnection(far)
	})
	return near, far
}

func TestStateOfAnIdleConnection(t *testing.T) {
	for name, c := range map[string]struct {
		change           func(near, far net.Conn)
		reusable, closed bool
	}{
		"open":                    {func(net.Conn, net.Conn) {}, true, false},
		"with a byte to read":     {func(_, far net.Conn) { _, _ = far.Write([]byte("x")) }, false, false},
		"closed by the peer":      {func(_, far net.Conn) { closeConnection(far) }, false, true},
		"closed here":             {func(near, _ net.Conn) { closeConnection(near) }, false, true},
		"closed after a byte":     {func(_, far net.Conn) { _, _ = far.Write([]byte("x")); closeConnection(far) }, false, false},
		"closed in one direction": {func(_, far net.Conn) { _ = far.(*net.TCPConn).CloseWrite() }, false, true},
		"reset by the peer":       {func(_, far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); closeConnection(far) }, false, true},
	} {
		near, far := tcpPair(t)
		c.change(near, far)
		// The peer's change takes a moment to arrive.
		deadline := time.Now().Add(5 * time.Second)
		for (isReusable(near) != c.reusable || isClosedByPeer(near) != c.closed) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if reusable, closed := isReusable(near), isClosedByPeer(near); reusable != c.reusable || closed != c.closed {
			t.Errorf("%s: reusable %v, closed by the peer %v", name, reusable, closed)
		}
	}
	pipe, _ := net.Pipe()
	if !isReusable(pipe) || isClosedByPeer(pipe) {
		t.Error("a connection that cannot be checked counts as broken")
	}
}

package httpwire

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Dial opens a connection to a host:port address.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Listen opens a listener on a host:port address.
type Listen func(addr string) (net.Listener, error)

// Network opens outgoing connections and listeners. Tests substitute it.
type Network struct {
	Dial   Dial
	Listen Listen
}

// TCP returns the Network of the operating system. On an idle connection, keep-alive
// probes detect an unreachable peer host within about four seconds.
func TCP() Network {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     time.Second,
		Interval: time.Second,
		Count:    3,
	}}
	return Network{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		},
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
	}
}

// ConnectionRefused reports whether the peer's host refused the connection, as it
// does when no process listens on the port.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// unacceptedBytes is the receive buffer of a connection until it is accepted, in bytes. No
// budget counts these connections.
const unacceptedBytes = 8 << 10

// LimitUnacceptedBytes limits what the system holds for each connection to a TCP listener
// that the process has not accepted yet. SetReceiveBuffer raises it later. A listener for which
// it cannot be set works without.
func LimitUnacceptedBytes(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unacceptedBytes)
	})
}

// SetReceiveBuffer sets the size in bytes of the receive buffer of a TCP connection. An
// error means that the connection is closed, which the next read reports.
func SetReceiveBuffer(conn net.Conn, size int) {
	if c, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = c.SetReadBuffer(size)
	}
}

// closeConnection closes a connection or listener that is no longer used. It
// ignores the error of Close: data written was either acknowledged by a response or
// counts as not received.
func closeConnection(c io.Closer) { _ = c.Close() }

// isReusable reports whether an idle connection is open and has no unread data: an
// unsolicited response must not be taken for that to the next call. A connection
// that cannot be checked counts as reusable.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && reusable
}

// isClosedByPeer reports whether a FIN or RST from the peer has been received and
// no data is left to read. A connection that cannot be checked counts as open.
func isClosedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return closed || errors.Is(err, net.ErrClosed)
}

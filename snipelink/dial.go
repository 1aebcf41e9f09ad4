package snipelink

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// These constants bound the time until an unresponsive upstream is detected. The kernel
// of an upstream acknowledges within milliseconds. If sent bytes are not acknowledged within
// ackTimeout, the upstream is gone, or a device on the path has lost the state of the
// connection.
const (
	// ackTimeout is how long sent bytes may remain unacknowledged. It also decides how many probes must remain
	// unanswered: a connection fails at the first one that is due later than ackTimeout. More than two intervals, so that an
	// upstream whose network is silent for a second or so keeps its streams.
	ackTimeout = 2500 * time.Millisecond
	// keepAliveIdle is the time without traffic after which a connection is probed,
	// keepAliveInterval the time between two probes, and keepAliveCount the number of
	// unanswered probes after which the connection fails. An idle connection to a dead
	// upstream is detected after three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a function that opens TCP connections. The kernel terminates such
// a connection when the upstream becomes unresponsive.
func Dialer() func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return BufferedDialer(0)
}

// BufferedDialer is a Dialer whose connections have kernel buffers of the given size, in bytes, for
// each direction; 0 leaves the size to the kernel, which lets it grow to several MB. The kernel takes
// twice the size, for its own data beside the bytes of the connection.
func BufferedDialer(size int) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
				if size > 0 && optionErr == nil {
					optionErr = SetBuffers(int(fd), size)
				}
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// dialFrom opens a connection from a port that an earlier connection to the same address had. Other connections may use it too,
// or have used it.
func dialFrom(ctx context.Context, local, remote netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local.Addr(), 0)),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			if err := raw.Control(func(fd uintptr) { optionErr = setLocalPort(int(fd), local.Port()) }); err != nil {
				return err
			}
			return optionErr
		},
	}
	conn, err := d.DialContext(ctx, "tcp", remote.String())
	if errors.Is(err, unix.ENOPROTOOPT) {
		// A kernel before Linux 6.3. The port is refused while any other connection has it.
		bound := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(local)}
		conn, err = bound.DialContext(ctx, "tcp", remote.String())
	}
	if err != nil {
		return nil, err
	}
	if got, ok := conn.LocalAddr().(*net.TCPAddr); !ok || got.AddrPort() != local {
		_ = conn.Close()
		return nil, errors.Errorf("connected from %v instead of %v", conn.LocalAddr(), local)
	}
	return conn, nil
}

// setLocalPort has the kernel connect a socket from the given port. Unlike a bind to the port, this shares it with connections
// to other addresses.
func setLocalPort(fd int, port uint16) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1); err != nil {
		return err
	}
	const highShift = 16 // the option's value holds the last port of the range in its upper half
	return unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, int(port)<<highShift|int(port))
}

// SetBuffers sets the size of a socket's kernel buffers for both directions. The connections that a
// listening socket accepts have its sizes.
func SetBuffers(fd, size int) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

// endedBySilence reports whether an error of a connection means that the kernel has ended it because nothing arrived from
// the other end, which may not know of it then.
func endedBySilence(err error) bool {
	return errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH)
}

// connState is what can be told of a connection without reading from it.
type connState uint8

// The states of a connection: it is open and has no bytes to read, it has some, or it has ended without any.
const (
	connIdle connState = iota
	connSurplus
	connEnded
)

// stateOf returns the state of a connection. One whose type gives no access to a socket counts as idle.
func stateOf(conn net.Conn) connState {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return connIdle
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return connEnded
	}
	state := connEnded
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = connIdle
		case err == nil && n > 0:
			state = connSurplus
		}
		return true
	})
	if err != nil {
		return connEnded
	}
	return state
}

package snipelink

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The figures below find a peer that has gone silent. A peer answers within
// milliseconds; one that has acknowledged nothing for silence is gone, or
// something between has lost track of the connection.
const (
	// silence is how long sent bytes may stay without acknowledgement.
	silence = 1500 * time.Millisecond
	// probeAfter is the time without traffic after which a connection is probed,
	// probeEvery the time between probes, probeCount how many may stay
	// unanswered: a quiet connection to a dead peer is found in three seconds.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// Dialer opens TCP connections that notice a silent peer by themselves.
func Dialer() func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// quiet reports whether a connection is open and nothing waits to be read from
// it. A connection that cannot be looked at counts as quiet.
func quiet(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

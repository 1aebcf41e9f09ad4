package snipestand

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Silence makes TCP connections of this process silent, as a network does that drops every packet: the kernel drops what
// arrives at their sockets, so that it acknowledges nothing and answers no probe. Both ends of a connection must be
// watched. It is safe for concurrent use.
type Silence struct {
	lock    sync.Mutex // guards the fields below
	on      bool
	sockets map[syscall.RawConn]bool
}

// Listener returns a listener whose socket and connections are watched.
func (s *Silence) Listener(l *net.TCPListener) (net.Listener, error) {
	if err := s.watch(l); err != nil {
		return nil, err
	}
	return &silencedListener{l, s}, nil
}

// Dialer returns a function that opens connections by dial and watches those to the given address.
func (s *Silence) Dialer(address netip.AddrPort, dial func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, a)
		if err != nil || a != address {
			return c, err
		}
		return c, s.watch(c.(syscall.Conn))
	}
}

// Set begins or ends the silence.
func (s *Silence) Set(on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.on = on
	for socket := range s.sockets {
		if err := setDrop(socket, on); err != nil {
			delete(s.sockets, socket) // it is closed
		}
	}
}

func (s *Silence) watch(c syscall.Conn) error {
	socket, err := c.SyscallConn()
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.sockets == nil {
		s.sockets = make(map[syscall.RawConn]bool)
	}
	s.sockets[socket] = true
	if s.on {
		return setDrop(socket, true)
	}
	return nil
}

// silencedListener is a listener whose connections are watched.
type silencedListener struct {
	*net.TCPListener
	silence *Silence
}

// Accept implements net.Listener.
func (l *silencedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	// The socket has its listener's filter if it was opened in silence, and is told its end.
	return c, l.silence.watch(c)
}

// setDrop has the kernel drop all packets that arrive at a socket, or none.
func setDrop(socket syscall.RawConn, on bool) error {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // accepts 0 bytes of a packet
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		if on {
			optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
			return
		}
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	if err != nil {
		return err
	}
	if optionErr == unix.ENOENT {
		return nil // there was no filter
	}
	return optionErr
}

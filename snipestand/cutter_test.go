package snipestand_test

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// echo starts a TCP server that sends back all bytes that it receives, and returns its address.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// exchange sends one byte and reads its echo.
func exchange(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	_, err := c.Write([]byte{b})
	must.NoError(t, err)
	receive(t, c, b)
}

// receive reads one byte and compares it with the expected one.
func receive(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	must.NoError(t, err)
	must.Eq(t, b, got[0])
}

// TestCutter checks that a cut does not lose bytes, that new connections work after the open ones
// have become stale, that refused connections are closed, and that unknown links and modes are
// refused. It does not check that a cut or stale connection is silent.
func TestCutter(t *testing.T) {
	c := &snipestand.Cutter{Links: []snipestand.Link{{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Target: echo(t)}}}
	must.NoError(t, c.Listen())
	link := c.Links[0].Listen
	dial := func() net.Conn {
		k, err := net.Dial("tcp", link.String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = k.Close() })
		return k
	}
	old := dial()
	exchange(t, old, 1)
	for _, mode := range []snipestand.CutMode{snipestand.CutBoth, snipestand.CutForward, snipestand.CutBack} {
		must.NoError(t, c.Cut(link, mode))
		_, err := old.Write([]byte{2})
		must.NoError(t, err)
		// The byte that was held back arrives once the link is no longer cut.
		must.NoError(t, c.Cut(link, snipestand.CutNone))
		receive(t, old, 2)
	}
	must.NoError(t, c.Cut(link, snipestand.CutStale))
	_, err := old.Write([]byte{3})
	must.NoError(t, err)
	exchange(t, dial(), 4)
	must.NoError(t, c.Cut(link, snipestand.CutRefuse))
	_, err = io.ReadFull(dial(), make([]byte, 1))
	must.Error(t, err)
	must.ErrorIs(t, c.Cut(link, "sideways"), snipestand.ErrBadCut)
	must.ErrorIs(t, c.Cut(netip.AddrPort{}, snipestand.CutNone), snipestand.ErrBadCut)
}

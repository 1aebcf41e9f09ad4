package snipestand_test

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// echo serves connections that send back what they get.
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

// talk sends one byte and reads its echo.
func talk(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	_, err := c.Write([]byte{b})
	must.NoError(t, err)
	hear(t, c, b)
}

func hear(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	must.NoError(t, err)
	must.Eq(t, b, got[0])
}

// TestCutter holds what becomes of connections in each mode.
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
	talk(t, old, 1)
	for _, mode := range []snipestand.CutMode{snipestand.CutBoth, snipestand.CutForward, snipestand.CutBack} {
		must.NoError(t, c.Cut(link, mode))
		_, err := old.Write([]byte{2})
		must.NoError(t, err)
		// What was held back arrives when the link is mended.
		must.NoError(t, c.Cut(link, snipestand.CutNone))
		hear(t, old, 2)
	}
	must.NoError(t, c.Cut(link, snipestand.CutStale))
	_, err := old.Write([]byte{3})
	must.NoError(t, err)
	talk(t, dial(), 4)
	must.NoError(t, c.Cut(link, snipestand.CutRefuse))
	_, err = io.ReadFull(dial(), make([]byte, 1))
	must.Error(t, err)
	must.ErrorIs(t, c.Cut(link, "sideways"), snipestand.ErrBadCut)
	must.ErrorIs(t, c.Cut(netip.AddrPort{}, snipestand.CutNone), snipestand.ErrBadCut)
}

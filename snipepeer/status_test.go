package snipepeer

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipeupstream"
)

// TestStatusOutOfRange guards against a call that counts as not run because something answered a hop with a status that is none
// of HTTP and the body of a refusal.
func TestStatusOutOfRange(t *testing.T) {
	body := snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "busy").Encode("id")
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go snipestand.RawAnswer{
				Text: fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body),
			}.Serve(l)
			dial := snipeupstream.DialTCP()
			c := &Client{
				Pooled: snipeupstream.NewPooled(dial), Fresh: snipeupstream.NewFresh(dial), Secret: "s", Progress: 5 * time.Second,
			}
			err = c.Forward(t.Context(), netip.MustParseAddrPort(l.Addr().String()), newCall(), func(snipecall.Chunk) error { return nil })
			must.Error(t, err)
			must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
		})
	}
}

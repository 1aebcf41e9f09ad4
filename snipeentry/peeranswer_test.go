package snipeentry

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipestand"
)

// servePeer answers each message with bytes that need not be an answer.
func servePeer(t *testing.T, a snipestand.RawAnswer) netip.AddrPort {
	l := listenLocal(t)
	go a.Serve(l)
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEarlyPeerAnswerReset guards against a long message that counts as answered because the other instance began an answer
// before it had read it, and reset the connection: the answer without fields is an empty body.
func TestEarlyPeerAnswerReset(t *testing.T) {
	const plays = 20
	for _, read := range []int{100, 60_000, 300_000} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				address := servePeer(t, snipestand.RawAnswer{
					Read: read, Text: "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", Pause: pause, Reset: true,
				})
				p := newPeers(peerTransport(snipemeter.New()))
				for range plays {
					_, err := p.adapters.client(address).Ensure(t.Context(), &snipeproto.AdapterEnsureRequest{Model: strings.Repeat("x", 3<<20)})
					must.Error(t, err)
				}
			})
		}
	}
}

// TestPeerStatusOutOfRange guards against what another instance says with a status that is none of HTTP: it may be no instance.
func TestPeerStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			const body = `{"code":"failed_precondition","msg":"full"}`
			address := servePeer(t, snipestand.RawAnswer{
				Text: fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body),
			})
			p := newPeers(peerTransport(snipemeter.New()))
			_, err := p.adapters.client(address).Ensure(t.Context(), &snipeproto.AdapterEnsureRequest{Model: "a"})
			must.Error(t, err)
			var failure twirp.Error
			must.True(t, errors.As(err, &failure))
			must.NotEq(t, twirp.FailedPrecondition, failure.Code())
		})
	}
}

package snipeupstream

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipestand"
)

// serveBytes answers each request with bytes that need not be an answer.
func serveBytes(t *testing.T, a snipestand.RawAnswer) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go a.Serve(l)
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEarlyAnswerReset guards against an answer without a length that begins while the request is still being written, is
// reset, and passes for a whole one.
func TestEarlyAnswerReset(t *testing.T) {
	const plays, upload = 20, 3_900_000
	for name, head := range map[string]string{
		"Neither": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"Closing": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"Old":     "HTTP/1.0 200 OK\r\n\r\n",
	} {
		for _, read := range []int{100, 60_000, 300_000} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					address := serveBytes(t, snipestand.RawAnswer{Read: read, Text: head + "half of the ", Pause: pause, Reset: true})
					s := &Service{Name: "p1", Address: address, Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
					for n := range plays {
						c := serviceCall(n%2 == 0)
						c.Method, c.Body = http.MethodPost, bytes.Repeat([]byte("x"), upload)
						err := s.Call(t.Context(), c, func(snipecall.Chunk) error {
							t.Errorf("after %d bytes and %v: a part is complete", read, pause)
							return nil
						})
						must.Error(t, err)
					}
				})
			}
		}
	}
}

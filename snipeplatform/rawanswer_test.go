package snipeplatform_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipestand"
)

// openRawTable returns a table whose service answers each request with bytes that need not be an answer.
func openRawTable(t *testing.T, a snipestand.RawAnswer) snipeplatform.Table {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go a.Serve(l)
	address := netip.MustParseAddrPort(l.Addr().String())
	return snipeplatform.Dynamo{Address: address, Table: "t", AccessKey: "a", SecretKey: "s", Timeout: 5 * time.Second}.Open()
}

// TestEarlyTableAnswerReset guards against a long write that counts as done because the service began an answer before it had
// read it, and reset the connection.
func TestEarlyTableAnswerReset(t *testing.T) {
	const plays = 20
	for _, read := range []int{100, 60_000, 300_000} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				table := openRawTable(t, snipestand.RawAnswer{
					Read: read, Text: "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\n\r\n{}", Pause: pause, Reset: true,
				})
				for range plays {
					change := snipeplatform.Change{Key: rowKey, Data: bytes.Repeat([]byte("x"), 3<<20)}
					must.ErrorIs(t, table.Write(t.Context(), "operation", []snipeplatform.Change{change}), snipeplatform.ErrUnknown)
				}
			})
		}
	}
}

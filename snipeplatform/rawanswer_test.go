package snipeplatform_test

import (
	"bytes"
	"fmt"
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

// TestTableStatusOutOfRange guards against a write whose outcome is taken from an answer with a status that is none of HTTP.
func TestTableStatusOutOfRange(t *testing.T) {
	bodies := map[string]string{
		"Conflict": `{"__type": "a#TransactionCanceledException", "CancellationReasons": [{"Code": "ConditionalCheckFailed"}]}`,
		"Refused":  `{"__type": "a#ThrottlingException"}`,
		"Done":     `{}`,
	}
	for name, body := range bodies {
		for _, status := range []string{"000", "099", "600", "999"} {
			t.Run(name+status, func(t *testing.T) {
				table := openRawTable(t, snipestand.RawAnswer{Text: fmt.Sprintf(
					"HTTP/1.1 %s X\r\nContent-Type: application/x-amz-json-1.0\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)})
				change := snipeplatform.Change{Key: rowKey, Data: []byte("{}")}
				must.ErrorIs(t, table.Write(t.Context(), "operation", []snipeplatform.Change{change}), snipeplatform.ErrUnknown)
				_, err := table.Get(t.Context(), rowKey)
				must.ErrorIs(t, err, snipeplatform.ErrUnavailable)
			})
		}
	}
}

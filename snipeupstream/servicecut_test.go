package snipeupstream

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

// TestServiceAnswerCutAtEachByte guards against an answer of a plain service that breaks off, in its head or in its body, and
// passes for a whole one. Where it ends with its connection, nothing shows that it is whole, and that must be told.
func TestServiceAnswerCutAtEachByte(t *testing.T) {
	const body = "0123456789"
	tests := map[string]struct {
		head, body string
		unframed   bool
	}{
		"Length":  {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n", body, false},
		"Chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n" + body + "\r\n0\r\n\r\n", false},
		"Neither": {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", body, true},
		"Interim": {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", body, false},
		"Nothing": {"HTTP/1.1 204 No Content\r\nX: a\r\n\r\n", "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := tt.head + tt.body
			answers := make(chan string, 1)
			s := &Service{Name: "p1", Address: serveRaw(t, answers), Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
			for at := range len(whole) + 1 {
				answers <- whole[:at]
				var got *snipecall.Chunk
				err := s.Call(t.Context(), serviceCall(false), func(k snipecall.Chunk) error {
					got = &k
					return nil
				})
				where := must.Sprint(fmt.Sprintf("%q", whole[:at]))
				if at < len(tt.head) || at < len(whole) && !tt.unframed {
					must.Error(t, err, where)
					must.Nil(t, got, where)
					continue
				}
				must.NoError(t, err, where)
				must.EqOp(t, tt.unframed, got.Unframed, where)
			}
		})
	}
}

// serveRaw answers each request with the next of the answers, and closes its connection.
func serveRaw(t *testing.T, answers <-chan string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, <-answers)
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

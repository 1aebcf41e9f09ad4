package snipecaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

// TestUnframedAnswer guards against an answer that ended with its connection, so that it may have been cut off, and that its
// caller receives with a length.
func TestUnframedAnswer(t *testing.T) {
	for name, unframed := range map[string]bool{"Framed": false, "Unframed": true} {
		t.Run(name, func(t *testing.T) {
			s := newServer(func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
				return sink(snipecall.Chunk{Sequence: 1, Status: http.StatusOK, Unframed: unframed, Data: []byte("half"), Last: true})
			})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET /services/orders/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
			must.NoError(t, err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer func() { _ = answer.Body.Close() }()
			data, err := io.ReadAll(answer.Body)
			must.NoError(t, err)
			must.Eq(t, "half", string(data))
			must.EqOp(t, unframed, answer.ContentLength < 0 && len(answer.TransferEncoding) == 0)
			must.EqOp(t, unframed, answer.Close)
		})
	}
}

package snipeanswer_test

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipestand"
)

// TestResetWhileWriting guards against a connection that looks closed in order to its reader because its writer has learned of
// the reset.
func TestResetWhileWriting(t *testing.T) {
	c := dialRaw(t, snipestand.RawAnswer{Text: "part", Reset: true})
	for {
		if _, err := c.Write(bytes.Repeat([]byte("x"), 1<<20)); err != nil {
			break
		}
	}
	_, err := io.ReadAll(c)
	must.Error(t, err)
}

// TestClosedAfterWriting guards against an answer that is refused though its connection was closed in order, after all of
// the request had been written.
func TestClosedAfterWriting(t *testing.T) {
	c := dialRaw(t, snipestand.RawAnswer{Text: "whole"})
	_, err := io.WriteString(c, "request")
	must.NoError(t, err)
	data, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "whole", string(data))
}

// dialRaw opens a connection to a server that sends an answer.
func dialRaw(t *testing.T, a snipestand.RawAnswer) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go a.Serve(l)
	dial := snipeanswer.Dial((&net.Dialer{}).DialContext)
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

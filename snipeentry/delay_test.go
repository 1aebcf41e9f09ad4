package snipeentry_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// delayedChunks bounds the chunks of one direction of a connection that are on their way.
const delayedChunks = 4096

// messageDelay is how much later what either side of a connection sends arrives, in nanoseconds.
type messageDelay struct{ atomic.Int64 }

func (d *messageDelay) get() time.Duration { return time.Duration(d.Load()) }

// delayListener returns a listener whose connections come from another one, delayed.
func delayListener(t *testing.T, outer net.Listener, delay *messageDelay) net.Listener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = outer.Close() })
	go func() {
		for {
			client, err := outer.Accept()
			if err != nil {
				return
			}
			go forwardDelayed(t.Context(), client, inner.Addr().String(), delay)
		}
	}()
	return inner
}

// forwardDelayed connects a client to an address, and closes both connections when one of them ends.
func forwardDelayed(ctx context.Context, client net.Conn, address string, delay *messageDelay) {
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	go copyDelayed(server, client, delay)
	copyDelayed(client, server, delay)
}

// delayedChunk is what was read at one moment.
type delayedChunk struct {
	data []byte
	at   time.Time
}

// copyDelayed writes what it reads, each chunk as much later as the delay.
func copyDelayed(to, from net.Conn, delay *messageDelay) {
	chunks := make(chan delayedChunk, delayedChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if n > 0 {
				chunks <- delayedChunk{data[:n], time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at.Add(delay.get())))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
	for range chunks { // until the reader has noticed the end
	}
}

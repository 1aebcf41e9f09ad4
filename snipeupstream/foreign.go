package snipeupstream

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// requestHeader is the header that carries a call's identifier. Some upstreams copy it into their answer, others set an
// identifier of their own there.
const requestHeader = "X-Request-Id"

// errForeign marks an exchange whose answer is that to an earlier call of its connection.
var errForeign = errors.New("answer to another call")

// maxRemembered bounds the identifiers that a connection remembers, those of its last calls.
const maxRemembered = 16

var requestSeed = maphash.MakeSeed()

// identifiedConn is a connection that remembers the identifiers of the calls that it has carried. An upstream may answer one of
// them a second time, after the next call was sent.
type identifiedConn struct {
	net.Conn
	lock    sync.Mutex // guards carried
	carried []uint64
}

// remember returns a Dial whose connections remember their calls.
func remember(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &identifiedConn{Conn: conn}, nil
	}
}

// add adds the identifier of a call that is about to be sent.
func (c *identifiedConn) add(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.carried) == maxRemembered {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, maphash.String(requestSeed, id))
}

// isForeign reports whether an answer to the call with an identifier bears that of another call of the connection.
func (c *identifiedConn) isForeign(id string, answer *http.Response) bool {
	got := answer.Header.Get(requestHeader)
	if c == nil || got == "" || got == id {
		return false
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Contains(c.carried, maphash.String(requestSeed, got))
}

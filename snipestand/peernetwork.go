package snipestand

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrCut is returned for a request over a cut.
var ErrCut = errors.New("network is cut")

// Traffic counts what one instance sent and received.
type Traffic struct {
	// Requests counts the requests that the instance sent or received.
	Requests int
	// Bytes counts those of requests and answers as they stand on the wire
	// under HTTP/1.1, without the headers of TCP and IP.
	Bytes int
}

// PeerNetwork carries HTTP requests between instances in memory and counts the
// bytes of their real encoding. It is safe for concurrent use.
type PeerNetwork struct {
	// Delay is the time of one way.
	Delay time.Duration

	lock     sync.Mutex // guards the fields below
	handlers map[netip.AddrPort]http.Handler
	cuts     map[[2]netip.AddrPort]bool
	traffic  map[netip.AddrPort]Traffic
}

// NewPeerNetwork returns a network without instances.
func NewPeerNetwork(delay time.Duration) *PeerNetwork {
	return &PeerNetwork{
		Delay: delay, handlers: map[netip.AddrPort]http.Handler{},
		cuts: map[[2]netip.AddrPort]bool{}, traffic: map[netip.AddrPort]Traffic{},
	}
}

// Listen serves an address; a nil handler ends it.
func (n *PeerNetwork) Listen(address netip.AddrPort, h http.Handler) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.handlers[address] = h
}

// Cut drops, or no longer drops, the requests from one address to another.
func (n *PeerNetwork) Cut(from, to netip.AddrPort, cut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts[[2]netip.AddrPort{from, to}] = cut
}

// Traffic returns the counts of an address and sets them to zero.
func (n *PeerNetwork) Traffic(address netip.AddrPort) Traffic {
	n.lock.Lock()
	defer n.lock.Unlock()
	t := n.traffic[address]
	delete(n.traffic, address)
	return t
}

// From returns the client side of an address.
func (n *PeerNetwork) From(address netip.AddrPort) *PeerClient {
	return &PeerClient{network: n, from: address}
}

// PeerClient sends requests from one address.
type PeerClient struct {
	network *PeerNetwork
	from    netip.AddrPort
}

// counter counts the bytes written to it.
type counter struct{ bytes int }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var _ io.Writer = (*counter)(nil)

// Do sends one request; see http.Client.Do. A request over a cut hangs until
// its context ends, one to nobody is refused.
func (c *PeerClient) Do(r *http.Request) (*http.Response, error) {
	to, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	sent := &counter{}
	copied := r.Clone(r.Context())
	if copied.Body, err = r.GetBody(); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := copied.Write(sent); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	if err := c.network.pass(r.Context(), c.from, to, sent.bytes); err != nil {
		return nil, err
	}
	c.network.lock.Lock()
	h := c.network.handlers[to]
	c.network.lock.Unlock()
	if h == nil {
		return nil, errors.Wrapf(ErrCut, "nobody at %s", to)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	answer, received := recorder.Result(), &counter{}
	if err := answer.Write(received); err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	// Packets of both directions cross a connection: a cut in either one
	// breaks only connections that are opened against it.
	if err := c.network.pass(r.Context(), to, netip.AddrPort{}, received.bytes); err != nil {
		return nil, err
	}
	c.network.count(c.from, 0, received.bytes)
	return answer, nil
}

func (n *PeerNetwork) count(address netip.AddrPort, requests, bytes int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	t := n.traffic[address]
	t.Requests += requests
	t.Bytes += bytes
	n.traffic[address] = t
}

// pass takes one way: it waits, and hangs when the way is cut.
func (n *PeerNetwork) pass(ctx context.Context, from, to netip.AddrPort, bytes int) error {
	n.count(from, 1, bytes)
	n.lock.Lock()
	cut := n.cuts[[2]netip.AddrPort{from, to}]
	n.lock.Unlock()
	if cut {
		<-ctx.Done()
		return errors.Wrap(ErrCut, ctx.Err().Error())
	}
	timer := time.NewTimer(n.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ErrCut, ctx.Err().Error())
	case <-timer.C:
	}
	if to.IsValid() {
		n.count(to, 0, bytes)
	}
	return nil
}

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

// ErrCut reports a request in a direction that is cut, or to an address without a handler.
var ErrCut = errors.New("network is cut")

// Traffic counts the messages that one instance sent and received.
type Traffic struct {
	// Requests counts the requests that the instance sent and the answers that it gave.
	Requests int
	// Bytes counts the bytes of requests and answers in their HTTP/1.1 encoding, without the
	// headers of TCP and IP.
	Bytes int
}

// PeerNetwork carries HTTP requests between instances in memory and counts the bytes of their
// HTTP/1.1 encoding. It is safe for concurrent use.
type PeerNetwork struct {
	// Delay is the latency of one direction.
	Delay time.Duration

	lock     sync.Mutex // guards the fields below
	handlers map[netip.AddrPort]http.Handler
	cuts     map[[2]netip.AddrPort]bool // by sender and receiver
	traffic  map[netip.AddrPort]Traffic
}

// NewPeerNetwork returns a network without instances, with the given latency of one direction.
func NewPeerNetwork(delay time.Duration) *PeerNetwork {
	return &PeerNetwork{
		Delay: delay, handlers: map[netip.AddrPort]http.Handler{},
		cuts: map[[2]netip.AddrPort]bool{}, traffic: map[netip.AddrPort]Traffic{},
	}
}

// Listen makes a handler serve an address; nil stops the service of the address.
func (n *PeerNetwork) Listen(address netip.AddrPort, h http.Handler) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.handlers[address] = h
}

// Cut starts or ends the loss of requests from one address to another.
func (n *PeerNetwork) Cut(from, to netip.AddrPort, cut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cuts[[2]netip.AddrPort{from, to}] = cut
}

// Traffic returns the counts of an address and resets them to zero.
func (n *PeerNetwork) Traffic(address netip.AddrPort) Traffic {
	n.lock.Lock()
	defer n.lock.Unlock()
	t := n.traffic[address]
	delete(n.traffic, address)
	return t
}

// From returns a client that sends requests from an address.
func (n *PeerNetwork) From(address netip.AddrPort) *PeerClient {
	return &PeerClient{network: n, from: address}
}

// PeerClient sends requests from one address.
type PeerClient struct {
	network *PeerNetwork
	from    netip.AddrPort
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var _ io.Writer = (*byteCounter)(nil)

// Do sends one request; see http.Client.Do. A request in a direction that is cut blocks until its
// context ends. A request to an address without a handler fails. Both errors wrap ErrCut.
func (c *PeerClient) Do(r *http.Request) (*http.Response, error) {
	to, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	sent := &byteCounter{}
	clone := r.Clone(r.Context())
	if clone.Body, err = r.GetBody(); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := clone.Write(sent); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	if err := c.network.transmit(r.Context(), c.from, to, sent.bytes); err != nil {
		return nil, err
	}
	c.network.lock.Lock()
	h := c.network.handlers[to]
	c.network.lock.Unlock()
	if h == nil {
		return nil, errors.Wrapf(ErrCut, "no handler at %s", to)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	answer, received := recorder.Result(), &byteCounter{}
	if err := answer.Write(received); err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	// A cut affects only connections that are opened in its direction. The answer arrives on the
	// connection of the request, so that a cut in the direction of the answer does not stop it.
	if err := c.network.transmit(r.Context(), to, netip.AddrPort{}, received.bytes); err != nil {
		return nil, err
	}
	c.network.count(c.from, 0, received.bytes)
	return answer, nil
}

// count adds to the counts of an address.
func (n *PeerNetwork) count(address netip.AddrPort, requests, bytes int) {
	n.lock.Lock()
	defer n.lock.Unlock()
	t := n.traffic[address]
	t.Requests += requests
	t.Bytes += bytes
	n.traffic[address] = t
}

// transmit emulates the transfer of one message: it waits for the latency, or until the context
// ends if the direction is cut, and counts the message. An invalid receiver is not counted.
func (n *PeerNetwork) transmit(ctx context.Context, from, to netip.AddrPort, bytes int) error {
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

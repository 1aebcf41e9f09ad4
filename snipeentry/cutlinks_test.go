package snipeentry_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelink"
)

// cutMode is what becomes of the connections of an instance to upstreams.
type cutMode uint8

const (
	linksSound cutMode = iota
	// linksHang drops what is sent, on open connections and new ones; open ones fail after ackTime.
	linksHang
	// linksReset closes open connections and refuses new ones.
	linksReset
	// linksLiveOn refuses new connections alone.
	linksLiveOn
	// linksPause holds back what is sent in either direction until the mode changes; connections that are opened
	// meanwhile wait.
	linksPause
)

// ackTime is how long bytes may remain without acknowledgement, as for connections of snipelink.
const ackTime = 2500 * time.Millisecond

// cutLinks are the connections of one instance to upstreams.
type cutLinks struct {
	// affects reports whether connections to an address are cut; nil means all.
	affects func(address netip.AddrPort) bool

	lock   sync.Mutex // guards the fields below
	mode   cutMode
	opened map[*cutConn]bool
}

// cutConn is one of them.
type cutConn struct {
	*net.TCPConn
	links   *cutLinks
	address netip.AddrPort
}

// dial opens a connection, as snipeentry.Instance.Dial does.
func (c *cutLinks) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	switch c.modeOf(address) {
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksReset, linksLiveOn:
		return nil, syscall.ECONNREFUSED
	case linksPause:
		if err := c.awaitEnd(ctx, address); err != nil {
			return nil, err
		}
	default:
	}
	conn, err := snipelink.Dialer()(ctx, address)
	if err != nil {
		return nil, err
	}
	k := &cutConn{conn.(*net.TCPConn), c, address}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.opened == nil {
		c.opened = make(map[*cutConn]bool)
	}
	c.opened[k] = true
	return k, nil
}

// pauseCheck is the time between two looks whether a pause has ended.
const pauseCheck = 5 * time.Millisecond

// awaitEnd waits until no pause holds back what is sent to or from an address, or ctx ends.
func (c *cutLinks) awaitEnd(ctx context.Context, address netip.AddrPort) error {
	for c.modeOf(address) == linksPause && ctx.Err() == nil {
		time.Sleep(pauseCheck)
	}
	return ctx.Err()
}

func (c *cutLinks) modeOf(address netip.AddrPort) cutMode {
	if c.affects != nil && !c.affects(address) {
		return linksSound
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.mode
}

// set cuts the connections, or heals the network.
func (c *cutLinks) set(mode cutMode) {
	c.lock.Lock()
	c.mode = mode
	all := c.opened
	if mode == linksHang || mode == linksReset {
		c.opened = nil
	}
	c.lock.Unlock()
	switch mode {
	case linksHang:
		time.AfterFunc(ackTime, func() { c.closeAll(all) })
	case linksReset:
		c.closeAll(all)
	default:
	}
}

func (c *cutLinks) closeAll(all map[*cutConn]bool) {
	for k := range all {
		if c.affects == nil || c.affects(k.address) {
			_ = k.TCPConn.Close()
		}
	}
}

// closeTo closes the open connections to an address.
func (c *cutLinks) closeTo(address netip.AddrPort) {
	c.lock.Lock()
	var all []*cutConn
	for k := range c.opened {
		if k.address == address {
			all = append(all, k)
		}
	}
	c.lock.Unlock()
	for _, k := range all {
		_ = k.TCPConn.Close()
	}
}

// Read implements net.Conn.
func (k *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := k.TCPConn.Read(p)
		_ = k.links.awaitEnd(context.Background(), k.address)
		if k.links.modeOf(k.address) != linksHang {
			return n, err
		}
		if err != nil {
			return 0, errors.Wrap(err, "cut")
		}
	}
}

// Write implements net.Conn.
func (k *cutConn) Write(p []byte) (int, error) {
	if k.links.modeOf(k.address) == linksHang {
		return len(p), nil
	}
	_ = k.links.awaitEnd(context.Background(), k.address)
	return k.TCPConn.Write(p)
}

// Close implements net.Conn.
func (k *cutConn) Close() error {
	k.links.lock.Lock()
	delete(k.links.opened, k)
	k.links.lock.Unlock()
	return k.TCPConn.Close()
}

package snipelink

import (
	"bufio"
	"context"
	"net/netip"
	"slices"
	"time"
)

// take returns a connection that can be reused for a request, or a new one if there is none or
// fresh is set. It closes the idle connections that it finds expired or closed. ErrSurplus means that it has found bytes on one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, fresh bool, request digest) (c *connection, reused bool, err error) {
	for !fresh {
		c := p.pop(address, request)
		if c == nil {
			break
		}
		state := stateOf(c.conn)
		if state == connIdle && time.Now().Before(c.expires) {
			return c, true, nil
		}
		_ = c.conn.Close()
		if state == connSurplus && p.mayBeCopy(c) {
			return nil, false, ErrSurplus
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	head := &headReader{Conn: conn}
	return &connection{conn: conn, head: head, reader: bufio.NewReader(head), address: address}, false, nil
}

// pop removes and returns the connection that was added to the pool last, of those that have not carried the request; nil
// when there is none.
func (p *Pool) pop(address netip.AddrPort, request digest) *connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	all := p.idle[address]
	for n, c := range slices.Backward(all) {
		if !c.carried.has(request) {
			p.idle[address] = slices.Delete(all, n, n+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection. If the upstream has MaxIdle of them already, the one that
// was added first is closed.
func (p *Pool) put(c *connection) {
	_ = c.conn.SetDeadline(time.Time{})
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*connection)
	}
	all := p.idle[c.address]
	if len(all) >= p.MaxIdle {
		_ = all[0].conn.Close()
		all = append(all[:0], all[1:]...)
	}
	p.idle[c.address] = append(all, c)
}

// Forget closes the idle connections to an upstream.
func (p *Pool) Forget(address netip.AddrPort) {
	p.lock.Lock()
	all := p.idle[address]
	delete(p.idle, address)
	p.lock.Unlock()
	for _, c := range all {
		_ = c.conn.Close()
	}
}

// Sweep closes the idle connections that have expired, were closed by the upstream, or have bytes to read: these would
// stay in memory until the connection expires.
func (p *Pool) Sweep() {
	now := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Before(c.expires) && stateOf(c.conn) == connIdle {
				kept = append(kept, c)
				continue
			}
			_ = c.conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

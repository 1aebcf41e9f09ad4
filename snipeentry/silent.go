package snipeentry

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
)

// errOwnerUnresponsive reports that an owner does not answer reports of use, so that it will not
// answer a pending request either.
var errOwnerUnresponsive = errors.New("the owner does not answer")

// pendingRequest is a request in progress.
type pendingRequest struct {
	cancel context.CancelCauseFunc
}

// trackRequest returns the context of a request to an owner. The context also ends when the owner
// is found to be unreachable. The returned function ends the request.
func (p *peers) trackRequest(ctx context.Context, owner netip.AddrPort) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	q := &pendingRequest{cancel}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.pendingRequests == nil {
		p.pendingRequests = make(map[netip.AddrPort]map[*pendingRequest]bool)
	}
	if p.pendingRequests[owner] == nil {
		p.pendingRequests[owner] = make(map[*pendingRequest]bool)
	}
	p.pendingRequests[owner][q] = true
	return ctx, func() {
		cancel(nil)
		p.endRequest(owner, q)
	}
}

// endRequest drops a finished request.
func (p *peers) endRequest(owner netip.AddrPort, q *pendingRequest) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.pendingRequests[owner], q)
	if len(p.pendingRequests[owner]) == 0 {
		delete(p.pendingRequests, owner)
	}
}

// isUnreachable reports whether the last report of use did not reach an instance.
func (p *peers) isUnreachable(to netip.AddrPort) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.unreachable[to]
}

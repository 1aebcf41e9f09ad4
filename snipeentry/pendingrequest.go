package snipeentry

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
)

// errOwnerUnresponsive reports that a request to an owner was canceled, because the owner has not
// answered a report of use and so is not expected to answer the request either.
var errOwnerUnresponsive = errors.New("the owner does not answer")

// pendingRequest is a request in progress to an owner to load an adapter.
type pendingRequest struct {
	cancel context.CancelCauseFunc // ends the request's context
}

// trackRequest returns a context for a request to an owner. The context also ends, with the cause
// errOwnerUnresponsive, when the owner becomes unreachable from now on. The caller must call the
// returned function when the request has ended.
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

// endRequest removes a request that has ended from the pending ones.
func (p *peers) endRequest(owner netip.AddrPort, q *pendingRequest) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.pendingRequests[owner], q)
	if len(p.pendingRequests[owner]) == 0 {
		delete(p.pendingRequests, owner)
	}
}

// isUnreachable reports whether an instance did not answer the last report of use. It is false for
// an instance that was sent no report.
func (p *peers) isUnreachable(to netip.AddrPort) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.unreachable[to]
}

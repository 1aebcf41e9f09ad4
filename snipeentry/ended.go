package snipeentry

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipeowner"
)

// endedCheckTimeout bounds the check whether the process of an instance has ended, endedCheckPause is the time between
// two checks of one instance.
const endedCheckTimeout, endedCheckPause = 200 * time.Millisecond, 250 * time.Millisecond

// endedInstances holds the starts of other instances that are known to have ended: nothing listens at their addresses. An
// instance listens from before it writes its row until its last request has ended, so that a refused connection proves the
// end. It is safe for concurrent use.
type endedInstances struct {
	lock sync.Mutex // guards the fields below
	// ended holds the incarnations that have ended, by address. checkedAt is when each address was last checked.
	ended     map[netip.AddrPort]string
	checkedAt map[netip.AddrPort]time.Time
}

// has reports whether a start of an instance is known to have ended.
func (e *endedInstances) has(i snipeowner.Instance) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	incarnation, ok := e.ended[i.Peer]
	return ok && incarnation == i.Incarnation
}

// add records that a start has ended, and reports whether that is new.
func (e *endedInstances) add(i snipeowner.Instance) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.ended[i.Peer] == i.Incarnation {
		return false
	}
	if e.ended == nil {
		e.ended = make(map[netip.AddrPort]string)
	}
	e.ended[i.Peer] = i.Incarnation
	return true
}

// beginCheck reports whether an address may be checked now.
func (e *endedInstances) beginCheck(peer netip.AddrPort, now time.Time) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if now.Sub(e.checkedAt[peer]) < endedCheckPause {
		return false
	}
	if e.checkedAt == nil {
		e.checkedAt = make(map[netip.AddrPort]time.Time)
	}
	e.checkedAt[peer] = now
	return true
}

// noteCallFailed records that a call to another instance has failed, which shows whether its process has ended.
func (i *Instance) noteCallFailed(peer netip.AddrPort, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if other, ok := i.holder.View().Live[peer]; ok && i.ended.add(other) {
		i.holder.RequestStep()
	}
}

// checkOwner finds out whether the owner of an address has ended, so that this instance may take over from it, and does
// not wait for that.
func (i *Instance) checkOwner(address netip.AddrPort) {
	owner, ok := i.holder.View().Owners[address]
	if !ok || owner.Self || i.ended.has(owner.Instance) || !i.ended.beginCheck(owner.Instance.Peer, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
		defer cancel()
		c, err := snipelink.Dialer()(ctx, owner.Instance.Peer)
		if err != nil {
			i.noteCallFailed(owner.Instance.Peer, err)
			return
		}
		_ = c.Close()
	}()
}

package snipeowner

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// Step reads the changed rows, renews the row of this instance together with its ownerships, takes
// over engines that have no live owner, or releases engines after Leave, and publishes a new view.
// It does not renew while an instance on standby need not, or once the row of a leaving instance is
// final, and does nothing more if no rows were ever read.
func (h *Holder) Step(ctx context.Context) {
	h.initialize()
	h.outage.beginStep(h.Clock())
	h.enginesKnown = len(h.Engines()) > 0
	err := h.read(ctx)
	if errors.Is(err, snipeplatform.ErrNotRead) {
		return
	}
	h.readFailed = err != nil
	if !h.renewalFailed && !h.readFailed {
		h.answeredAt = h.Clock()
	}
	standby := h.standby()
	if standby && !h.standbyDue() || h.leaveRecorded() {
		h.outage.skipRenewal()
		h.publish()
		return
	}
	err = h.renew(ctx, standby)
	h.outage.endRenewal(h.Clock(), snipeplatform.IsDefinite(err))
	h.reportRenewal(err)
	h.publish()
}

func (h *Holder) initialize() {
	if h.instances != nil {
		return
	}
	h.started = h.Clock()
	h.instances = make(map[netip.AddrPort]instanceRow)
	h.owners = make(map[netip.AddrPort]ownerRow)
	h.lastOwned = make(map[netip.AddrPort]time.Duration)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.holdings = make(map[netip.AddrPort]holding)
}

// reportRenewal reports to RenewalEnded whether the table answered a renewal. It logs the first
// failed renewal and the first successful one after that.
func (h *Holder) reportRenewal(err error) {
	if h.RenewalEnded != nil {
		h.RenewalEnded(snipeplatform.IsDefinite(err))
	}
	switch {
	case err != nil && !h.renewalFailed:
		h.Log.Error(snipelog.OwnershipStale, err, nil)
	case err == nil && h.renewalFailed:
		h.Log.Log(snipelog.OwnershipFresh, nil)
	}
	h.renewalFailed = err != nil
}

// RequestRead requests that the rows be read before the next step, for callers that wait for their
// content. It returns at once.
func (h *Holder) RequestRead() {
	select {
	case h.readRequests() <- struct{}{}:
	default: // a read is requested already
	}
}

// RequestStep requests that the next step be made at once. It returns at once.
func (h *Holder) RequestStep() {
	select {
	case h.stepRequests() <- struct{}{}:
	default: // a step is requested already
	}
}

func (h *Holder) readRequests() chan struct{} {
	h.makeRequests()
	return h.readRequested
}

func (h *Holder) stepRequests() chan struct{} {
	h.makeRequests()
	return h.stepRequested
}

func (h *Holder) makeRequests() {
	h.requestOnce.Do(func() { h.readRequested, h.stepRequested = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// refresh reads the rows and publishes a new view. It does not renew or take over engines; the
// next step does.
func (h *Holder) refresh(ctx context.Context) {
	if err := h.read(ctx); err == nil {
		h.publish()
	}
}

// refreshUntil reads the rows at each request until the channel receives a time, a step is requested or ctx ends.
func (h *Holder) refreshUntil(ctx context.Context, end <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-h.stepRequests():
			return
		case <-h.readRequests():
			h.refresh(ctx)
		}
	}
}

// awaitEngines waits within startWindow until engines are known, and reports whether the next
// step is due. An instance that restarts thus takes its engines back at once, whichever of the
// rows and the directory it reads first.
func (h *Holder) awaitEngines(ctx context.Context, nextStep <-chan time.Time) bool {
	if h.enginesKnown || h.Clock()-h.started > startWindow {
		return false
	}
	poll := time.NewTicker(startPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-nextStep:
			return true
		case <-h.readRequests():
			h.refresh(ctx)
		case <-poll.C:
			if len(h.Engines()) > 0 {
				return true
			}
		}
	}
}

// awaitRetry waits for startRetryInterval if, within startWindow, the write by which this
// instance takes back its engines has failed. It reports whether it waited, so that the next step
// is due.
func (h *Holder) awaitRetry(ctx context.Context) bool {
	if !h.renewalFailed || h.Owns() || h.leaving.Load() || h.Clock()-h.started > startWindow || !h.ownedPreviously() {
		return false
	}
	retry := time.NewTimer(startRetryInterval)
	defer retry.Stop()
	h.refreshUntil(ctx, retry.C)
	return true
}

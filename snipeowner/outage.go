package snipeowner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// storeTimeout is how long a step may be without an answer of the store, to its read or its
	// renewal, before the store is considered lost: the store answers within 10 ms, and within
	// 250 ms when it is slow.
	storeTimeout = 300 * time.Millisecond
	// extensionInterval is the time between two checks whether the right to order needs a lease
	// extension, extensionLead how long before its end the extension is requested.
	extensionInterval = 150 * time.Millisecond
	extensionLead     = 1500 * time.Millisecond
	// extensionTimeout limits the requests to all grantors, whose round trips take a few
	// milliseconds.
	extensionTimeout = 200 * time.Millisecond
	// standbyGrantors is how many of the instances on standby are asked for a lease extension,
	// in addition to all that are not on standby. If a third of all instances cannot reach the
	// store, all eight belong to that third in fewer than one of five thousand cases.
	standbyGrantors = 8
	// observationTime is how long an owner's row must be observed unchanged, without
	// interruption, before its engines may be taken over.
	observationTime = orderTime + margin
	// maxStepGap is the time between the beginnings of two steps above which this instance must
	// have been suspended: a renewal times out after 1.2 s.
	maxStepGap = 2500 * time.Millisecond
	// maxReadGap is the time between two reads of the store above which the rows count as not
	// observed in between. Reads are 1.7 s apart. An owner that continued through an outage
	// renews its row at most 1.3 s after the store is back; with this limit its row cannot be
	// considered lapsed before that.
	maxReadGap = 2200 * time.Millisecond
	// rowsAgeError is by how much the reported age of rows may be too low if they come from another
	// instance's copy of the table, because such copies are passed on from instance to instance.
	rowsAgeError = 100 * time.Millisecond
)

// ExtensionRequest is a request for a lease extension: it asks an instance not to take over engines
// for as long as their owner may order them without the store.
type ExtensionRequest struct {
	Owner   netip.AddrPort
	Engines []netip.AddrPort
	// Unanswered is the time since the owner began the first step that the store did not answer.
	Unanswered time.Duration
}

// ErrExtensionRefused reports that an instance refuses a lease extension, because it reaches the
// store, owns one of the engines itself or has another owner recorded.
var ErrExtensionRefused = errors.New("lease extension refused")

// ExtensionFunc sends a request for a lease extension to an instance and waits for the answer. Its
// error wraps ErrExtensionRefused if the instance refuses; any other error means that the instance
// did not answer.
type ExtensionFunc func(ctx context.Context, peer netip.AddrPort, q ExtensionRequest) error

// outage records whether the store answers the renewals of this instance, and since when the
// rows have been observed. It is safe for concurrent use.
type outage struct {
	lock sync.Mutex // guards the fields below
	// stepBegan is when the last step began.
	stepBegan time.Duration
	// pendingSince is when the current step began or last received an answer; zero if no step
	// is in progress.
	pendingSince time.Duration
	// failing reports that the last completed renewal got no answer.
	failing bool
	// read reports that the rows were read at least once, readAsOf the time as of which they
	// were read from the store.
	read     bool
	readAsOf time.Duration
	// observedSince is the time since which the rows have been observed without interruption.
	observedSince time.Duration
	// grantedAt is when the last lease extension was granted; zero if none was granted.
	grantedAt time.Duration
	// unansweredSince is when the step began whose renewal was the first that the store did not
	// answer. While the last renewal was answered, it is when the last step began.
	unansweredSince time.Duration
}

// beginStep records the begin of a step. If this instance was suspended before, the observation of
// the rows starts anew.
func (o *outage) beginStep(now time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.stepBegan > 0 && now-o.stepBegan > maxStepGap {
		// This instance was suspended. Other instances may have granted lease extensions meanwhile.
		o.observedSince = now
	}
	o.stepBegan, o.pendingSince = now, now
	if !o.failing {
		o.unansweredSince = now
	}
}

// endRenewal records the end of a renewal and whether the store answered it. The observation of the
// rows starts anew with the first answer after an outage.
func (o *outage) endRenewal(now time.Duration, answered bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if answered && o.failing {
		o.observedSince = now
	}
	o.pendingSince, o.failing = 0, !answered
}

// skipRenewal records the end of a step without a renewal.
func (o *outage) skipRenewal() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.pendingSince = 0
}

// recordRead records that the rows were read, with the age that they had. The observation of the
// rows starts anew if more than maxReadGap lies between the last read of the store and this one.
// The read counts as an answer to the step in progress. An instance on standby detects an outage
// only by its reads.
func (o *outage) recordRead(now, age time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	asOf := now - age
	if !o.read || asOf-o.readAsOf > maxReadGap {
		o.read, o.observedSince = true, now
	}
	o.readAsOf = asOf
	if o.pendingSince > 0 {
		o.pendingSince = now
	}
}

// renewalUnanswered reports whether the last completed renewal got no answer.
func (o *outage) renewalUnanswered() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.failing
}

// storeLost reports whether the store is considered lost: it did not answer the last renewal, or
// has not answered the step in progress for storeTimeout.
func (o *outage) storeLost(now time.Duration) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.storeLostLocked(now)
}

func (o *outage) storeLostLocked(now time.Duration) bool {
	return o.failing || o.pendingSince > 0 && now-o.pendingSince > storeTimeout
}

// grant grants a lease extension if the rows were never read, or the store is lost according to
// the caller or to the renewals of this instance. It reports whether it did. A grant restarts the
// observation of the rows: what was observed until now no longer permits a takeover.
func (o *outage) grant(now time.Duration, lost bool) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.read && !lost && !o.storeLostLocked(now) {
		return false
	}
	o.observedSince, o.grantedAt = now, now
	return true
}

// ownOrdersFrom returns when this instance may order engines that an earlier start of it owned:
// at once, unless it has granted a lease extension, which another owner may be using.
func (o *outage) ownOrdersFrom(now time.Duration) time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.grantedAt == 0 {
		return now
	}
	return max(now, o.grantedAt+observationTime)
}

// unanswered returns how long the store has not answered; it is meaningful only while storeLost is
// true.
func (o *outage) unanswered(now time.Duration) time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	return now - o.unansweredSince
}

// takeoverAllowedAt returns when the rows have been observed long enough to permit takeovers.
func (o *outage) takeoverAllowedAt() time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.observedSince + observationTime
}

// GrantExtension answers a request for a lease extension. It returns true if the store answers
// neither the owner nor this instance, or if this instance has not read any rows yet; this instance
// then does not take over any engine for the duration of a lease. It returns false otherwise, and
// if one of the engines belongs to this instance or has another live owner than the one that asks.
func (h *Holder) GrantExtension(q ExtensionRequest) bool {
	v := h.View()
	for _, engine := range q.Engines {
		if o, ok := v.Owners[engine]; ok && o.Instance.Peer != q.Owner {
			return false
		}
	}
	// An instance on standby rarely renews, so it cannot detect an outage by its renewals. A copy
	// of the rows that is younger than the owner's outage shows that the store answers at least
	// one instance.
	standbyLost := v.Live[h.Self.Peer].Standby && h.RowsAge != nil && h.RowsAge() >= q.Unanswered-rowsAgeError
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, engine := range q.Engines {
		if _, held := h.holdings[engine]; held {
			return false
		}
	}
	return h.outage.grant(h.Clock(), standbyLost)
}

// RunExtendLease extends the right to order while the store answers no instance, until ctx ends.
// During such an outage no instance can take over an engine, since a takeover is a write to the
// store, and the grantors agree not to take over as soon as the store is back.
func (h *Holder) RunExtendLease(ctx context.Context) error {
	return snipetime.Every(ctx, extensionInterval, h.ExtendLease)
}

// ExtendLease requests a lease extension from the other instances if the right to order is about to
// end because the store does not answer. If it is granted before the right ends, this instance may
// order for orderTime after the request. ExtendLease waits up to extensionTimeout for the answers.
func (h *Holder) ExtendLease(ctx context.Context) {
	asked := h.Clock()
	engines, deadline := h.orderable(asked)
	if h.RequestExtension == nil || len(engines) == 0 || deadline-asked > extensionLead || !h.outage.storeLost(asked) {
		return
	}
	required, optional := h.grantors()
	q := ExtensionRequest{Owner: h.Self.Peer, Engines: engines, Unanswered: h.outage.unanswered(asked)}
	if err := h.requestExtension(ctx, required, optional, q); err != nil {
		h.Log.Error(snipelog.OwnershipRefused, err, snipelog.Fields{
			"Engines": len(engines), "Milliseconds": (deadline - asked).Milliseconds(),
		})
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.Clock() >= h.orderDeadline {
		// Another instance may have taken over an engine before the extension was granted.
		return
	}
	h.orderDeadline = max(h.orderDeadline, asked+orderTime)
	h.Log.Log(snipelog.OwnershipProlonged, snipelog.Fields{
		"Engines": len(engines), "Witnesses": len(required), "Milliseconds": (h.orderDeadline - asked).Milliseconds(),
	})
}

// orderable returns the engines that this instance may order, and until when.
func (h *Holder) orderable(now time.Duration) ([]netip.AddrPort, time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if now >= h.orderDeadline {
		return nil, 0
	}
	engines := make([]netip.AddrPort, 0, len(h.holdings))
	for engine, o := range h.holdings {
		if o.confirmed {
			engines = append(engines, engine)
		}
	}
	return engines, h.orderDeadline
}

// grantors returns the other instances that are asked for a lease extension. The required ones must
// grant it: all that are neither leaving nor on standby, and at most standbyGrantors of those on
// standby. The optional ones may be unreachable but must not refuse. They were leaving, and may
// have restarted since, or their rows have lapsed: such an instance is dead or cannot reach the
// store, and if it does not answer it cannot reach this instance either.
func (h *Holder) grantors() (required, optional []netip.AddrPort) {
	v := h.View()
	optional = slices.Clone(v.Lapsed)
	standby := standbyGrantors
	// Go iterates over a map in random order, so each request asks other instances on standby.
	for peer, i := range v.Live {
		switch {
		case peer == h.Self.Peer:
		case i.Leaving:
			optional = append(optional, peer)
		case !i.Standby:
			required = append(required, peer)
		case standby > 0:
			required = append(required, peer)
			standby--
		}
	}
	return required, optional
}

// requestExtension requests a lease extension from all grantors at once and waits for their
// answers. It returns at the first error that prevents the extension: a required grantor does not
// grant it, or any grantor refuses.
func (h *Holder) requestExtension(ctx context.Context, required, optional []netip.AddrPort, q ExtensionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	answers := make(chan error, len(required)+len(optional))
	for n, peer := range slices.Concat(required, optional) {
		go func() {
			err := h.RequestExtension(ctx, peer, q)
			if err == nil || n >= len(required) && !errors.Is(err, ErrExtensionRefused) {
				answers <- nil
				return
			}
			answers <- errors.Wrap(err, peer.String())
		}()
	}
	for range cap(answers) {
		if err := <-answers; err != nil {
			return err
		}
	}
	return nil
}

package snipestop

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Watch is what a stop needs to know of a request. Exported fields are set before it enters the stop. It is safe for concurrent
// use.
type Watch struct {
	// Cancel ends the request's context. It is set before Enter.
	Cancel context.CancelCauseFunc

	lock sync.Mutex // guards the fields below
	// deadline is that of the request, and work how long it is expected to take at most; both are zero if they are not known.
	deadline time.Time
	work     time.Duration
	// sent is set while an upstream, or a peer, may work on the request.
	sent bool
	// body is set while the request's body is read.
	body *http.ResponseController
	// interrupted is set if the stop has interrupted the read of the body.
	interrupted bool
	stopped     bool
}

// SetTimes records the deadline of the request and how long it is expected to take at most; zero if that is not known.
func (w *Watch) SetTimes(deadline time.Time, work time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.deadline, w.work = deadline, work
}

// SetSent records whether an upstream, or another instance, may work on the request.
func (w *Watch) SetSent(sent bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.sent = sent
}

// waitsInVain reports whether the request has not been sent, and would not be answered before the end if it were sent now.
func (w *Watch) waitsInVain(now, end time.Time) bool {
	w.lock.Lock()
	sent := w.sent
	w.lock.Unlock()
	return !sent && w.endsAfter(now, end)
}

// endsAfter reports whether the request, sent now, is expected to end after the given time. One whose deadline is earlier is
// not.
func (w *Watch) endsAfter(now, end time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.work > 0 && w.deadline.After(end) && now.Add(w.work+margin).After(end)
}

// stop ends the request: its context, and the read of its body.
func (w *Watch) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	w.Cancel(ErrStopped)
	if w.body != nil {
		w.interrupted = true
		_ = w.body.SetReadDeadline(time.Unix(1, 0))
	}
}

// Interrupted reports whether the stop has interrupted the read of the body. net/http then ends the context of the request as
// if its caller had left, also if the read has just reached the end of the body: from there on it waits for the caller's next
// bytes, under the same deadline.
func (w *Watch) Interrupted() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.interrupted
}

// BeginBody sets the deadline for reading the body, which the stop may bring forward until EndBody.
func (w *Watch) BeginBody(body *http.ResponseController, deadline time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stopped {
		deadline = time.Unix(1, 0)
	}
	w.body = body
	_ = body.SetReadDeadline(deadline)
}

// EndBody ends the read of the body, and removes the deadline if all of it was read. Otherwise the deadline stays: net/http
// reads what is left of a body before it answers.
func (w *Watch) EndBody(whole bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if whole {
		_ = w.body.SetReadDeadline(time.Time{})
	}
	w.body = nil
}

package snipeupstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// drainTimeout bounds the wait for the end of a body whose last event has
	// arrived, and drainBytes the bytes that are read of it.
	drainTimeout = time.Second
	drainBytes   = 4096
)

// Exchange is one request and its streamed response, with a bound on the time
// in which nothing arrives (a silence). A connection that was silent for too
// long is closed and never reused.
type Exchange struct {
	// Response is the response; the caller of Begin reads its body.
	Response *http.Response
	// MaybeSent reports that the request may have left this process. A failed
	// request counts as not run only if MaybeSent is false.
	MaybeSent bool
	// Reused reports that the connection had been used before.
	Reused bool
	// Foreign reports that the response bears the identifier of an earlier call of the connection, to which it belongs.
	Foreign bool

	cancel        context.CancelFunc
	detachContext func() bool // stops the request's context from ending the exchange
	silenceTimer  *time.Timer
	silent        atomic.Bool
}

// SilenceLimit bounds the silence of an exchange.
type SilenceLimit struct {
	// Progress is the longest time from Begin until StopTimer or RestartTimer is
	// called; the response's header alone does not stop the timer. Zero means no
	// bound, and less than one second counts as one second.
	Progress time.Duration
	// ReusedOnly applies the bound only to a connection that had been used before.
	ReusedOnly bool
	// Pool is the client whose idle connections are closed after a silence,
	// since the fault that silenced one connection may affect them too.
	Pool *http.Client
}

// Begin sends r with client and waits for the response's header. The exchange
// ends with r's context, or when a silence exceeds its limit. The exchange is
// never nil: after an error it states MaybeSent, Reused and Silent, and need
// not be closed.
func Begin(client *http.Client, r *http.Request, l SilenceLimit) (*Exchange, error) {
	x := &Exchange{}
	// The connection outlives the call, so that the end of the body can be read.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	x.cancel = cancel
	x.detachContext = context.AfterFunc(r.Context(), cancel)
	x.silenceTimer = time.AfterFunc(max(l.Progress, time.Second), func() {
		x.silent.Store(true)
		cancel()
		l.Pool.CloseIdleConnections()
	})
	if l.Progress == 0 {
		x.silenceTimer.Stop()
	}
	var maybeSent, reused atomic.Bool
	var used atomic.Pointer[identifiedConn]
	id := r.Header.Get(requestHeader)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		maybeSent.Store(true)
		reused.Store(i.Reused)
		if c, ok := i.Conn.(*identifiedConn); ok && id != "" {
			c.add(id)
			used.Store(c)
		}
		if l.ReusedOnly && !i.Reused {
			x.silenceTimer.Stop()
		}
	}})
	var err error
	x.Response, err = client.Do(r.WithContext(ctx)) //nolint:gosec,bodyclose // addresses come from the settings; Close and Finish close the body
	x.MaybeSent, x.Reused = maybeSent.Load(), reused.Load()
	if err != nil {
		x.release()
		cancel()
		return x, err
	}
	x.Foreign = used.Load().isForeign(id, x.Response)
	return x, nil
}

// RestartTimer bounds the silence from now on to progress; zero or less leaves
// the timer as it is.
func (x *Exchange) RestartTimer(progress time.Duration) {
	if progress > 0 {
		x.silenceTimer.Reset(progress)
	}
}

// StopTimer stops the silence timer until the next RestartTimer. The timer does
// not run while data is passed on, since a slow reader is not a silent connection.
func (x *Exchange) StopTimer() { x.silenceTimer.Stop() }

// Silent reports whether the exchange was ended because a silence exceeded its limit.
func (x *Exchange) Silent() bool { return x.silent.Load() }

// release stops the silence timer, and the end of the request's context no longer ends the
// exchange.
func (x *Exchange) release() {
	x.detachContext()
	x.silenceTimer.Stop()
}

// Close ends the exchange and closes its connection.
func (x *Exchange) Close() {
	x.release()
	x.cancel()
	// The connection is closed, so the error does not matter.
	_ = x.Response.Body.Close()
}

// Finish is called when the last event of the answer has arrived. It reads the
// end of the body in the background, so that the connection can be reused. If
// more than drainBytes are left, or the end does not arrive within
// drainTimeout, the connection is closed instead.
func (x *Exchange) Finish() {
	x.release()
	go func() {
		timer := time.AfterFunc(drainTimeout, x.cancel)
		defer timer.Stop()
		defer x.cancel()
		// If the body does not end, its connection is closed.
		_, _ = io.CopyN(io.Discard, x.Response.Body, drainBytes)
		_ = x.Response.Body.Close()
	}()
}

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
	// drainTimeout bounds the wait for the end of an answer whose last event
	// has arrived; drainBytes bounds what may still come.
	drainTimeout = time.Second
	drainBytes   = 4096
)

// Exchange is one request and the stream that answers it, watched for
// silence. A connection that was silent for too long is closed, never kept.
type Exchange struct {
	// Response is the answer; its body is read by the exchange's owner.
	Response *http.Response
	// Left tells that the request may have left this process. Its absence is
	// the only ground on which a failed request counts as not run.
	Left bool
	// Reused tells that the connection had been used before.
	Reused bool

	cancel context.CancelFunc
	untie  func() bool
	watch  *time.Timer
	silent atomic.Bool
}

// Watch says how the silence of an exchange is bounded.
type Watch struct {
	// Progress is the longest silence before the answer's header; zero is no
	// bound.
	Progress time.Duration
	// KeptOnly bounds it only on a connection that had been used before.
	KeptOnly bool
	// Kept is the client whose idle connections are closed on a silence, since
	// whatever has silenced one connection may have silenced them.
	Kept *http.Client
}

// Begin sends r with client. The exchange ends with r's context, or on a
// silence. On an error the exchange needs no Close.
func Begin(client *http.Client, r *http.Request, w Watch) (*Exchange, error) {
	x := &Exchange{}
	// The connection outlives the call, for the end of its answer to be read.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	x.cancel = cancel
	x.untie = context.AfterFunc(r.Context(), cancel)
	x.watch = time.AfterFunc(max(w.Progress, time.Second), func() {
		x.silent.Store(true)
		cancel()
		w.Kept.CloseIdleConnections()
	})
	if w.Progress == 0 {
		x.watch.Stop()
	}
	var left, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		left.Store(true)
		reused.Store(i.Reused)
		if w.KeptOnly && !i.Reused {
			x.watch.Stop()
		}
	}})
	var err error
	x.Response, err = client.Do(r.WithContext(ctx)) //nolint:gosec,bodyclose // addresses come from the settings; Close and Finish close the body
	x.Left, x.Reused = left.Load(), reused.Load()
	if err != nil {
		x.release()
		cancel()
	}
	return x, err
}

// Alive tells the watch that something has arrived; the next must follow
// within progress.
func (x *Exchange) Alive(progress time.Duration) {
	if progress > 0 {
		x.watch.Reset(progress)
	}
}

// Hold stops the watch until the next Alive: while what has arrived is being
// passed on, a slow reader is not a silent connection.
func (x *Exchange) Hold() { x.watch.Stop() }

// Silent reports that the exchange was ended for its silence.
func (x *Exchange) Silent() bool { return x.silent.Load() }

func (x *Exchange) release() {
	x.untie()
	x.watch.Stop()
}

// Close ends the exchange and its connection.
func (x *Exchange) Close() {
	x.release()
	x.cancel()
	// The connection is gone; there is nothing to learn from the error.
	_ = x.Response.Body.Close()
}

// Finish is called when the whole answer has arrived. It reads the end of the
// body in the background, after which the connection can be kept.
func (x *Exchange) Finish() {
	x.release()
	go func() {
		limit := time.AfterFunc(drainTimeout, x.cancel)
		defer limit.Stop()
		defer x.cancel()
		// A body that does not end closes its connection.
		_, _ = io.CopyN(io.Discard, x.Response.Body, drainBytes)
		_ = x.Response.Body.Close()
	}()
}

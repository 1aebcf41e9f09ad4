package snipecaller

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

// maxAttempts bounds how often one call is started.
const maxAttempts = 4

// retryPause is the pause before the second attempt; it doubles each time.
const retryPause = 20 * time.Millisecond

// Attempts executes a call with its retries. Exported fields are set before
// the first call.
type Attempts struct {
	// Choose returns the upstream for the next attempt, given those that
	// failed.
	Choose func(c *snipecall.Call, failed []string) (string, error)
	// Execute executes a call at its upstream.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Log takes events.
	Log *snipelog.Logger
}

// Serve executes c until it is answered, may have run, or is given up.
func (a *Attempts) Serve(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	sent := false
	counted := func(k snipecall.Chunk) error {
		sent = true
		return sink(k)
	}
	var failed []string
	var last error
	for n := range maxAttempts {
		upstream, err := a.Choose(c, failed)
		if err != nil {
			return firstOf(last, err)
		}
		attempt := *c
		attempt.Upstream = upstream
		last = a.Execute(ctx, &attempt, counted)
		if last == nil || sent || !repeatable(ctx, c, last) {
			return last
		}
		failed = append(failed, upstream)
		a.Log.Error(snipelog.CallRetried, last, snipelog.Fields{"Call": c.ID, "Upstream": upstream})
		if !pause(ctx, retryPause<<n) {
			return last
		}
	}
	return last
}

// firstOf prefers the failure of an attempt to that of the choice after it.
func firstOf(attempt, choice error) error {
	if attempt != nil {
		return attempt
	}
	return choice
}

// repeatable reports whether a call may be started again after err.
func repeatable(ctx context.Context, c *snipecall.Call, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	f := snipeerror.From(err)
	for _, final := range []error{snipeerror.ErrBadRequest, snipeerror.ErrDeadline, snipeerror.ErrCanceled} {
		if errors.Is(f, final) {
			return false
		}
	}
	return f.Outcome == snipeerror.NotRun || c.Idempotent
}

// pause waits and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
